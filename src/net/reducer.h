// All changes of state: a typed event in, effects out. It calls the decision module, whose Outlet becomes
// effects, and stands at the one place that every write to an upstream passes. It does no input or output.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "src/fleet/endpoints/endpoint_view.h"
#include "src/fleet/startup/startup_sequencer.h"
#include "src/http/message.h"

namespace firtide::net
{

using RequestId = uint64_t;          // one request of a caller
using AttemptId = uint64_t;          // one forward or probe
using AdminConnectionId = uint64_t;  // one call at the management address

// One lifecycle, which all that tells or asks of it reads.
enum class ServingState { starting, ready, draining, stopping };

// What operators may ask for.
enum class AdminCommand { ready, show_stat, drain, resume };

// Requests of one operation, from the start of this process.
struct OutcomeCounts {
    uint64_t success = 0, busy = 0, failure = 0;
};

// `taken` is the sum of all outcomes, of what is in flight and of what its caller left.
struct ServiceStatistics {
    std::map<std::string, OutcomeCounts> outcomes_by_operation;
    uint64_t backend_calls = 0;  // forwards written whole; probes are none
    uint64_t requests_received = 0, requests_abandoned = 0;
    size_t inflight = 0, hosts_listed = 0, hosts_down = 0;
};

// A line of the list of upstreams.
struct ListedEndpoint {
    std::string uid, endpoint;
    EndpointPhase phase = EndpointPhase::gone;
    uint32_t zone = 0, cell = 0;
    double capacity = 1;
    std::optional<TimePoint> started_at;
};

// Events.
struct ServiceStarted {
};
struct EndpointListUpdated {
    bool is_full = false;
    std::vector<ListedEndpoint> entries;
};
struct EndpointListRestored {  // from before this start; it may be old
    std::vector<ListedEndpoint> entries;
};
struct EndpointListFetchFailed {
};
struct RequestReceived {
    RequestId caller;
    Request request;
    bool half_closed = false;  // by its caller, and a while ago
};
struct DownstreamDisconnected {
    RequestId caller;
};
struct DownstreamHalfClosed {  // the caller sends nothing more: it listens, or has gone
    RequestId caller;
};
struct RequestChunkReceived {  // more of a request's body
    RequestId caller;
    std::string bytes;
    bool is_last = false;
    Duration read_delay = {};  // the last byte, unread
};
// To the caller: nearly all that was passed on to it; of an answer that was passed on whole, all.
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
struct ResponseChunkReceived {  // more of the body of an answer that is passed on
    AttemptId attempt;
    std::string bytes;
    bool is_last = false;
};
struct AttemptFailed {
    AttemptId attempt;
    ConnectionError error;
};
struct RequestWritten {  // all that was handed over for it has left
    AttemptId attempt;
};
struct RequestRejected {  // before its body, with its head read: there was no room for it
    uint32_t operation = 0, config_version = 0;
};
struct AdminCommandReceived {
    AdminConnectionId connection;
    AdminCommand command;
};
struct TimerFired {
    uint64_t timer_id;
};
struct ProcessCountChanged {  // memory and descriptors, among so many processes of this balancer
    size_t process_count = 1;
};
struct ShutdownStarted {
    bool other_process_listening = false;  // at the same listening socket
};
// A duty's probes: of the upstreams of this part and slice of the fleet's. What they leave with is the stamp.
struct ProbesDue {
    uint32_t shard = 0, shard_count = 1, slice = 0, slice_count = 1;
    uint64_t fencing_token = 0;
};
struct ProbeReportReceived {  // of a probe that another balancer has made
    std::string uid;
    bool success = false;
    std::string load_report;
};
struct ConfigReloaded {  // the configuration, while serving
    std::string discovery_address;
    std::optional<ServiceConfig> service_config;  // where the settings are others
};
// Of the fleet that this balancer is a member of.
struct SubsetPeersUpdated {
    std::vector<fleet::SubsetPeer> peers;
};
struct OutlierReportsUpdated {
    std::map<uint64_t, fleet::OutlierGossip::Verdict> verdicts;
};
struct QuotasUpdated {
    std::vector<fleet::QuotaLease> leases;
};
struct SnapshotRestored {  // from before this start
    fleet::MemberSnapshot snapshot;
};
struct FleetStateUpdated {
    fleet::FleetState state;
};
struct Tick {  // every tenth of a second or so, as a member of a fleet
};
using Event =
    std::variant<ServiceStarted, EndpointListUpdated, EndpointListRestored, EndpointListFetchFailed,
                 RequestReceived, DownstreamDisconnected, DownstreamHalfClosed, RequestChunkReceived,
                 ResponseDrained, UpstreamConnected, ResponseReceived, ResponseChunkReceived, AttemptFailed,
                 RequestWritten, RequestRejected, AdminCommandReceived, TimerFired, ProcessCountChanged,
                 ShutdownStarted, ConfigReloaded, ProbesDue, ProbeReportReceived, SubsetPeersUpdated,
                 OutlierReportsUpdated, QuotasUpdated, SnapshotRestored, FleetStateUpdated, Tick>;

// Effects.
struct SendResponse {
    RequestId caller;
    Response response;
    bool close_connection = false;
};
struct ConnectUpstream {  // get a connection, then say Connected; Failed where there is no answer within the
                          // limit
    AttemptId attempt;
    UpstreamId upstream_id;
    std::string endpoint;
    Duration timeout;
};
struct WriteUpstream {
    AttemptId attempt;
    std::string bytes;
    bool request_incomplete = false;  // of the request follows
    uint64_t fencing_token = 0;       // of the duty that it is an effect of; zero: of none
};
struct SetAttemptTimeout {  // of an attempt that is out, anew
    AttemptId attempt;
    Duration timeout;
};
struct SendResponseChunk {  // a piece of an answer
    RequestId caller;
    std::string bytes;
    bool is_last = false;
};
struct AbortResponse {  // an answer that cannot be finished, so that its caller can tell
    RequestId caller;
};
struct SetRequestReading {  // more of a request from its caller, or for now no more
    RequestId caller;
    bool enabled = false;
};
struct SetResponseReading {  // more of an answer from its upstream, or for now no more
    AttemptId attempt;
    bool enabled = false;
};
struct CloseUpstream {
    AttemptId attempt;
};
struct CancelWrite {  // what was handed over, as long as none of it has left; then Failed follows
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
struct MoveEndpointWatch {  // to another address; what the last one says from now on is nothing
    std::string discovery_address;
};
struct ProbeCompleted {  // for the other balancers
    uint64_t fencing_token = 0;
    std::string uid;
    bool success = false;
    std::string load_report;
};
struct AdminCommandResult {  // or not, as the answer to an operator
    AdminConnectionId connection;
    bool success = false;
    ServingState serving_state = ServingState::starting;
    std::optional<ServiceStatistics> statistics;
};
using fleet::LocalObservations;  // for the fleet
using Effect = std::variant<SendResponse, SendResponseChunk, AbortResponse, SetRequestReading,
                            ConnectUpstream, WriteUpstream, SetAttemptTimeout, SetResponseReading,
                            CloseUpstream, CancelWrite, CloseIdle, StartTimer, WatchEndpointList,
                            MoveEndpointWatch, AdminCommandResult, ProbeCompleted, LocalObservations>;

// The same at every instance, whatever the order in which upstreams are met.
uint64_t hash_uid(std::string_view uid);

class Reducer : private BalancerDelegate
{
  public:
    // The setup is the one that all parts read; new settings are put there. room: bytes of messages that are
    // passed on, together.
    Reducer(ServiceConfig& setup, uint64_t seed, std::string discovery, size_t room = size_t{1} << 30);

