// Simulates many balancers that share upstreams but no state, each with a part of the traffic, and checks
// their combined load: on warming upstreams, after a zone fails and returns, and during rolling replacements.
// Guards against limits that hold for each balancer but not for their sum.
#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <random>

#include "trace.h"

using namespace firtide;

namespace
{

// Balancers that share nothing but the upstreams. An upstream answers each request after `response_time` and
// reports its requests in flight with each response.
class BalancerFleet
{
  public:
    // uneven: the first balancer has five times the traffic of each other one.
    BalancerFleet(uint32_t balancers, uint32_t upstreams, uint32_t seed = 0, bool uneven = false)
        : upstreams_(upstreams), in_flight(upstreams), first_shares_(uneven ? 5 : 1), random(7 + seed)
    {
        auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
        settings.balancer_count = balancers;
        settings.cross_zone_price = 0.015;
        settings.slow_start_duration = seconds(20);
        settings.slow_start_min_share = 0.16;
        settings.collapse_window = seconds(1);
        settings.collapse_multiple = 2.5;
        for (uint32_t i = 0; i < balancers; ++i) {
            settings.self_index = i;
            settings.own_zone = ZoneId{i % 2};
            hosts.push_back(std::make_unique<TracingHost>(settings, i + 1 + seed * 1000));
            hosts.back()->recording_paused = true;
            hosts.back()->set_endpoints(upstreams);
            free_invocations.emplace_back();
        }
    }

    void change_endpoint(UpstreamId upstream, EndpointPhase phase, std::optional<TimePoint> started = {})
    {
        for (auto& host : hosts) host->now = now, host->change_endpoint(upstream, phase, started);
    }

    // Runs `rate` invocations per second, distributed at random over the balancers.
    void run(Duration span, double rate)
    {
        const TimePoint end = now + span;
        sends.clear();
        throttled = 0;
        const auto next = [&] { return now + seconds(std::exponential_distribution<>(rate)(random)); };
        for (TimePoint arrival = next(); arrival < end || (!pending.empty() && pending.top().at < end);) {
            if (!pending.empty() && pending.top().at < arrival) {
                const PendingAttempt attempt = pending.top();
                pending.pop();
                now = attempt.at;
                TracingHost& host = *hosts[attempt.balancer];
                host.now = now;
                LoadReport report;
                report.in_flight = --in_flight[attempt.upstream];
                const bool reachable = !is_unreachable(attempt.upstream);
                host.last_upstream = no_upstream;
                host.end_attempt(attempt.invocation,
                                 reachable ? AttemptResult::succeeded : AttemptResult::unreachable,
                                 response_time, reachable ? report : LoadReport{});
                send_or_free(attempt.balancer, attempt.invocation);
                continue;
            }
            now = arrival;
            arrival = next();
            const auto share = random() % (hosts.size() + first_shares_ - 1);
            const auto balancer =
                static_cast<uint32_t>(share < first_shares_ ? 0 : share - first_shares_ + 1);
            if (free_invocations[balancer].empty()) free_invocations[balancer].push_back(next_invocation++);
            const InvocationId invocation = free_invocations[balancer].back();
            TracingHost& host = *hosts[balancer];
            host.now = now;
            host.last_upstream = no_upstream;
            host.accept(invocation);
            free_invocations[balancer].pop_back();
            throttled += host.last_upstream == no_upstream;
            send_or_free(balancer, invocation);
        }
        now = end;
    }

    // Prints, for the selected upstreams in the last run, the mean request rate per upstream and the maximum
    // number of requests to one upstream within any second.
    template <class Selected>
    void print_rates(const char* label, Duration span, Selected is_selected) const
    {
        int total = 0, count = 0, peak = 0;
        for (UpstreamId upstream = 0; upstream < upstreams_; ++upstream) {
            if (!is_selected(upstream)) continue;
            ++count;
            std::vector<TimePoint> at;
            for (const auto& [when, receiver] : sends)
                if (receiver == upstream) at.push_back(when);
            total += static_cast<int>(at.size());
            for (size_t first = 0, last = 0; last < at.size(); ++last) {
                while (at[last] - at[first] >= seconds(1)) ++first;
                peak = std::max(peak, static_cast<int>(last - first + 1));
            }
        }
        std::printf("%s: %.1f requests/s per upstream, at most %d in any second\n", label,
                    total / span.seconds() / std::max(1, count), peak);
    }

