// The state machine of the balancer: takes typed events and returns the effects to carry out. It calls the
// decision module, turns that module's calls of its BalancerDelegate into effects, and makes the last check
// before any write to an upstream. No I/O.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "memory_budget.h"
#include "request_id_registry.h"
#include "src/fleet/endpoints/endpoint_view.h"
#include "src/fleet/startup/startup_sequencer.h"
#include "src/http/message.h"

namespace firtide::net
{

using RequestId = uint64_t;          // a request of a caller
using AttemptId = uint64_t;          // a forward or a probe
using AdminConnectionId = uint64_t;  // a command at the management address
// Of a command that this program gives itself: nobody waits for its result.
inline constexpr AdminConnectionId no_admin_connection = 0;

// The lifecycle state that operators and readiness checks are told.
enum class ServingState { starting, ready, draining, stopping };

// Commands of operators.
enum class AdminCommand { ready, show_stat, show_resources, drain, resume };

// Outcomes of an operation's requests since this process started.
struct OutcomeCounts {
    uint64_t success = 0, busy = 0, failure = 0;
};

// `requests_received` is the sum of all outcomes, `inflight` and `requests_abandoned`.
struct ServiceStatistics {
    std::map<std::string, OutcomeCounts> outcomes_by_operation;
    uint64_t backend_calls = 0;  // completely written forwards, without probes
    uint64_t requests_received = 0, requests_abandoned = 0;
    size_t inflight = 0, hosts_listed = 0, hosts_down = 0;
};

// What this process holds, and what it had to give up for it.
struct ResourceStatistics {
    struct Metric {
        std::string name;
        uint64_t value = 0;
        bool is_counter = false;  // since this process started; otherwise the current value
    };
    std::vector<Metric> metrics;

