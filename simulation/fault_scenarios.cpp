#include "fault_scenarios.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace firtide::simulation
{
namespace
{

constexpr double usual_load = 0.75;  // of what all upstreams can do

void start_all(ServiceSimulation& t)
{
    for (size_t i = 0; i < t.balancers(); ++i) t.start(i);
    t.run(seconds(4));
    t.reset_counts();
}

void no_fault(ServiceSimulation& t)
{
    start_all(t);
    t.run(seconds(6));
}

void different_lists(ServiceSimulation& t)
{
    start_all(t);
    for (size_t b = 0; b < t.balancers(); ++b) {
        std::vector<size_t> without;
        for (size_t u = 0; u < t.upstreams(); ++u)
            if (t.cluster().uniform() < 0.05) without.push_back(u);
        t.send_list(b, without);
    }
    t.run(seconds(1));
    t.reset_counts();
    t.run(seconds(6));
}

// A tenth of the balancers can't reach a third of the upstreams.
void unreachable_upstreams(ServiceSimulation& t)
{
    start_all(t);
    for (size_t b = 0; b < t.balancers(); b += 10)
        for (size_t u = 0; u < t.upstreams(); u += 3) t.set_reachable(b, u, false);
    t.run(seconds(10));
}

// A fifth of the upstreams stands still, twice.
void frozen_upstreams(ServiceSimulation& t)
{
    start_all(t);
    for (int n = 0; n < 2; ++n) {
        for (size_t u = 0; u < t.upstreams(); u += 5) t.freeze(u, seconds(3));
        t.run(seconds(5));
    }
}

// A quarter of the upstreams restarts at once and is cold.
void mass_restart(ServiceSimulation& t)
{
    start_all(t);
    for (size_t u = 0; u < t.upstreams(); u += 4) t.restart(u);
    t.run(seconds(12));
}

// Each balancer asks so little that it meets an upstream once in seconds; a sixth of them freezes.
void frozen_upstreams_at_low_load(ServiceSimulation& t)
{
    t.set_load(0.15);
    start_all(t);
    for (size_t u = 0; u < t.upstreams(); u += 6) t.freeze(u, seconds(4));
    t.run(seconds(8));
}

// One balancer tells all others that half of the upstreams are gone.
void false_reports(ServiceSimulation& t)
{
    start_all(t);
    std::vector<size_t> about;
    for (size_t u = 0; u < t.upstreams(); u += 2) about.push_back(u);
    t.set_false_reports(1, about);
    t.run(seconds(8));
}

// A tenth of the balancers, all of them within two seconds, and back.
void grow_and_shrink(ServiceSimulation& t)
{
    const size_t few = std::max<size_t>(6, t.balancers() / 10);
    for (size_t i = 0; i < few; ++i) t.start(i);
    t.run(seconds(4));
    t.reset_counts();
    for (size_t i = few; i < t.balancers(); ++i) {
        t.start(i);
        t.run(seconds(2.0 / static_cast<double>(t.balancers())));
    }
    t.run(seconds(4));
    for (size_t i = t.balancers(); i-- > few;) {
        t.stop(i);
        t.run(seconds(2.0 / static_cast<double>(t.balancers())));
    }
    t.run(seconds(4));
}

// A third of the balancers is killed at once.
void kill_a_third(ServiceSimulation& t)
{
    start_all(t);
    for (size_t i = 2; i < t.balancers(); i += 3) t.stop(i);
    t.run(seconds(10));
}

// Two halves of the fleet that don't hear each other, and together again.
void partition(ServiceSimulation& t)
{
    start_all(t);
    const size_t n = t.balancers();
    for (size_t a = 0; a < n / 2; ++a)
        for (size_t b = n / 2; b < n; ++b) t.cluster().link(a, b).cut = t.cluster().link(b, a).cut = true;
    t.run(seconds(6));
    t.cluster().heal();
    t.run(seconds(6));
}

// All balancers and upstreams stop; upstreams come back cold, balancers within `within`, in an order that
// differs by `part` of them never, and callers ask `times` as much for ten seconds.
void power_loss(ServiceSimulation& t, double within, double part, double times)
{
    start_all(t);
    t.run(seconds(10));
    for (size_t b = 0; b < t.balancers(); ++b) t.stop(b);
    t.run(seconds(1));
    for (size_t u = 0; u < t.upstreams(); ++u) t.restart(u);
    t.reset_counts();
    t.set_load(usual_load * times);
    const auto back = static_cast<size_t>(static_cast<double>(t.balancers()) * (1 - part));
    for (size_t i = 0; i < back; ++i) {
        t.start(i);
        t.run(seconds(within / static_cast<double>(back)));
    }
    t.run(seconds(10));
    t.set_load(usual_load);
    t.run(seconds(20));
}
void power_loss_all_at_once(ServiceSimulation& t) { power_loss(t, 0.2, 0, 1); }
void power_loss_retry_storm(ServiceSimulation& t) { power_loss(t, 1, 0, 6); }
void power_loss_third_missing(ServiceSimulation& t) { power_loss(t, 4, 0.34, 3); }

}  // namespace

const std::vector<FaultScenario>& fault_scenarios()
{
    static const std::vector<FaultScenario> all = {
        {"calm", no_fault},
        {"lists that differ", different_lists},
        {"a one-sided road", unreachable_upstreams},
        {"frozen groups", frozen_upstreams},
        {"a quarter restarts cold", mass_restart},
        {"a thin spread, and frozen groups", frozen_upstreams_at_low_load},
        {"a liar", false_reports},
        {"growth and back", grow_and_shrink},
        {"a third killed", kill_a_third},
        {"two halves and back", partition},
        {"power loss, all back at once", power_loss_all_at_once, true},
        {"power loss, callers ask six times as much", power_loss_retry_storm, true},
        {"power loss, a third never back", power_loss_third_missing, true}};
    return all;
}

ServiceSimulation::Options simulation_options(size_t balancers, size_t upstreams, Features on)
{
    ServiceSimulation::Options o;
    o.balancers = balancers, o.upstreams = upstreams;
    o.load = usual_load;
    const double able = static_cast<double>(o.upstream.slots) / o.upstream.mean_service_seconds;
    if (on.subset) {
        o.subset.emplace();
        o.subset->size = static_cast<uint32_t>(std::max<size_t>(4, upstreams * 3 / 10));
    }
    if (on.outlier_gossip) o.outlier_gossip.emplace();
    if (on.staged_startup) {
        o.recovery.emplace();
        o.recovery->wait = seconds(1);
    }
    if (on.quotas) {
        o.quotas.emplace();
        o.quotas->whole["retries"] = 0.1 * able * static_cast<double>(upstreams);
        o.quotas->whole["cold"] = o.cold_share * able * o.collapse_multiple;
    }
    return o;
}

ScenarioResult run_scenario(const FaultScenario& trouble, const ServiceSimulation::Options& options,
                            uint64_t seed)
{
    ServiceSimulation t(options, seed);
    trouble.run(t);
    ScenarioResult o;
    const auto asked = static_cast<double>(std::max<uint64_t>(1, t.count.requests));
    o.in_time_share = static_cast<double>(t.count.in_time) / asked;
    o.max_over_mean = t.max_over_mean();
    o.connections = static_cast<double>(t.connections());
    o.digest_bytes = static_cast<double>(t.count.digest_bytes) / t.elapsed().seconds() /
                     static_cast<double>(t.balancers());
    o.collapses = static_cast<double>(t.count.collapses);
    o.widened = static_cast<double>(t.count.widened), o.narrowed = static_cast<double>(t.count.narrowed);
    if (trouble.power_loss)
        o.seconds_to_50_percent = t.seconds_until_recovered(0.5, usual_load),
        o.seconds_to_90_percent = t.seconds_until_recovered(0.9, usual_load),
        o.seconds_to_99_percent = t.seconds_until_recovered(0.99, usual_load);
    const auto served = t.served_by();
    if (!served.empty()) {
        const double sum = static_cast<double>(std::accumulate(served.begin(), served.end(), uint64_t{0}));
        o.min_served_over_mean = static_cast<double>(*std::min_element(served.begin(), served.end())) *
                                 static_cast<double>(served.size()) / std::max(1.0, sum);
    }
    return o;
}

}  // namespace firtide::simulation
