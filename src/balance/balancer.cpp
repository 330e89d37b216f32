// The load balancing algorithm; docs/design.md describes it with its exceptions.

#include "balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>
#include <unordered_map>
#include <utility>

#include "peer_message.h"

namespace firtide
{
namespace
{

constexpr double step = 0.1;                    // of a declined forward, a pair of failures or a long queue
constexpr double sure_step = 0.34;              // of a signal that is conclusive by itself
constexpr Duration expiry = seconds(1.5);       // of an entry after its last signal
constexpr Duration divert_expiry = seconds(5);  // the same for signals that only divert requests
constexpr Duration fall_every = seconds(0.5);   // an expired entry admits twice as much after each
constexpr double first_trickle = 0.02;          // of requests, when a full reduction expires
constexpr Duration report_age = seconds(0.5);   // of a report's deviation from the mean
constexpr Duration slowness_age = seconds(8);   // of an upstream's deviation from its machine type
constexpr double own_gain = 0.1, kind_gain = 0.01;  // weight of one response in the mean
constexpr double tells_load = 0.25;                 // a lower mean of reported loads tells nothing
constexpr size_t recent = 16, enough = 5;           // responses an upstream is judged by
constexpr double well_above = 1.8;                  // a queue is long above this multiple of the mean
constexpr double long_queue = 3;                    // plus this many, for means near zero
constexpr Duration distrust_for = seconds(10);      // after idle connections were seen to fail
constexpr size_t least_width = 8;                   // in the own zone, and as many in the others
constexpr double meet_within = 1;                   // in which own traffic reaches each active upstream
constexpr double crossing_weighs = 200;             // the own zone's weight is e to this times the price
constexpr Duration lately = seconds(10);            // an upstream that had requests within it is in use
constexpr Duration probe_every = seconds(1);        // approximate: jittered
constexpr Duration tell_every = seconds(0.1);       // between messages about changed requests in flight
constexpr Duration tell_all_every = seconds(2);     // approximate: jittered
constexpr Duration believed = seconds(5);           // after a balancer's last message
constexpr double least_late = 0.02;                 // a shorter pause may be this machine's own
constexpr double overdue_at = 2;                    // times the high latency quantile: counts as lost
constexpr size_t most_subjects = 32;                // the most recently failed keys that are tracked
constexpr double nearly_late = 0.7;                 // a longer response counts as failed for its key
constexpr double most_spent = 0.02;                 // of the value of the accepted invocations
constexpr double most_probed = 0.0005;              // of the value of the accepted invocations
constexpr size_t least_message = 8;                 // a shorter message is charged as this many
constexpr double usual_crowd = 5;                   // requests at an upstream, where peers report theirs
constexpr Duration rate_over = seconds(4);
constexpr Duration may_send_for = seconds(3600);  // the host ends a request that never completes
constexpr double cold_spend = 0.7;                // of the multiple at which an upstream collapses
constexpr Duration first_backoff = seconds(0.5),
                   longest_backoff = seconds(2);  // of endpoint list requests, before jitter
constexpr double retry_share = 0.1,
                 most_retries = 5;      // retries per accepted invocation, and the most saved up
constexpr uint32_t most_redirects = 3;  // after results that prove that nothing ran

// The concurrency limit is adjusted after this many responses, or with fewer after max_round_duration.
constexpr double round_of = 60, least_round = 12;
constexpr Duration long_round = seconds(3);
constexpr double pressed = 0.2;                     // of the range from the baseline to the objective
constexpr double never_pressed = 0.2;               // a mean below this ratio is never too long
constexpr double least_of_good = 0.5;               // of best_in_flight
constexpr double untried = 3;                       // times two_per_upstream(), until more went well
constexpr double least_able = 0.25;                 // of the capacity in use
constexpr double over_good = 1.15, for_chance = 1;  // times best_in_flight, and its root
constexpr double smooth = 10;                       // arrivals, over which requests in flight are averaged
constexpr double usual_calm = 0.2;                  // until enough responses were seen
constexpr double most_over_calm = 1.5;              // the target is at most this multiple of the baseline
constexpr double shared_from = 0.6;                 // of the limit: below, tenant shares are not enforced
constexpr double typical_use = 1.25;                // the median tenant's share over its use of it
constexpr double saved_up = 4;                      // invocations, for tenants with a small share here

bool proves_not_run(AttemptResult r)
{
    return r == AttemptResult::declined || r == AttemptResult::unreachable || r == AttemptResult::not_sent;
}

// One attempt of an invocation at an upstream.
struct Forward {
    UpstreamId upstream_id = 0;
    TimePoint sent;
    bool out = true, overdue = false, proven_not_run = false;
    bool rested = false;  // the upstream had been idle for longer than a mean response takes
    std::function<void(TimePoint, AttemptResult)> next;  // the next step of the invocation
};

// Kept from its acceptance until it has been answered and none of its forwards is in flight.
struct Invocation {
    Operation op;  // as it was on acceptance, or stricter after new settings
    bool may_overlap = false;
    uint32_t max_forwards = 1;
    uint32_t operation = 0;
    uint64_t key = 0;
    TimePoint arrived, leaves,
        useful;  // the client waits until deadline; a later response than useful_until is worthless
    bool over = true;
    bool early = false;
    uint32_t redirects = 0;
    std::vector<Forward> forwards;
};

struct Entry {
    double reduction = 0;
    TimePoint expires;
    bool hard = false;  // raised by declined forwards, or by pairs of timeouts and resets
};

// Tracked while its key is among the last that failed.
struct FailingKey {
    uint64_t key = 0;
    double failed = 0, answered = 0;  // of its last responses
    Entry entry;
    TimePoint failed_at;
};

// Kept when the upstream leaves the list, until its index is reused for another one.
struct Upstream {
    EndpointState listing;
    bool known = false;
    Entry entry;
    std::optional<TimePoint> unpaired;  // a single timeout or reset raises nothing
    std::optional<double> load;
    double busy = 0;  // by the slots in use, where a queue is reported
    bool load_counts_own = false;
    TimePoint load_at;
    uint32_t out = 0, overdue = 0, out_at_report = 0;
    size_t answered = 0;
    double errors = 0,
           slowness = 1;  // of the last responses: share of errors, mean latency over the operation's mean
    TimePoint slowness_at;
    TimePoint last_end{INT64_MIN / 2};
    TimePoint waiting_since;  // the later of its last response and its first forward still in flight

    double cold_tokens = 0;
    TimePoint cold_at;

    uint32_t peers_out = 0;  // of the other balancers, as they reported it
    uint8_t told_out = 0;    // own, as reported last
};

// The last report of another balancer, forgotten after peer_state_lifetime.
struct Peer {
    std::vector<uint8_t> out;   // by upstream
    std::vector<double> rates;  // by tenant
    TimePoint heard{INT64_MIN / 2};
};

class Rate
{
  public:
    void count(TimePoint now) { sum_ = decayed(now) + 1, at_ = now; }
    double rate(TimePoint now) const { return decayed(now) / rate_over.seconds(); }