    void add_gauge(std::string name, uint64_t value) { metrics.push_back({std::move(name), value, false}); }
    void add_counter(std::string name, uint64_t value) { metrics.push_back({std::move(name), value, true}); }
};

// An entry of the list of upstreams. What is unset or empty, the entry does not say.
struct ListedEndpoint {
    std::string uid, endpoint;
    EndpointPhase phase = EndpointPhase::gone;
    UpstreamLocation location;  // its zone may be one that the settings do not know
    double capacity = 1;
    std::optional<TimePoint> started_at;  // listed_long_ago: it says that this was long ago
};
inline constexpr TimePoint listed_long_ago{INT64_MIN / 2};

// Events.
struct ServiceStarted {
};
struct EndpointListUpdated {
    bool is_full = false;
    std::vector<ListedEndpoint> entries;
};
struct EndpointListRestored {  // from before this start; it may be outdated
    std::vector<ListedEndpoint> entries;
};
struct EndpointListFetchFailed {
};
struct RequestReceived {
    RequestId caller;
    Request request;
    bool half_closed = false;  // by its caller, some time ago
};
struct DownstreamDisconnected {
    RequestId caller;
};
struct DownstreamHalfClosed {  // the caller sends nothing more: it may still read, or has disconnected
    RequestId caller;
};
struct RequestChunkReceived {  // more of the body of a request that is streamed
    RequestId caller;
    std::string bytes;
    bool is_last = false;
    Duration read_delay = {};  // how long the last byte waited to be read
};
struct RequestStalled {  // it is incomplete and not being read; repeated for as long as that is so
    RequestId caller;
    Duration silent_for;  // since its last byte came, read or not
};
// Nearly all bytes handed over for the caller have been sent; of a response that was handed over completely,
// all.
struct ResponseDrained {
    RequestId caller;
};
struct UpstreamConnected {
    AttemptId attempt;
};
struct ResponseReceived {
    AttemptId attempt;
    Response response;
};
struct ResponseBegun {  // the first bytes of a response that is not complete
    AttemptId attempt;
};
struct ResponseStalled {  // nothing more has come for a while; repeated for as long as that is so
    AttemptId attempt;
};
struct ResponseChunkReceived {  // more of the body of a response that is relayed
    AttemptId attempt;
    std::string bytes;
    bool is_last = false;
};
struct AttemptFailed {
    AttemptId attempt;
    ConnectionError error;
};
struct RequestWritten {  // all bytes handed over for the attempt have been sent
    AttemptId attempt;
};
struct RequestRejected {  // after its head was read, because there was no memory for its body
    uint32_t operation = 0, config_version = 0;
};
struct AdminCommandReceived {
    AdminConnectionId connection;
    AdminCommand command;
};
struct TimerFired {
    uint64_t timer_id;
};
struct ProcessCountChanged {  // how many processes of this balancer share its memory and descriptors
    size_t process_count = 1;
};
struct ShutdownStarted {
    bool other_process_listening = false;  // serves at the same listening socket
};
// The probes of a fleet duty: of the upstreams in this shard and time slice. Their writes carry the fencing
// token.
struct ProbesDue {
    uint32_t shard = 0, shard_count = 1, slice = 0, slice_count = 1;
    uint64_t fencing_token = 0;
};
struct ProbeReportReceived {  // of a probe made by another balancer
    std::string uid;
    bool success = false;
    std::string load_report;
};
struct ConfigReloaded {  // while serving
    std::string discovery_address;
    std::optional<ServiceConfig> service_config;  // only if the settings have changed
};
// Events of the fleet that this balancer is a member of.
struct SubsetPeersUpdated {
    std::vector<fleet::SubsetPeer> peers;
};
struct OutlierReportsUpdated {
    std::map<uint64_t, fleet::OutlierGossip::Verdict> verdicts;
};
struct QuotasUpdated {
    std::vector<fleet::QuotaLease> leases;
};
struct SnapshotRestored {  // saved before this start
    fleet::MemberSnapshot snapshot;
};
struct FleetStateUpdated {
    fleet::FleetState state;
};
struct Tick {  // about every 0.1 s, as a member of a fleet
};
using Event =
    std::variant<ServiceStarted, EndpointListUpdated, EndpointListRestored, EndpointListFetchFailed,
                 RequestReceived, DownstreamDisconnected, DownstreamHalfClosed, RequestChunkReceived,
                 RequestStalled, ResponseBegun, ResponseStalled, ResponseDrained, UpstreamConnected,
                 ResponseReceived, ResponseChunkReceived, AttemptFailed, RequestWritten, RequestRejected,
                 AdminCommandReceived, TimerFired, ProcessCountChanged, ShutdownStarted, ConfigReloaded,
                 ProbesDue, ProbeReportReceived, SubsetPeersUpdated, OutlierReportsUpdated, QuotasUpdated,
                 SnapshotRestored, FleetStateUpdated, Tick>;

// Effects.
struct SendResponse {
    RequestId caller;
    Response response;
    bool close_connection = false;
};
struct ConnectUpstream {  // get a connection and report UpstreamConnected; report AttemptFailed if there is
                          // no response within the timeout
    AttemptId attempt;
    UpstreamId upstream_id;
    std::string endpoint;
    Duration timeout;
};
struct WriteUpstream {
    AttemptId attempt;
    std::string bytes;
    bool request_incomplete = false;  // more of the request follows
    uint64_t fencing_token = 0;       // of the fleet duty that it is written for; 0: none
};
struct SetAttemptTimeout {  // replaces the timeout of a running attempt
    AttemptId attempt;
    Duration timeout;
};
struct SendResponseChunk {  // part of the body of a relayed response
    RequestId caller;
    std::string bytes;
    bool is_last = false;
};
struct AbortResponse {  // ends a response that cannot be completed, so that its caller can tell
    RequestId caller;
};
struct SetRequestReading {  // resumes or pauses reading a request from its caller
    RequestId caller;
    bool enabled = false;
};
struct SetResponseReading {  // resumes or pauses reading a response from its upstream
    AttemptId attempt;
    bool enabled = false;
};
struct CloseUpstream {
    AttemptId attempt;
};
struct CancelWrite {  // takes back what was handed over if none of it has been sent; then AttemptFailed
                      // follows
    AttemptId attempt;
};
struct CloseIdle {
    UpstreamId upstream_id;
};
struct StartTimer {
    TimePoint at;
    uint64_t timer_id;
};
struct WatchEndpointList {
};
struct MoveEndpointWatch {  // to another address; what the previous one still sends is ignored
    std::string discovery_address;
};
struct ProbeCompleted {  // for the other balancers of the fleet
    uint64_t fencing_token = 0;
    std::string uid;
    bool success = false;
    std::string load_report;
};
struct AdminCommandResult {  // the response to an operator
    AdminConnectionId connection;
    bool success = false;
    ServingState serving_state = ServingState::starting;
    std::optional<ServiceStatistics> statistics;
    std::optional<ResourceStatistics> resources = {};  // begun here, completed by the components with I/O
};
using fleet::LocalObservations;  // for the fleet
using Effect = std::variant<SendResponse, SendResponseChunk, AbortResponse, SetRequestReading,
                            ConnectUpstream, WriteUpstream, SetAttemptTimeout, SetResponseReading,
                            CloseUpstream, CancelWrite, CloseIdle, StartTimer, WatchEndpointList,
                            MoveEndpointWatch, AdminCommandResult, ProbeCompleted, LocalObservations>;

// FNV-1a, the same at every instance, independent of the order in which upstreams become known.
uint64_t hash_uid(std::string_view uid);

class Reducer : private BalancerDelegate
{
  public:
    // `config` is shared with all components; new settings are written to it. `memory`: of all components;
    // without it, memory is not limited. `request_ids`: of all processes of this balancer; without it, this
    // is the only process.
    Reducer(ServiceConfig& config, uint64_t seed, std::string discovery_address,
            MemoryBudget* memory = nullptr, RequestIdRegistry* request_ids = nullptr);

