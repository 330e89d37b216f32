// One member of the fleet: a typed event in, effects out. Membership, leases and duties are parts of it; the
// voter agent stands beside it, for it may wait for the disk. No I/O and no clock of its own: real
// processes, virtual time and the model checker drive the same code.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/fleet/consensus/voter_agent.h"
#include "src/fleet/endpoints/endpoint_distribution.h"
#include "src/fleet/endpoints/endpoint_view.h"
#include "src/fleet/lease/fencing_guard.h"
#include "src/fleet/lease/lease_client.h"
#include "src/fleet/lease/lease_manager.h"
#include "src/fleet/membership/membership.h"
#include "src/fleet/startup/startup_sequencer.h"
#include "src/fleet/transport/traffic.h"

namespace firtide::fleet
{

// Events.
struct StartupEvent {
};
struct MessageReceived {
    MemberIndex from = 0;
    Message message;
};
struct Tick {  // every 20 to 50 ms
};
struct VoterAgentReported {
    VoterAgentEffect effect;
};
struct AdminRequest {
    uint64_t caller = 0;
    std::string what, first,
        second;  // show-fleet, show-recovery, hand-over, let-in, put-out, turn, turn-over
    std::optional<TrafficCounts> traffic{};  // of the member's connections, where it has any
};
struct AdminDisconnected {
    uint64_t caller = 0;
};
struct EndpointListFetched {  // own discovery has answered
    std::string source;       // its address: versions of another say nothing of this one's
    uint64_t version = 0;
    std::string whole;                                     // without [deltas]
    std::shared_ptr<const EndpointTexts> lines = nullptr;  // with [deltas]
    // With [deltas]: all uids that can differ from the last answer; nothing: any.
    std::optional<std::vector<std::string>> changed = std::nullopt;
};
struct ProbesCompleted {
    std::string duty;
    Epoch epoch = 0;
    std::string bytes;
};
struct EffectRefused {  // by a receiver that has met a higher epoch
    std::string duty;
    Epoch epoch = 0;
};
struct ShutdownRequested {
};
// What this member remembers, or why that is refused; nothing: there was none. Before it has begun.
struct SnapshotLoaded {
    std::variant<std::monostate, MemberSnapshot, std::string> memory;
    std::optional<Span> ago;  // by a clock that is trusted: the machine has not been started anew
};
// The members as a fleet at rest holds them, of a simulation that does not begin with all unknown.
struct SeedMembership {
    std::shared_ptr<const std::vector<Membership::MemberState>> members;
};
using FleetEvent = std::variant<StartupEvent, MessageReceived, Tick, VoterAgentReported, AdminRequest,
                                AdminDisconnected, EndpointListFetched, ProbesCompleted, EffectRefused,
                                ShutdownRequested, LocalObservations, SnapshotLoaded, SeedMembership>;

// Effects. Send is one of them.
struct CallVoterAgent {
    VoterAgentCall call;
};
struct Publish {
    std::vector<Send> sends;
};
struct NotifySubscriber {  // the program beside this balancer
    std::string address;
    uint64_t number = 0;
    int64_t left_ms = 0;
};
struct StartProbes {  // those of the upstreams of this part whose turn is this slice of the period
    uint32_t part = 0, slice = 0;
};
struct StartDrain {
};
// An effect of a duty. The host passes it through Fleet::lease_allows with a clock read for it, and only then
// carries it out.
struct LeasedEffect {
    std::string duty;
    Epoch epoch = 0;
    Span lasts;  // the lease has to hold for so long
    std::variant<Publish, NotifySubscriber, StartProbes, StartDrain> what;
};
struct EndDrain {  // the turn to drain is over
};
struct SetDiscoveryPolling {
    bool on = false;
};
struct ApplyProbeReports {
    std::string duty;
    std::string bytes;
    Span age;
};
struct ApplySubsetPeers {  // who shares the upstreams
    std::vector<SubsetPeer> sharers;
};
struct ApplyOutlierReports {
    std::map<uint64_t, OutlierGossip::Verdict> results;  // by upstream
};
struct ApplyQuotas {
    std::vector<QuotaLease> parts;
};
struct ApplySnapshot {  // and its list as a hint
    MemberSnapshot memory;
};
struct ApplyFleetState {
    FleetState state;
};
struct WriteSnapshot {      // on the disk, in the place of the last one
    MemberSnapshot memory;  // but for the machine's part of it
};
struct Reply {
    uint64_t caller = 0;
    std::string text;
};
struct LogEvent {  // for the log; a line of JSON
    std::string event, subject, why;
    Epoch epoch = 0;
    std::string health;
    Point until;  // of a duty that was lost: when its lease ended, at the latest
};
using FleetEffect =
    std::variant<Send, CallVoterAgent, LeasedEffect, EndDrain, SetDiscoveryPolling, ApplyEndpointList,
                 ApplyProbeReports, Reply, LogEvent, ApplySubsetPeers, ApplyOutlierReports, ApplyQuotas,
                 ApplySnapshot, ApplyFleetState, WriteSnapshot>;

inline constexpr uint32_t probe_slices = 10;
inline constexpr Span probe_lasts = seconds(0.3);  // until its answer, or its being given up

// What the news of a probing duty are made of.
struct ProbeReport {
    std::string upstream;
    bool well = false;
    std::string report;
    MSGPACK_DEFINE(upstream, well, report)
};

class Fleet
{
  public:
    // incarnation: higher than any that this id was before, as far as its disk remembers.
    Fleet(const FleetConfig& file, InstanceId instance, Incarnation incarnation, uint64_t seed);

    std::vector<FleetEffect> reduce(Point now, FleetEvent event);