  private:
    double decayed(TimePoint now) const { return sum_ > 0 ? sum_ * std::exp(-((now - at_) / rate_over)) : 0; }
    double sum_ = 0;
    TimePoint at_;
};

struct Tenant {
    double quota = 0, came = 0, rate = 0;  // invocations per second
    double saved = 1;                      // of its share here, as of tokens_at
    TimePoint at;
};

struct OperationView {
    double usual = 0, quick = 0;  // of response times: a slow moving mean and a low quantile
};

struct Kind {
    double slowness = 1, answered = 10;
};

}  // namespace

// All state of a Balancer.
struct Balancer::State {
    State(Settings settings, uint64_t seed, BalancerDelegate& outlet)
        : set(std::move(settings)),
          out(outlet),
          chance(static_cast<std::ranlux24_base::result_type>(seed ^ (seed >> 32)))
    {
        take_over({}, {});
        chance.discard(32);
    }

    Settings set;
    BalancerDelegate& out;
    std::ranlux24_base chance;
    TimePoint now, born;

    std::vector<Invocation> invs;
    std::vector<Upstream> ups;
    std::vector<OperationView> ops;

    std::unordered_map<uint64_t, std::function<void()>> timers;
    uint64_t next_name = 0;

    std::vector<Kind> kinds;
    std::vector<FailingKey> failing_keys;
    double mean_failed = 0, outcomes = 0;  // of invocations whose key has no reduction

    double mean_load = 0, mean_errors = 0;
    // Means in the own zone (0) and in the others (1): reported load, and load by the slots in use.
    std::array<double, 2> zone_load{}, zone_busy{};
    TimePoint fellows_at{INT64_MIN / 2};

    Rate warm_sends, asked;

    double retry_tokens = 1;
    double late_any = 0;  // seconds, of all response times

    double broke_rested = 0, broke_busy = 0;  // of forwards that were never answered
    TimePoint distrust_idle_until{INT64_MIN / 2};

    Duration slowest_objective;
    double pressure = usual_calm, slow_pressure = 0;  // moving means of response time over latency objective
    double calm = usual_calm;                         // the ratio at very low load
    TimePoint round_at, share_at, weighed_at{INT64_MIN / 2}, told_at{INT64_MIN / 2};
    std::vector<double> round_latencies;
    double first_felt = 0, first_n = 0;
    double capacity = 0;          // in warm upstreams, see update_capacity
    double listed = 1;            // the listed part of the upstreams that all balancers share
    double limit = 1e9;           // on the mean number of requests in flight
    double good_outstanding = 0;  // the highest mean at which the latency target was met; decays slowly
    double outstanding = 0, overdue = 0;
    double around = 0;          // as the last arrivals found it
    double met = 0, met_n = 0;  // as arrivals in this round found it
    std::vector<Tenant> tenants;
    double own_part = 0;   // part of all traffic that arrives here, by the median tenant's rate
    double stuck_out = 0;  // own requests in flight at stalled upstreams
    bool queues_told = false, times_told = false;  // by upstreams

    std::vector<Peer> peers;
    double peers_out = 0;  // of all of them
    size_t heard = 0;      // number that sent a message within peer_state_lifetime
    std::vector<std::pair<uint16_t, UpstreamId>> told_names;  // of upstreams in messages, sorted
    bool tell_due = false, telling = false, probing = false;
    double may_spend = 0;  // bytes that may be sent to peers
    double may_probe = 0;  // probes that may be sent
    UpstreamId probe_next = 0;

    std::vector<UpstreamId> near,
        far;  // all registered upstreams, by rank
    std::vector<std::pair<UpstreamId, double>> weights;
    double near_met = 1, near_told = 1;  // the own zone's weight in the draw

    double uniform_random() { return std::generate_canonical<double, 24>(chance); }

    void schedule(TimePoint at, std::function<void()> what)
    {
        timers.emplace(next_name, std::move(what));
        out.start_timer(at, next_name++);
    }

    // ---- Rules that every forward and every reply obeys ----

    // Rule 5: the upstream may have started later than listed.
    bool is_cold(const Upstream& u) const
    {
        return u.listing.started_at &&
               now - *u.listing.started_at < set.slow_start_duration + set.start_time_margin;
    }

    // The least share of its capacity that an upstream has, by the time since its last start.
    double warm_share(const Upstream& u) const
    {
        if (!is_cold(u)) return 1;
        const double age =
            std::max(0.0, (now - *u.listing.started_at - set.start_time_margin) / set.slow_start_duration);
        return set.slow_start_min_share + (1 - set.slow_start_min_share) * age;
    }

    bool is_far(const Upstream& u) const { return set.cross_zone_price > 0 && u.listing.zone != set.zone; }

    // Forwards per second to each active upstream if none were warming up, at most the current rate to a warm
    // one. Without the even rate, many balancers that each see few warm upstreams left would take the load on
    // these for the usual.
    double even_rate() const
    {
        double warm = 0;
        size_t in_own_zone = 0, beyond = 0;
        for (const Upstream& u : ups) {
            if (u.listing.phase != EndpointPhase::ready) continue;
            ++(is_far(u) ? beyond : in_own_zone);
            warm += !is_cold(u) && (u.out > 0 || now - u.last_end < lately);
        }
        const auto used = std::min(width(), in_own_zone) + std::min(width(), beyond);
        const double even = asked.rate(now) / static_cast<double>(std::max<size_t>(1, used));
        return warm > 0 ? std::min(even, warm_sends.rate(now) / warm) : even;
    }

    // Rule 4: a restarted upstream gets only a part of its share, or all balancers together would overload
    // it.
    bool cold_budget(Upstream& u)
    {
        if (!is_cold(u)) return true;
        const double a_second = even_rate() * warm_share(u) * set.collapse_multiple * cold_spend;
        u.cold_tokens += (now - u.cold_at).seconds() * a_second;
        u.cold_tokens = std::min(u.cold_tokens, std::max(1.0, a_second * set.collapse_window.seconds()));
        u.cold_at = now;
        return u.cold_tokens >= 1;
    }

    bool in_group(const Invocation& inv, UpstreamId a, UpstreamId b) const
    {
        const auto &x = ups[a].listing, &y = ups[b].listing;
        if (inv.op.deduplication_scope == DeduplicationScope::zone) return x.zone == y.zone;
        if (inv.op.deduplication_scope == DeduplicationScope::cell) return x.cell == y.cell;
        return true;
    }

    // Rule 2: whether the earlier forwards allow another one to this upstream.
    bool effect_allows(const Invocation& inv, UpstreamId upstream_id) const
    {
        for (const Forward& f : inv.forwards) {
            if (f.proven_not_run) continue;
            if (f.out && !(inv.may_overlap && set.may_overlap_forwards)) return false;
            if (inv.op.idempotency == Idempotency::idempotent) continue;
            if (inv.op.idempotency == Idempotency::non_idempotent) return false;
            if (!in_group(inv, f.upstream_id, upstream_id) || now - f.sent >= inv.op.deduplication_window)
                return false;
        }
        return true;
    }