    // As a member of a fleet: what the module is shown follows the choices of all. Before the first event.
    void join_fleet(fleet::EndpointView::Config rules);
    // And its return is in stages, with what it remembers.
    void enable_staged_startup(fleet::StartupConfig rule) { recovery_.emplace(rule); }

    // The effects are to be carried out in their order.
    std::vector<Effect> reduce(TimePoint now, Event event);

    ServingState serving_state() const;
    bool ready() const
    {
        return serving_state() == ServingState::ready && (!recovery_ || list_told_ || recovery_->is_ready());
    }
    // Draining or stopping for so long that each answer is the last on its connection and idle ones may go.
    bool should_close_connections(TimePoint now) const;
    // What comes after the signal to stop has its answer within this after it.
    Duration shutdown_response_time() const;
    ServiceStatistics statistics();
    size_t upstream_slot_count() const { return upstreams_.size(); }  // for upstreams
    size_t in_flight() const { return invocation_of_.size() + relays_.size(); }

  private:
    // Lives from arrival until the module lets go of it.
    struct Invocation {
        RequestId caller = 0;
        bool over = true;
        Request request;
        std::vector<AttemptId> attempts;
        std::vector<UpstreamId> met;  // upstreams it was forwarded to
        OutcomeCounts* outcomes = nullptr;
        // Of a request that is passed on while it comes.
        std::optional<AttemptId> goes_to;
        size_t on_way = 0;
        bool spent = false;  // bytes have gone that are not held any more: it cannot be sent again
        bool bound = false;  // to an attempt whose answer is being passed on
        std::optional<TimePoint> half_closed;  // by its caller
        Duration window;                       // in which a repeat is recognised; zero: no such limit
        TimePoint first_sent;                  // the first of its forwards
    };
    // Lives while an answer is passed on that is too large to be taken in whole. The module knows it as
    // succeeded: nothing but this attempt can be the answer any more.
    struct Relay {
        RequestId caller = 0;
        std::string id;
        OutcomeCounts* outcomes = nullptr;
        size_t on_way = 0;
        bool held = false, all_came = false;
    };
    // Lives as long as one forward or probe.
    struct Attempt {
        std::optional<InvocationId> inv;  // none: a probe
        uint32_t nth = 0;
        UpstreamId upstream_id = 0;
        std::string endpoint;
        TimePoint sent, until;
        bool counted = false;                      // as written whole
        uint64_t stamp = 0;                        // of a duty's probe
        std::optional<TimePoint> written_by = {};  // its first byte; later it is no repeat any more
    };
    // Lives until its place is wanted for another, and nothing refers to it any more.
    struct Upstream {
        std::string uid, endpoint;
        size_t referred = 0;  // by invocations and probes
        EndpointPhase phase = EndpointPhase::gone;
    };