    // The gate. The one place where it is decided whether an effect of a duty may leave.
    bool lease_allows(Point now, const LeasedEffect& act) const;
    bool mine(Point now, const std::string& duty) const
    {
        return lease_client_.held_epoch(now, duty).has_value();
    }

    Incarnation incarnation() const { return members_.incarnation(); }
    const LeaseClient& lease_client() const { return lease_client_; }
    const Membership& members() const { return members_; }
    // Of the list; nothing without [deltas].
    const EndpointReplica* replica() const { return distribution_ ? &distribution_->replica() : nullptr; }
    EndpointReplica* replica_to_corrupt() { return distribution_ ? &distribution_->replica() : nullptr; }
    LeaseManager& lease_manager() { return lease_manager_; }
    uint64_t refused() const { return refused_; }  // effects of others, for their epoch

  private:
    struct Caller {
        uint64_t caller = 0;
        Point until;
    };
    struct Beat {
        Epoch epoch = 0;
        uint64_t number = 0;
        Point next;
        uint32_t slice = 0;
    };

    void on(const StartupEvent&);
    void on(MessageReceived& heard);
    void on(const Tick&);
    void on(VoterAgentReported& said);
    void on(const AdminRequest& asked);
    void on(const AdminDisconnected& left);
    void on(EndpointListFetched& seen);
    void on(ProbesCompleted& seen);
    void on(const EffectRefused& refused);
    void on(const ShutdownRequested&);
    void on(LocalObservations& observed);
    void on(SnapshotLoaded& recalled);
    void on(const SeedMembership& acquainted) { members_.seed_members(*acquainted.members); }
    void recovery_tick();
    std::string show_recovery() const;

    void hear(MemberIndex from, const AdminCommand& order);
    void hear(MemberIndex from, const AdminCommandResult& obeyed);
    void hear(MemberIndex from, Broadcast& news);
    void settle();
    void changed(const LeaseChange& change);
    void publish(const std::string& duty, Epoch epoch, std::string bytes);
    void choices_tick();
    void tell_sharers();
    void hear(MemberIndex from, const QuotaRequest& want);
    std::string show_choices() const;
    void beat();
    void pass_on(const Broadcast& news, MemberIndex not_to);
    // Of the duty `list`: fleet_list.cpp.
    void hear_list(MemberIndex from, Broadcast& news);
    void hear_list(MemberIndex from, const Ping& ping);
    void hear(MemberIndex from, EndpointDelta& delta);
    void hear(MemberIndex from, const EndpointDeltaRequest& want);
    void hear(MemberIndex from, const EndpointSnapshotChunk& chunk);
    bool accepts(const EndpointListVersion& version) const;
    bool use_list(const std::string& source, uint64_t version, const std::string& whole);
    void replicate(const EndpointListFetched& seen);
    void push(Epoch epoch, const std::vector<EndpointDelta>& deltas);
    void use_replica();
    void list_confirmed(Span age);
    void list_tick();
    void replica_tick();
    const std::string& list_to_remember();
    std::string show_list() const;

    void reply(uint64_t caller, std::string text) { effects_.push_back(Reply{caller, std::move(text)}); }
    void order(uint64_t caller, const std::string& what, const std::string& first, const std::string& second);
    std::string show(const std::optional<TrafficCounts>& traffic) const;
    MemberKey leader_key() const;

    const FleetConfig& file_;
    const MemberIndex self_;
    std::ranlux24_base chance_;
    Point now_;
    Membership members_;
    LeaseClient lease_client_;
    LeaseManager lease_manager_;
    LeaseTable table_;  // as committed, at a voter
    std::optional<VoterStatus> standing_;
    std::map<DiskId, MemberIndex> disks_;  // of voters, as heard of
    std::vector<FleetEffect> effects_;
    std::vector<std::pair<MemberIndex, Message>> to_self_;

    FencingGuard fencing_;
    uint64_t refused_ = 0;
    std::map<std::string, Broadcast> newest_;  // of duties whose last word stays true
    std::map<std::string, Beat> beats_;        // of what is held
    std::map<std::string, uint64_t> numbers_;
    uint64_t list_version_ = 0, list_base_ = 0;
    Point list_fresh_;
    Span list_spread_;
    std::string list_published_, list_source_;
    bool asking_ = false;
    Point wanted_news_;
    std::optional<EndpointDistribution> distribution_;  // where the fleet file has [deltas]
    Point list_gained_;
    std::optional<EndpointListFetched> unpublished_list_;  // by a holder that is being repaired first
    bool list_changed_ = false;                            // since it was last written down to be remembered

    // Choices that add up, where the fleet file has them.
    std::optional<OutlierGossip> signals_;
    std::optional<QuotaClient> shares_;
    std::optional<QuotaAllocator> allocator_;
    LocalObservations observed_;
    std::vector<SubsetPeer> sharers_;
    std::optional<uint64_t> sharers_version_;  // of the members, as they were told last
    Point weighed_, sharers_at_, wanted_parts_;
    bool signalled_ = false;

    // Of its return, where the fleet file has it.
    std::vector<std::string> recalled_;  // what was trusted, and refused
    Incarnation began_as_ = 0;
    Point begun_, kept_at_;
    uint64_t hint_version_ = 0;
    std::string last_list_;
    bool older_told_ = false;

    std::map<uint64_t, Caller> callers_;  // of orders on their way to the leader
    std::map<uint64_t, std::pair<MemberIndex, uint64_t>> voter_orders_;
    uint64_t next_order_ = 1, next_voter_order_ = uint64_t{1} << 63;
    std::optional<uint64_t> turn_;  // the caller who waits for it
    bool wants_turn_ = false, twin_told_ = false, stopping_ = false;
};

}  // namespace firtide::fleet