    bool may_throttle(const Invocation& inv) const
    {
        for (const Forward& f : inv.forwards) {
            if (f.proven_not_run || inv.op.idempotency == Idempotency::idempotent) continue;
            if (inv.op.idempotency == Idempotency::non_idempotent ||
                inv.op.deduplication_scope != DeduplicationScope::all)
                return false;
        }
        return true;
    }

    bool may_send(const Invocation& inv, UpstreamId upstream_id)
    {
        Upstream& u = ups[upstream_id];
        return !inv.over && now < inv.leaves &&
               inv.forwards.size() < std::min(inv.max_forwards, set.max_forwards) &&
               u.listing.phase == EndpointPhase::ready && effect_allows(inv, upstream_id) && cold_budget(u);
    }

    // The only place that forwards.
    bool send(InvocationId id, UpstreamId upstream_id, Duration at_most,
              std::function<void(TimePoint, AttemptResult)> next)
    {
        Invocation& inv = invs[id];
        if (!may_send(inv, upstream_id)) return false;
        Upstream& u = ups[upstream_id];
        if (is_cold(u))
            u.cold_tokens -= 1;
        else
            warm_sends.count(now);
        bool rested = u.out == 0 && (now - u.last_end).seconds() > ops[inv.operation].usual;
        if (rested && now < distrust_idle_until) {
            out.close_idle_connections(upstream_id);
            rested = false;
        }
        if (u.out++ == 0) u.waiting_since = now;
        ++outstanding;
        tell_soon();
        inv.forwards.push_back(
            {.upstream_id = upstream_id, .sent = now, .rested = rested, .next = std::move(next)});
        if (set.may_message_peers && late_any > 0)
            schedule(now + seconds(late_any * overdue_at), [this, id, nth = inv.forwards.size() - 1,
                                                            sent = now] { overdue_if_out(id, nth, sent); });
        out.forward(id, upstream_id, std::min(at_most, inv.leaves - now));
        return true;
    }

    // A response that was lost silently would otherwise count as held by its upstream until the timeout.
    void overdue_if_out(InvocationId id, size_t nth, TimePoint sent)
    {
        if (nth >= invs[id].forwards.size()) return;
        Forward& f = invs[id].forwards[nth];
        if (!f.out || f.sent != sent) return;
        f.overdue = true, ++ups[f.upstream_id].overdue, ++overdue;
        tell_soon();
    }

    // Rule 1: an invocation is answered once, here or by its first success.
    void finish(InvocationId id, bool throttled, Duration retry_after = {})
    {
        Invocation& inv = invs[id];
        if (inv.over) return;
        if (throttled && may_throttle(inv))
            out.throttle(id, std::min(retry_after, set.max_retry_after));
        else
            out.fail(id);
        close(id);
    }

    void close(InvocationId id)
    {
        Invocation& inv = invs[id];
        inv.over = true;
        for (uint32_t i = 0; i < inv.forwards.size(); ++i)
            if (inv.forwards[i].out && set.may_cancel) out.cancel_forward(id, i);
        release(id);
    }

    void release(InvocationId id)
    {
        Invocation& inv = invs[id];
        if (!inv.over) return;
        if (std::none_of(inv.forwards.begin(), inv.forwards.end(), [](auto& f) { return f.out; }))
            out.release_invocation(id);
    }

    // ---- Signals from responses ----

    FailingKey* failing_key(uint64_t key)
    {
        const auto at =
            std::find_if(failing_keys.begin(), failing_keys.end(), [&](auto& s) { return s.key == key; });
        return key && at != failing_keys.end() ? &*at : nullptr;
    }

    // The current reduction of a key: an expired entry falls by one step per second.
    double key_reduction(uint64_t key)
    {
        const FailingKey* s = failing_key(key);
        if (!s || now < s->entry.expires) return s ? s->entry.reduction : 0;
        return std::max(0.0, s->entry.reduction - step * (now - s->entry.expires).seconds());
    }

    // Detects a resource behind the upstreams, such as a lock or a row, that all invocations of one key wait
    // for. No upstream is quicker, the waiting invocations fill them all, and refusals look like upstream
    // errors. As there is nothing to divert to, the key's entry throttles. Drawback: it also throttles a key
    // whose work is slow by nature, or several failing keys by chance if all of them fail.
    void record_key_outcome(uint64_t key, bool failed)
    {
        FailingKey* s = failing_key(key);
        const double standing = key_reduction(key);
        if (standing <= 0) mean_failed += std::max(0.02, 1 / ++outcomes) * (failed - mean_failed);
        if (!key || (!s && !failed)) return;
        if (!s && failing_keys.size() < most_subjects) s = &failing_keys.emplace_back();
        if (!s)
            s = &*std::min_element(failing_keys.begin(), failing_keys.end(),
                                   [](auto& a, auto& b) { return a.failed_at < b.failed_at; });
        if (s->key != key) *s = FailingKey{}, s->key = key;
        s->answered = std::min(s->answered + 1, recent / 2.0);
        s->failed += (failed - s->failed) / s->answered;
        s->entry.reduction = standing;
        if (!failed) return;
        s->failed_at = now;
        if (s->answered < 2 || s->failed < 0.25 + 2 * mean_failed) return;
        s->entry = {std::min(1.0, standing + sure_step), now + divert_expiry};
    }

    void raise(Upstream& u, double by, bool hard)
    {
        const double standing = entry_reduction(u);
        u.entry.hard = hard || (u.entry.hard && standing > 0);
        u.entry.reduction = std::min(1.0, standing + by);
        u.entry.expires = std::max(u.entry.expires, now + (hard ? expiry : divert_expiry));
    }

    // Detects an upstream that accepts requests and answers none, by how long the oldest one has waited.
    bool stalled(const Upstream& u) const
    {
        const double late = std::max(late_any, least_late) * (1 + 2.0 / u.out);
        return u.out > 0 && late_any > 0 && (now - u.waiting_since).seconds() > late;
    }

    double reduction(const Upstream& u) const { return stalled(u) ? 1 : entry_reduction(u); }

    // The current reduction of an entry: after its expiry, the admitted share doubles with each interval.
    double entry_reduction(const Upstream& u) const
    {
        const Entry& e = u.entry;
        if (e.reduction <= 0 || now < e.expires) return e.reduction;
        const double falls = 1 + std::floor((now - e.expires) / fall_every);
        const double through = std::max(first_trickle, 1 - e.reduction) * std::exp2(std::min(falls, 60.0));
        return through >= 1 ? 0 : 1 - through;
    }

    static double fourth(double x) { return x * x * x * x; }

    static double busy(double used) { return used / std::max(0.05, 1.05 - used); }