    // Makes this balancer a member of a fleet: what the decision module is shown of the upstreams then
    // follows the choices of all members. To be called before the first event.
    void join_fleet(fleet::EndpointView::Config config);
    // Makes the start of such a member staged, with what its snapshot holds.
    void enable_staged_startup(fleet::StartupConfig config) { startup_.emplace(config); }

    // Limits how many large messages are passed on at once. Each holds a connection to an upstream for as
    // long as its client takes it.
    void set_max_transfers(size_t max_transfers) { max_transfers_ = max_transfers; }

    // The effects must be carried out in their order.
    std::vector<Effect> reduce(TimePoint now, Event event);

    ServingState serving_state() const;
    bool ready() const
    {
        return serving_state() == ServingState::ready &&
               (!startup_ || list_received_ || startup_->is_ready());
    }
    // Whether it has been draining or stopping long enough that each response is the last on its connection
    // and idle connections may be closed.
    bool should_close_connections(TimePoint now) const;
    // Requests received after the stop signal are answered within this time after the signal.
    Duration shutdown_response_time() const;
    ServiceStatistics statistics();
    size_t upstream_slot_count() const { return upstreams_.size(); }
    size_t in_flight() const { return invocation_of_.size() + relays_.size(); }

  private:
    // A request, from its arrival until the decision module releases it.
    struct Invocation {
        RequestId caller = 0;
        bool finished = true;
        Request request;
        std::vector<AttemptId> attempts;
        std::vector<UpstreamId> forwarded_to;
        OutcomeCounts* outcomes = nullptr;
        // For a request that is forwarded while it is being received.
        std::optional<AttemptId> streaming_attempt;
        size_t unwritten_bytes = 0;
        TimePoint chunk_received_at;
        bool overdue = false;         // its client's time is over before all of it was read
        bool may_run_twice = false;   // as it was on acceptance
        bool run_recorded = false;    // of one that must not run twice: its bytes may have been sent
        bool body_discarded = false;  // bytes were sent that are no longer held: it cannot be sent again
        bool has_relay = false;       // the response of one of its attempts is being relayed
        std::optional<TimePoint> half_closed_at;  // its caller sends nothing more
        MemoryReservation memory;
    };
    // A response that is too large to buffer, while it is relayed in chunks. The decision module knows its
    // attempt as succeeded: no other attempt can provide the response any more.
    struct Relay {
        RequestId caller = 0;
        std::string request_id;
        OutcomeCounts* outcomes = nullptr;
        size_t unsent_bytes = 0;
        bool reading_paused = false, fully_received = false;
        TimePoint taken_at;  // when its client last took what was there
    };
    // A forward or probe in progress.
    struct Attempt {
        std::optional<InvocationId> invocation_id;  // none: a probe
        uint32_t forward_index = 0;
        UpstreamId upstream_id = 0;
        std::string endpoint;
        TimePoint started_at, deadline;
        bool counted_as_written = false;
        uint64_t fencing_token = 0;  // of a fleet duty's probe
        bool counted_as_stalled = false;
        // Of the upstream, when the attempt was started.
        uint32_t upstream_incarnation = 0;
        UpstreamLocation location = {};
    };
    // Its slot is reused for another upstream once it has gone and nothing refers to it any more.
    struct Upstream {
        std::string uid, endpoint;
        size_t reference_count = 0;  // invocations and probes
        EndpointPhase phase = EndpointPhase::gone;
        // As last listed while it was ready; an entry that it drains or is gone may say less.
        UpstreamLocation location;
        double capacity = 1;
        std::optional<TimePoint> started_at;  // unset: long ago
        bool has_assumed_start = false;       // started_at was not listed
        uint32_t incarnation = 0;             // counts the processes that were known under this uid
    };

