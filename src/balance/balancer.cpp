// The load balancing algorithm; docs/design.md describes it with its exceptions.

#include "balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <unordered_map>
#include <utility>

#include "forwarding_rules.h"
#include "peer_message.h"
#include "src/base/random.h"

namespace firtide
{
namespace
{

// Reductions of upstreams and keys.
constexpr double reduction_step = 0.1;          // for a declined forward, a pair of failures or a long queue
constexpr double strong_reduction_step = 0.34;  // for a signal that is conclusive by itself
// An entry stays in force this long after its last signal; the latter applies to signals that only divert.
constexpr Duration reduction_validity = seconds(1.5);
constexpr Duration diversion_validity = seconds(5);
// An expired entry admits twice as much after each interval; a full reduction begins with this share.
constexpr Duration recovery_doubling_interval = seconds(0.5);
constexpr double initial_recovery_share = 0.02;

// Load and health of upstreams.
constexpr Duration load_report_half_life = seconds(0.5);  // of a report's deviation from the mean
constexpr Duration slowness_half_life = seconds(8);       // of an upstream's deviation from its machine type
// The weight of one response in the mean slowness.
constexpr double upstream_slowness_gain = 0.1, machine_type_slowness_gain = 0.01;
constexpr double max_reported_value = 1e9;     // a greater one, or none that is a number, is no report
constexpr double min_informative_load = 0.25;  // a lower mean of reported loads tells nothing
constexpr size_t response_sample_size = 16;    // responses by which an upstream is judged, approximately
constexpr size_t min_response_sample = 5;      // fewer tell nothing
// A queue is long above long_queue_factor times the mean plus long_queue_margin, for means near zero.
constexpr double long_queue_factor = 1.8, long_queue_margin = 3;
constexpr Duration idle_distrust_duration = seconds(10);  // after idle connections were seen to fail
constexpr double min_stall_seconds = 0.02;                // a shorter pause may be this machine's own
constexpr double overdue_factor = 2;         // times latency_high_quantile: a response counts as lost
constexpr size_t max_failing_keys = 32;      // the most recently failed ones are kept
constexpr double slow_response_share = 0.7;  // of the latency objective: counts as failed for its key

// Choice of an upstream.
constexpr size_t min_active_upstreams = 8;           // in the own zone, and as many in the others
constexpr double contact_interval_seconds = 1;       // in which own traffic reaches each active upstream
constexpr double cross_zone_price_weight = 200;      // the own zone's weight is e to this times the price
constexpr Duration recent_use_window = seconds(10);  // an upstream that had requests within it is in use
constexpr double max_upstream_load = 5;              // requests at an upstream, where peers report theirs
constexpr Duration rate_window = seconds(4);

// Probes and messages to peers.
constexpr Duration probe_interval = seconds(1);          // approximate: jittered
constexpr Duration peer_update_interval = seconds(0.1);  // of changed requests in flight, at least
constexpr Duration peer_snapshot_interval = seconds(2);  // approximate: jittered
constexpr Duration peer_state_lifetime = seconds(5);     // after a peer's last message
// Of the value of the accepted invocations.
constexpr double max_message_cost_share = 0.02, max_probe_cost_share = 0.0005;
constexpr size_t min_charged_message_bytes = 8;  // a shorter message is charged as this many

// Requests and retries.
// Practically unlimited: the host ends a request that stays incomplete.
constexpr Duration incomplete_request_timeout = seconds(3600);
// Of endpoint list requests, before jitter.
constexpr Duration initial_backoff = seconds(0.5), max_backoff = seconds(2);
constexpr Duration list_request_allowance = seconds(0.025);  // of discovery's time, for each balancer
constexpr Duration max_list_request_spread = seconds(5.5);   // a change is in force after 6 s
constexpr double retry_budget_share = 0.1;                   // retries per accepted invocation
constexpr double max_retry_tokens = 5;
// What is kept of an invocation's time for a retry, after a response that has begun does not go on: at least,
// and as a multiple of the time that most responses take.
constexpr Duration min_retry_time = seconds(0.25);
constexpr double retry_time_factor = 2;
constexpr uint32_t max_redirects = 3;  // after results that prove that nothing ran

// The concurrency limit is adjusted after round_size responses, or after max_round_duration with at least
// min_round_size of them.
constexpr double round_size = 60, min_round_size = 12;
constexpr Duration max_round_duration = seconds(3);
// The latency target: a ratio of response time to latency objective.
constexpr double target_headroom_share = 0.2;   // of the range from the baseline to the objective
constexpr double min_latency_target = 0.2;      // a mean below this ratio is never too long
constexpr double max_over_baseline = 1.5;       // the target is at most this multiple of the baseline
constexpr double default_baseline_ratio = 0.2;  // until enough responses were seen
// The bounds of the concurrency limit.
constexpr double min_limit_share = 0.5;     // of best_in_flight
constexpr double untried_limit_factor = 3;  // times two_per_upstream(), until more went well
constexpr double max_limit_factor = 1.15, max_limit_root_factor = 1;  // times best_in_flight, and its root
constexpr double min_able_share = 0.25;     // of the upstreams, when the capacity is estimated
constexpr double in_flight_smoothing = 10;  // arrivals over which requests in flight are averaged

constexpr double tenant_share_threshold = 0.6;   // of the limit: below, tenant shares are not enforced
constexpr double median_tenant_headroom = 1.25;  // the median tenant's share over its use of it
constexpr double min_tenant_burst = 4;           // invocations, for tenants with a small share here

Duration bounded_time(Duration time) { return {std::clamp(time.us, -max_time_left.us, max_time_left.us)}; }

// Without values that no upstream can mean.
LoadReport sound_report(LoadReport report)
{
    for (auto member : {&LoadReport::queue_length, &LoadReport::in_flight, &LoadReport::utilisation,
                        &LoadReport::mean_latency_ms, &LoadReport::errors_per_second})
        if (report.*member && !(*(report.*member) >= 0 && *(report.*member) <= max_reported_value))
            (report.*member).reset();
    return report;
}

// Of each new index, the old one if there was such a one.
IndexMapping known_indices(IndexMapping mapping, size_t new_count, size_t old_count)
{
    if (mapping.size() > new_count) mapping.resize(new_count);
    for (std::optional<uint32_t>& old_index : mapping)
        if (old_index && *old_index >= old_count) old_index.reset();
    return mapping;
}

// Leaves only what both allow.
template <class Part>
void restrict_to(std::optional<std::vector<Part>>& allowed, const std::optional<std::vector<Part>>& others)
{
    if (!others) return;
    if (!allowed) {
        allowed = others;
        return;
    }
    std::erase_if(*allowed, [&](const Part& part) {
        return std::find(others->begin(), others->end(), part) == others->end();
    });
}

bool proves_not_run(AttemptResult result)
{
    return result == AttemptResult::declined || result == AttemptResult::unreachable ||
           result == AttemptResult::not_sent;
}

// A reduction of the requests to an upstream, or of those with one key.
struct Entry {
    double reduction = 0;
    TimePoint expires_at;
    bool allows_refusal = false;  // raised by declined forwards, or by pairs of timeouts and resets
};

// Tracked while its key is among the last that failed.
struct FailingKey {
    uint64_t key = 0;
    double failure_share = 0, sample_size = 0;  // of its last responses
    Entry entry;
    TimePoint last_failed_at;
};

// Kept when the upstream leaves the list, until its index is reused for another one.
struct Upstream {
    EndpointState endpoint;
    bool is_registered = false;
    uint32_t process = 0;     // counts the processes that were known at this index
    bool is_ordered = false;  // it stands in the order of its zone: since it was first shown as not gone
    Entry entry;
    std::optional<TimePoint> unpaired_failure_at;  // a single timeout or reset raises nothing
    std::optional<double> reported_load;
    double utilisation_load = 0;  // by the slots in use, where a queue is reported
    bool load_includes_own = false;
    TimePoint reported_at;
    uint32_t in_flight = 0, overdue = 0, in_flight_at_report = 0;
    size_t sample_size = 0;
    double error_share = 0;  // of the last responses
    double slowness = 1;     // mean response time of the last responses over that of their operations
    TimePoint slowness_updated_at;
    TimePoint last_ended_at{INT64_MIN / 2};
    TimePoint waiting_since;  // the later of its last response and its first forward still in flight

    SlowStartTokens slow_start_tokens;

    uint32_t peer_in_flight = 0;      // of the other balancers, as they reported it
    uint8_t broadcast_in_flight = 0;  // own, as reported last
};

// What another balancer reported last; forgotten after peer_state_lifetime.
struct Peer {
    std::vector<uint8_t> in_flight;    // by upstream
    std::vector<double> tenant_rates;  // by tenant
    TimePoint heard_at{INT64_MIN / 2};
};

class DecayingRate
{
  public:
    void record(TimePoint now) { sum_ = decayed(now) + 1, updated_at_ = now; }
    double rate(TimePoint now) const { return decayed(now) / rate_window.seconds(); }

