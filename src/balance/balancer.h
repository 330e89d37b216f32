// The load balancing decisions of one balancer instance, without any I/O.
//
// The host reports events to a Balancer in order, each with the current time; the Balancer calls its
// BalancerDelegate before the event call returns. Invocations and upstreams are small indices chosen by the
// host. An invocation's index may be reused after release_invocation(), an upstream's once it is gone and no
// invocation that was forwarded to it is left.
//
// A deduplicated invocation that may have run is forwarded again only to the group that its forward was sent
// to, by the locations that were shown when that was: what is shown of an upstream later, that it is gone or
// elsewhere, changes nothing for what was sent before. Where the group is a zone or a pod group, and that of
// either upstream is not known, it is not forwarded again, nor throttled. A host that sends a forward some
// time after forward() asks may_still_send() right before its first byte.
//
// Events may be late, or name what this instance was never shown: each is checked before it has any effect.
// - An upstream is known from the first call of set_endpoints() or update_endpoints() that names it, also
//   while it is gone. What is reported of an unknown one is ignored; a host that has reports of upstreams
//   that this instance must not use yet shows them as gone.
// - An invocation is known from accept() until release_invocation(), a forward of it from
//   BalancerDelegate::forward() until on_forward_ended(). Events of unknown ones are ignored.
// - Of an upstream that is shown as gone, only that counts: what was known of it before stays known, until it
//   is shown otherwise or its index stands for another one.
// - An upstream with an index from max_upstreams on is left out. An invocation with an index from
//   max_invocations on, or of an operation that the settings do not have, fails at once; one whose index is
//   still in use is ignored.
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

// declined: the upstream refused for lack of capacity, before any work ran.
// invalid_request: the upstream rejected the invocation itself, which says nothing about the upstream.
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
    uint64_t global_id = 0;  // the same at every balancer
    EndpointPhase phase = EndpointPhase::gone;
    UpstreamLocation location;
    double capacity = 1;
    std::optional<TimePoint> started_at;  // unset: long ago
    uint32_t machine_type = 0;
    // Changes where the host knows of another process under the same id, also without another start.
    uint32_t incarnation = 0;
};

// Why invocations were throttled, since the start: how many of each.
struct ThrottleCounts {
    uint64_t failing_key = 0;        // many invocations of the same key have failed
    uint64_t concurrency_limit = 0;  // of this balancer, or the tenant's share of it
    uint64_t all_reduced = 0;        // the entry of every upstream allows refusal
    uint64_t no_upstream = 0;        // none could take it
    uint64_t attempts_ended = 0;     // its attempts came to nothing, and it may not have another
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
    Duration time_left;          // counted from the request's last byte
    bool is_incomplete = false;  // on_request_complete() follows with the last byte
    // Of the invocation's subject: invocations with one key may wait for the same resource, such as a lock or
    // a row. 0: none.
    uint64_t subject_key = 0;
};

inline constexpr UpstreamId max_upstreams = 1 << 16;
inline constexpr InvocationId max_invocations = 1 << 20;
// The time left of an invocation counts as at most this long.
inline constexpr Duration max_time_left = seconds(24 * 3600);
// An upstream of a type from this on counts as one of type 0.
inline constexpr uint32_t max_machine_types = 1024;

// For each new index, the index it had before; unset for an item that is new. An index that did not exist
// counts as unset.
using IndexMapping = std::vector<std::optional<uint32_t>>;

class BalancerDelegate
{
  public:
    virtual ~BalancerDelegate() = default;
    virtual void forward(InvocationId invocation, UpstreamId upstream_id, Duration timeout) = 0;
    virtual void throttle(InvocationId invocation, Duration retry_after) = 0;
    virtual void fail(InvocationId invocation) = 0;
    virtual void cancel_forward(InvocationId invocation, uint32_t forward) = 0;
    // Replaces the timeout of a forward in flight.
    virtual void set_forward_timeout(InvocationId invocation, uint32_t forward, Duration timeout) = 0;
    // Ends a forward whose response has begun and does not go on. It ends as reset: it may have run.
    virtual void give_up_forward(InvocationId, uint32_t) {}
    virtual void release_invocation(InvocationId invocation) = 0;
    virtual void start_timer(TimePoint at, uint64_t timer_id) = 0;
    virtual void probe(UpstreamId upstream_id) = 0;
    virtual void close_idle_connections(UpstreamId upstream_id) = 0;
    virtual void watch_endpoint_list() = 0;
    // Sends a message to every other balancer; delivery is not guaranteed.
    virtual void broadcast(const std::string& message) = 0;
};

class Balancer
{
  public:
    Balancer(Settings settings, uint64_t seed, BalancerDelegate& delegate);
    ~Balancer();

    void start(TimePoint now);
    // Applies new settings. An open invocation keeps its operation as accepted, tightened to the stricter of
    // the old and the new settings where they differ.
    void update_settings(TimePoint now, Settings settings, const IndexMapping& operations,
                         const IndexMapping& tenants);
    void set_endpoints(TimePoint now, const std::vector<EndpointState>& all);
    void update_endpoints(TimePoint now, const std::vector<EndpointState>& changes);
    void on_endpoint_list_fetched(TimePoint now, bool succeeded);
    void accept(TimePoint now, InvocationId invocation, const InvocationRequest& request);
    // The last byte of the request has arrived.
    void on_request_complete(TimePoint now, InvocationId invocation, Duration time_left);
    // The first bytes of a response that is not complete have come. For hosts whose responses take time to
    // come.
    void on_response_begun(TimePoint now, InvocationId invocation, uint32_t forward);
    // No more of a response that has begun has come for a while. To be repeated for as long as that is so.
    void on_response_stalled(TimePoint now, InvocationId invocation, uint32_t forward);
    // answered: the invocation has been answered and needs no further reply.
    void on_forward_ended(TimePoint now, InvocationId invocation, uint32_t forward, AttemptResult result,
                          Duration duration, bool answered, const LoadReport& report);
    void on_client_disconnected(TimePoint now, InvocationId invocation);
    // Whether the rules on repeats still allow the forward, now that its first byte is to be sent: the
    // upstream is shown where it was, and what was forwarded before allows it in time. False for a forward
    // that is not known. If false, the host ends it as a result that proves that it has not run.
    bool may_still_send(TimePoint now, InvocationId invocation, uint32_t forward);
    void on_probe_completed(TimePoint now, UpstreamId upstream_id, AttemptResult result,
                            const LoadReport& report);
    void on_timer_fired(TimePoint now, uint64_t timer_id);
    void on_peer_message(TimePoint now, uint32_t peer, std::string_view message);
    // The reduction of the upstream's entry, 0 to 1; 1 while it is stalled, 0 for an unknown upstream.
    double reduction(TimePoint now, UpstreamId upstream_id);
    const ThrottleCounts& throttle_counts() const;
    // Sets the part of the upstreams shared by all balancers that this one's list holds.
    void set_subset_fraction(double fraction);

  private:
    struct State;
    State& state_at(TimePoint now);
    std::unique_ptr<State> state_;
};

}  // namespace firtide
