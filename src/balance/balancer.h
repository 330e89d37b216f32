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
    full,
    timed_out,
    unreachable,
    reset,
    cancelled,
    not_sent,
    unusable
};
enum class EndpointPhase { gone, ready, draining };

struct EndpointState {
    UpstreamId upstream_id = 0;
    uint64_t id = 0;  // the same at every instance
    EndpointPhase phase = EndpointPhase::gone;
    uint32_t zone = 0;
    uint32_t cell = 0;
    double size = 1;
    std::optional<Point> started;  // absent: long ago
    uint32_t kind = 0;             // of machine
};

struct LoadReport {
    std::optional<double> queue;
    std::optional<double> inflight;
    std::optional<double> utilisation;
    std::optional<double> latency_ms;
    std::optional<double> errors;
};

struct InvocationRequest {
    uint32_t operation = 0;
    uint32_t tenant = 0;
    Span time_left;        // from its last byte
    bool sending = false;  // that has not come yet: sent() will tell of it
    uint64_t key = 0;      // of its subject: those with the same go together; 0: none
};

// Where each of some things was before; none: it is new.
using IndexMapping = std::vector<std::optional<uint32_t>>;

class BalancerDelegate
{
  public:
    virtual ~BalancerDelegate() = default;
    virtual void forward(InvocationId inv, UpstreamId upstream_id, Span limit) = 0;
    virtual void throttle(InvocationId inv, Span retry_after) = 0;
    virtual void error(InvocationId inv) = 0;
    virtual void cancel(InvocationId inv, uint32_t forward) = 0;
    virtual void limit(InvocationId inv, uint32_t forward, Span limit) = 0;  // of one that is out, anew
    virtual void released(InvocationId inv) = 0;
    virtual void wake(Point at, uint64_t name) = 0;
    virtual void probe(UpstreamId upstream_id) = 0;
    virtual void close_idle(UpstreamId upstream_id) = 0;  // connections
    virtual void watch_list() = 0;
    virtual void tell(const std::string& message) = 0;  // every other instance; it may be lost
};

class Balancer
{
  public:
    Balancer(Settings settings, uint64_t seed, BalancerDelegate& outlet);
    ~Balancer();

    void started(Point now);
    // New settings, from now on. What is open finishes under its operation as it was when accepted, and under
    // the stricter of both settings where these differ.
    void settings_are(Point now, Settings settings, const IndexMapping& operations,
                      const IndexMapping& tenants);
    void list_is(Point now, const std::vector<EndpointState>& all);
    void list_changed(Point now, const std::vector<EndpointState>& changes);
    void list_answered(Point now, bool well);
    void accept(Point now, InvocationId inv, const InvocationRequest& ask);
    void sent(Point now, InvocationId inv, Span time_left);  // the last byte of a request has come
    void ended(Point now, InvocationId inv, uint32_t forward, AttemptResult result, Span took, bool over,
               const LoadReport& report);
    void client_left(Point now, InvocationId inv);
    void probed(Point now, UpstreamId upstream_id, AttemptResult result, const LoadReport& report);
    void woken(Point now, uint64_t name);
    void told(Point now, uint32_t peer, std::string_view message);  // by another instance
    double reduction(Point now, UpstreamId upstream_id);            // of its entry, 1 where it stands still
    void share_of_list(double part);  // what is listed is so much of what all balancers share

  private:
    struct State;
    State& at(Point now);
    std::unique_ptr<State> state_;
};

}  // namespace firtide