  private:
    double decayed(TimePoint now) const
    {
        return sum_ > 0 ? sum_ * std::exp(-((now - updated_at_) / rate_window)) : 0;
    }
    double sum_ = 0;
    TimePoint updated_at_;
};

struct Tenant {
    double quota = 0;     // invocations per second
    double arrivals = 0;  // invocations since the rates were updated
    double rate = 0;      // invocations per second
    double tokens = 1;    // invocations within its share here, as of tokens_at
    TimePoint tokens_at;
};

struct OperationStatistics {
    // Of response times: a slowly moving mean and a low quantile.
    double mean_seconds = 0, low_quantile_seconds = 0;
};

// The mean slowness of the upstreams of one machine type.
struct MachineType {
    double slowness = 1, sample_size = 10;
};

}  // namespace

// All state of a Balancer.
struct Balancer::State {
    State(Settings initial_settings, uint64_t seed, BalancerDelegate& balancer_delegate)
        : settings(std::move(initial_settings)),
          delegate(balancer_delegate),
          random_engine(static_cast<RandomEngine::result_type>(seed ^ (seed >> 32)))
    {
        carry_over({}, {});
        random_engine.discard(32);
    }

    Settings settings;
    BalancerDelegate& delegate;
    RandomEngine random_engine;
    TimePoint now, started_at;

    ThrottleCounts throttle_counts;
    std::vector<Invocation> invocations;
    std::vector<Upstream> upstreams;
    std::vector<OperationStatistics> operation_statistics;

    std::unordered_map<uint64_t, std::function<void()>> timers;
    uint64_t next_timer_id = 0;

    std::vector<MachineType> machine_types;
    std::vector<FailingKey> failing_keys;
    double mean_failure_share = 0, outcome_count = 0;  // of invocations whose key has no reduction

    double mean_reported_load = 0, mean_error_share = 0;
    // Means in the own zone (0) and in the others (1): reported load, and load by the slots in use.
    std::array<double, 2> zone_load{}, zone_utilisation_load{};
    TimePoint means_updated_at{INT64_MIN / 2};

    DecayingRate warm_forward_rate, arrival_rate;

    double retry_tokens = 1;
    double latency_high_quantile = 0;  // seconds, of all response times

    double idle_failure_share = 0, busy_failure_share = 0;  // of forwards that were never answered
    TimePoint distrust_idle_until{INT64_MIN / 2};

    Duration longest_objective;
    // Moving means of response time over latency objective.
    double latency_ratio = default_baseline_ratio, long_term_ratio = 0;
    double baseline_ratio = default_baseline_ratio;  // the ratio at very low load
    TimePoint round_started_at, tenant_rates_updated_at, capacity_updated_at{INT64_MIN / 2},
        last_broadcast_at{INT64_MIN / 2};
    std::vector<double> round_ratios;
    double baseline_sum = 0, baseline_count = 0;  // of ratios at low load
    double capacity = 0;                          // in warm upstreams, see update_capacity
    double subset_fraction = 1;                   // the listed part of the upstreams that all balancers share
    double concurrency_limit = 1e9;               // on the mean number of requests in flight
    double best_in_flight = 0;  // the highest mean at which the latency target was met; decays slowly
    double in_flight = 0, overdue = 0;
    double smoothed_in_flight = 0;                        // as the last arrivals found it
    double arrival_in_flight_sum = 0, arrival_count = 0;  // as arrivals in this round found it
    std::vector<Tenant> tenants;
    double own_traffic_share = 0;  // part of all traffic that arrives here, by the median tenant's rate
    double stalled_in_flight = 0;  // own requests in flight at stalled upstreams
    bool queues_reported = false, latencies_reported = false;  // by upstreams

    std::vector<Peer> peers;
    double peer_in_flight = 0;  // of all of them
    size_t live_peers = 0;      // number that sent a message within peer_state_lifetime
    std::vector<std::pair<uint16_t, UpstreamId>> wire_names;  // of upstreams in messages, sorted
    bool broadcast_due = false, snapshots_scheduled = false, probes_scheduled = false;
    double message_budget = 0;  // bytes that may be sent to peers
    double probe_budget = 0;    // probes that may be sent
    UpstreamId next_probe = 0;

    std::vector<UpstreamId> own_zone, other_zones;  // all ordered upstreams, by rank
    std::vector<std::pair<UpstreamId, double>> candidates;
    double own_zone_preference = 1, own_zone_preference_with_peers = 1;  // the own zone's weight in the draw

    double uniform_random() { return uniform_random_24_bits(random_engine); }

    // ---- What events may name ----

    bool knows_upstream(UpstreamId id) const { return id < upstreams.size() && upstreams[id].is_registered; }
    bool knows_invocation(InvocationId id) const
    {
        return id < invocations.size() && invocations[id].is_known;
    }
    bool is_in_flight(InvocationId id, uint32_t forward_index) const
    {
        return knows_invocation(id) && forward_index < invocations[id].forwards.size() &&
               invocations[id].forwards[forward_index].in_flight;
    }
    // Whether the decision is this instance's; otherwise there is nothing left to decide.
    bool can_accept(InvocationId id, const InvocationRequest& request)
    {
        if (knows_invocation(id)) return false;
        if (id < max_invocations && request.operation < settings.operations.size()) return true;
        delegate.fail(id);
        delegate.release_invocation(id);
        return false;
    }

    void schedule(TimePoint at, std::function<void()> callback)
    {
        timers.emplace(next_timer_id, std::move(callback));
        delegate.start_timer(at, next_timer_id++);
    }

    // ---- What the rules rest on ----

    ForwardingRules rules() const { return {settings, now}; }

    bool is_in_other_zone(const Upstream& upstream) const
    {
        return settings.cross_zone_price > 0 && upstream.endpoint.location.zone != settings.own_zone;
    }

    // Forwards per second to each active upstream if none were warming up, at most the current rate to a warm
    // one. Without the even rate, many balancers that each see few warm upstreams left would take the load on
    // these for the usual.
    double even_forward_rate() const
    {
        double warm_count = 0;
        size_t in_own_zone = 0, in_other_zones = 0;
        for (const Upstream& upstream : upstreams) {
            if (upstream.endpoint.phase != EndpointPhase::ready) continue;
            ++(is_in_other_zone(upstream) ? in_other_zones : in_own_zone);
            warm_count += !rules().is_warming(upstream.endpoint) &&
                          (upstream.in_flight > 0 || now - upstream.last_ended_at < recent_use_window);
        }
        const auto active_count = std::min(active_upstream_count(), in_own_zone) +
                                  std::min(active_upstream_count(), in_other_zones);
        const double even = arrival_rate.rate(now) / static_cast<double>(std::max<size_t>(1, active_count));
        return warm_count > 0 ? std::min(even, warm_forward_rate.rate(now) / warm_count) : even;
    }

    bool has_slow_start_budget(Upstream& upstream)
    {
        return !rules().is_warming(upstream.endpoint) ||
               rules().has_slow_start_token(upstream.endpoint, upstream.slow_start_tokens,
                                            even_forward_rate());
    }

    bool may_send(const Invocation& invocation, UpstreamId upstream_id)
    {
        Upstream& upstream = upstreams[upstream_id];
        return rules().may_send(invocation, upstream.endpoint) && has_slow_start_budget(upstream);
    }

    bool may_still_send(InvocationId id, uint32_t forward_index) const
    {
        const UpstreamId upstream_id = invocations[id].forwards[forward_index].upstream_id;
        return rules().may_still_send(invocations[id], forward_index,
                                      upstreams[upstream_id].endpoint.location);
    }

    // The only place that forwards.
    bool send(InvocationId id, UpstreamId upstream_id, Duration timeout,
              std::function<void(TimePoint, AttemptResult)> on_result)
    {
        Invocation& invocation = invocations[id];
        if (!may_send(invocation, upstream_id)) return false;
        Upstream& upstream = upstreams[upstream_id];
        if (rules().is_warming(upstream.endpoint))
            upstream.slow_start_tokens.count -= 1;
        else
            warm_forward_rate.record(now);
        bool after_idle =
            upstream.in_flight == 0 && (now - upstream.last_ended_at).seconds() >
                                           operation_statistics[invocation.operation_index].mean_seconds;
        if (after_idle && now < distrust_idle_until) {
            delegate.close_idle_connections(upstream_id);
            after_idle = false;
        }
        if (upstream.in_flight++ == 0) upstream.waiting_since = now;
        ++in_flight;
        schedule_broadcast();
        invocation.forwards.push_back({.upstream_id = upstream_id,
                                       .sent_at = now,
                                       .location = upstream.endpoint.location,
                                       .deduplication_scope = invocation.operation.deduplication_scope,
                                       .process = upstream.process,
                                       .after_idle = after_idle,
                                       .on_result = std::move(on_result)});
        if (settings.may_message_peers && latency_high_quantile > 0)
            schedule(now + seconds(latency_high_quantile * overdue_factor),
                     [this, id, forward_index = invocation.forwards.size() - 1, sent_at = now] {
                         mark_overdue(id, forward_index, sent_at);
                     });
        delegate.forward(id, upstream_id, std::min(timeout, invocation.deadline - now));
        return true;
    }