    static std::optional<double> load_of(const LoadReport& r)
    {
        if (r.queue_length || r.in_flight) return r.queue_length ? r.queue_length : r.in_flight;
        return r.utilisation ? std::optional(busy(*r.utilisation)) : std::nullopt;
    }

    void reported(Upstream& u, const LoadReport& r)
    {
        refresh_fellows();
        if (const auto load = load_of(r)) {
            u.load = load, u.load_at = now, u.load_counts_own = !r.queue_length, u.out_at_report = u.out;
            u.busy = r.queue_length ? busy(r.utilisation.value_or(0)) : 0;
            queues_told = queues_told || r.queue_length;
            if (r.queue_length && *r.queue_length > long_queue + well_above * mean_load)
                raise(u, step, false);
        }
        times_told = times_told || r.mean_latency_ms;
    }

    // Recomputes the means over all upstreams, at most every 0.2 s to keep it cheap.
    void refresh_fellows()
    {
        if (now - fellows_at < seconds(0.2)) return;
        fellows_at = now;
        double errors = 0, judged = 0;
        std::array<double, 2> load{}, used{}, loads{};
        for (const Upstream& u : ups) {
            if (u.listing.phase != EndpointPhase::ready) continue;
            if (u.load) load[is_far(u)] += *u.load, used[is_far(u)] += u.busy, ++loads[is_far(u)];
            if (u.answered >= enough) errors += u.errors, ++judged;
        }
        mean_load = (load[0] + load[1]) / std::max(1.0, loads[0] + loads[1]);
        for (size_t z = 0; z < 2; ++z) {
            zone_load[z] = loads[z] > 0 ? load[z] / loads[z] : mean_load;
            zone_busy[z] = loads[z] > 0 ? used[z] / loads[z] : used[1 - z] / std::max(1.0, loads[1 - z]);
        }
        mean_errors = judged > 0 ? errors / judged : 0;
    }

    // relative_latency: the response time over the operation's mean; unset for an error.
    void judge(Upstream& u, std::optional<double> time)
    {
        u.answered = std::min(recent, u.answered + 1);
        u.errors += ((time ? 0 : 1) - u.errors) / static_cast<double>(u.answered);
        if (time) {
            Kind& k = kinds[u.listing.machine_type];
            const double t = std::min(*time, 5.0);
            k.slowness += std::max(kind_gain, 1 / ++k.answered) * (t - k.slowness);
            u.slowness = slowness(u) + own_gain * (t - slowness(u)), u.slowness_at = now;
        } else if (u.answered >= enough && u.errors > 0.25 + 2 * mean_errors) {
            // Quick errors make an upstream look idle and would attract requests.
            raise(u, sure_step, false);
        }
    }

    // Detects idle connections that were dropped silently: the first forward after a pause hangs or is reset.
    void watch_idle(bool rested, bool broke)
    {
        double& share = rested ? broke_rested : broke_busy;
        share += 0.1 * (broke - share);
        if (broke_rested > 0.2 && broke_rested > 3 * broke_busy) distrust_idle_until = now + distrust_for;
    }

    void learn(const Invocation& inv, Upstream& u, AttemptResult result, Duration took, bool stuck)
    {
        OperationView& op = ops[inv.operation];
        const double t = took.seconds();
        switch (result) {
            case AttemptResult::succeeded:
                if (op.usual <= 0) op.usual = t;
                op.usual += 0.03 * (t - op.usual);
                if (op.quick <= 0) op.quick = std::min(t, usual_calm * inv.op.latency_objective.seconds());
                op.quick *= t < op.quick ? 0.97 : 1.013;
                late_any = late_any <= 0 ? t : late_any * (t > late_any ? 1.095 : 0.995);
                judge(u, t / std::max(1e-6, op.usual));
                break;
            case AttemptResult::errored:
                if (!stuck) judge(u, {});
                break;
            case AttemptResult::declined:
                raise(u, step, true);
                // A tier that declines most requests would look healthy by its response times.
                return record_latency(inv, 1);
            case AttemptResult::unreachable:
                // Every forward to a dead upstream costs a connect timeout.
                raise(u, 2 * sure_step, false);
                break;
            case AttemptResult::timed_out:
                if (op.usual > 0) judge(u, t / op.usual);
                [[fallthrough]];
            case AttemptResult::reset:
                if (u.unpaired && now - *u.unpaired < expiry) raise(u, step, true);
                u.unpaired = now;
                break;
            default: return;
        }
        if (stuck) return;  // caused by the upstream or the key, not by load
        if (inv.op.latency_objective > Duration{} &&
            (result == AttemptResult::succeeded || result == AttemptResult::timed_out))
            record_latency(inv, took / inv.op.latency_objective);
    }

    // ---- Concurrency limit ----

    // About two requests per upstream from all balancers together: fewer would leave upstreams idle.
    double two_per_upstream() const
    {
        return 2 * capacity / (heard > 0 ? 1 : std::max(1.0, set.balancer_count * listed));
    }

    // Own requests in flight and, where peers report theirs, those of all balancers.
    double held() const { return outstanding - overdue + peers_out; }

    // The capacity of the listed upstreams in warm upstreams, estimated from those in use. The limit and
    // best_in_flight follow at once: with little traffic, response times show a lost or recovered zone many
    // seconds late.
    void update_capacity()
    {
        if (capacity > 0 && now - weighed_at < seconds(0.02)) return;
        weighed_at = now;
        double ready = 0, used = 0, able = 0;
        stuck_out = 0;
        for (const Upstream& u : ups) {
            if (stalled(u)) stuck_out += u.out;
            if (u.listing.phase != EndpointPhase::ready) continue;
            ++ready;
            if (u.out == 0 && now - u.last_end >= lately && !is_cold(u)) continue;
            ++used;
            if (reduction(u) < 0.5) able += warm_share(u);
        }
        const double is = ready * (used > 0 ? std::max(least_able, able / used) : 1);
        if (capacity > 0 && is > 0) limit *= is / capacity, good_outstanding *= is / capacity;
        if (is > 0) capacity = is;
    }

    // Bounds a burst that arrives before any response was slow enough to set a limit. The root leaves room
    // for random variation where few requests are in flight.
    double most_limit() const
    {
        const double chance_of_it = for_chance * std::sqrt(good_outstanding);
        return std::max(untried * two_per_upstream(), over_good * good_outstanding + chance_of_it);
    }

    double least_limit() const { return std::max(two_per_upstream(), least_of_good * good_outstanding); }

    // The highest acceptable mean of response time over latency objective. Guards against a ratchet:
    // throttling shortens responses, which lowers the baseline.
    double latency_target() const
    {
        return std::max(never_pressed, std::min(calm * most_over_calm, calm + pressed * (1 - calm)));
    }