    void on(ServiceStarted);
    void on(EndpointListUpdated& event);
    void on(EndpointListRestored& event);
    void on(EndpointListFetchFailed);
    void on(RequestReceived& event);
    void on(DownstreamDisconnected event);
    void on(DownstreamHalfClosed event);
    void on(RequestChunkReceived& event);
    void on(RequestStalled event);
    void on(ResponseBegun event);
    void on(ResponseStalled event);
    void on(ResponseDrained event);
    void on(UpstreamConnected event);
    void on(ResponseReceived& event);
    void on(ResponseChunkReceived& event);
    void on(AttemptFailed event);
    void on(RequestWritten event);
    void on(RequestRejected event);
    void on(AdminCommandReceived event);
    ResourceStatistics resource_statistics() const;
    void on(TimerFired event);
    void on(ProcessCountChanged event);
    void on(ShutdownStarted event);
    void on(ConfigReloaded& event);
    void on(ProbesDue event);
    void on(const ProbeReportReceived& event);
    void on(SubsetPeersUpdated& event);
    void on(const OutlierReportsUpdated& event);
    void on(const QuotasUpdated& event);
    void on(Tick);
    void on(const SnapshotRestored& event);
    void on(const FleetStateUpdated& event);

    void publish_endpoints(const std::vector<EndpointState>& endpoints, bool is_full);
    void update_view();
    double reduction(UpstreamId upstream_id) { return balancer_.reduction(now_, upstream_id); }
    bool take_forward_budgets(uint32_t forward_index, UpstreamId upstream_id);
    std::optional<Duration> tenant_rate_retry_after(const Request& request);
    bool reject_at_admission(RequestReceived& event);
    bool reject_repeated_id(const RequestReceived& event, OutcomeCounts& outcomes);
    bool record_run(Invocation& invocation);
    void end_repeated_invocation(AttemptId id, InvocationId invocation_id);
    void update_startup();
    void add_snapshot_data(LocalObservations& observations);
    double value_rank_of(uint32_t operation) const;