    // A response that was lost silently would otherwise count as held by its upstream until the timeout.
    void mark_overdue(InvocationId id, size_t forward_index, TimePoint sent_at)
    {
        if (forward_index >= invocations[id].forwards.size()) return;
        Forward& forward = invocations[id].forwards[forward_index];
        if (!forward.in_flight || forward.sent_at != sent_at) return;
        forward.overdue = true, ++upstreams[forward.upstream_id].overdue, ++overdue;
        schedule_broadcast();
    }

    // Rule 1: an invocation is answered once, here or by its first success.
    void finish(InvocationId id, bool throttled, Duration retry_after = {})
    {
        Invocation& invocation = invocations[id];
        if (invocation.finished) return;
        if (throttled && ForwardingRules::may_throttle(invocation))
            delegate.throttle(id, std::min(retry_after, settings.max_retry_after));
        else
            delegate.fail(id);
        close(id);
    }

    void throttle(InvocationId id, uint64_t& count)
    {
        ++count;
        finish(id, true, retry_after());
    }

    void close(InvocationId id)
    {
        Invocation& invocation = invocations[id];
        invocation.finished = true;
        for (uint32_t i = 0; i < invocation.forwards.size(); ++i)
            if (invocation.forwards[i].in_flight && settings.may_cancel) delegate.cancel_forward(id, i);
        release_if_done(id);
    }

    void release_if_done(InvocationId id)
    {
        Invocation& invocation = invocations[id];
        if (!invocation.finished) return;
        if (std::none_of(invocation.forwards.begin(), invocation.forwards.end(),
                         [](auto& each) { return each.in_flight; })) {
            invocation.is_known = false;
            delegate.release_invocation(id);
        }
    }

    // ---- Signals from responses ----

    const FailingKey* find_failing_key(uint64_t key) const
    {
        const auto found = std::find_if(failing_keys.begin(), failing_keys.end(),
                                        [&](auto& each) { return each.key == key; });
        return key && found != failing_keys.end() ? &*found : nullptr;
    }
    FailingKey* find_failing_key(uint64_t key)
    {
        return const_cast<FailingKey*>(std::as_const(*this).find_failing_key(key));
    }

    // The current reduction of a key: an expired entry falls by one step per second.
    double key_reduction(uint64_t key) const
    {
        const FailingKey* failing_key = find_failing_key(key);
        if (!failing_key || now < failing_key->entry.expires_at)
            return failing_key ? failing_key->entry.reduction : 0;
        return std::max(0.0, failing_key->entry.reduction -
                                 reduction_step * (now - failing_key->entry.expires_at).seconds());
    }

    // Detects a resource behind the upstreams, such as a lock or a row, that all invocations of one key wait
    // for. No upstream is quicker, the waiting invocations fill them all, and refusals look like upstream
    // errors. As there is nothing to divert to, the key's entry throttles. Drawback: it also throttles a key
    // whose work is slow by nature, or several failing keys by chance if all of them fail.
    void record_key_outcome(uint64_t key, bool failed)
    {
        FailingKey* failing_key = find_failing_key(key);
        const double current = key_reduction(key);
        if (current <= 0)
            mean_failure_share += std::max(0.02, 1 / ++outcome_count) * (failed - mean_failure_share);
        if (!key || (!failing_key && !failed)) return;
        if (!failing_key && failing_keys.size() < max_failing_keys)
            failing_key = &failing_keys.emplace_back();
        if (!failing_key)
            failing_key = &*std::min_element(failing_keys.begin(), failing_keys.end(), [](auto& a, auto& b) {
                return a.last_failed_at < b.last_failed_at;
            });
        if (failing_key->key != key) *failing_key = FailingKey{}, failing_key->key = key;
        failing_key->sample_size = std::min(failing_key->sample_size + 1, response_sample_size / 2.0);
        failing_key->failure_share += (failed - failing_key->failure_share) / failing_key->sample_size;
        failing_key->entry.reduction = current;
        if (!failed) return;
        failing_key->last_failed_at = now;
        if (failing_key->sample_size < 2 || failing_key->failure_share < 0.25 + 2 * mean_failure_share)
            return;
        failing_key->entry = {std::min(1.0, current + strong_reduction_step), now + diversion_validity};
    }

    void raise_reduction(Upstream& upstream, double step, bool allows_refusal)
    {
        const double current = entry_reduction(upstream);
        upstream.entry.allows_refusal = allows_refusal || (upstream.entry.allows_refusal && current > 0);
        upstream.entry.reduction = std::min(1.0, current + step);
        upstream.entry.expires_at = std::max(
            upstream.entry.expires_at, now + (allows_refusal ? reduction_validity : diversion_validity));
    }

    // Detects an upstream that accepts requests and answers none, by how long the oldest one has waited.
    bool is_stalled(const Upstream& upstream) const
    {
        const double stall_seconds =
            std::max(latency_high_quantile, min_stall_seconds) * (1 + 2.0 / upstream.in_flight);
        return upstream.in_flight > 0 && latency_high_quantile > 0 &&
               (now - upstream.waiting_since).seconds() > stall_seconds;
    }

    double reduction(const Upstream& upstream) const
    {
        return is_stalled(upstream) ? 1 : entry_reduction(upstream);
    }

    // The current reduction of an entry: after its expiry, the admitted share doubles with each interval.
    double entry_reduction(const Upstream& upstream) const
    {
        const Entry& entry = upstream.entry;
        if (entry.reduction <= 0 || now < entry.expires_at) return entry.reduction;
        const double doublings = 1 + std::floor((now - entry.expires_at) / recovery_doubling_interval);
        const double admitted =
            std::max(initial_recovery_share, 1 - entry.reduction) * std::exp2(std::min(doublings, 60.0));
        return admitted >= 1 ? 0 : 1 - admitted;
    }

    static double fourth_power(double x) { return x * x * x * x; }

    static double load_from_utilisation(double used) { return used / std::max(0.05, 1.05 - used); }

    static std::optional<double> load_from_report(const LoadReport& report)
    {
        if (report.queue_length || report.in_flight)
            return report.queue_length ? report.queue_length : report.in_flight;
        return report.utilisation ? std::optional(load_from_utilisation(*report.utilisation)) : std::nullopt;
    }

    void record_load_report(Upstream& upstream, const LoadReport& report)
    {
        refresh_means();
        if (const auto load = load_from_report(report)) {
            upstream.reported_load = load, upstream.reported_at = now,
            upstream.load_includes_own = !report.queue_length,
            upstream.in_flight_at_report = upstream.in_flight;
            upstream.utilisation_load =
                report.queue_length ? load_from_utilisation(report.utilisation.value_or(0)) : 0;
            queues_reported = queues_reported || report.queue_length;
            if (report.queue_length &&
                *report.queue_length > long_queue_margin + long_queue_factor * mean_reported_load)
                raise_reduction(upstream, reduction_step, false);
        }
        latencies_reported = latencies_reported || report.mean_latency_ms;
    }

    // Recomputes the means over all upstreams, at most every 0.2 s to keep it cheap.
    void refresh_means()
    {
        if (now - means_updated_at < seconds(0.2)) return;
        means_updated_at = now;
        double error_sum = 0, error_samples = 0;
        std::array<double, 2> load_sum{}, utilisation_sum{}, load_count{};
        for (const Upstream& upstream : upstreams) {
            if (upstream.endpoint.phase != EndpointPhase::ready) continue;
            if (upstream.reported_load)
                load_sum[is_in_other_zone(upstream)] += *upstream.reported_load,
                    utilisation_sum[is_in_other_zone(upstream)] += upstream.utilisation_load,
                    ++load_count[is_in_other_zone(upstream)];
            if (upstream.sample_size >= min_response_sample)
                error_sum += upstream.error_share, ++error_samples;
        }
        mean_reported_load = (load_sum[0] + load_sum[1]) / std::max(1.0, load_count[0] + load_count[1]);
        for (size_t zone = 0; zone < 2; ++zone) {
            zone_load[zone] = load_count[zone] > 0 ? load_sum[zone] / load_count[zone] : mean_reported_load;
            zone_utilisation_load[zone] =
                load_count[zone] > 0 ? utilisation_sum[zone] / load_count[zone]
                                     : utilisation_sum[1 - zone] / std::max(1.0, load_count[1 - zone]);
        }
        mean_error_share = error_samples > 0 ? error_sum / error_samples : 0;
    }

    // relative_latency: the response time over the operation's mean; unset for an error.
    void record_response(Upstream& upstream, std::optional<double> relative_latency)
    {
        upstream.sample_size = std::min(response_sample_size, upstream.sample_size + 1);
        upstream.error_share +=
            ((relative_latency ? 0 : 1) - upstream.error_share) / static_cast<double>(upstream.sample_size);
        if (relative_latency) {
            MachineType& machine_type = machine_types[upstream.endpoint.machine_type];
            const double latency = std::min(*relative_latency, 5.0);
            machine_type.slowness += std::max(machine_type_slowness_gain, 1 / ++machine_type.sample_size) *
                                     (latency - machine_type.slowness);
            upstream.slowness = slowness(upstream) + upstream_slowness_gain * (latency - slowness(upstream)),
            upstream.slowness_updated_at = now;
        } else if (upstream.sample_size >= min_response_sample &&
                   upstream.error_share > 0.25 + 2 * mean_error_share) {
            // Quick errors make an upstream look idle and would attract requests.
            raise_reduction(upstream, strong_reduction_step, false);
        }
    }