    // Where queues are reported or peers report their load, the median: with little traffic per balancer, a
    // few bad upstreams would pass for overload in the mean.
    double round_latency()
    {
        if (!queues_told && heard == 0)
            return std::accumulate(round_latencies.begin(), round_latencies.end(), 0.0) /
                   static_cast<double>(round_latencies.size());
        const auto half = round_latencies.begin() + static_cast<std::ptrdiff_t>(round_latencies.size() / 2);
        std::nth_element(round_latencies.begin(), half, round_latencies.end());
        return *half;
    }

    // Each round of responses scales the limit by the distance of their mean from the target. A mean that
    // lags behind would cut the limit again for overload that an earlier cut has already ended.
    void record_latency(const Invocation& inv, double of_objective)
    {
        of_objective = std::min(of_objective, 2.0);
        const Duration since_start = inv.arrived - born;
        // Invocations accepted right after the start find the lowest load. All of them count, not only the
        // first to finish, since short responses come first.
        if (inv.early || since_start < inv.op.latency_objective * 0.25) first_felt += of_objective, ++first_n;
        round_latencies.push_back(of_objective);
        // Response times scatter so widely that a few of them would cut the limit by chance.
        const auto n = static_cast<double>(round_latencies.size());
        if (n < least_round || (n < round_of && now - round_at < long_round)) return;
        round_at = now;
        const double mean = round_latency();
        round_latencies.clear();
        pressure = 0.5 * (pressure + mean);
        // With little traffic, the baseline would otherwise be learnt from a few responses.
        if (now - born < slowest_objective * 1.5 || first_n < round_of)
            calm = slow_pressure = (first_felt + round_of * usual_calm) / (first_n + round_of);
        slow_pressure += 0.1 * (mean - slow_pressure);
        calm = slow_pressure < calm ? slow_pressure : calm + 0.0003 * (slow_pressure - calm);
        // A start under overload teaches too high a baseline. Under lasting overload the baseline and
        // best_in_flight decay, until a limit at its minimum shows that cutting no longer helps.
        const double mean_out = met / std::max(1.0, met_n);
        met = met_n = 0;
        good_outstanding *= 0.99;
        if (pressure <= latency_target())
            good_outstanding = std::max(good_outstanding, mean_out);
        else
            calm *= limit > least_limit() ? 0.997 : 1.003;
        if (pressure > latency_target() && mean > latency_target())
            limit = std::max(least_limit(), limit * std::max(0.75, latency_target() / pressure));
        else if (pressure <= latency_target() && mean_out > 0.7 * limit)
            limit *= std::min(1.3, latency_target() / pressure);
        limit = std::min(limit, most_limit());
    }

    void update_tenant_shares()
    {
        const double gone = (now - share_at).seconds();
        if (gone < 1) return;
        share_at = now;
        for (Tenant& t : tenants)
            t.rate += (t.rate > 0 ? 0.3 : 1) * (std::exchange(t.came, 0) / gone - t.rate);
        std::vector<double> uses;
        for (const Tenant& t : tenants)
            if (t.quota > 0) uses.push_back(t.rate / t.quota);
        if (uses.size() < 3 || pressure > latency_target()) return;
        const auto half = uses.begin() + static_cast<std::ptrdiff_t>(uses.size() / 2);
        std::nth_element(uses.begin(), half, uses.end());
        own_part += 0.2 * (typical_use * *half - own_part);
    }

    // Whether an invocation exceeds its tenant's share. Where peers report rates, the share counts over all
    // balancers; otherwise this balancer's part of it is an even part or, if that is more, what the median
    // tenant's use suggests. Drawback: where traffic reaches balancers unevenly and tenants are few, this can
    // hold back invocations within a share, but only near the concurrency limit.
    bool over_tenant_share(uint32_t tenant)
    {
        if (tenant >= tenants.size() || tenants[tenant].quota <= 0) return false;
        update_tenant_shares();
        Tenant& t = tenants[tenant];
        ++t.came;
        if (heard > 0) {
            double all = t.rate;
            for (const Peer& p : peers)
                if (tenant < p.rates.size()) all += p.rates[tenant];
            return uniform_random() * all > t.quota;
        }
        const double part = t.quota * std::max(own_part, 1.0 / std::max(1u, set.balancer_count));
        t.saved = std::min(std::max(saved_up, 2 * part), t.saved + (now - t.at).seconds() * part);
        t.at = now;
        const bool beyond = t.saved + uniform_random() < 1;
        if (!beyond) --t.saved;
        return beyond;
    }

    // Only the first tier throttles for load: in deeper tiers the work already done above would be lost.
    bool over_concurrency_limit(bool over_share)
    {
        if (set.tier > 0) return false;
        const double moving = held() - stuck_out;
        // The limit bounds the mean; requests in flight vary around it by its root.
        const double most = std::min(limit, most_limit());
        return (moving + uniform_random() >= most && around >= most) ||
               moving + uniform_random() >= most + 2 * std::sqrt(most) ||
               (over_share && around > shared_from * most);
    }

    Duration retry_after() { return set.max_retry_after * (0.5 + 0.5 * uniform_random()); }

    // ---- Choice of an upstream ----

    // The last report, which drifts to the mean of the upstream's zone (scaled while warming up), plus the
    // change of own requests in flight since.
    double expected_load(const Upstream& u) const
    {
        if (heard > 0) return u.out - u.overdue + u.peers_out;
        const double own = u.out, usual = zone_load[is_far(u)] * warm_share(u);
        if (!u.load) return usual + own;
        const double fresh = std::exp2(-((now - u.load_at) / report_age));
        const double report = usual + (*u.load - usual) * fresh;
        return std::max(own, report + (u.load_counts_own ? own - u.out_at_report : own));
    }

    // Detects slow upstreams that report no load: the mean latency of their last responses, which drifts to
    // that of their machine type, for which a balancer with little traffic has more samples. Drawback: a
    // machine type that was only used while in trouble is avoided for a while.
    double slowness(const Upstream& u) const
    {
        const double usual = kinds[u.listing.machine_type].slowness;
        return usual + (u.slowness - usual) * std::exp2(-((now - u.slowness_at) / slowness_age));
    }

    // Strongly prefers idle upstreams, as load information is old and differs between balancers; less so
    // where peers report their load and all would otherwise choose the same few.
    double evenness(double idle, const Upstream& u) const
    {
        idle /= 1 + zone_busy[is_far(u)];
        const double favour = is_far(u) ? 1 : heard > 0 ? near_told : near_met;
        return favour * (heard > 0 ? idle * idle * idle : fourth(idle) * fourth(idle));
    }

    // As many as own traffic reaches within contact_interval_seconds: load information about more upstreams
    // would be too sparse and too old.
    size_t width() const { return std::max(least_width, static_cast<size_t>(asked.rate(now) * meet_within)); }