    // Statistics of the one-second windows that begin with a request to an upstream. N is the number of
    // requests that the settings allow at the upstream's age, and 2 * sqrt(N) + 2 is the random tolerance.
    struct WindowCounts {
        uint64_t total = 0, exceeded = 0;  // exceeded: windows with more than N + tolerance
        double max_excess = 0;             // over N, as a fraction of the tolerance
    };
    // `warm_rate`: requests per second to a warm upstream.
    void count_windows(UpstreamId upstream, TimePoint started, double warm_rate, WindowCounts& counts) const
    {
        std::vector<TimePoint> at;
        for (const auto& [when, receiver] : sends)
            if (receiver == upstream) at.push_back(when);
        for (size_t first = 0, last = 0; first < at.size(); ++first) {
            while (last < at.size() && at[last] - at[first] < seconds(1)) ++last;
            const double warm = 0.16 + 0.84 * ((at[first] - started).seconds() / 20);
            const double allowed = 2.5 * warm * warm_rate, tolerance = 2 * std::sqrt(allowed) + 2;
            const double excess = static_cast<double>(last - first) - allowed;
            ++counts.total;
            counts.exceeded += excess > tolerance;
            counts.max_excess = std::max(counts.max_excess, excess / tolerance);
        }
    }

    // The mean number of requests in flight at the selected upstreams.
    template <class Selected>
    double mean_in_flight(Selected is_selected) const
    {
        double count = 0, sum = 0;
        for (UpstreamId upstream = 0; upstream < upstreams_; ++upstream)
            if (is_selected(upstream)) ++count, sum += in_flight[upstream];
        return sum / count;
    }