    // Detects idle connections that were dropped silently: the first forward after a pause hangs or is reset.
    void record_idle_outcome(bool after_idle, bool failed)
    {
        double& share = after_idle ? idle_failure_share : busy_failure_share;
        share += 0.1 * (failed - share);
        if (idle_failure_share > 0.2 && idle_failure_share > 3 * busy_failure_share)
            distrust_idle_until = now + idle_distrust_duration;
    }

    void record_result(const Invocation& invocation, Upstream& upstream, AttemptResult result,
                       Duration duration, bool is_blocked)
    {
        OperationStatistics& statistics = operation_statistics[invocation.operation_index];
        const double latency_seconds = duration.seconds();
        switch (result) {
            case AttemptResult::succeeded:
                if (statistics.mean_seconds <= 0) statistics.mean_seconds = latency_seconds;
                statistics.mean_seconds += 0.03 * (latency_seconds - statistics.mean_seconds);
                if (statistics.low_quantile_seconds <= 0)
                    statistics.low_quantile_seconds =
                        std::min(latency_seconds,
                                 default_baseline_ratio * invocation.operation.latency_objective.seconds());
                statistics.low_quantile_seconds *=
                    latency_seconds < statistics.low_quantile_seconds ? 0.97 : 1.013;
                latency_high_quantile =
                    latency_high_quantile <= 0
                        ? latency_seconds
                        : latency_high_quantile * (latency_seconds > latency_high_quantile ? 1.095 : 0.995);
                record_response(upstream, latency_seconds / std::max(1e-6, statistics.mean_seconds));
                break;
            case AttemptResult::errored:
                if (!is_blocked) record_response(upstream, {});
                break;
            case AttemptResult::declined:
                raise_reduction(upstream, reduction_step, true);
                // A tier that declines most requests would look healthy by its response times.
                return record_latency(invocation, 1);
            case AttemptResult::unreachable:
                // Every forward to a dead upstream costs a connect timeout.
                raise_reduction(upstream, 2 * strong_reduction_step, false);
                break;
            case AttemptResult::timed_out:
                if (statistics.mean_seconds > 0)
                    record_response(upstream, latency_seconds / statistics.mean_seconds);
                [[fallthrough]];
            case AttemptResult::reset:
                if (upstream.unpaired_failure_at && now - *upstream.unpaired_failure_at < reduction_validity)
                    raise_reduction(upstream, reduction_step, true);
                upstream.unpaired_failure_at = now;
                break;
            default: return;
        }
        if (is_blocked) return;  // caused by the upstream or the key, not by load
        if (invocation.operation.latency_objective > Duration{} &&
            (result == AttemptResult::succeeded || result == AttemptResult::timed_out))
            record_latency(invocation, duration / invocation.operation.latency_objective);
    }

    // ---- Concurrency limit ----

    // About two requests per upstream from all balancers together: fewer would leave upstreams idle.
    double two_per_upstream() const
    {
        return 2 * capacity / (live_peers > 0 ? 1 : std::max(1.0, settings.balancer_count * subset_fraction));
    }

    // Own requests in flight and, where peers report theirs, those of all balancers.
    double total_in_flight() const { return in_flight - overdue + peer_in_flight; }

    // The capacity of the listed upstreams in warm upstreams, estimated from those in use. The limit and
    // best_in_flight follow at once: with little traffic, response times show a lost or recovered zone many
    // seconds late.
    void update_capacity()
    {
        if (capacity > 0 && now - capacity_updated_at < seconds(0.02)) return;
        capacity_updated_at = now;
        double ready = 0, in_use = 0, able = 0;
        stalled_in_flight = 0;
        for (const Upstream& upstream : upstreams) {
            if (is_stalled(upstream)) stalled_in_flight += upstream.in_flight;
            if (upstream.endpoint.phase != EndpointPhase::ready) continue;
            ++ready;
            if (upstream.in_flight == 0 && now - upstream.last_ended_at >= recent_use_window &&
                !rules().is_warming(upstream.endpoint))
                continue;
            ++in_use;
            if (reduction(upstream) < 0.5) able += rules().warm_capacity_share(upstream.endpoint);
        }
        const double new_capacity = ready * (in_use > 0 ? std::max(min_able_share, able / in_use) : 1);
        if (capacity > 0 && new_capacity > 0)
            concurrency_limit *= new_capacity / capacity, best_in_flight *= new_capacity / capacity;
        if (new_capacity > 0) capacity = new_capacity;
    }

    // Bounds a burst that arrives before any response was slow enough to set a limit. The root leaves room
    // for random variation where few requests are in flight.
    double max_limit() const
    {
        const double random_variation = max_limit_root_factor * std::sqrt(best_in_flight);
        return std::max(untried_limit_factor * two_per_upstream(),
                        max_limit_factor * best_in_flight + random_variation);
    }

    double min_limit() const { return std::max(two_per_upstream(), min_limit_share * best_in_flight); }

    // The highest acceptable mean of response time over latency objective. Guards against a ratchet:
    // throttling shortens responses, which lowers the baseline.
    double latency_target() const
    {
        return std::max(min_latency_target,
                        std::min(baseline_ratio * max_over_baseline,
                                 baseline_ratio + target_headroom_share * (1 - baseline_ratio)));
    }

    // Where queues are reported or peers report their load, the median: with little traffic per balancer, a
    // few bad upstreams would pass for overload in the mean.
    double round_latency_ratio()
    {
        if (!queues_reported && live_peers == 0)
            return std::accumulate(round_ratios.begin(), round_ratios.end(), 0.0) /
                   static_cast<double>(round_ratios.size());
        const auto median = round_ratios.begin() + static_cast<std::ptrdiff_t>(round_ratios.size() / 2);
        std::nth_element(round_ratios.begin(), median, round_ratios.end());
        return *median;
    }

    // Each round of responses scales the limit by the distance of their mean from the target. A mean that
    // lags behind would cut the limit again for overload that an earlier cut has already ended.
    void record_latency(const Invocation& invocation, double ratio)
    {
        ratio = std::min(ratio, 2.0);
        const Duration since_start = invocation.arrived_at - started_at;
        // Invocations accepted right after the start find the lowest load. All of them count, not only the
        // first to finish, since short responses come first.
        if (invocation.accepted_at_low_load || since_start < invocation.operation.latency_objective * 0.25)
            baseline_sum += ratio, ++baseline_count;
        round_ratios.push_back(ratio);
        // Response times scatter so widely that a few of them would cut the limit by chance.
        const auto response_count = static_cast<double>(round_ratios.size());
        if (response_count < min_round_size ||
            (response_count < round_size && now - round_started_at < max_round_duration))
            return;
        round_started_at = now;
        const double mean = round_latency_ratio();
        round_ratios.clear();
        latency_ratio = 0.5 * (latency_ratio + mean);
        // With little traffic, the baseline would otherwise be learnt from a few responses.
        if (now - started_at < longest_objective * 1.5 || baseline_count < round_size)
            baseline_ratio = long_term_ratio =
                (baseline_sum + round_size * default_baseline_ratio) / (baseline_count + round_size);
        long_term_ratio += 0.1 * (mean - long_term_ratio);
        baseline_ratio = long_term_ratio < baseline_ratio
                             ? long_term_ratio
                             : baseline_ratio + 0.0003 * (long_term_ratio - baseline_ratio);
        // A start under overload teaches too high a baseline. Under lasting overload the baseline and
        // best_in_flight decay, until a limit at its minimum shows that cutting no longer helps.
        const double mean_in_flight = arrival_in_flight_sum / std::max(1.0, arrival_count);
        arrival_in_flight_sum = arrival_count = 0;
        best_in_flight *= 0.99;
        if (latency_ratio <= latency_target())
            best_in_flight = std::max(best_in_flight, mean_in_flight);
        else
            baseline_ratio *= concurrency_limit > min_limit() ? 0.997 : 1.003;
        if (latency_ratio > latency_target() && mean > latency_target())
            concurrency_limit =
                std::max(min_limit(), concurrency_limit * std::max(0.75, latency_target() / latency_ratio));
        else if (latency_ratio <= latency_target() && mean_in_flight > 0.7 * concurrency_limit)
            concurrency_limit *= std::min(1.3, latency_target() / latency_ratio);
        concurrency_limit = std::min(concurrency_limit, max_limit());
    }