    // Whether a response would come too late because of the upstream's load, or would slow the upstream down.
    bool crowded(const Invocation& inv, const Upstream& u) const
    {
        if (set.tier > 0 || (heard == 0 && !queues_told)) return false;
        const double quick = ops[inv.operation].quick;
        const double in_time = quick > 0 ? (inv.useful - now).seconds() / quick : 1e9;
        if (heard > 0) return expected_load(u) > std::min(in_time - 1, usual_crowd * warm_share(u));
        return expected_load(u) > std::max(1.0, in_time - 1.5);
    }

    // A weighted random choice among the first upstreams in this balancer's order that the rules admit. For
    // each one that is reduced by half or more, the next in the order is added.
    template <class Keep>
    std::optional<UpstreamId> draw(const Invocation& inv, Keep keep)
    {
        double total = 0;
        weights.clear();
        for (const auto* order : {&near, &far}) {
            size_t wanted = width(), reach = wanted;
            const double turn =
                set.self_index * 0.6180339887498949;  // the golden ratio spreads consecutive numbers evenly
            const auto first =
                static_cast<size_t>((turn - std::floor(turn)) * static_cast<double>(order->size()));
            for (size_t n = 0; n < order->size(); ++n) {
                const UpstreamId t = (*order)[(first + n) % order->size()];
                const Upstream& u = ups[t];
                // A warming upstream beyond the active ones is skipped even if these are crowded: otherwise
                // all balancers would spend their budgets on it.
                const bool near_enough = (reach > 0 && reach--) || (heard == 0 && !queues_told);
                if (u.listing.phase != EndpointPhase::ready || !keep(t)) continue;
                if ((is_cold(u) && !near_enough) || crowded(inv, u) || !may_send(inv, t)) continue;
                const double idle = u.listing.capacity / (u.listing.capacity + expected_load(u));
                const double slow = mean_load < tells_load || !times_told ? fourth(slowness(u)) : 1;
                const double weight = u.listing.capacity * warm_share(u) * evenness(idle, u) / slow;
                total += weight;
                weights.emplace_back(t, weight);
                if (reduction(u) < 0.5 && --wanted == 0) break;
            }
        }
        if (weights.empty()) return {};
        double at = uniform_random() * total;
        for (const auto& [t, weight] : weights)
            if ((at -= weight) < 0) return t;
        return weights.back().first;
    }

    static bool tried(const Invocation& inv, UpstreamId upstream_id)
    {
        return std::any_of(inv.forwards.begin(), inv.forwards.end(),
                           [&](auto& f) { return f.upstream_id == upstream_id; });
    }

    // Draws an upstream; with a chance equal to its reduction, draws again among those with less.
    std::optional<UpstreamId> pick(const Invocation& inv)
    {
        auto upstream_id = draw(inv, [&](UpstreamId t) { return !tried(inv, t); });
        if (!upstream_id) return draw(inv, [](UpstreamId) { return true; });
        const double r = reduction(ups[*upstream_id]);
        if (r > 0 && uniform_random() < r) {
            const auto less =
                draw(inv, [&](UpstreamId t) { return !tried(inv, t) && reduction(ups[t]) < r; });
            if (less) return less;
        }
        return upstream_id;
    }

    // Refuses with a chance equal to the smallest reduction, if every ready upstream's entry was raised by
    // declined forwards or by pairs of timeouts and resets.
    bool refused()
    {
        double smallest = 2;
        for (const Upstream& u : ups) {
            if (u.listing.phase != EndpointPhase::ready) continue;
            const double r = entry_reduction(u);
            if (r <= 0 || !u.entry.hard) return false;
            smallest = std::min(smallest, r);
        }
        return smallest <= 1 && uniform_random() < smallest;
    }

    // ---- Life of an invocation ----

    void accept(InvocationId id, const InvocationRequest& ask)
    {
        if (id >= invs.size()) invs.resize(id + 1);
        Invocation& inv = invs[id];
        inv.op = set.operations[ask.operation];
        inv.may_overlap = set.may_overlap_forwards;
        inv.max_forwards = set.max_forwards;
        inv.operation = ask.operation;
        inv.key = ask.subject_key;
        count_time(inv, ask.is_incomplete ? may_send_for : ask.time_left, !ask.is_incomplete);
        inv.over = false;
        update_capacity();
        inv.early = held() < two_per_upstream();
        inv.redirects = 0;
        inv.forwards.clear();
        asked.count(now);
        met += held(), ++met_n;
        around += (held() - around) / smooth;
        retry_tokens = std::min(most_retries, retry_tokens + retry_share);
        const bool over_share = over_tenant_share(ask.tenant);
        if (const double r = key_reduction(ask.subject_key); r > 0 && uniform_random() < r)
            return finish(id, true, retry_after());
        if (over_concurrency_limit(over_share) || refused()) return finish(id, true, retry_after());
        if (set.peer_message_price > 0)
            may_spend =
                std::min(may_spend + most_spent / set.peer_message_price * max_peer_message_bytes, 1e6);
        may_probe = std::min(may_probe + (set.probe_price > 0 ? most_probed / set.probe_price : 1e6),
                             static_cast<double>(ups.size()));
        route(id);
    }

    // Rule 5: the client may wait for longer than its stated time left, up to its client timeout. Otherwise a
    // wrong clock would give invocations up too early. When the client does leave, its forwards are
    // cancelled.
    void count_time(Invocation& inv, Duration left, bool by_objective)
    {
        inv.arrived = now;
        inv.useful = inv.leaves =
            now + std::max(left, std::min(left + set.time_left_margin, inv.op.client_timeout));
        if (by_objective && inv.op.latency_objective > Duration{} && inv.op.late_response_value <= 0)
            inv.useful = std::min(inv.leaves, now + inv.op.latency_objective);
    }

    // A non-idempotent request may still take effect and is waited for until the deadline; others are given
    // up once their response is worthless.
    Duration attempt_timeout(const Invocation& inv) const
    {
        return (inv.op.idempotency == Idempotency::non_idempotent ? inv.leaves : inv.useful) - now;
    }

    void sent(InvocationId id, Duration left)
    {
        count_time(invs[id], left, true);
        for (uint32_t i = 0; i < invs[id].forwards.size(); ++i)
            if (invs[id].forwards[i].out) out.set_forward_timeout(id, i, attempt_timeout(invs[id]));
    }

    void route(InvocationId id)
    {
        const auto upstream_id = pick(invs[id]);
        if (!upstream_id) return finish(id, true, retry_after());
        const Duration wait = attempt_timeout(invs[id]);
        if (wait <= Duration{} ||
            !send(id, *upstream_id, wait, [this, id](TimePoint, AttemptResult r) { after_forward(id, r); }))
            finish(id, true, retry_after());
    }

    void after_forward(InvocationId id, AttemptResult result)
    {
        Invocation& inv = invs[id];
        if (proves_not_run(result)) {
            if (result == AttemptResult::not_sent || ++inv.redirects > most_redirects || now >= inv.useful)
                return finish(id, true, retry_after());
            return route(id);
        }
        if (result == AttemptResult::invalid_request) return finish(id, false);
        const double needed = ops[inv.operation].usual;
        if (inv.op.idempotency != Idempotency::non_idempotent && retry_tokens >= 1 &&
            key_reduction(inv.key) <= 0 && (inv.useful - now).seconds() > needed) {
            retry_tokens -= 1;
            return route(id);
        }
        finish(id, true, retry_after());
    }

