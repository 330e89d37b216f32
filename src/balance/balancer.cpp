// All decisions of firtide. The interface: balance.h; the mechanism and its exceptions: docs/design.md.

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

constexpr double step = 0.1;                    // one signal of the design
constexpr double sure_step = 0.34;              // a signal of an exception, which needs no second opinion
constexpr Duration expiry = seconds(1.5);       // an entry holds this long after its last signal
constexpr Duration divert_expiry = seconds(5);  // the same for signals that only divert
constexpr Duration fall_every = seconds(0.5);   // and then lets twice as much through, each time
constexpr double first_trickle = 0.02;          // what a full reduction lets through when it starts to fall
constexpr Duration report_age =
    seconds(0.5);  // a report's distance from the others' mean halves in about this
constexpr Duration slowness_age = seconds(8);       // what last answers took is half forgotten in this
constexpr double own_gain = 0.1, kind_gain = 0.01;  // of one answer: in the means of upstream and kind
constexpr double tells_load = 0.25;                 // a mean of reported loads that says something
constexpr size_t recent = 16, enough = 5;       // answers an upstream is judged by, about; fewer say nothing
constexpr double well_above = 1.8;              // times the fellows' median
constexpr double long_queue = 3;                // and this many more, where the mean is next to none
constexpr Duration distrust_for = seconds(10);  // idle connections, once they were seen to hang
constexpr size_t least_width = 8;               // upstreams used at the least, in the own zone and beyond it
constexpr double meet_within = 1;               // seconds, in which own traffic meets each of them
constexpr double crossing_weighs = 200;  // in the pick: the own zone is favoured by e to this times the price
constexpr Duration lately = seconds(10);         // an upstream sent to since then is in use
constexpr Duration probe_every = seconds(1);     // about, where reports come by probe alone
constexpr Duration tell_every = seconds(0.1);    // changes of own work out, where messages are allowed
constexpr Duration tell_all_every = seconds(2);  // about: all of it, and what tenants ask
constexpr Duration believed = seconds(5);        // what another instance told, after its last message
constexpr double least_late = 0.02;     // seconds: a pause of this machine, and no sign of an upstream's
constexpr double overdue_at = 2;        // high quantiles of answer times: no more counted as held
constexpr size_t most_subjects = 32;    // keys that failed lately, of which something is kept
constexpr double nearly_late = 0.7;     // of the latency objective
constexpr double most_spent = 0.02;     // on messages, of what an invocation is worth
constexpr double most_probed = 0.0005;  // the same on probes
constexpr size_t least_message = 8;     // bytes, as counted
constexpr double usual_crowd = 5;       // held by an upstream: more is left to others, where that is known
constexpr Duration rate_over = seconds(4);
constexpr Duration may_send_for = seconds(3600);  // a request that is still coming: who reads it ends it
constexpr double cold_spend = 0.7;                // of the multiple that would push a cold upstream over
constexpr Duration first_backoff = seconds(0.5),
                   longest_backoff = seconds(2);       // of asking for the list, about
constexpr double retry_share = 0.1, most_retries = 5;  // second tries: of own traffic, and saved up
constexpr uint32_t most_redirects = 3;                 // after answers that prove nothing ran

// Between two looks at the limit of outstanding work: so many answers, or fewer if they took long to come.
constexpr double round_of = 60, least_round = 12;
constexpr Duration long_round = seconds(3);
constexpr double pressed = 0.2;  // of the way from the calm answer time to the latency objective: the aim
constexpr double never_pressed = 0.2;  // of the latency objective: a mean answer time under it is well
constexpr double least_of_good = 0.5;  // the least limit, as a part of what went well
constexpr double untried = 3;          // times two for each upstream: the limit until more went well
constexpr double least_able = 0.25;    // of the upstreams, as the limit takes them
constexpr double over_good = 1.15, for_chance = 1;  // the greatest limit: times what went well, and its root
constexpr double smooth = 10;                       // asks over which the limit binds the mean
constexpr double usual_calm = 0.2;                  // of the latency objective, until more is known
constexpr double most_over_calm = 1.5;  // and never more than this many times the calm answer time
constexpr double shared_from = 0.6;     // of the limit: below, work beyond a tenant's share is welcome
constexpr double typical_use = 1.25;    // a middling tenant's share over what it uses of it
constexpr double saved_up = 4;  // invocations that a tenant under its share may save, where its part is thin

