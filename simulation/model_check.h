// Model checker: runs the production code in a small simulated cluster with every combination of up to
// max_faults faults.
#pragma once

#include "simulated_cluster.h"

namespace firtide::simulation
{

struct ModelCheck {
    SimulatedCluster::Options options;
    Duration settle_time = seconds(2.2),
             fault_window = seconds(
                 4);  // before the first fault may occur, and the time after that in which faults may occur
    size_t max_faults = 1;         // faults in one run
    size_t shard = 0, shards = 1;  // runs only this shard of the schedules
    uint64_t seed = 1;
    bool stop_at_first = true;
};

// The faults of a run: the number of the choice point and the alternative taken there.
using FaultSchedule = std::vector<std::pair<uint32_t, uint8_t>>;

struct ModelCheckResult {
    uint64_t runs = 0, choice_points = 0;  // choice_points: of the fault-free run
    uint64_t violating_runs = 0;
    FaultSchedule first_violation;  // that violated a rule
    std::vector<std::string> trace;
    std::string rule;
};

ModelCheckResult run_model_check(const ModelCheck& check);

// Executes one run. Both outputs are optional: `trace` gets what happened, `alternatives` the number of
// alternatives at each choice point.
std::vector<Violation> run_schedule(const ModelCheck& check, const FaultSchedule& schedule,
                                    std::vector<std::string>* trace, std::vector<uint8_t>* alternatives);

}  // namespace firtide::simulation