    void ended(InvocationId id, uint32_t nth, AttemptResult result, Duration took, bool over,
               const LoadReport& report)
    {
        Invocation& inv = invs[id];
        Forward& f = inv.forwards[nth];
        Upstream& u = ups[f.upstream_id];
        f.out = false;
        f.proven_not_run = proves_not_run(result);
        const bool stuck = stalled(u) || key_reduction(inv.key) > 0;
        if (result == AttemptResult::succeeded || result == AttemptResult::errored ||
            result == AttemptResult::timed_out)
            record_key_outcome(
                inv.key, result != AttemptResult::succeeded || took > inv.op.latency_objective * nearly_late);
        --u.out;
        if (f.overdue) --u.overdue, --overdue;
        --outstanding;
        tell_soon();
        if (result == AttemptResult::succeeded || result == AttemptResult::errored ||
            result == AttemptResult::declined || result == AttemptResult::invalid_request)
            u.waiting_since = now;
        u.last_end = now;
        const bool broke = result == AttemptResult::timed_out || result == AttemptResult::reset;
        if (result == AttemptResult::succeeded || broke) watch_idle(f.rested, broke);
        learn(inv, u, result, took, stuck);
        reported(u, report);
        const auto next = std::move(f.next);
        if (over && !inv.over) return close(id);
        if (inv.over) return release(id);
        if (std::none_of(inv.forwards.begin(), inv.forwards.end(), [](auto& g) { return g.out; }))
            next(now, result);
    }

    // ---- Endpoint list ----

    void list(const EndpointState& l)
    {
        if (l.upstream_id >= ups.size()) ups.resize(l.upstream_id + 1);
        Upstream& u = ups[l.upstream_id];
        if (u.known && u.listing.global_id != l.global_id) {
            // The index of a removed upstream is reused, so that memory does not grow with every replacement.
            std::erase(near, l.upstream_id), std::erase(far, l.upstream_id);
            std::erase_if(told_names, [&](const auto& n) { return n.second == l.upstream_id; });
            for (Peer& p : peers) hold(p, l.upstream_id, 0);
            u = Upstream{};
        }
        if (l.started_at && l.started_at != u.listing.started_at) {
            // The upstream has restarted: earlier signals say nothing about it.
            Upstream next;
            next.known = u.known;
            next.out = u.out, next.overdue = u.overdue, next.peers_out = u.peers_out,
            next.told_out = u.told_out;
            u = next;
            u.cold_at = now;
            u.cold_tokens = uniform_random();  // so that balancers notified together do not all send at once
        }
        u.listing = l;
        if (kinds.size() <= l.machine_type) kinds.resize(l.machine_type + 1);
        if (!std::exchange(u.known, true)) place(l.upstream_id);
    }

    void place(UpstreamId upstream_id)
    {
        const auto rank = [this](UpstreamId t) { return ups[t].listing.global_id * 0x9e3779b97f4a7c15u; };
        const std::pair<uint16_t, UpstreamId> name{static_cast<uint16_t>(rank(upstream_id) >> 48),
                                                   upstream_id};
        told_names.insert(std::lower_bound(told_names.begin(), told_names.end(), name), name);
        auto& order = is_far(ups[upstream_id]) ? far : near;
        order.insert(std::upper_bound(order.begin(), order.end(), upstream_id,
                                      [&](UpstreamId a, UpstreamId b) { return rank(a) < rank(b); }),
                     upstream_id);
    }

    void list_is(const std::vector<EndpointState>& all)
    {
        for (Upstream& u : ups) u.listing.phase = EndpointPhase::gone;
        for (const EndpointState& l : all) list(l);
    }

    Duration backoff = first_backoff;

    void list_answered(bool well)
    {
        if (!set.must_watch_endpoint_list) return;
        if (!well) schedule(now + backoff * (0.5 + uniform_random()), [this] { out.watch_endpoint_list(); });
        backoff = well ? first_backoff
                       : std::min({set.max_watch_retry_interval * 0.5, longest_backoff, backoff * 2});
    }

    void start()
    {
        born = share_at = now;
        if (set.must_watch_endpoint_list)
            schedule(now + first_backoff * uniform_random(), [this] { out.watch_endpoint_list(); });
        report_by_settings();
    }

    bool probes() const { return set.load_reports_by_probe && set.may_probe && !set.may_message_peers; }

    void report_by_settings()
    {
        if (probes() && !std::exchange(probing, true)) probe_later();
        if (set.may_message_peers && !std::exchange(telling, true))
            schedule(now + tell_all_every * uniform_random(), [this] { tell_all(); });
    }

    // Moves statistics to the new indices of operations and tenants. For rule 2, open invocations keep the
    // stricter of the old and the new settings.
    void take_over(const IndexMapping& operations, const IndexMapping& tenants_were)
    {
        const auto ops_were = std::exchange(ops, std::vector<OperationView>(set.operations.size() + 1));
        const auto told_were = std::exchange(tenants, std::vector<Tenant>(set.tenant_quotas.size()));
        const auto gone = static_cast<uint32_t>(set.operations.size());
        std::vector<uint32_t> now_at(ops_were.size(), gone);
        for (uint32_t i = 0; i < operations.size(); ++i)
            if (const auto was = operations[i]) ops[i] = ops_were[*was], now_at[*was] = i;
        for (Invocation& inv : invs) {
            if ((inv.operation = now_at[inv.operation]) == gone) continue;
            const Operation& op = set.operations[inv.operation];
            inv.op.idempotency = std::max(inv.op.idempotency, op.idempotency);
            inv.op.deduplication_scope = std::max(inv.op.deduplication_scope, op.deduplication_scope);
            inv.op.deduplication_window = std::min(inv.op.deduplication_window, op.deduplication_window);
        }
        for (uint32_t i = 0; i < tenants.size(); ++i) {
            if (i < tenants_were.size() && tenants_were[i]) tenants[i] = told_were[*tenants_were[i]];
            tenants[i].quota = set.tenant_quotas[i];
        }
        slowest_objective = {};
        for (const Operation& op : set.operations)
            slowest_objective = std::max(slowest_objective, op.latency_objective);
        near_met = std::exp(std::min(10.0, set.cross_zone_price * crossing_weighs));
        near_told = std::pow(near_met, 3.0 / 8);
    }

