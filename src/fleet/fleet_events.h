// Inputs (events) and outputs (effects) of one member of a fleet. See Fleet.
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
#include "src/fleet/startup/startup_sequencer.h"
#include "src/fleet/transport/traffic.h"

namespace firtide::fleet
{

// ---- events ----

// The first event, unless SnapshotLoaded precedes it.
struct StartupEvent {
};
struct MessageReceived {
    MemberIndex from = 0;
    Message message;
};
// Every 20 to 50 ms.
struct Tick {
};
struct VoterAgentReported {
    VoterAgentEffect effect;
};
// Names of AdminRequests that this member handles itself.
inline constexpr const char* show_fleet = "show-fleet";
inline constexpr const char* show_recovery = "show-recovery";
inline constexpr const char* request_drain_permit = "drain-permit";
inline constexpr const char* return_drain_permit = "return-drain-permit";

// A request from the admin address: one of the names above, or hand-over, let-in or put-out, which are sent
// to the leader under these names (see decode_fleet_command for the commands that operators type).
struct AdminRequest {
    uint64_t caller = 0;
    std::string name, first_argument, second_argument;
    std::optional<TrafficCounts> traffic{};  // of the member's connections, if it has any
};
struct AdminDisconnected {
    uint64_t caller = 0;
};
// A response of the discovery service that this member polls.
struct EndpointListFetched {
    std::string source;  // its address; versions of different sources are not comparable
    uint64_t version = 0;
    std::string full_text;                               // without [deltas]
    std::shared_ptr<const EndpointMap> texts = nullptr;  // with [deltas]
    // With [deltas]: all uids that may differ from the last response; absent: any may.
    std::optional<std::vector<std::string>> changed = std::nullopt;
};
struct ProbesCompleted {
    std::string duty;
    Epoch epoch = 0;
    std::string reports;  // encoded ProbeReports
};
// A receiver outside the fleet has seen a higher epoch of a duty.
struct EffectRefused {
    std::string duty;
    Epoch epoch = 0;
};
struct ShutdownRequested {
};
// The persisted snapshot of this member, the reason for which it is not used, or neither if there was none.
// Precedes StartupEvent.
struct SnapshotLoaded {
    std::variant<std::monostate, MemberSnapshot, SnapshotError> snapshot;
    std::optional<Duration> age;  // absent: unknown, because the machine was restarted
};
// Initial state of all members, for simulations that start from an established fleet.
struct SeedMembership {
    std::shared_ptr<const std::vector<MemberState>> members;
};
using FleetEvent = std::variant<StartupEvent, MessageReceived, Tick, VoterAgentReported, AdminRequest,
                                AdminDisconnected, EndpointListFetched, ProbesCompleted, EffectRefused,
                                ShutdownRequested, LocalObservations, SnapshotLoaded, SeedMembership>;

// ---- effects of a duty ----

struct Publish {
    std::vector<OutgoingMessage> sends;
};
// Tells the external program next to this balancer that this member holds the duty.
struct NotifySubscriber {
    std::string address;
    uint64_t number = 0;
    int64_t remaining_ms = 0;
};
// Probes the upstreams of one partition that are scheduled for this slice of the probe interval.
struct StartProbes {
    uint32_t shard = 0, slice = 0;
};
struct StartDrain {
};
// The host reads the clock, calls Fleet::lease_allows, and executes the action only if that permits it.
struct LeasedEffect {
    std::string duty;
    Epoch epoch = 0;
    Duration duration;  // for which the lease must remain valid
    std::variant<Publish, NotifySubscriber, StartProbes, StartDrain> action;
};

// ---- other effects ----

struct CallVoterAgent {
    VoterAgentCall call;
};
// The permit to drain was lost while it was still wanted.
struct EndDrain {
};
struct SetDiscoveryPolling {
    bool enabled = false;
};
struct ApplyProbeReports {
    std::string duty;
    std::string reports;  // encoded ProbeReports
    Duration age;
};
// The members among which the upstreams are divided into subsets.
struct ApplySubsetPeers {
    std::vector<SubsetPeer> peers;
};
struct ApplyOutlierReports {
    std::map<uint64_t, OutlierGossip::Verdict> verdicts;  // by upstream
};
struct ApplyQuotas {
    std::vector<QuotaLease> leases;
};
// The persisted snapshot. Its endpoint list is only a hint.
struct ApplySnapshot {
    MemberSnapshot snapshot;
};
struct ApplyFleetState {
    FleetState state;
};
// Replaces the persisted snapshot. The host adds the boot id of the machine.
struct WriteSnapshot {
    MemberSnapshot snapshot;
};
// The answer to an AdminRequest.
struct Reply {
    uint64_t caller = 0;
    std::string text;
};
struct LogEvent {
    enum class Kind : uint8_t {
        member_health,
        elected,
        stepped_down,
        lease_gained,
        lease_lost,
        voter_fault,
        disk_checked,
        endpoint_list,
        fault,
    };

    Kind kind = Kind::fault;
    std::string subject, reason;
    uint64_t number = 0;  // epoch, incarnation or term; zero: none
    std::string health;
    TimePoint until;  // lease_lost: the latest time at which the lease ended
};
// The name in the log.
const char* to_string(LogEvent::Kind kind);

using FleetEffect =
    std::variant<OutgoingMessage, CallVoterAgent, LeasedEffect, EndDrain, SetDiscoveryPolling,
                 ApplyEndpointList, ApplyProbeReports, Reply, LogEvent, ApplySubsetPeers, ApplyOutlierReports,
                 ApplyQuotas, ApplySnapshot, ApplyFleetState, WriteSnapshot>;

// ---- probes of the fleet ----

inline constexpr uint32_t probe_slices = 10;              // per probe interval
inline constexpr Duration probe_duration = seconds(0.3);  // until a probe is answered or times out

// The result of one probe. A broadcast of a probe duty carries a list of them.
struct ProbeReport {
    std::string upstream;  // uid
    bool success = false;
    std::string report;
    MSGPACK_DEFINE(upstream, success, report)
};

}  // namespace firtide::fleet
