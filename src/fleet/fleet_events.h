// What one member of a fleet is told (events) and what it wants done (effects). See Fleet.
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

// The first event, but for SnapshotLoaded.
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
// Names of AdminRequests that are not sent to other members.
inline constexpr const char* show_fleet = "show-fleet";
inline constexpr const char* show_recovery = "show-recovery";
inline constexpr const char* request_drain_permit = "drain-permit";
inline constexpr const char* return_drain_permit = "return-drain-permit";

// From the admin address: one of those above, or hand-over, let-in and put-out, which go to the leader under
// these names (see decode_fleet_command for what operators write).
struct AdminRequest {
    uint64_t caller = 0;
    std::string name, first, second;
    std::optional<TrafficCounts> traffic{};  // of the member's connections, where it has any
};
struct AdminDisconnected {
    uint64_t caller = 0;
};
// This member's own discovery has answered.
struct EndpointListFetched {
    std::string source;  // its address: versions of another source say nothing of this one's
    uint64_t version = 0;
    std::string full_text;                               // without [deltas]
    std::shared_ptr<const EndpointMap> texts = nullptr;  // with [deltas]
    // With [deltas]: all uids that can differ from the last answer; nothing: any.
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
// What this member has persisted, or why that is not used; nothing: there was none. Before StartupEvent.
struct SnapshotLoaded {
    std::variant<std::monostate, MemberSnapshot, SnapshotError> snapshot;
    std::optional<Duration> age;  // nothing: no clock can tell, for the machine has been restarted
};
// The members as a fleet at rest holds them. For simulations that don't begin with all unknown.
struct SeedMembership {
    std::shared_ptr<const std::vector<MemberState>> members;
};
using FleetEvent = std::variant<StartupEvent, MessageReceived, Tick, VoterAgentReported, AdminRequest,
                                AdminDisconnected, EndpointListFetched, ProbesCompleted, EffectRefused,
                                ShutdownRequested, LocalObservations, SnapshotLoaded, SeedMembership>;

// ---- effects of a duty ----

struct Publish {
    std::vector<Send> sends;
};
// Tells the program beside this balancer that its member holds the duty.
struct NotifySubscriber {
    std::string address;
    uint64_t number = 0;
    int64_t left_ms = 0;
};
// Probes those of the upstreams of this part whose turn is this slice of the period.
struct StartProbes {
    uint32_t part = 0, slice = 0;
};
struct StartDrain {
};
// The host passes it through Fleet::lease_allows with a clock read for it, and only then carries it out.
struct LeasedEffect {
    std::string duty;
    Epoch epoch = 0;
    Duration duration;  // for which the lease has to hold
    std::variant<Publish, NotifySubscriber, StartProbes, StartDrain> action;
};

// ---- other effects ----

struct CallVoterAgent {
    VoterAgentCall call;
};
// The permit to drain is over.
struct EndDrain {
};
struct SetDiscoveryPolling {
    bool on = false;
};
struct ApplyProbeReports {
    std::string duty;
    std::string reports;  // encoded ProbeReports
    Duration age;
};
// Who shares the upstreams.
struct ApplySubsetPeers {
    std::vector<SubsetPeer> peers;
};
struct ApplyOutlierReports {
    std::map<uint64_t, OutlierGossip::Verdict> verdicts;  // by upstream
};
struct ApplyQuotas {
    std::vector<QuotaLease> leases;
};
// What was persisted; its list is a hint.
struct ApplySnapshot {
    MemberSnapshot snapshot;
};
struct ApplyFleetState {
    FleetState state;
};
// Persists a snapshot in the place of the last one. The host adds what it knows of the machine.
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
        endpoint_list,
        fault,
    };

    Kind kind = Kind::fault;
    std::string subject, reason;
    uint64_t number = 0;  // an epoch, an incarnation or a term; zero: none
    std::string health;
    TimePoint until;  // lease_lost: when the lease ended, at the latest
};
// As it stands in the log.
const char* to_string(LogEvent::Kind kind);

using FleetEffect =
    std::variant<Send, CallVoterAgent, LeasedEffect, EndDrain, SetDiscoveryPolling, ApplyEndpointList,
                 ApplyProbeReports, Reply, LogEvent, ApplySubsetPeers, ApplyOutlierReports, ApplyQuotas,
                 ApplySnapshot, ApplyFleetState, WriteSnapshot>;

// ---- probes of the fleet ----

inline constexpr uint32_t probe_slices = 10;              // of a period
inline constexpr Duration probe_duration = seconds(0.3);  // until its answer, or its being given up

// What one probe has found; a broadcast of a probing duty holds a list of them.
struct ProbeReport {
    std::string upstream;  // uid
    bool success = false;
    std::string report;
    MSGPACK_DEFINE(upstream, success, report)
};

}  // namespace firtide::fleet