    void settings_are(Settings settings, const IndexMapping& operations, const IndexMapping& tenants_were)
    {
        const bool asked_before = set.must_watch_endpoint_list;
        set = std::move(settings);
        take_over(operations, tenants_were);
        queues_told = times_told = false;
        // Tenant indices changed, and peers may still have the old settings: their reports are dropped.
        for (Peer& p : peers) forget(p), p.heard = TimePoint{INT64_MIN / 2};
        heard = 0;
        near.clear(), far.clear(), told_names.clear();
        for (UpstreamId t = 0; t < ups.size(); ++t)
            if (ups[t].known) place(t);
        if (set.must_watch_endpoint_list && !asked_before) out.watch_endpoint_list();
        report_by_settings();
    }

    void probe_later()
    {
        schedule(now + probe_every * (0.75 + 0.5 * uniform_random()), [this] {
            if (!(probing = probes())) return;
            // Only upstreams in use are probed, in turn as far as the budget allows: hundreds of balancers
            // that probed every upstream would cost more than the reports are worth.
            for (size_t n = 0; n < ups.size() && may_probe >= 1; ++n) {
                const UpstreamId t = probe_next++ % static_cast<UpstreamId>(ups.size());
                const Upstream& u = ups[t];
                const bool used = u.out > 0 || now - u.last_end < probe_every;
                if (used && u.listing.phase == EndpointPhase::ready) out.probe(t), may_probe -= 1;
            }
            probe_later();
        });
    }

    // ---- Messages between balancers, where the settings allow them ----
    // The next snapshot makes up for a lost message. Upstream names that are not on the own list are ignored.

    void tell_soon()
    {
        if (!set.may_message_peers || tell_due) return;
        tell_due = true;
        schedule(std::max(now, told_at + tell_every), [this] { tell_changes(false); });
    }

    void tell_changes(bool all)
    {
        tell_due = false;
        if (!set.may_message_peers) return;
        told_at = now;
        if (!all && set.peer_message_price > 0 && may_spend < 0) return;
        PeerMessage message{all, {}, {}};
        if (all) {
            // Peers reset what a snapshot does not name; entries that do not fit follow as changes.
            for (Upstream& u : ups) u.told_out = 0;
            for (const Tenant& t : tenants) message.rates.push_back(t.rate);
        }
        for (const auto& [name, upstream_id] : told_names) {
            Upstream& u = ups[upstream_id];
            const auto is = static_cast<uint8_t>(std::min<uint32_t>(u.out - u.overdue, UINT8_MAX));
            if (is == u.told_out) continue;
            if (!message.has_room()) {
                tell_soon();
                break;
            }
            message.out.emplace_back(name, u.told_out = is);
        }
        if (!all && message.out.empty()) return;
        const auto bytes = encode_peer_message(message);
        may_spend -= static_cast<double>(std::max(least_message, bytes.size()) *
                                         (std::max(2u, set.balancer_count) - 1));
        out.broadcast(bytes);
    }

    void tell_all()
    {
        if (!(telling = set.may_message_peers)) return;
        update_tenant_shares();
        tell_changes(true);
        const auto silent = [&](const Peer& p) { return now - p.heard >= believed; };
        for (Peer& p : peers)
            if (silent(p)) forget(p);
        heard = peers.size() - static_cast<size_t>(std::count_if(peers.begin(), peers.end(), silent));
        schedule(now + tell_all_every * (0.75 + 0.5 * uniform_random()), [this] { tell_all(); });
    }

    void hold(Peer& p, UpstreamId upstream_id, uint8_t n)
    {
        if (p.out.size() <= upstream_id) p.out.resize(ups.size());
        const uint32_t was = std::exchange(p.out[upstream_id], n);
        ups[upstream_id].peers_out += n - was;
        peers_out += static_cast<double>(n) - was;
    }

    void forget(Peer& p)
    {
        for (UpstreamId t = 0; t < p.out.size(); ++t)
            if (p.out[t]) hold(p, t, 0);
        p.rates.clear();
    }

    void told(uint32_t from, std::string_view bytes)
    {
        const auto message = decode_peer_message(bytes);
        if (!set.may_message_peers || from >= set.balancer_count || from == set.self_index || !message)
            return;
        if (from >= peers.size()) peers.resize(from + 1);
        Peer& p = peers[from];
        if (message->all) forget(p), p.rates = message->rates;
        if (now - p.heard >= believed || heard == 0) ++heard;
        p.heard = now;
        for (const auto& [name, n] : message->out) {
            const auto known =
                std::lower_bound(told_names.begin(), told_names.end(), std::pair(name, UpstreamId{}));
            if (known != told_names.end() && known->first == name) hold(p, known->second, n);
        }
    }

    void wake(uint64_t name)
    {
        const auto at = timers.find(name);
        if (at == timers.end()) return;
        const auto what = std::move(at->second);
        timers.erase(at);
        what();
    }
};

Balancer::Balancer(Settings settings, uint64_t seed, BalancerDelegate& outlet)
    : state_(std::make_unique<State>(std::move(settings), seed, outlet))
{
}

Balancer::~Balancer() = default;

Balancer::State& Balancer::at(TimePoint now)
{
    state_->now = now;
    return *state_;
}

void Balancer::start(TimePoint now) { at(now).start(); }

void Balancer::update_settings(TimePoint now, Settings settings, const IndexMapping& operations,
                               const IndexMapping& tenants)
{
    at(now).settings_are(std::move(settings), operations, tenants);
}

void Balancer::set_endpoints(TimePoint now, const std::vector<EndpointState>& all) { at(now).list_is(all); }

void Balancer::update_endpoints(TimePoint now, const std::vector<EndpointState>& changes)
{
    for (const EndpointState& l : changes) at(now).list(l);
}

void Balancer::on_endpoint_list_fetched(TimePoint now, bool well) { at(now).list_answered(well); }

void Balancer::accept(TimePoint now, InvocationId inv, const InvocationRequest& ask)
{
    at(now).accept(inv, ask);
}

void Balancer::on_forward_ended(TimePoint now, InvocationId inv, uint32_t forward, AttemptResult result,
                                Duration took, bool over, const LoadReport& report)
{
    at(now).ended(inv, forward, result, took, over, report);
}

void Balancer::on_client_disconnected(TimePoint now, InvocationId inv)
{
    if (!at(now).invs[inv].over) state_->close(inv);
}

void Balancer::on_probe_completed(TimePoint now, UpstreamId upstream_id, AttemptResult result,
                                  const LoadReport& report)
{
    if (result == AttemptResult::succeeded) at(now).reported(state_->ups[upstream_id], report);
}

void Balancer::on_peer_message(TimePoint now, uint32_t peer, std::string_view message)
{
    at(now).told(peer, message);
}

void Balancer::on_request_complete(TimePoint now, InvocationId inv, Duration time_left)
{
    at(now).sent(inv, time_left);
}

double Balancer::reduction(TimePoint now, UpstreamId upstream_id)
{
    return upstream_id < state_->ups.size() ? at(now).reduction(state_->ups[upstream_id]) : 0;
}

void Balancer::set_subset_fraction(double part) { state_->listed = part; }

void Balancer::on_timer_fired(TimePoint now, uint64_t name) { at(now).wake(name); }

}  // namespace firtide