bool proves_not_run(AttemptResult r)
{
    return r == AttemptResult::declined || r == AttemptResult::unreachable || r == AttemptResult::not_sent;
}

// Lives as long as one forward.
struct Forward {
    UpstreamId upstream_id = 0;
    TimePoint sent;
    bool out = true, overdue = false, proven_not_run = false;
    bool rested = false;  // sent to an upstream that nothing was out to for longer than an answer takes
    std::function<void(TimePoint, AttemptResult)> next;  // what to do with its result
};

// Lives from its acceptance until it is answered and nothing is out for it.
struct Invocation {
    Operation op;  // as it was when it was accepted
    bool may_overlap = false;
    uint32_t max_forwards = 1;
    uint32_t operation = 0;
    uint64_t key = 0;
    TimePoint arrived, leaves, useful;  // the client's time is up; an answer later is worth nothing
    bool over = true;
    bool early = false;  // accepted while little was out
    uint32_t redirects = 0;
    std::vector<Forward> forwards;
};

struct Entry {
    double reduction = 0;
    TimePoint expires;
    bool hard = false;  // raised by full answers or paired timeouts and resets: refusal is allowed
};

// Lives while its key is among the last that failed.
struct FailingKey {
    uint64_t key = 0;
    double failed = 0, answered = 0;  // of its last answers: their share, how many
    Entry entry;
    TimePoint failed_at;
};

// Lives as long as the list names the upstream (its past is kept when it leaves).
struct Upstream {
    EndpointState listing;
    bool known = false;
    Entry entry;
    std::optional<TimePoint> unpaired;  // a timeout or reset that waits for its fellow
    std::optional<double> load;
    double busy = 0;  // its load by the places in use, where a queue is reported
    bool load_counts_own = false;
    TimePoint load_at;
    uint32_t out = 0, overdue = 0, out_at_report = 0;
    size_t answered = 0;
    double errors = 0, slowness = 1;  // of the last answers: their share, the mean
    TimePoint slowness_at;
    TimePoint last_end{INT64_MIN / 2};
    TimePoint waiting_since;  // the later of its last answer and the first send still out

    double cold_tokens = 0;
    TimePoint cold_at;

    uint32_t peers_out = 0;  // the other instances' work out, as they told it
    uint8_t told_out = 0;    // own work out, as it was told last
};

// What another instance told. Lives until it has been silent for long.
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
    double quota = 0, came = 0, rate = 0;  // invocations
    double saved = 1;                      // of its part, by then
    TimePoint at;
};

struct OperationView {
    double usual = 0, quick = 0;  // seconds: a slow mean of answer times, and a low quantile
};

struct Kind {  // of machine
    double slowness = 1, answered = 10;
};

}  // namespace