    void update_tenant_shares()
    {
        const double elapsed_seconds = (now - tenant_rates_updated_at).seconds();
        if (elapsed_seconds < 1) return;
        tenant_rates_updated_at = now;
        for (Tenant& tenant : tenants)
            tenant.rate += (tenant.rate > 0 ? 0.3 : 1) *
                           (std::exchange(tenant.arrivals, 0) / elapsed_seconds - tenant.rate);
        std::vector<double> quota_uses;
        for (const Tenant& tenant : tenants)
            if (tenant.quota > 0) quota_uses.push_back(tenant.rate / tenant.quota);
        if (quota_uses.size() < 3 || latency_ratio > latency_target()) return;
        const auto median = quota_uses.begin() + static_cast<std::ptrdiff_t>(quota_uses.size() / 2);
        std::nth_element(quota_uses.begin(), median, quota_uses.end());
        own_traffic_share += 0.2 * (median_tenant_headroom * *median - own_traffic_share);
    }

    // Whether an invocation exceeds its tenant's share. Where peers report rates, the share counts over all
    // balancers; otherwise this balancer's part of it is an even part or, if that is more, what the median
    // tenant's use suggests. Drawback: where traffic reaches balancers unevenly and tenants are few, this can
    // hold back invocations within a share, but only near the concurrency limit.
    bool over_tenant_share(uint32_t tenant_index)
    {
        if (tenant_index >= tenants.size() || tenants[tenant_index].quota <= 0) return false;
        update_tenant_shares();
        Tenant& tenant = tenants[tenant_index];
        ++tenant.arrivals;
        if (live_peers > 0) {
            double total_rate = tenant.rate;
            for (const Peer& peer : peers)
                if (tenant_index < peer.tenant_rates.size()) total_rate += peer.tenant_rates[tenant_index];
            return uniform_random() * total_rate > tenant.quota;
        }
        const double tokens_per_second =
            tenant.quota * std::max(own_traffic_share, 1.0 / std::max(1u, settings.balancer_count));
        tenant.tokens = std::min(std::max(min_tenant_burst, 2 * tokens_per_second),
                                 tenant.tokens + (now - tenant.tokens_at).seconds() * tokens_per_second);
        tenant.tokens_at = now;
        const bool exceeds_share = tenant.tokens + uniform_random() < 1;
        if (!exceeds_share) --tenant.tokens;
        return exceeds_share;
    }

    // Only the first tier throttles for load: in deeper tiers the work already done above would be lost.
    bool over_concurrency_limit(bool exceeds_tenant_share)
    {
        if (settings.tier > 0) return false;
        const double active_in_flight = total_in_flight() - stalled_in_flight;
        // The limit bounds the mean; requests in flight vary around it by its root.
        const double limit = std::min(concurrency_limit, max_limit());
        return (active_in_flight + uniform_random() >= limit && smoothed_in_flight >= limit) ||
               active_in_flight + uniform_random() >= limit + 2 * std::sqrt(limit) ||
               (exceeds_tenant_share && smoothed_in_flight > tenant_share_threshold * limit);
    }

    Duration retry_after() { return settings.max_retry_after * (0.5 + 0.5 * uniform_random()); }

    // ---- Choice of an upstream ----

    // The last report, which drifts to the mean of the upstream's zone (scaled while warming up), plus the
    // change of own requests in flight since.
    double expected_load(const Upstream& upstream) const
    {
        if (live_peers > 0) return upstream.in_flight - upstream.overdue + upstream.peer_in_flight;
        const double own_in_flight = upstream.in_flight,
                     mean_load = zone_load[is_in_other_zone(upstream)] *
                                 rules().warm_capacity_share(upstream.endpoint);
        if (!upstream.reported_load) return mean_load + own_in_flight;
        const double freshness = std::exp2(-((now - upstream.reported_at) / load_report_half_life));
        const double load = mean_load + (*upstream.reported_load - mean_load) * freshness;
        return std::max(own_in_flight,
                        load + (upstream.load_includes_own ? own_in_flight - upstream.in_flight_at_report
                                                           : own_in_flight));
    }

    // Detects slow upstreams that report no load: the mean latency of their last responses, which drifts to
    // that of their machine type, for which a balancer with little traffic has more samples. Drawback: a
    // machine type that was only used while in trouble is avoided for a while.
    double slowness(const Upstream& upstream) const
    {
        const double type_slowness = machine_types[upstream.endpoint.machine_type].slowness;
        return type_slowness + (upstream.slowness - type_slowness) *
                                   std::exp2(-((now - upstream.slowness_updated_at) / slowness_half_life));
    }

    // Strongly prefers idle upstreams, as load information is old and differs between balancers; less so
    // where peers report their load and all would otherwise choose the same few.
    double idleness_weight(double idleness, const Upstream& upstream) const
    {
        idleness /= 1 + zone_utilisation_load[is_in_other_zone(upstream)];
        const double zone_preference = is_in_other_zone(upstream) ? 1
                                       : live_peers > 0           ? own_zone_preference_with_peers
                                                                  : own_zone_preference;
        return zone_preference * (live_peers > 0 ? idleness * idleness * idleness
                                                 : fourth_power(idleness) * fourth_power(idleness));
    }

    // As many as own traffic reaches within contact_interval_seconds: load information about more upstreams
    // would be too sparse and too old.
    size_t active_upstream_count() const
    {
        return std::max(min_active_upstreams,
                        static_cast<size_t>(arrival_rate.rate(now) * contact_interval_seconds));
    }

    // Whether a response would come too late because of the upstream's load, or would slow the upstream down.
    bool is_crowded(const Invocation& invocation, const Upstream& upstream) const
    {
        if (settings.tier > 0 || (live_peers == 0 && !queues_reported)) return false;
        const double response_seconds = operation_statistics[invocation.operation_index].low_quantile_seconds;
        const double responses_in_time =
            response_seconds > 0 ? (invocation.useful_until - now).seconds() / response_seconds : 1e9;
        if (live_peers > 0)
            return expected_load(upstream) >
                   std::min(responses_in_time - 1,
                            max_upstream_load * rules().warm_capacity_share(upstream.endpoint));
        return expected_load(upstream) > std::max(1.0, responses_in_time - 1.5);
    }

    // A weighted random choice among the first upstreams in this balancer's order that the rules admit. For
    // each one that is reduced by half or more, the next in the order is added.
    template <class IsEligible>
    std::optional<UpstreamId> draw(const Invocation& invocation, IsEligible is_eligible)
    {
        double total = 0;
        candidates.clear();
        for (const auto* order : {&own_zone, &other_zones}) {
            size_t wanted = active_upstream_count(), active_left = wanted;
            // Multiples of the golden ratio spread any run of consecutive balancers evenly over the order.
            const double rotation = settings.self_index * 0.6180339887498949;
            const auto first =
                static_cast<size_t>((rotation - std::floor(rotation)) * static_cast<double>(order->size()));
            for (size_t n = 0; n < order->size(); ++n) {
                const UpstreamId id = (*order)[(first + n) % order->size()];
                const Upstream& upstream = upstreams[id];
                // A warming upstream beyond the active ones is skipped even if these are crowded: otherwise
                // all balancers would spend their budgets on it.
                const bool is_active =
                    (active_left > 0 && active_left--) || (live_peers == 0 && !queues_reported);
                if (upstream.endpoint.phase != EndpointPhase::ready || !is_eligible(id)) continue;
                if ((rules().is_warming(upstream.endpoint) && !is_active) ||
                    is_crowded(invocation, upstream) || !may_send(invocation, id))
                    continue;
                const double idleness =
                    upstream.endpoint.capacity / (upstream.endpoint.capacity + expected_load(upstream));
                const double slowness_divisor =
                    mean_reported_load < min_informative_load || !latencies_reported
                        ? fourth_power(slowness(upstream))
                        : 1;
                const double weight = upstream.endpoint.capacity *
                                      rules().warm_capacity_share(upstream.endpoint) *
                                      idleness_weight(idleness, upstream) / slowness_divisor;
                total += weight;
                candidates.emplace_back(id, weight);
                if (reduction(upstream) < 0.5 && --wanted == 0) break;
            }
        }
        if (candidates.empty()) return {};
        double position = uniform_random() * total;
        for (const auto& [id, weight] : candidates)
            if ((position -= weight) < 0) return id;
        return candidates.back().first;
    }

    static bool was_tried(const Invocation& invocation, UpstreamId upstream_id)
    {
        return std::any_of(invocation.forwards.begin(), invocation.forwards.end(),
                           [&](auto& each) { return each.upstream_id == upstream_id; });
    }

    // Draws an upstream; with a chance equal to its reduction, draws again among those with less.
    std::optional<UpstreamId> pick_upstream(const Invocation& invocation)
    {
        auto upstream_id =
            draw(invocation, [&](UpstreamId candidate) { return !was_tried(invocation, candidate); });
        if (!upstream_id) return draw(invocation, [](UpstreamId) { return true; });
        const double drawn_reduction = reduction(upstreams[*upstream_id]);
        if (drawn_reduction > 0 && uniform_random() < drawn_reduction) {
            const auto less_reduced = draw(invocation, [&](UpstreamId candidate) {
                return !was_tried(invocation, candidate) && reduction(upstreams[candidate]) < drawn_reduction;
            });
            if (less_reduced) return less_reduced;
        }
        return upstream_id;
    }

