// One member of a fleet, as a state machine that takes events and returns effects. It combines the components
// (membership, leases, the endpoint list, traffic coordination, snapshots, operators' commands) and
// dispatches each message to its component. The voter agent is separate, because it may block on the disk.
//
// Does no I/O and reads no clock: real processes, the simulation and the model checker run the same code.
// Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admin_service.h"
#include "duty_broadcasts.h"
#include "duty_runner.h"
#include "fleet_context.h"
#include "shared_choices.h"
#include "src/base/random.h"
#include "src/fleet/endpoints/endpoint_list_service.h"
#include "src/fleet/lease/lease_manager.h"
#include "src/fleet/startup/snapshot_service.h"

namespace firtide::fleet
{

class Fleet
{
  public:
    // `config` must outlive the fleet. `incarnation`: higher than any that the member's disk has stored.
    Fleet(const FleetConfig& config, InstanceId instance, Incarnation incarnation, uint64_t seed);
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    // The effects must be executed in order.
    [[nodiscard]] std::vector<FleetEffect> reduce(TimePoint now, FleetEvent event);

    // The only place that decides whether an effect of a duty may be executed. To be called right before the
    // execution, with a clock read for this call.
    [[nodiscard]] bool lease_allows(TimePoint now, const std::string& duty, Epoch epoch,
                                    Duration duration) const
    {
        return context_.lease_client.holds(now + duration, duty, epoch);
    }
    [[nodiscard]] bool holds(TimePoint now, const std::string& duty) const
    {
        return context_.lease_client.held_epoch(now, duty).has_value();
    }

    [[nodiscard]] Incarnation incarnation() const { return context_.membership.incarnation(); }
    [[nodiscard]] const Membership& membership() const { return context_.membership; }
    [[nodiscard]] const LeaseClient& lease_client() const { return context_.lease_client; }
    [[nodiscard]] LeaseManager& lease_manager() { return lease_manager_; }
    [[nodiscard]] uint64_t fenced_effects() const { return context_.fenced_effects; }
    // The replica of the endpoint list; null without [deltas].
    [[nodiscard]] const EndpointReplica* replica() const { return endpoints_.replica(); }
    [[nodiscard]] EndpointReplica* replica_to_corrupt() { return endpoints_.replica_to_corrupt(); }

  private:
    void on(const StartupEvent&);
    void on(MessageReceived& received);
    void on(const Tick&);
    void on(VoterAgentReported& reported);
    void on(const AdminRequest& request);
    void on(const AdminDisconnected& disconnected);
    void on(EndpointListFetched& fetched) { endpoints_.on_fetched(fetched); }
    void on(ProbesCompleted& probes) { duties_.on_probes_completed(probes); }
    void on(const EffectRefused& refused) { duties_.on_effect_refused(refused); }
    void on(const ShutdownRequested&);
    void on(LocalObservations& observations) { choices_.on_observations(observations); }
    void on(SnapshotLoaded& loaded) { snapshots_.on_loaded(loaded); }
    void on(const SeedMembership& seed) { context_.membership.seed_members(*seed.members); }

    // ---- messages ----
    void handle(MemberIndex from, const Hello&);
    void handle(MemberIndex from, const Ping& ping);
    void handle(MemberIndex from, const IndirectProbeRequest& request);
    void handle(MemberIndex from, const IndirectProbeAck& ack);
    void handle(MemberIndex from, const MembershipUpdates& updates);
    void handle(MemberIndex from, RaftMessage& message);
    void handle(MemberIndex from, DiskReport& report);
    void handle(MemberIndex from, BootstrapConfig& config);
    void handle(MemberIndex from, const LeaseRenewRequest& request);
    void handle(MemberIndex from, const LeaseRenewResponse& response);
    void handle(MemberIndex from, const LeaderRedirect& redirect);
    void handle(MemberIndex from, const LeaseRevoke& revoke);
    void handle(MemberIndex from, const LeaseRelease& release);
    void handle(MemberIndex from, const AdminCommand& command);
    void handle(MemberIndex from, const AdminCommandResult& result);
    void handle(MemberIndex from, Broadcast& broadcast);
    void handle(MemberIndex from, const BroadcastRequest& request);
    void handle(MemberIndex from, const OutlierDigest& digest);
    void handle(MemberIndex from, const QuotaRequest& request);
    void handle(MemberIndex from, const QuotaResponse& response);
    void handle(MemberIndex from, const EndpointDelta& delta);
    void handle(MemberIndex from, const EndpointDeltaRequest& request);
    void handle(MemberIndex from, const EndpointSnapshotChunk& chunk);

    // ---- the voter agent ----
    void handle(SendRaftMessage& send);
    void handle(const BroadcastDiskReport& broadcast);
    void handle(const BroadcastBootstrapConfig& broadcast);
    void handle(LeaseTableUpdated& updated);
    void handle(const ProposalResult& result);
    void handle(VoterStatus& status);
    void handle(const DiskChecked& checked);
    void send_to_voters(const Message& message);
    void update_leadership(bool was_leader, Term last_term);

    // Turns the output of the components into effects. Messages to this member itself are handled at once.
    void collect_effects();
    bool deliver(std::vector<OutgoingMessage> sends);
    void on_lease_changed(const LeaseChange& change);
    void report_duplicate_identity();

    MemberKey leader_key() const;
    Term voter_term() const { return voter_status_ ? voter_status_->raft.term : 0; }

    // ---- show-fleet ----
    std::string status(const std::optional<TrafficCounts>& traffic) const;
    std::string own_status() const;
    std::string member_status(MemberIndex member) const;
    std::string duty_status(const Duty& duty) const;

    FleetContext context_;
    RandomEngine random_;
    LeaseManager lease_manager_;
    LeaseTable committed_table_;  // at a voter
    DutyBroadcasts broadcasts_;
    DutyRunner duties_;
    EndpointListService endpoints_;
    SharedChoices choices_;
    SnapshotService snapshots_;
    AdminService admin_;
    std::optional<VoterStatus> voter_status_;  // at a voter
    std::map<DiskId, MemberIndex> voter_of_disk_;
    bool reported_duplicate_ = false;
};

}  // namespace firtide::fleet