    void apply_config(ServiceConfig config);
    UpstreamId find_or_add_upstream(const std::string& uid);
    std::vector<EndpointState> update_upstreams(const std::vector<ListedEndpoint>& entries, bool is_full);
    void apply_entry(UpstreamId upstream_id, const ListedEndpoint& entry);
    UpstreamLocation location_of(const Upstream& upstream) const;
    EndpointState endpoint_state(UpstreamId upstream_id) const;
    void republish_endpoints();
    void cancel_unwritten_attempts();
    bool is_still_valid(const Attempt& attempt);
    size_t endpoint_bytes() const;
    void start_attempt(AttemptId id, Attempt attempt);
    bool may_write(const Attempt& attempt);
    bool is_same_process(const Attempt& attempt) const;
    void end_probe(const Attempt& attempt, AttemptResult result, const Response* response);
    bool may_run_twice(const Request& request) const;
    bool may_start_attempt(const Invocation& invocation) const;
    void limit_time_left_at_shutdown(Request& request) const;
    OutcomeCounts& outcomes_of(uint32_t operation);
    void end_attempt(AttemptId id, AttemptResult result, Response* response);
    void respond(InvocationId invocation_id, Response response);
    size_t relay_window_bytes() const;
    void resume_request_reading(const Invocation& invocation);
    size_t transfers() const { return relays_.size() + streamed_requests_; }
    bool has_room_for_transfer();
    bool end_stuck_relay();
    bool end_stuck_request();
    bool start_relay(AttemptId id);  // false: there is no room for it
    void end_relay(AttemptId id, uint64_t OutcomeCounts::*outcome);
    void finish(Invocation& invocation);

    void forward(InvocationId invocation_id, UpstreamId upstream_id, Duration timeout) override;
    void throttle(InvocationId invocation_id, Duration retry_after) override;
    void fail(InvocationId invocation_id) override;
    void cancel_forward(InvocationId invocation_id, uint32_t forward) override;
    void set_forward_timeout(InvocationId invocation_id, uint32_t forward, Duration timeout) override;
    void give_up_forward(InvocationId invocation_id, uint32_t forward) override;
    void release_invocation(InvocationId invocation_id) override;
    void start_timer(TimePoint time, uint64_t timer_id) override;
    void probe(UpstreamId upstream_id) override;
    void close_idle_connections(UpstreamId upstream_id) override;
    void watch_endpoint_list() override;
    void broadcast(const std::string&) override {}  // no other instance is known here

    ServiceConfig& config_;
    MemoryBudget unlimited_memory_{SIZE_MAX};
    MemoryBudget& memory_;
    MemoryReservation endpoint_memory_;
    size_t streamed_requests_ = 0;  // forwarded while being received
    size_t max_transfers_ = SIZE_MAX, process_count_ = 1;
    TimePoint now_;
    std::vector<Effect> effects_;
    // Of attempts that ended here; the decision module is told once it has returned.
    std::deque<std::pair<AttemptId, AttemptResult>> unreported_results_;
    std::vector<Invocation> invocations_;
    std::vector<InvocationId> free_invocations_;
    std::unordered_map<RequestId, InvocationId> invocation_of_;
    std::unique_ptr<RequestIdRegistry> own_request_ids_;  // unless it was given one
    RequestIdRegistry& request_ids_;
    std::unordered_map<AttemptId, Attempt> attempts_;
    std::unordered_map<AttemptId, Relay> relays_;
    std::unordered_map<RequestId, AttemptId> relay_of_;
    AttemptId next_attempt_ = 1;
    std::vector<Upstream> upstreams_;
    std::unordered_map<std::string, UpstreamId> upstream_of_;
    bool has_listed_upstreams_ = false;
    std::optional<TimePoint> stopped_at_, drained_at_;
    bool other_process_listening_ = false;
    std::map<std::string, OutcomeCounts> outcomes_;
    uint64_t repeated_ids_ = 0, responses_stalled_ = 0, responses_given_up_ = 0, requests_stalled_ = 0;
    uint64_t backend_calls_ = 0, requests_received_ = 0, requests_abandoned_ = 0;
    std::string discovery_address_;
    std::optional<fleet::EndpointView> view_;      // only as a member of a fleet
    std::vector<EndpointState> listed_endpoints_;  // by slot; only with view_
    double subset_peer_count_ = 0;
    std::optional<fleet::StartupSequencer> startup_;
    std::unordered_set<std::string> possibly_executed_ids_;  // before this start
    bool list_received_ = false;
    uint64_t successes_since_update_ = 0;
    double goodput_ = 0;  // successful requests a second, smoothed
    TimePoint goodput_updated_at_;
    Balancer balancer_;
};

}  // namespace firtide::net