    Duration response_time = seconds(0.2);
    TimePoint now{1'000'000'000};
    int throttled = 0;
    // Attempts to unreachable upstreams fail after 75 ms.
    std::function<bool(UpstreamId)> is_unreachable = [](UpstreamId) { return false; };

  private:
    static constexpr UpstreamId no_upstream = ~0u;

    // Starts the attempt that the balancer has just decided on, or frees the invocation's id if there is
    // none.
    void send_or_free(uint32_t balancer, InvocationId invocation)
    {
        const UpstreamId upstream = hosts[balancer]->last_upstream;
        if (upstream == no_upstream) return free_invocations[balancer].push_back(invocation);
        ++in_flight[upstream];
        sends.emplace_back(now, upstream);
        pending.push({now + (is_unreachable(upstream) ? seconds(0.075) : response_time), balancer, invocation,
                      upstream});
    }

    struct PendingAttempt {
        TimePoint at;  // of its end
        uint32_t balancer;
        InvocationId invocation;
        UpstreamId upstream;
        bool operator<(const PendingAttempt& other) const
        {
            return other.at < at || (other.at == at && other.balancer < balancer);
        }
    };
    uint32_t upstreams_;
    std::vector<double> in_flight;
    std::vector<std::unique_ptr<TracingHost>> hosts;
    std::vector<std::vector<InvocationId>> free_invocations;
    InvocationId next_invocation = 0;
    std::priority_queue<PendingAttempt> pending;
    std::vector<std::pair<TimePoint, UpstreamId>> sends;
    size_t first_shares_;  // of the traffic, for the first balancer; each other one has one share
    std::ranlux24_base random;
};

}  // namespace

// One of many upstreams restarts. Then six in ten are replaced one after the other.
void rolling_replacement()
{
    std::printf("-- 100 balancers and 20 upstreams, one of which restarts\n");
    BalancerFleet fleet(100, 32);
    for (UpstreamId upstream = 20; upstream < 32; ++upstream)
        fleet.change_endpoint(upstream, EndpointPhase::gone);
    fleet.run(seconds(10), 240);
    fleet.change_endpoint(3, EndpointPhase::ready, fleet.now);
    for (int i = 0; i < 3; ++i) {
        fleet.run(seconds(5), 240);
        fleet.print_rates("warming", seconds(5), [](UpstreamId upstream) { return upstream == 3; });
    }

    std::printf("-- 12 upstreams are replaced within 7 s\n");
    for (UpstreamId upstream = 20; upstream < 32; ++upstream) {
        fleet.change_endpoint(upstream, EndpointPhase::ready, fleet.now);
        fleet.change_endpoint(upstream - 16, EndpointPhase::draining);
        fleet.run(seconds(0.58), 240);
        fleet.change_endpoint(upstream - 16, EndpointPhase::gone);
    }
    const auto is_new = [](UpstreamId upstream) { return upstream >= 20; };
    const auto is_kept = [](UpstreamId upstream) {
        return upstream < 4 || (upstream >= 16 && upstream < 20);
    };
    for (int i = 0; i < 3; ++i) {
        fleet.run(seconds(5), 240);
        fleet.print_rates("kept", seconds(5), is_kept);
        fleet.print_rates("new", seconds(5), is_new);
        std::printf("%d of 1200 throttled\n", fleet.throttled);
    }
}

// Compares the combined load on warming upstreams with the allowed load plus the random tolerance, over 200
// seeds per number of balancers.
void check_slow_start_load(const char* label, bool uneven, double before, double after,
                           Duration lead_time = seconds(5))
{
    std::printf("-- combined load on warming upstreams, %s\n", label);
    for (const uint32_t balancers : {1u, 5u, 20u, 30u}) {
        BalancerFleet::WindowCounts counts;
        for (uint32_t seed = 1; seed <= 200; ++seed) {
            BalancerFleet fleet(balancers, 20, seed, uneven);
            fleet.run(lead_time, before);
            const TimePoint started = fleet.now;
            fleet.change_endpoint(0, EndpointPhase::ready, started);
            fleet.change_endpoint(1, EndpointPhase::ready, started);
            fleet.run(seconds(4), after);
            for (const UpstreamId upstream : {0u, 1u})
                fleet.count_windows(upstream, started, after / 20, counts);
        }
        std::printf(
            "%u balancers: %.2f%% of windows above N + 2 * sqrt(N) + 2, max excess %.2f of the tolerance\n",
            balancers, 100.0 * static_cast<double>(counts.exceeded) / static_cast<double>(counts.total),
            counts.max_excess);
    }
}

int main()
{
    std::printf("-- 100 balancers, 20 upstreams in two zones; one zone restarts\n");
    BalancerFleet restarted(100, 20);
    restarted.run(seconds(10), 240);
    restarted.print_rates("before", seconds(10), [](UpstreamId) { return true; });
    for (UpstreamId upstream = 1; upstream < 20; upstream += 2)
        restarted.change_endpoint(upstream, EndpointPhase::ready, restarted.now);
    for (int i = 0; i < 3; ++i) {
        restarted.run(seconds(5), 240);
        restarted.print_rates("warm", seconds(5), [](UpstreamId upstream) { return upstream % 2 == 0; });
        restarted.print_rates("warming", seconds(5), [](UpstreamId upstream) { return upstream % 2 == 1; });
    }

    std::printf(
        "-- 100 balancers, 20 upstreams with a response time of 250 ms; one zone becomes unreachable\n");
    BalancerFleet partitioned(100, 20);
    partitioned.response_time = seconds(0.25);
    const auto is_reachable = [](UpstreamId upstream) { return upstream % 2 == 0; };
    partitioned.run(seconds(20), 480);
    std::printf("before: %.1f in flight, %d of 9600 throttled\n", partitioned.mean_in_flight(is_reachable),
                partitioned.throttled);
    partitioned.is_unreachable = [&](UpstreamId upstream) { return !is_reachable(upstream); };
    for (int i = 0; i < 3; ++i) {
        partitioned.run(seconds(3), 480);
        std::printf("survivors: %.1f in flight, %d of 1440 throttled\n",
                    partitioned.mean_in_flight(is_reachable), partitioned.throttled);
    }
    std::printf("-- the zone restarts\n");
    partitioned.is_unreachable = [](UpstreamId) { return false; };
    for (UpstreamId upstream = 1; upstream < 20; upstream += 2)
        partitioned.change_endpoint(upstream, EndpointPhase::ready, partitioned.now);
    for (int i = 0; i < 4; ++i) {
        partitioned.run(seconds(3), 480);
        std::printf("survivors: %.1f in flight, %d of 1440 throttled\n",
                    partitioned.mean_in_flight(is_reachable), partitioned.throttled);
    }

    rolling_replacement();
    check_slow_start_load("even traffic", false, 120, 120);
    check_slow_start_load("one balancer has five times the traffic of each other", true, 120, 120);
    check_slow_start_load("traffic returns from a sixth as they start", true, 20, 120);
    check_slow_start_load("all balancers started 0.3 s before", true, 120, 120, seconds(0.3));
}