    void on(ServiceStarted);
    void on(EndpointListUpdated& told);
    void on(EndpointListRestored& told);
    void on(EndpointListFetchFailed);
    void on(RequestReceived& arrived);
    void on(DownstreamDisconnected left);
    void on(DownstreamHalfClosed closed);
    void on(RequestChunkReceived& piece);
    void on(ResponseDrained taken);
    void on(UpstreamConnected connected);
    void on(ResponseReceived& answered);
    void on(ResponseChunkReceived& came);
    void on(AttemptFailed failed);
    void on(RequestWritten written);
    void on(RequestRejected turned);
    void on(AdminCommandReceived ordered);
    void on(TimerFired woken);
    void on(ProcessCountChanged shared);
    void on(ShutdownStarted stopping);
    void on(ConfigReloaded& read);
    void on(ProbesDue due);
    void on(const ProbeReportReceived& heard);
    void on(SubsetPeersUpdated& fleet);
    void on(const OutlierReportsUpdated& told);
    void on(const QuotasUpdated& parts);
    void on(Tick);
    void on(const SnapshotRestored& remembered);
    void on(const FleetStateUpdated& fleet);

    void listed(const std::vector<EndpointState>& listings, bool all);
    void show();
    double reduction(UpstreamId upstream_id) { return balancer_.reduction(now_, upstream_id); }
    bool within_budgets(uint32_t nth, UpstreamId upstream_id);
    std::optional<Duration> over_rate(const Request& request);
    bool turned_away(RequestReceived& arrived);
    void look_at_return();
    void remember(LocalObservations& observed);
    double rank_of(uint32_t operation) const;

    void settings_are(ServiceConfig setup);
    UpstreamId place_of(const std::string& uid);
    std::vector<EndpointState> listings(const std::vector<ListedEndpoint>& entries, bool all);
    void dial(AttemptId id, Attempt attempt);
    bool may_write(const Attempt& attempt) const;
    bool may_begin(const Invocation& i) const;
    void bound_by_stop(Request& request) const;
    OutcomeCounts& outcomes_of(uint32_t operation);
    void ended(AttemptId id, AttemptResult result, Response* response);
    void answer(InvocationId inv, Response response);
    size_t most_on_way() const;
    void hear(const Invocation& i);
    void bind(AttemptId id);
    void relayed(AttemptId id, uint64_t OutcomeCounts::*as);
    void over(Invocation& i);

    void forward(InvocationId inv, UpstreamId upstream_id, Duration limit) override;
    void throttle(InvocationId inv, Duration retry_after) override;
    void fail(InvocationId inv) override;
    void cancel_forward(InvocationId inv, uint32_t forward) override;
    void set_forward_timeout(InvocationId inv, uint32_t forward, Duration limit) override;
    void release_invocation(InvocationId inv) override;
    void start_timer(TimePoint at, uint64_t name) override;
    void probe(UpstreamId upstream_id) override;
    void close_idle_connections(UpstreamId upstream_id) override;
    void watch_endpoint_list() override;
    void broadcast(const std::string&) override {}  // no other instance is known here

    ServiceConfig& setup_;
    const size_t all_room_;
    size_t room_, sending_ = 0;  // sending: requests that are passed on while they come
    TimePoint now_;
    std::vector<Effect> effects_;
    std::deque<std::pair<AttemptId, AttemptResult>>
        settled_;  // here; told to the module once it has returned
    std::vector<Invocation> invocations_;
    std::vector<InvocationId> free_;
    std::unordered_map<RequestId, InvocationId> invocation_of_;
    std::unordered_set<std::string> open_ids_;  // of what is not answered yet
    std::unordered_map<AttemptId, Attempt> attempts_;
    std::unordered_map<AttemptId, Relay> relays_;
    std::unordered_map<RequestId, AttemptId> relay_of_;
    AttemptId next_attempt_ = 1;
    std::vector<Upstream> upstreams_;
    std::unordered_map<std::string, UpstreamId> upstream_of_;
    bool listed_ = false;
    std::optional<TimePoint> stopped_, drained_;  // since then
    bool another_serves_ = false;
    std::map<std::string, OutcomeCounts> outcomes_;
    uint64_t backend_calls_ = 0, taken_ = 0, left_ = 0;
    std::string discovery_;
    std::optional<fleet::EndpointView> view_;  // as a member of a fleet with choices that add up
    std::vector<EndpointState> real_;          // by place, where there is one
    double sharers_ = 0;
    std::optional<fleet::StartupSequencer> recovery_;
    std::unordered_set<std::string> may_have_run_;  // before this start, by id
    bool list_told_ = false;
    uint64_t went_well_ = 0;
    double well_rate_ = 0;  // a second
    TimePoint well_at_;
    Balancer balancer_;
};

}  // namespace firtide::net
