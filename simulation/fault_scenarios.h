// Experiments on a simulated service: a trouble, and what came of it with and without what balancers do
// together.
#pragma once

#include <string>
#include <vector>

#include "service_simulation.h"

namespace firtide::simulation
{

struct ScenarioResult {
    double in_time_share = 0;  // answered in time, of what was asked
    double max_over_mean = 0;
    double connections = 0;
    double digest_bytes = 0;  // a second and balancer
    double collapses = 0, widened = 0, narrowed = 0;
    double min_served_over_mean = 0;  // of a balancer, over the mean
    double seconds_to_50_percent = 0, seconds_to_90_percent = 0,
           seconds_to_99_percent = 0;  // seconds; after a power loss
};

struct FaultScenario {
    std::string name;
    void (*run)(ServiceSimulation& simulation);
    bool power_loss = false;  // all come back: told in the times of return
};
const std::vector<FaultScenario>& fault_scenarios();

struct Features {  // what is on
    bool subset = false, outlier_gossip = false, quotas = false, staged_startup = false;
};
ServiceSimulation::Options simulation_options(size_t balancers, size_t upstreams, Features on);
ScenarioResult run_scenario(const FaultScenario& trouble, const ServiceSimulation::Options& options,
                            uint64_t seed);

}  // namespace firtide::simulation