    // Refuses with a chance equal to the smallest reduction, if every ready upstream's entry was raised by
    // declined forwards or by pairs of timeouts and resets.
    bool should_refuse()
    {
        double smallest = 2;
        for (const Upstream& upstream : upstreams) {
            if (upstream.endpoint.phase != EndpointPhase::ready) continue;
            const double current = entry_reduction(upstream);
            if (current <= 0 || !upstream.entry.allows_refusal) return false;
            smallest = std::min(smallest, current);
        }
        return smallest <= 1 && uniform_random() < smallest;
    }

    // ---- Life of an invocation ----

    void accept(InvocationId id, const InvocationRequest& request)
    {
        if (id >= invocations.size()) invocations.resize(id + 1);
        Invocation& invocation = invocations[id];
        invocation.is_known = true;
        invocation.operation = settings.operations[request.operation];
        invocation.may_overlap_forwards = settings.may_overlap_forwards;
        invocation.max_forwards = settings.max_forwards;
        invocation.operation_index = request.operation;
        invocation.subject_key = request.subject_key;
        set_deadlines(invocation, request.is_incomplete ? incomplete_request_timeout : request.time_left,
                      !request.is_incomplete);
        invocation.finished = false;
        update_capacity();
        invocation.accepted_at_low_load = total_in_flight() < two_per_upstream();
        invocation.redirects = 0;
        invocation.forwards.clear();
        arrival_rate.record(now);
        arrival_in_flight_sum += total_in_flight(), ++arrival_count;
        smoothed_in_flight += (total_in_flight() - smoothed_in_flight) / in_flight_smoothing;
        retry_tokens = std::min(max_retry_tokens, retry_tokens + retry_budget_share);
        const bool exceeds_tenant_share = over_tenant_share(request.tenant);
        if (const double throttle_chance = key_reduction(request.subject_key);
            throttle_chance > 0 && uniform_random() < throttle_chance)
            return throttle(id, throttle_counts.failing_key);
        if (over_concurrency_limit(exceeds_tenant_share))
            return throttle(id, throttle_counts.concurrency_limit);
        if (should_refuse()) return throttle(id, throttle_counts.all_reduced);
        if (settings.peer_message_price > 0)
            message_budget = std::min(message_budget + max_message_cost_share / settings.peer_message_price *
                                                           max_peer_message_bytes,
                                      1e6);
        probe_budget = std::min(
            probe_budget + (settings.probe_price > 0 ? max_probe_cost_share / settings.probe_price : 1e6),
            static_cast<double>(upstreams.size()));
        route(id);
    }

    // Rule 5: the client may wait for longer than its stated time left, up to its client timeout. Otherwise a
    // wrong clock would give invocations up too early. When the client does leave, its forwards are
    // cancelled.
    void set_deadlines(Invocation& invocation, Duration time_left, bool by_objective)
    {
        invocation.arrived_at = now;
        invocation.useful_until = invocation.deadline =
            now + std::max(time_left, std::min(time_left + settings.time_left_margin,
                                               invocation.operation.client_timeout));
        if (by_objective && invocation.operation.latency_objective > Duration{} &&
            invocation.operation.late_response_value <= 0)
            invocation.useful_until =
                std::min(invocation.deadline, now + invocation.operation.latency_objective);
    }

    // A non-idempotent request may still take effect and is waited for until the deadline; others are given
    // up once their response is worthless.
    Duration attempt_timeout(const Invocation& invocation) const
    {
        return (invocation.operation.idempotency == Idempotency::non_idempotent ? invocation.deadline
                                                                                : invocation.useful_until) -
               now;
    }

    void on_request_complete(InvocationId id, Duration time_left)
    {
        set_deadlines(invocations[id], time_left, true);
        for (uint32_t i = 0; i < invocations[id].forwards.size(); ++i)
            if (invocations[id].forwards[i].in_flight)
                delegate.set_forward_timeout(id, i, attempt_timeout(invocations[id]));
    }

    // A response that comes is worth waiting for as long as its client does.
    void on_response_begun(InvocationId id, uint32_t forward_index)
    {
        delegate.set_forward_timeout(id, forward_index, invocations[id].deadline - now);
    }

    void on_response_stalled(InvocationId id, uint32_t forward_index)
    {
        if (!invocations[id].finished && is_better_retried(invocations[id], forward_index))
            delegate.give_up_forward(id, forward_index);
    }

    // Whether a response that has begun and does not go on is better given up for another attempt: only where
    // one is allowed, and only once no more time is left than that one needs. Until then, it may go on.
    bool is_better_retried(const Invocation& invocation, uint32_t forward_index) const
    {
        if (invocation.operation.idempotency == Idempotency::non_idempotent ||
            invocation.forwards.size() >= std::min(invocation.max_forwards, settings.max_forwards) ||
            !has_retry_budget(invocation))
            return false;
        TimePoint latest = invocation.useful_until;
        if (invocation.operation.idempotency == Idempotency::deduplicated)
            latest = std::min(latest, invocation.forwards[forward_index].sent_at +
                                          invocation.operation.deduplication_window);
        const Duration retry_time =
            std::max(min_retry_time, seconds(retry_time_factor * latency_high_quantile));
        return latest - now <= retry_time;
    }

    // Whether the invocation may be sent again although its attempts may have run.
    bool has_retry_budget(const Invocation& invocation) const
    {
        const double response_seconds = operation_statistics[invocation.operation_index].mean_seconds;
        return invocation.operation.idempotency != Idempotency::non_idempotent && retry_tokens >= 1 &&
               key_reduction(invocation.subject_key) <= 0 &&
               (invocation.useful_until - now).seconds() > response_seconds;
    }

    void route(InvocationId id)
    {
        const auto upstream_id = pick_upstream(invocations[id]);
        if (!upstream_id) return throttle(id, throttle_counts.no_upstream);
        const Duration timeout = attempt_timeout(invocations[id]);
        if (timeout <= Duration{} ||
            !send(id, *upstream_id, timeout,
                  [this, id](TimePoint, AttemptResult result) { on_forward_result(id, result); }))
            throttle(id, throttle_counts.no_upstream);
    }

    void on_forward_result(InvocationId id, AttemptResult result)
    {
        Invocation& invocation = invocations[id];
        if (proves_not_run(result)) {
            if (result == AttemptResult::not_sent || ++invocation.redirects > max_redirects ||
                now >= invocation.useful_until)
                return throttle(id, throttle_counts.attempts_ended);
            return route(id);
        }
        if (result == AttemptResult::invalid_request) return finish(id, false);
        if (has_retry_budget(invocation)) {
            retry_tokens -= 1;
            return route(id);
        }
        throttle(id, throttle_counts.attempts_ended);
    }

    void on_forward_ended(InvocationId id, uint32_t forward_index, AttemptResult result, Duration duration,
                          bool answered, const LoadReport& report)
    {
        Invocation& invocation = invocations[id];
        Forward& forward = invocation.forwards[forward_index];
        Upstream& upstream = upstreams[forward.upstream_id];
        forward.in_flight = false;
        forward.proven_not_run = proves_not_run(result);
        const bool is_blocked = is_stalled(upstream) || key_reduction(invocation.subject_key) > 0;
        if (result == AttemptResult::succeeded || result == AttemptResult::errored ||
            result == AttemptResult::timed_out)
            record_key_outcome(invocation.subject_key,
                               result != AttemptResult::succeeded ||
                                   duration > invocation.operation.latency_objective * slow_response_share);
        --upstream.in_flight;
        if (forward.overdue) --upstream.overdue, --overdue;
        --in_flight;
        schedule_broadcast();
        // How a process ended says nothing about the one that took its place.
        if (forward.process == upstream.process) {
            if (result == AttemptResult::succeeded || result == AttemptResult::errored ||
                result == AttemptResult::declined || result == AttemptResult::invalid_request)
                upstream.waiting_since = now;
            upstream.last_ended_at = now;
            const bool failed = result == AttemptResult::timed_out || result == AttemptResult::reset;
            if (result == AttemptResult::succeeded || failed) record_idle_outcome(forward.after_idle, failed);
            record_result(invocation, upstream, result, duration, is_blocked);
            record_load_report(upstream, report);
        }
        const auto on_result = std::move(forward.on_result);
        if (answered && !invocation.finished) return close(id);
        if (invocation.finished) return release_if_done(id);
        if (std::none_of(invocation.forwards.begin(), invocation.forwards.end(),
                         [](auto& each) { return each.in_flight; }))
            on_result(now, result);
    }

    // ---- Endpoint list ----

