// Failure detection and dissemination as in SWIM: tracks which members of the fleet are alive, suspect or
// gone, each at an incarnation.
//
// Each member monitors a few others, its successor and predecessor on each ring of the roster, whatever the
// size of the fleet. A silent member is probed indirectly through others before it is suspected; a suspect
// that does not refute in time is declared gone. Updates are gossiped over the same links, and lost ones are
// repaired by comparing digests with each ping.
//
// No I/O and no clock of its own. Not thread-safe.
#pragma once

#include <unordered_map>
#include <vector>

#include "member_view.h"
#include "src/base/random.h"
#include "src/fleet/config.h"
#include "src/fleet/transport/outgoing.h"

namespace firtide::fleet
{

struct HealthChange {
    MemberIndex member = 0;
    Health health = Health::gone;
    Incarnation incarnation = 0;
};

// Data of other components that every ping carries.
struct PingPayload {
    MemberKey leader = 0;
    Term term = 0;
    uint64_t list_number = 0;
    Epoch list_epoch = 0;
    uint64_t list_digest = 0;
};

class Membership
{
  public:
    // `config` must outlive the membership. `period` is the monitoring period; a silent member is suspect
    // after about four periods and gone after about eight.
    Membership(const FleetConfig& config, InstanceId instance, Incarnation incarnation, Duration period,
               uint64_t seed);

    void start(TimePoint now);
    // Sets the view of a fleet that has been up for a long time instead of detecting it. Sends nothing. For
    // simulations.
    void seed_members(const std::vector<MemberState>& members);
    void tick(TimePoint now);

    // To be called for every received message, before the message itself is handled.
    void on_message(TimePoint now, MemberIndex from);
    void on_ping(TimePoint now, MemberIndex from, const Ping& ping);
    void on_indirect_probe(TimePoint now, MemberIndex from, const IndirectProbeRequest& request);
    void on_indirect_ack(TimePoint now, const IndirectProbeAck& ack);
    void on_updates(TimePoint now, MemberIndex from, const MembershipUpdates& updates);

    // Announces that this member leaves the fleet.
    void depart();
    // Announces the weight of this member's traffic.
    void set_weight(uint8_t weight);
    // Sets the payload of all further pings.
    void set_payload(const PingPayload& payload) { payload_ = payload; }

    [[nodiscard]] std::vector<OutgoingMessage> take_sends() { return std::exchange(sends_, {}); }
    [[nodiscard]] std::vector<HealthChange> take_health_changes() { return std::exchange(changes_, {}); }

    [[nodiscard]] const MemberState& state_of(MemberIndex member) const { return view_.state_of(member); }
    [[nodiscard]] const MemberState& own_state() const { return view_.state_of(self_); }
    [[nodiscard]] Incarnation incarnation() const { return own_state().incarnation; }
    [[nodiscard]] size_t alive_count() const { return view_.alive_count(); }
    [[nodiscard]] uint64_t view_digest() const { return view_.digest(); }
    [[nodiscard]] uint64_t view_version() const { return view_.version(); }
    // Whether another process with this member's id has been seen.
    [[nodiscard]] bool has_duplicate_identity() const { return duplicate_identity_; }

    [[nodiscard]] const std::vector<MemberIndex>& monitored_peers() const { return monitored_; }
    // The next member on each ring. A message that every receiver forwards to its targets reaches all
    // members, with one or two redundant links.
    [[nodiscard]] const std::vector<MemberIndex>& gossip_targets() const { return gossip_targets_; }

  private:
    // State of a peer that has sent a message or was pinged.
    struct Contact {
        TimePoint last_heard, last_ping, probe_started;
        bool probing = false;     // by indirect probes
        TimePoint last_exchange;  // of all records
        Duration exchange_backoff;
        TimePoint differs_since;  // since when the digests differ
    };
    // An indirect probe requested by another member.
    struct RelayedProbe {
        MemberIndex subject = 0, requester = 0;
        TimePoint requested;
    };

    void send(MemberIndex to, Message message) { sends_.push_back({to, std::move(message)}); }
    void ping(TimePoint now, MemberIndex to, uint64_t acknowledges = 0);
    void gossip(const std::vector<MembershipUpdate>& updates, MemberIndex except);
    MembershipUpdate update_of(MemberIndex member) const;
    MembershipUpdates full_state(bool reply_requested) const;

    // Returns true if the update was newer than the record.
    bool accept(TimePoint now, MemberIndex member, const MemberState& update);
    void refute(const MemberState& update);
    void reconcile(TimePoint now, MemberIndex from, uint64_t digest);

    void monitor(TimePoint now, MemberIndex peer, Contact& contact, std::vector<MembershipUpdate>& detected);
    void probe_indirectly(TimePoint now, MemberIndex peer, Contact& contact);
    std::vector<MembershipUpdate> monitor_peers(TimePoint now);
    void expire_suspects(TimePoint now, std::vector<MembershipUpdate>& detected);
    void ping_gone_member(TimePoint now, std::optional<MemberIndex> member);
    std::optional<MemberIndex> next_gone_member() const;
    std::vector<MemberIndex> draw_probe_helpers(MemberIndex subject);

    void find_monitored_peers();
    bool is_monitored(MemberIndex member) const;
    Contact& contact_of(MemberIndex member);
    TimePoint last_heard(const Contact& contact) const
    {
        return std::max(contact.last_heard, earliest_last_heard_);
    }

    const FleetConfig& config_;
    const MemberIndex self_;
    const Duration period_;
    RandomEngine random_;
    MemberView view_;
    PingPayload payload_;

    std::unordered_map<MemberIndex, Contact> contacts_;
    TimePoint earliest_last_heard_;  // no member counts as last heard before this time
    std::vector<MemberIndex> monitored_, gossip_targets_;
    std::vector<Contact*> monitored_contacts_;  // same order as monitored_
    std::vector<RelayedProbe> relayed_probes_;

    std::vector<OutgoingMessage> sends_;
    std::vector<HealthChange> changes_;
    uint64_t last_ping_number_ = 0;
    size_t next_gone_ = 0;
    TimePoint started_, last_tick_, last_gone_ping_;
    bool duplicate_identity_ = false, departed_ = false;
};

}  // namespace firtide::fleet
