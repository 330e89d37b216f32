// The interface of the decision module: calls in, an Outlet for what it decides.
//
// One Balancer decides for one instance. The host calls it with what happened, in order, each time with the
// clock; the Balancer answers through the Outlet before the call returns. Invocations and upstreams are small
// indices chosen by the host: an invocation's index may be used again after released(), an upstream's once it
// is gone and no invocation that was forwarded to it is left.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings.h"
#include "src/base/time.h"

namespace firtide
{

using InvocationId = uint32_t;
using UpstreamId = uint32_t;

// Unusable: the upstream found fault with the invocation itself, which says nothing of the upstream.
enum class AttemptResult {
    succeeded,
    errored,
    declined,
    timed_out,
    unreachable,
    reset,
    cancelled,
    not_sent,
    invalid_request
};
enum class EndpointPhase { gone, ready, draining };

struct EndpointState {
    UpstreamId upstream_id = 0;
    uint64_t global_id = 0;  // the same at every instance
    EndpointPhase phase = EndpointPhase::gone;
    uint32_t zone = 0;
    uint32_t cell = 0;
    double capacity = 1;
    std::optional<TimePoint> started_at;  // absent: long ago
    uint32_t machine_type = 0;            // of machine
};

struct LoadReport {
    std::optional<double> queue_length;
    std::optional<double> in_flight;
    std::optional<double> utilisation;
    std::optional<double> mean_latency_ms;
    std::optional<double> errors_per_second;
};

struct InvocationRequest {
    uint32_t operation = 0;
    uint32_t tenant = 0;
    Duration time_left;          // from its last byte
    bool is_incomplete = false;  // that has not come yet: sent() will tell of it
    uint64_t subject_key = 0;    // of its subject: those with the same go together; 0: none
};

// Where each of some things was before; none: it is new.
using IndexMapping = std::vector<std::optional<uint32_t>>;

class BalancerDelegate
{
  public:
    virtual ~BalancerDelegate() = default;
    virtual void forward(InvocationId inv, UpstreamId upstream_id, Duration limit) = 0;
    virtual void throttle(InvocationId inv, Duration retry_after) = 0;
    virtual void fail(InvocationId inv) = 0;
    virtual void cancel_forward(InvocationId inv, uint32_t forward) = 0;
    virtual void set_forward_timeout(InvocationId inv, uint32_t forward,
                                     Duration limit) = 0;  // of one that is out, anew
    virtual void release_invocation(InvocationId inv) = 0;
    virtual void start_timer(TimePoint at, uint64_t name) = 0;
    virtual void probe(UpstreamId upstream_id) = 0;
    virtual void close_idle_connections(UpstreamId upstream_id) = 0;  // connections
    virtual void watch_endpoint_list() = 0;
    virtual void broadcast(const std::string& message) = 0;  // every other instance; it may be lost
};

class Balancer
{
  public:
    Balancer(Settings settings, uint64_t seed, BalancerDelegate& outlet);
    ~Balancer();

    void start(TimePoint now);
    // New settings, from now on. What is open finishes under its operation as it was when accepted, and under
    // the stricter of both settings where these differ.
    void update_settings(TimePoint now, Settings settings, const IndexMapping& operations,
                         const IndexMapping& tenants);
    void set_endpoints(TimePoint now, const std::vector<EndpointState>& all);
    void update_endpoints(TimePoint now, const std::vector<EndpointState>& changes);
    void on_endpoint_list_fetched(TimePoint now, bool well);
    void accept(TimePoint now, InvocationId inv, const InvocationRequest& ask);
    void on_request_complete(TimePoint now, InvocationId inv,
                             Duration time_left);  // the last byte of a request has come
    void on_forward_ended(TimePoint now, InvocationId inv, uint32_t forward, AttemptResult result,
                          Duration took, bool over, const LoadReport& report);
    void on_client_disconnected(TimePoint now, InvocationId inv);
    void on_probe_completed(TimePoint now, UpstreamId upstream_id, AttemptResult result,
                            const LoadReport& report);
    void on_timer_fired(TimePoint now, uint64_t name);
    void on_peer_message(TimePoint now, uint32_t peer, std::string_view message);  // by another instance
    double reduction(TimePoint now, UpstreamId upstream_id);  // of its entry, 1 where it stands still
    void set_subset_fraction(double part);  // what is listed is so much of what all balancers share

  private:
    struct State;
    State& at(TimePoint now);
    std::unique_ptr<State> state_;
};

}  // namespace firtide