    void update_endpoint(const EndpointState& endpoint)
    {
        if (endpoint.upstream_id >= max_upstreams) return;
        if (endpoint.upstream_id >= upstreams.size()) upstreams.resize(endpoint.upstream_id + 1);
        Upstream& upstream = upstreams[endpoint.upstream_id];
        const bool was_in_other_zone = is_in_other_zone(upstream);
        if (upstream.is_registered && upstream.endpoint.global_id != endpoint.global_id) {
            // The index of a removed upstream is reused, so that memory does not grow with every replacement.
            remove_from_order(endpoint.upstream_id);
            for (Peer& peer : peers) set_peer_in_flight(peer, endpoint.upstream_id, 0);
            upstream = with_forwards_of(upstream);
        }
        if (upstream.is_registered && endpoint.phase == EndpointPhase::gone) {
            upstream.endpoint.phase = EndpointPhase::gone;
            return;
        }
        if (is_other_process(upstream, endpoint)) {
            // Earlier signals say nothing about it.
            Upstream restarted = with_forwards_of(upstream);
            restarted.is_registered = upstream.is_registered, restarted.is_ordered = upstream.is_ordered;
            restarted.peer_in_flight = upstream.peer_in_flight,
            restarted.broadcast_in_flight = upstream.broadcast_in_flight;
            upstream = restarted;
            upstream.slow_start_tokens.updated_at = now;
            // Random, so that balancers that are notified together do not all send at once.
            upstream.slow_start_tokens.count = uniform_random();
        }
        upstream.endpoint = endpoint;
        if (upstream.is_ordered && is_in_other_zone(upstream) != was_in_other_zone) {
            remove_from_order(endpoint.upstream_id);
            insert_in_order(endpoint.upstream_id);
        }
        if (endpoint.machine_type >= max_machine_types) upstream.endpoint.machine_type = 0;
        if (machine_types.size() <= upstream.endpoint.machine_type)
            machine_types.resize(upstream.endpoint.machine_type + 1);
        upstream.is_registered = true;
        if (endpoint.phase != EndpointPhase::gone && !std::exchange(upstream.is_ordered, true))
            insert_in_order(endpoint.upstream_id);
    }

    static bool is_other_process(const Upstream& upstream, const EndpointState& endpoint)
    {
        return (endpoint.started_at && endpoint.started_at != upstream.endpoint.started_at) ||
               endpoint.incarnation != upstream.endpoint.incarnation;
    }

    // Forwards in flight end later, whoever is at the index then.
    static Upstream with_forwards_of(const Upstream& previous)
    {
        Upstream upstream;
        upstream.in_flight = previous.in_flight, upstream.overdue = previous.overdue;
        upstream.process = previous.process + 1;
        return upstream;
    }

    void remove_from_order(UpstreamId upstream_id)
    {
        std::erase(own_zone, upstream_id), std::erase(other_zones, upstream_id);
        std::erase_if(wire_names, [&](const auto& name) { return name.second == upstream_id; });
    }

    void insert_in_order(UpstreamId upstream_id)
    {
        const auto rank = [this](UpstreamId id) {
            return upstreams[id].endpoint.global_id * 0x9e3779b97f4a7c15u;
        };
        const std::pair<uint16_t, UpstreamId> wire_name{static_cast<uint16_t>(rank(upstream_id) >> 48),
                                                        upstream_id};
        wire_names.insert(std::lower_bound(wire_names.begin(), wire_names.end(), wire_name), wire_name);
        auto& order = is_in_other_zone(upstreams[upstream_id]) ? other_zones : own_zone;
        order.insert(std::upper_bound(order.begin(), order.end(), upstream_id,
                                      [&](UpstreamId a, UpstreamId b) { return rank(a) < rank(b); }),
                     upstream_id);
    }

    void set_endpoints(const std::vector<EndpointState>& all)
    {
        for (Upstream& upstream : upstreams) upstream.endpoint.phase = EndpointPhase::gone;
        for (const EndpointState& endpoint : all) update_endpoint(endpoint);
    }

    Duration watch_backoff = initial_backoff;
    std::optional<double> list_request_phase;  // this balancer's share of the spread

    // Discovery may answer balancers in turn, and still do the work of a request that was given up. Those of
    // a large fleet are spread over this time, so that none waits too long for its turn.
    Duration list_request_spread() const
    {
        return std::min(list_request_allowance * settings.balancer_count, max_list_request_spread);
    }

    Duration list_request_backoff()
    {
        const Duration spread = list_request_spread();
        const bool first_failure = watch_backoff == initial_backoff;
        if (first_failure || spread <= max_backoff) return watch_backoff * (0.5 + uniform_random());
        // Until this balancer's own moment, drawn once: after a failure at all balancers at a time, random
        // pauses would take several rounds to spread the requests.
        if (!list_request_phase) list_request_phase = uniform_random();
        const auto phase = static_cast<int64_t>(*list_request_phase * static_cast<double>(spread.us));
        return Duration{spread.us - (now.us + phase) % spread.us};
    }

    void on_endpoint_list_fetched(bool succeeded)
    {
        if (!settings.must_watch_endpoint_list) return;
        if (!succeeded) schedule(now + list_request_backoff(), [this] { delegate.watch_endpoint_list(); });
        watch_backoff =
            succeeded ? initial_backoff
                      : std::min({settings.max_watch_retry_interval * 0.5, max_backoff, watch_backoff * 2});
    }

    // A balancer that was started with a list can wait for its turn; one without has nothing to serve with.
    void request_first_list()
    {
        const Duration spread = list_request_spread();
        if (spread <= max_backoff || upstreams.empty()) return delegate.watch_endpoint_list();
        schedule(now + spread * uniform_random(), [this] { delegate.watch_endpoint_list(); });
    }

    void start()
    {
        started_at = tenant_rates_updated_at = now;
        if (settings.must_watch_endpoint_list)
            schedule(now + initial_backoff * uniform_random(), [this] { request_first_list(); });
        schedule_reports();
    }

    bool uses_probes() const
    {
        return settings.load_reports_by_probe && settings.may_probe && !settings.may_message_peers;
    }

    void schedule_reports()
    {
        if (uses_probes() && !std::exchange(probes_scheduled, true)) schedule_probes();
        if (settings.may_message_peers && !std::exchange(snapshots_scheduled, true))
            schedule(now + peer_snapshot_interval * uniform_random(), [this] { broadcast_snapshot(); });
    }

    // Moves statistics to the new indices of operations and tenants. For rule 2, open invocations keep the
    // stricter of the old and the new settings.
    void carry_over(const IndexMapping& operations, const IndexMapping& old_tenant_indices)
    {
        const auto old_statistics = std::exchange(
            operation_statistics, std::vector<OperationStatistics>(settings.operations.size() + 1));
        const auto old_tenants = std::exchange(tenants, std::vector<Tenant>(settings.tenant_quotas.size()));
        const auto removed = static_cast<uint32_t>(settings.operations.size());
        std::vector<uint32_t> new_index(old_statistics.size(), removed);
        for (uint32_t i = 0; i < operations.size(); ++i)
            if (const auto old_index = operations[i])
                operation_statistics[i] = old_statistics[*old_index], new_index[*old_index] = i;
        for (Invocation& invocation : invocations) {
            if ((invocation.operation_index = new_index[invocation.operation_index]) == removed) continue;
            const Operation& new_operation = settings.operations[invocation.operation_index];
            invocation.operation.idempotency =
                std::max(invocation.operation.idempotency, new_operation.idempotency);
            invocation.operation.deduplication_scope =
                std::max(invocation.operation.deduplication_scope, new_operation.deduplication_scope);
            restrict_to(invocation.operation.allowed_zones, new_operation.allowed_zones);
            restrict_to(invocation.operation.allowed_machine_kinds, new_operation.allowed_machine_kinds);
            invocation.operation.deduplication_window =
                std::min(invocation.operation.deduplication_window, new_operation.deduplication_window);
        }
        for (uint32_t i = 0; i < tenants.size(); ++i) {
            if (i < old_tenant_indices.size() && old_tenant_indices[i])
                tenants[i] = old_tenants[*old_tenant_indices[i]];
            tenants[i].quota = settings.tenant_quotas[i];
        }
        longest_objective = {};
        for (const Operation& new_operation : settings.operations)
            longest_objective = std::max(longest_objective, new_operation.latency_objective);
        own_zone_preference = std::exp(std::min(10.0, settings.cross_zone_price * cross_zone_price_weight));
        own_zone_preference_with_peers = std::pow(own_zone_preference, 3.0 / 8);
    }

    void update_settings(Settings new_settings, const IndexMapping& operations,
                         const IndexMapping& old_tenant_indices)
    {
        const bool was_watching = settings.must_watch_endpoint_list;
        settings = std::move(new_settings);
        carry_over(operations, old_tenant_indices);
        queues_reported = latencies_reported = false;
        // Tenant indices changed, and peers may still have the old settings: their reports are dropped.
        for (Peer& peer : peers) forget_peer(peer), peer.heard_at = TimePoint{INT64_MIN / 2};
        live_peers = 0;
        own_zone.clear(), other_zones.clear(), wire_names.clear();
        for (UpstreamId id = 0; id < upstreams.size(); ++id)
            if (upstreams[id].is_ordered) insert_in_order(id);
        if (settings.must_watch_endpoint_list && !was_watching) delegate.watch_endpoint_list();
        schedule_reports();
    }

