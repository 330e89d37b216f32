#include "fault_scenarios.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace firtide::simulation
{
namespace
{

constexpr double usual_load = 0.75;  // fraction of the capacity of all upstreams

void start_all(ServiceSimulation& service)
{
    for (size_t i = 0; i < service.balancers(); ++i) service.start(i);
    service.run(seconds(4));
    service.reset_counts();
}

void no_fault(ServiceSimulation& service)
{
    start_all(service);
    service.run(seconds(6));
}

void different_lists(ServiceSimulation& service)
{
    start_all(service);
    for (size_t b = 0; b < service.balancers(); ++b) {
        std::vector<size_t> without;
        for (size_t u = 0; u < service.upstreams(); ++u)
            if (service.cluster().uniform() < 0.05) without.push_back(u);
        service.send_list(b, without);
    }
    service.run(seconds(1));
    service.reset_counts();
    service.run(seconds(6));
}

// A tenth of the balancers can't reach a third of the upstreams.
void unreachable_upstreams(ServiceSimulation& service)
{
    start_all(service);
    for (size_t b = 0; b < service.balancers(); b += 10)
        for (size_t u = 0; u < service.upstreams(); u += 3) service.set_reachable(b, u, false);
    service.run(seconds(10));
}

// A fifth of the upstreams freezes, twice.
void frozen_upstreams(ServiceSimulation& service)
{
    start_all(service);
    for (int n = 0; n < 2; ++n) {
        for (size_t u = 0; u < service.upstreams(); u += 5) service.freeze(u, seconds(3));
        service.run(seconds(5));
    }
}

// A quarter of the upstreams restarts at once, with reduced capacity.
void mass_restart(ServiceSimulation& service)
{
    start_all(service);
    for (size_t u = 0; u < service.upstreams(); u += 4) service.restart(u);
    service.run(seconds(12));
}

// At a load so low that a balancer reaches any one upstream only once in several seconds, a sixth of the
// upstreams freezes.
void frozen_upstreams_at_low_load(ServiceSimulation& service)
{
    service.set_load(0.15);
    start_all(service);
    for (size_t u = 0; u < service.upstreams(); u += 6) service.freeze(u, seconds(4));
    service.run(seconds(8));
}

// One balancer falsely reports half of the upstreams as failed.
void false_reports(ServiceSimulation& service)
{
    start_all(service);
    std::vector<size_t> about;
    for (size_t u = 0; u < service.upstreams(); u += 2) about.push_back(u);
    service.set_false_reports(1, about);
    service.run(seconds(8));
}

// Grows from a tenth of the balancers to all of them within two seconds, and shrinks back.
void grow_and_shrink(ServiceSimulation& service)
{
    const size_t few = std::max<size_t>(6, service.balancers() / 10);
    for (size_t i = 0; i < few; ++i) service.start(i);
    service.run(seconds(4));
    service.reset_counts();
    for (size_t i = few; i < service.balancers(); ++i) {
        service.start(i);
        service.run(seconds(2.0 / static_cast<double>(service.balancers())));
    }
    service.run(seconds(4));
    for (size_t i = service.balancers(); i-- > few;) {
        service.stop(i);
        service.run(seconds(2.0 / static_cast<double>(service.balancers())));
    }
    service.run(seconds(4));
}

// A third of the balancers is killed at once.
void kill_a_third(ServiceSimulation& service)
{
    start_all(service);
    for (size_t i = 2; i < service.balancers(); i += 3) service.stop(i);
    service.run(seconds(10));
}

// Partitions the fleet into two halves, and heals the partition.
void partition(ServiceSimulation& service)
{
    start_all(service);
    const size_t n = service.balancers();
    for (size_t a = 0; a < n / 2; ++a)
        for (size_t b = n / 2; b < n; ++b)
            service.cluster().link(a, b).blocked = service.cluster().link(b, a).blocked = true;
    service.run(seconds(6));
    service.cluster().restore_links();
    service.run(seconds(6));
}

// All balancers and upstreams stop. Upstreams restart with reduced capacity; balancers restart within
// `within` seconds, except for the fraction `part`, which stays down. Until ten seconds after that the load
// is `times` the usual one.
void power_loss(ServiceSimulation& service, double within, double part, double times)
{
    start_all(service);
    service.run(seconds(10));
    for (size_t b = 0; b < service.balancers(); ++b) service.stop(b);
    service.run(seconds(1));
    for (size_t u = 0; u < service.upstreams(); ++u) service.restart(u);
    service.reset_counts();
    service.set_load(usual_load * times);
    const auto back = static_cast<size_t>(static_cast<double>(service.balancers()) * (1 - part));
    for (size_t i = 0; i < back; ++i) {
        service.start(i);
        service.run(seconds(within / static_cast<double>(back)));
    }
    service.run(seconds(10));
    service.set_load(usual_load);
    service.run(seconds(20));
}
void power_loss_all_at_once(ServiceSimulation& service) { power_loss(service, 0.2, 0, 1); }
void power_loss_retry_storm(ServiceSimulation& service) { power_loss(service, 1, 0, 6); }
void power_loss_third_missing(ServiceSimulation& service) { power_loss(service, 4, 0.34, 3); }

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

ServiceSimulation::Options simulation_options(size_t balancers, size_t upstreams, Features features)
{
    ServiceSimulation::Options o;
    o.balancers = balancers, o.upstreams = upstreams;
    o.load = usual_load;
    const double capacity = static_cast<double>(o.upstream.slots) / o.upstream.mean_service_seconds;
    if (features.subset) {
        o.subset.emplace();
        o.subset->size = static_cast<uint32_t>(std::max<size_t>(4, upstreams * 3 / 10));
    }
    if (features.outlier_gossip) o.outlier_gossip.emplace();
    if (features.staged_startup) {
        o.recovery.emplace();
        o.recovery->stage_timeout = seconds(1);
    }
    if (features.quotas) {
        o.quotas.emplace();
        o.quotas->totals["retries"] = 0.1 * capacity * static_cast<double>(upstreams);
        o.quotas->totals["cold"] = o.cold_share * capacity * o.collapse_multiple;
    }
    return o;
}

ScenarioResult run_scenario(const FaultScenario& scenario, const ServiceSimulation::Options& options,
                            uint64_t seed)
{
    ServiceSimulation service(options, seed);
    scenario.run(service);
    ScenarioResult o;
    const auto asked = static_cast<double>(std::max<uint64_t>(1, service.count.requests));
    o.in_time_share = static_cast<double>(service.count.in_time) / asked;
    o.max_over_mean = service.max_over_mean();
    o.connections = static_cast<double>(service.connections());
    o.digest_bytes = static_cast<double>(service.count.digest_bytes) / service.elapsed().seconds() /
                     static_cast<double>(service.balancers());
    o.collapses = static_cast<double>(service.count.collapses);
    o.widened = static_cast<double>(service.count.widened),
    o.narrowed = static_cast<double>(service.count.narrowed);
    if (scenario.power_loss)
        o.seconds_to_50_percent = service.seconds_until_recovered(0.5, usual_load),
        o.seconds_to_90_percent = service.seconds_until_recovered(0.9, usual_load),
        o.seconds_to_99_percent = service.seconds_until_recovered(0.99, usual_load);
    const auto served = service.served_by();
    if (!served.empty()) {
        const double sum = static_cast<double>(std::accumulate(served.begin(), served.end(), uint64_t{0}));
        o.min_served_over_mean = static_cast<double>(*std::min_element(served.begin(), served.end())) *
                                 static_cast<double>(served.size()) / std::max(1.0, sum);
    }
    return o;
}

}  // namespace firtide::simulation