// Lives as long as the instance.
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
    double mean_failed = 0, outcomes = 0;  // of what no entry by key holds back: share, how many

    double mean_load = 0, mean_errors = 0;
    // Of the own zone and of the others: mean reported load, and by places in use, where a queue is reported.
    std::array<double, 2> zone_load{}, zone_busy{};
    TimePoint fellows_at{INT64_MIN / 2};

    Rate warm_sends, asked;

    double retry_tokens = 1;
    double late_any = 0;  // seconds, a high quantile of all answer times

    double broke_rested = 0, broke_busy = 0;  // shares of forwards never answered
    TimePoint distrust_idle_until{INT64_MIN / 2};

    Duration slowest_objective;
    double pressure = usual_calm, slow_pressure = 0;  // mean of answer time over latency objective
    double calm = usual_calm;                         // what it is with next to no load
    TimePoint round_at, share_at, weighed_at{INT64_MIN / 2}, told_at{INT64_MIN / 2};
    std::vector<double> round_latencies;
    double first_felt = 0, first_n = 0;
    double capacity = 0;          // upstreams' worth, see weigh_room
    double listed = 1;            // of what all balancers share
    double limit = 1e9;           // mean own outstanding work
    double good_outstanding = 0;  // the most it was while the aim was met, forgotten slowly
    double outstanding = 0, overdue = 0;
    double around = 0;          // the mean own work out that the last asks met
    double met = 0, met_n = 0;  // own outstanding work as asks met it since the last look
    std::vector<Tenant> tenants;
    double own_part = 0;                           // of all traffic, by what the middling tenant asks here
    double stuck_out = 0;                          // own work out that stands still
    bool queues_told = false, times_told = false;  // by the upstreams

    std::vector<Peer> peers;
    double peers_out = 0;                                     // outstanding work of all of them
    size_t heard = 0;                                         // of them, lately
    std::vector<std::pair<uint16_t, UpstreamId>> told_names;  // of upstreams in messages, in order
    bool tell_due = false, telling = false, probing = false;
    double may_spend = 0;  // bytes delivered to others
    double may_probe = 0;  // upstreams
    UpstreamId probe_next = 0;

    std::vector<UpstreamId> near,
        far;  // all that have a place, each in this instance's own order of preference
    std::vector<std::pair<UpstreamId, double>> weights;
    double near_met = 1, near_told = 1;  // the own zone's favour in the draw

    double uniform_random() { return std::generate_canonical<double, 24>(chance); }

    void schedule(TimePoint at, std::function<void()> what)
    {
        timers.emplace(next_name, std::move(what));
        out.start_timer(at, next_name++);
    }

    // ---- the rules: what every send, throttling reply and answer passes ----

    // Its start may have been later than it is told (rule 5).
    bool is_cold(const Upstream& u) const
    {
        return u.listing.started_at &&
               now - *u.listing.started_at < set.slow_start_duration + set.start_time_margin;
    }

    // The part of its capacity an upstream has at least, by its last start.
    double warm_share(const Upstream& u) const
    {
        if (!is_cold(u)) return 1;
        const double age =
            std::max(0.0, (now - *u.listing.started_at - set.start_time_margin) / set.slow_start_duration);
        return set.slow_start_min_share + (1 - set.slow_start_min_share) * age;
    }

    bool is_far(const Upstream& u) const { return set.cross_zone_price > 0 && u.listing.zone != set.zone; }

    // What it would send each upstream in use a second if none were cold, no more than it sends a warm one
    // now. Guards against many that each see few warm ones left, and take what these bear for the usual.
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

    // Rule 4. Guards against a restarted upstream being pushed over by all: it gets part of its share.
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

    // Rule 2. What earlier forwards allow.
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

    // The gate: nothing is forwarded but here.
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

    // Guards against answers that are lost in silence: their upstreams would seem to hold them to the end.
    void overdue_if_out(InvocationId id, size_t nth, TimePoint sent)
    {
        if (nth >= invs[id].forwards.size()) return;
        Forward& f = invs[id].forwards[nth];
        if (!f.out || f.sent != sent) return;
        f.overdue = true, ++ups[f.upstream_id].overdue, ++overdue;
        tell_soon();
    }

    // Rule 1: an invocation is finished here or by its first success, once.
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

    // ---- what is learnt from answers ----

    FailingKey* failing_key(uint64_t key)
    {
        const auto at =
            std::find_if(failing_keys.begin(), failing_keys.end(), [&](auto& s) { return s.key == key; });
        return key && at != failing_keys.end() ? &*at : nullptr;
    }

    // The entry of a key now: past its expiry it falls one step a second.
    double key_reduction(uint64_t key)
    {
        const FailingKey* s = failing_key(key);
        if (!s || now < s->entry.expires) return s ? s->entry.reduction : 0;
        return std::max(0.0, s->entry.reduction - step * (now - s->entry.expires).seconds());
    }

    // Guards against what all with one key wait for behind the upstreams (a lock, a row): none is quicker,
    // what waits fills them all, and what is refused there looks like their errors. With nothing to divert
    // to, an entry throttles. Harm: a key whose work is long by nature, or many that fail by chance, if all
    // do.
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

    // Guards against an upstream that takes work and stands still: seen by the age of what waits there.
    bool stalled(const Upstream& u) const
    {
        const double late = std::max(late_any, least_late) * (1 + 2.0 / u.out);
        return u.out > 0 && late_any > 0 && (now - u.waiting_since).seconds() > late;
    }

    double reduction(const Upstream& u) const { return stalled(u) ? 1 : entry_reduction(u); }

    // The entry now. Past its expiry what it lets through doubles with each step.
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

    // What the others look like; often enough to follow, seldom enough to be cheap.
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

    // By the time that an answer took over what its operation's usually take; none: an error.
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
            // Guards against quick errors: they make an upstream look idle and draw work to it.
            raise(u, sure_step, false);
        }
    }

    // Guards against idle connections that died without a word: forwards after a rest hang or are reset.
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
                // Guards against a tier that turns most away, and looks well by the times of its answers.
                return record_latency(inv, 1);
            case AttemptResult::unreachable:
                // Guards against a dead upstream: every forward to it costs a connect timeout.
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
        if (stuck) return;  // its own trouble, not load
        if (inv.op.latency_objective > Duration{} &&
            (result == AttemptResult::succeeded || result == AttemptResult::timed_out))
            record_latency(inv, took / inv.op.latency_objective);
    }

    // ---- own outstanding work against the latency objective ----

    // About two for each upstream from all instances together: less would leave them idle.
    double two_per_upstream() const
    {
        return 2 * capacity / (heard > 0 ? 1 : std::max(1.0, set.balancer_count * listed));
    }

    // Own work out; where the others tell theirs, all of it.
    double held() const { return outstanding - overdue + peers_out; }

    // How many warm upstreams' worth of work the listed ones can take, by those lately used. The limit and
    // what went well follow at once: answer times tell a thin instance of a zone lost or back many late.
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

    // Guards against a burst that finds no limit at all, since nothing was pressed before it; what thin
    // instances have out swings by its root, so that far.
    double most_limit() const
    {
        const double chance_of_it = for_chance * std::sqrt(good_outstanding);
        return std::max(untried * two_per_upstream(), over_good * good_outstanding + chance_of_it);
    }

    double least_limit() const { return std::max(two_per_upstream(), least_of_good * good_outstanding); }

    // The mean answer time that is still well. Guards against a ratchet: throttling makes answers quicker.
    double latency_target() const
    {
        return std::max(never_pressed, std::min(calm * most_over_calm, calm + pressed * (1 - calm)));
    }

    // Of the round. Guards, where instances are small, against a few bad upstreams being taken for pressure.
    double round_latency()
    {
        if (!queues_told && heard == 0)
            return std::accumulate(round_latencies.begin(), round_latencies.end(), 0.0) /
                   static_cast<double>(round_latencies.size());
        const auto half = round_latencies.begin() + static_cast<std::ptrdiff_t>(round_latencies.size() / 2);
        std::nth_element(round_latencies.begin(), half, round_latencies.end());
        return *half;
    }

    // Each round of answers scales the limit by how far their mean time is from where it should be. A lagging
    // mean would cut again for what an earlier cut has already mended.
    void record_latency(const Invocation& inv, double of_objective)
    {
        of_objective = std::min(of_objective, 2.0);
        const Duration since_start = inv.arrived - born;
        // Those accepted right after the start meet the least load; all of them count, the quick come first.
        if (inv.early || since_start < inv.op.latency_objective * 0.25) first_felt += of_objective, ++first_n;
        round_latencies.push_back(of_objective);
        // Guards against a limit cut by chance: answer times scatter so far that a few of them tell nothing.
        const auto n = static_cast<double>(round_latencies.size());
        if (n < least_round || (n < round_of && now - round_at < long_round)) return;
        round_at = now;
        const double mean = round_latency();
        round_latencies.clear();
        pressure = 0.5 * (pressure + mean);
        // Guards against instances so seldom asked that they would learn what is calm from a few answers.
        if (now - born < slowest_objective * 1.5 || first_n < round_of)
            calm = slow_pressure = (first_felt + round_of * usual_calm) / (first_n + round_of);
        slow_pressure += 0.1 * (mean - slow_pressure);
        calm = slow_pressure < calm ? slow_pressure : calm + 0.0003 * (slow_pressure - calm);
        // Guards against a start under overload, from which calm is learnt too high: under lasting pressure
        // it and what counts as good give way, until a limit at its floor shows that this brings no more.
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

    // True for what a tenant asks beyond its share: of all instances, where they tell; else beyond an even
    // part of it, or a part as great as the middling tenant makes of its own here. Harm: where shares are all
    // that differs between instances, and only while the limit is near.
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

    // Only the first tier turns work away for being busy: deeper, the work done above would be lost with it.
    bool over_concurrency_limit(bool over_share)
    {
        if (set.tier > 0) return false;
        const double moving = held() - stuck_out;
        // The limit is on the mean; own work swings about it by its root.
        const double most = std::min(limit, most_limit());
        return (moving + uniform_random() >= most && around >= most) ||
               moving + uniform_random() >= most + 2 * std::sqrt(most) ||
               (over_share && around > shared_from * most);
    }

    Duration retry_after() { return set.max_retry_after * (0.5 + 0.5 * uniform_random()); }

    // ---- the pick ----

    // The last report, drifting to the mean of its zone or the others (a cold one's part), and own sends
    // since.
    double expected_load(const Upstream& u) const
    {
        if (heard > 0) return u.out - u.overdue + u.peers_out;
        const double own = u.out, usual = zone_load[is_far(u)] * warm_share(u);
        if (!u.load) return usual + own;
        const double fresh = std::exp2(-((now - u.load_at) / report_age));
        const double report = usual + (*u.load - usual) * fresh;
        return std::max(own, report + (u.load_counts_own ? own - u.out_at_report : own));
    }

    // Guards against slow upstreams that report no load: what their last answers took, forgotten slowly for
    // what their kind's took, of which a thin instance sees more. Harm: where a kind is met in trouble alone.
    double slowness(const Upstream& u) const
    {
        const double usual = kinds[u.listing.machine_type].slowness;
        return usual + (u.slowness - usual) * std::exp2(-((now - u.slowness_at) / slowness_age));
    }

    // Sharp, since what is known is old and seldom the same at two instances; gently where all are told it.
    double evenness(double idle, const Upstream& u) const
    {
        idle /= 1 + zone_busy[is_far(u)];
        const double favour = is_far(u) ? 1 : heard > 0 ? near_told : near_met;
        return favour * (heard > 0 ? idle * idle * idle : fourth(idle) * fourth(idle));
    }

    // As many as own traffic meets in about a second: evidence of more would be too thin and too old.
    size_t width() const { return std::max(least_width, static_cast<size_t>(asked.rate(now) * meet_within)); }

    // Guards against work done for nothing: too late by what is held there, or slowing it down.
    bool crowded(const Invocation& inv, const Upstream& u) const
    {
        if (set.tier > 0 || (heard == 0 && !queues_told)) return false;
        const double quick = ops[inv.operation].quick;
        const double in_time = quick > 0 ? (inv.useful - now).seconds() / quick : 1e9;
        if (heard > 0) return expected_load(u) > std::min(in_time - 1, usual_crowd * warm_share(u));
        return expected_load(u) > std::max(1.0, in_time - 1.5);
    }

    // Weighted random among the first in the own order that the rules let through, the next beside reduced.
    template <class Keep>
    std::optional<UpstreamId> draw(const Invocation& inv, Keep keep)
    {
        double total = 0;
        weights.clear();
        for (const auto* order : {&near, &far}) {
            size_t wanted = width(), reach = wanted;
            const double turn = set.self_index * 0.6180339887498949;  // spreads any run of numbers evenly
            const auto first =
                static_cast<size_t>((turn - std::floor(turn)) * static_cast<double>(order->size()));
            for (size_t n = 0; n < order->size(); ++n) {
                const UpstreamId t = (*order)[(first + n) % order->size()];
                const Upstream& u = ups[t];
                // Guards against the budgets of all for one cold upstream, where those before it are crowded.
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

    // The ordinary path of the design: a draw, and diversion by the drawn server's reduction.
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

    // Refusal of the design: every ready server's entry was raised by full answers or pairs.
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

    // ---- the steps of an invocation ----

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

    // Rule 5: the client may wait for longer than it is told, its client timeout at most. Guards against
    // invocations given up for time that only a clock says is gone; the true end cuts their forwards.
    void count_time(Invocation& inv, Duration left, bool by_objective)
    {
        inv.arrived = now;
        inv.useful = inv.leaves =
            now + std::max(left, std::min(left + set.time_left_margin, inv.op.client_timeout));
        if (by_objective && inv.op.latency_objective > Duration{} && inv.op.late_response_value <= 0)
            inv.useful = std::min(inv.leaves, now + inv.op.latency_objective);
    }

    // Work that could still run is waited for to the end; work whose answer is worthless is given up.
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

    // ---- the list ----

    void list(const EndpointState& l)
    {
        if (l.upstream_id >= ups.size()) ups.resize(l.upstream_id + 1);
        Upstream& u = ups[l.upstream_id];
        if (u.known && u.listing.global_id != l.global_id) {
            // Another one in the place of one that has gone. Guards against growing with all that ever were.
            std::erase(near, l.upstream_id), std::erase(far, l.upstream_id);
            std::erase_if(told_names, [&](const auto& n) { return n.second == l.upstream_id; });
            for (Peer& p : peers) hold(p, l.upstream_id, 0);
            u = Upstream{};
        }
        if (l.started_at && l.started_at != u.listing.started_at) {
            // A new life: what the last one showed says nothing of it.
            Upstream next;
            next.known = u.known;
            next.out = u.out, next.overdue = u.overdue, next.peers_out = u.peers_out,
            next.told_out = u.told_out;
            u = next;
            u.cold_at = now;
            u.cold_tokens = uniform_random();  // so that instances told together do not all send at once
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

    // What is learnt follows operations and tenants; what is open keeps the stricter rules, for rule 2.
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
        // Tenants have other places, and the others may have other settings yet: what they tell comes anew.
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
            // Guards against hundreds of instances that probe what they do not use, or for more than it is
            // worth: where that is little, each has its turn.
            for (size_t n = 0; n < ups.size() && may_probe >= 1; ++n) {
                const UpstreamId t = probe_next++ % static_cast<UpstreamId>(ups.size());
                const Upstream& u = ups[t];
                const bool used = u.out > 0 || now - u.last_end < probe_every;
                if (used && u.listing.phase == EndpointPhase::ready) out.probe(t), may_probe -= 1;
            }
            probe_later();
        });
    }

    // ---- what the instances tell each other, where messages are allowed ----
    // What is lost is mended by the next that tells all; a name that is not on the own list says nothing.

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
            // The others forget what does not fit in here: it follows as changes.
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
