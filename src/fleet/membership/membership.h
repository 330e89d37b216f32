// Failure detection and dissemination, after SWIM: who of the fleet is alive, suspect or gone, each at an
// incarnation.
//
// Each member monitors a few others, the next and the last on each ring of the roster, whatever the size of
// the fleet. One that falls silent is probed through others before it is suspected; a suspect that does not
// refute in time is gone. What is found is gossiped over the same links, and repaired by comparing digests
// with each ping.
//
// No I/O and no clock of its own. Not thread-safe.
#pragma once

#include <random>
#include <unordered_map>
#include <vector>

#include "member_view.h"
#include "src/fleet/config.h"
#include "src/fleet/transport/outgoing.h"

namespace firtide::fleet
{

struct HealthChange {
    MemberIndex member = 0;
    Health health = Health::gone;
    Incarnation incarnation = 0;
};

// What the other parts of a member say with each ping.
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
    // `config` must outlive the membership. `period`: of monitoring; a silent member is suspect after some
    // four and gone after some eight of them.
    Membership(const FleetConfig& config, InstanceId instance, Incarnation incarnation, Duration period,
               uint64_t seed);

    void start(TimePoint now);
    // Takes the view of a fleet that has long been up, in place of finding it out. Sends nothing. For
    // simulations.
    void seed_members(const std::vector<MemberState>& members);
    void tick(TimePoint now);

    // To be called for every message, whatever it is, before the message itself is handled.
    void on_message(TimePoint now, MemberIndex from);
    void on_ping(TimePoint now, MemberIndex from, const Ping& ping);
    void on_indirect_probe(TimePoint now, MemberIndex from, const IndirectProbeRequest& request);
    void on_indirect_ack(TimePoint now, const IndirectProbeAck& ack);
    void on_updates(TimePoint now, MemberIndex from, const MembershipUpdates& updates);

    // Announces that this member is gone.
    void depart();
    // Announces the weight of this member's traffic.
    void set_weight(uint8_t weight);
    // Sent with every ping from now on.
    void set_payload(const PingPayload& payload) { payload_ = payload; }

    [[nodiscard]] std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
    [[nodiscard]] std::vector<HealthChange> take_health_changes() { return std::exchange(changes_, {}); }

    [[nodiscard]] const MemberState& state_of(MemberIndex member) const { return view_.of(member); }
    [[nodiscard]] const MemberState& own_state() const { return view_.of(self_); }
    [[nodiscard]] Incarnation incarnation() const { return own_state().incarnation; }
    [[nodiscard]] size_t alive_count() const { return view_.alive(); }
    [[nodiscard]] uint64_t view_digest() const { return view_.digest(); }
    [[nodiscard]] uint64_t view_version() const { return view_.version(); }
    // Whether another process has been seen under this member's id.
    [[nodiscard]] bool has_duplicate_identity() const { return duplicate_identity_; }

    [[nodiscard]] const std::vector<MemberIndex>& monitored_peers() const { return monitored_; }
    // The next member on each ring: what all pass on to these reaches everybody, with one or two to spare.
    [[nodiscard]] const std::vector<MemberIndex>& gossip_targets() const { return gossip_targets_; }

  private:
    // Of a member that was heard directly, or pinged.
    struct Contact {
        TimePoint last_heard, last_ping, probe_started;
        bool probing = false;     // through others
        TimePoint last_exchange;  // of all records
        Duration exchange_backoff;
        TimePoint differs_since;  // the digests of both
    };
    // An indirect probe that another member has asked for.
    struct RelayedProbe {
        MemberIndex subject = 0, requester = 0;
        TimePoint requested;
    };

    void send(MemberIndex to, Message message) { sends_.push_back({to, std::move(message)}); }
    void ping(TimePoint now, MemberIndex to, uint64_t acknowledges = 0);
    void gossip(const std::vector<MembershipUpdate>& updates, MemberIndex except);
    MembershipUpdate update_of(MemberIndex member) const;
    MembershipUpdates full_state(bool reply_requested) const;

    // Returns true where the update is news.
    bool accept(TimePoint now, MemberIndex member, const MemberState& update);
    void refute(const MemberState& update);
    void reconcile(TimePoint now, MemberIndex from, uint64_t digest);

    void monitor(TimePoint now, MemberIndex peer, Contact& contact, std::vector<MembershipUpdate>& found);
    void probe_indirectly(TimePoint now, MemberIndex peer, Contact& contact);
    std::vector<MembershipUpdate> monitor_peers(TimePoint now);
    void expire_suspects(TimePoint now, std::vector<MembershipUpdate>& found);
    void ping_gone_member(TimePoint now, std::optional<MemberIndex> member);
    std::optional<MemberIndex> next_gone_member() const;
    std::vector<MemberIndex> draw_helpers(MemberIndex subject);

    void find_monitored_peers();
    bool is_monitored(MemberIndex member) const;
    Contact& contact_of(MemberIndex member);
    TimePoint last_heard(const Contact& contact) const
    {
        return std::max(contact.last_heard, heard_at_least_);
    }

    const FleetConfig& config_;
    const MemberIndex self_;
    const Duration period_;
    std::ranlux24_base random_;
    MemberView view_;
    PingPayload payload_;

    std::unordered_map<MemberIndex, Contact> contacts_;
    TimePoint heard_at_least_;  // each member is taken to have been heard since then
    std::vector<MemberIndex> monitored_, gossip_targets_;
    std::vector<Contact*> monitored_contacts_;  // in step with monitored_
    std::vector<RelayedProbe> relayed_probes_;

    std::vector<Send> sends_;
    std::vector<HealthChange> changes_;
    uint64_t last_ping_number_ = 0;
    size_t next_gone_ = 0;
    TimePoint started_, last_tick_, last_gone_ping_;
    bool duplicate_identity_ = false, departed_ = false;
};

}  // namespace firtide::fleet