    void schedule_probes()
    {
        schedule(now + probe_interval * (0.75 + 0.5 * uniform_random()), [this] {
            if (!(probes_scheduled = uses_probes())) return;
            // Only upstreams in use are probed, in turn as far as the budget allows: hundreds of balancers
            // that probed every upstream would cost more than the reports are worth.
            for (size_t i = 0; i < upstreams.size() && probe_budget >= 1; ++i) {
                const UpstreamId id = next_probe++ % static_cast<UpstreamId>(upstreams.size());
                const Upstream& upstream = upstreams[id];
                const bool in_use = upstream.in_flight > 0 || now - upstream.last_ended_at < probe_interval;
                if (in_use && upstream.endpoint.phase == EndpointPhase::ready)
                    delegate.probe(id), probe_budget -= 1;
            }
            schedule_probes();
        });
    }

    // ---- Messages between balancers, where the settings allow them ----
    // The next snapshot makes up for a lost message. Upstream names that are not on the own list are ignored.

    void schedule_broadcast()
    {
        if (!settings.may_message_peers || broadcast_due) return;
        broadcast_due = true;
        schedule(std::max(now, last_broadcast_at + peer_update_interval),
                 [this] { broadcast_in_flight(false); });
    }

    void broadcast_in_flight(bool is_snapshot)
    {
        broadcast_due = false;
        if (!settings.may_message_peers) return;
        last_broadcast_at = now;
        if (!is_snapshot && settings.peer_message_price > 0 && message_budget < 0) return;
        PeerMessage message{is_snapshot, {}, {}};
        if (is_snapshot) {
            // Peers reset what a snapshot does not name; entries that do not fit follow as changes.
            for (Upstream& upstream : upstreams) upstream.broadcast_in_flight = 0;
            for (const Tenant& tenant : tenants) message.tenant_rates.push_back(tenant.rate);
        }
        for (const auto& [name, upstream_id] : wire_names) {
            Upstream& upstream = upstreams[upstream_id];
            const auto current =
                static_cast<uint8_t>(std::min<uint32_t>(upstream.in_flight - upstream.overdue, UINT8_MAX));
            if (current == upstream.broadcast_in_flight) continue;
            if (!message.has_room_for_entry()) {
                schedule_broadcast();
                break;
            }
            message.in_flight.emplace_back(name, upstream.broadcast_in_flight = current);
        }
        if (!is_snapshot && message.in_flight.empty()) return;
        const auto bytes = encode_peer_message(message);
        message_budget -= static_cast<double>(std::max(min_charged_message_bytes, bytes.size()) *
                                              (std::max(2u, settings.balancer_count) - 1));
        delegate.broadcast(bytes);
    }

    void broadcast_snapshot()
    {
        if (!(snapshots_scheduled = settings.may_message_peers)) return;
        update_tenant_shares();
        broadcast_in_flight(true);
        const auto silent = [&](const Peer& peer) { return now - peer.heard_at >= peer_state_lifetime; };
        for (Peer& peer : peers)
            if (silent(peer)) forget_peer(peer);
        live_peers = peers.size() - static_cast<size_t>(std::count_if(peers.begin(), peers.end(), silent));
        schedule(now + peer_snapshot_interval * (0.75 + 0.5 * uniform_random()),
                 [this] { broadcast_snapshot(); });
    }

    void set_peer_in_flight(Peer& peer, UpstreamId upstream_id, uint8_t count)
    {
        if (peer.in_flight.size() <= upstream_id) peer.in_flight.resize(upstreams.size());
        const uint32_t previous = std::exchange(peer.in_flight[upstream_id], count);
        upstreams[upstream_id].peer_in_flight += count - previous;
        peer_in_flight += static_cast<double>(count) - previous;
    }

    void forget_peer(Peer& peer)
    {
        for (UpstreamId id = 0; id < peer.in_flight.size(); ++id)
            if (peer.in_flight[id]) set_peer_in_flight(peer, id, 0);
        peer.tenant_rates.clear();
    }

    void on_peer_message(uint32_t sender, std::string_view bytes)
    {
        const auto message = decode_peer_message(bytes);
        if (!settings.may_message_peers || sender >= settings.balancer_count ||
            sender == settings.self_index || !message)
            return;
        if (sender >= peers.size()) peers.resize(sender + 1);
        Peer& peer = peers[sender];
        if (message->is_snapshot) forget_peer(peer), peer.tenant_rates = message->tenant_rates;
        if (now - peer.heard_at >= peer_state_lifetime || live_peers == 0) ++live_peers;
        peer.heard_at = now;
        for (const auto& [name, count] : message->in_flight) {
            const auto entry =
                std::lower_bound(wire_names.begin(), wire_names.end(), std::pair(name, UpstreamId{}));
            if (entry != wire_names.end() && entry->first == name)
                set_peer_in_flight(peer, entry->second, count);
        }
    }

    void on_timer_fired(uint64_t timer_id)
    {
        const auto timer = timers.find(timer_id);
        if (timer == timers.end()) return;
        const auto callback = std::move(timer->second);
        timers.erase(timer);
        callback();
    }
};

Balancer::Balancer(Settings settings, uint64_t seed, BalancerDelegate& delegate)
    : state_(std::make_unique<State>(std::move(settings), seed, delegate))
{
}

Balancer::~Balancer() = default;

Balancer::State& Balancer::state_at(TimePoint now)
{
    state_->now = now;
    return *state_;
}

void Balancer::start(TimePoint now) { state_at(now).start(); }

// The checks of what the host names stand here, before the state is touched.

void Balancer::update_settings(TimePoint now, Settings settings, const IndexMapping& operations,
                               const IndexMapping& tenants)
{
    State& state = state_at(now);
    const auto known_operations =
        known_indices(operations, settings.operations.size(), state.settings.operations.size());
    const auto known_tenants = known_indices(tenants, settings.tenant_quotas.size(), state.tenants.size());
    state.update_settings(std::move(settings), known_operations, known_tenants);
}

void Balancer::set_endpoints(TimePoint now, const std::vector<EndpointState>& all)
{
    state_at(now).set_endpoints(all);
}

void Balancer::update_endpoints(TimePoint now, const std::vector<EndpointState>& changes)
{
    for (const EndpointState& endpoint : changes) state_at(now).update_endpoint(endpoint);
}

void Balancer::on_endpoint_list_fetched(TimePoint now, bool succeeded)
{
    state_at(now).on_endpoint_list_fetched(succeeded);
}

void Balancer::accept(TimePoint now, InvocationId invocation, const InvocationRequest& request)
{
    if (!state_at(now).can_accept(invocation, request)) return;
    InvocationRequest bounded = request;
    bounded.time_left = bounded_time(request.time_left);
    state_->accept(invocation, bounded);
}

void Balancer::on_forward_ended(TimePoint now, InvocationId invocation, uint32_t forward,
                                AttemptResult result, Duration duration, bool answered,
                                const LoadReport& report)
{
    if (!state_at(now).is_in_flight(invocation, forward)) return;
    state_->on_forward_ended(invocation, forward, result, std::max(Duration{}, bounded_time(duration)),
                             answered, sound_report(report));
}

void Balancer::on_client_disconnected(TimePoint now, InvocationId invocation)
{
    if (state_at(now).knows_invocation(invocation) && !state_->invocations[invocation].finished)
        state_->close(invocation);
}

void Balancer::on_probe_completed(TimePoint now, UpstreamId upstream_id, AttemptResult result,
                                  const LoadReport& report)
{
    if (state_at(now).knows_upstream(upstream_id) && result == AttemptResult::succeeded)
        state_->record_load_report(state_->upstreams[upstream_id], sound_report(report));
}

void Balancer::on_peer_message(TimePoint now, uint32_t peer, std::string_view message)
{
    state_at(now).on_peer_message(peer, message);
}

void Balancer::on_request_complete(TimePoint now, InvocationId invocation, Duration time_left)
{
    if (state_at(now).knows_invocation(invocation))
        state_->on_request_complete(invocation, bounded_time(time_left));
}

void Balancer::on_response_begun(TimePoint now, InvocationId invocation, uint32_t forward)
{
    if (state_at(now).is_in_flight(invocation, forward)) state_->on_response_begun(invocation, forward);
}

void Balancer::on_response_stalled(TimePoint now, InvocationId invocation, uint32_t forward)
{
    if (state_at(now).is_in_flight(invocation, forward)) state_->on_response_stalled(invocation, forward);
}

bool Balancer::may_still_send(TimePoint now, InvocationId invocation, uint32_t forward)
{
    return state_at(now).is_in_flight(invocation, forward) && state_->may_still_send(invocation, forward);
}

double Balancer::reduction(TimePoint now, UpstreamId upstream_id)
{
    if (!state_at(now).knows_upstream(upstream_id)) return 0;
    return state_->reduction(state_->upstreams[upstream_id]);
}

const ThrottleCounts& Balancer::throttle_counts() const { return state_->throttle_counts; }

void Balancer::set_subset_fraction(double fraction) { state_->subset_fraction = fraction; }

void Balancer::on_timer_fired(TimePoint now, uint64_t timer_id) { state_at(now).on_timer_fired(timer_id); }

}  // namespace firtide
