// Fault scenarios for the simulated service, with and without the cooperation of its balancers.
#pragma once

#include <string>
#include <vector>

#include "service_simulation.h"

namespace firtide::simulation
{

struct ScenarioResult {
    double in_time_share = 0;  // fraction of the requests that were answered in time
    double max_over_mean = 0;
    double connections = 0;
    double digest_bytes = 0;  // per second and balancer
    double collapses = 0, widened = 0, narrowed = 0;
    double min_served_over_mean = 0;  // requests served by the least busy balancer, over the mean
    double seconds_to_50_percent = 0, seconds_to_90_percent = 0,
           seconds_to_99_percent = 0;  // after a power loss
};

struct FaultScenario {
    std::string name;
    void (*run)(ServiceSimulation& simulation);
    bool power_loss = false;  // a power loss, measured by the time to recover
};
const std::vector<FaultScenario>& fault_scenarios();

struct Features {  // cooperation features that are enabled
    bool subset = false, outlier_gossip = false, quotas = false, staged_startup = false;
};
ServiceSimulation::Options simulation_options(size_t balancers, size_t upstreams, Features features);
ScenarioResult run_scenario(const FaultScenario& scenario, const ServiceSimulation::Options& options,
                            uint64_t seed);

}  // namespace firtide::simulation
