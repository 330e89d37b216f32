// The model checker: a small world of the real parts, and every way in which up to so many things go wrong in
// it.
#pragma once

#include "simulated_cluster.h"

namespace firtide::simulation
{

struct ModelCheck {
    SimulatedCluster::Options options;
    Duration settle_time = seconds(2.2),
             fault_window = seconds(4);  // before anything can go wrong, and after
    size_t max_faults = 1;               // things that go wrong in one run
    size_t shard = 0, shards = 1;        // of the runs, this part only
    uint64_t seed = 1;
    bool stop_at_first = true;
};

// Where things went wrong: the number of the fork, and the way taken there.
using FaultSchedule = std::vector<std::pair<uint32_t, uint8_t>>;

struct ModelCheckResult {
    uint64_t runs = 0, choice_points = 0;  // forks: of the run in which nothing goes wrong
    uint64_t violating_runs = 0;
    FaultSchedule first_violation;  // that broke a rule
    std::vector<std::string> trace;
    std::string rule;
};

ModelCheckResult run_model_check(const ModelCheck& check);

// One run; the trace tells what happened.
std::vector<Broken> run_schedule(const ModelCheck& check, const FaultSchedule& way,
                                 std::vector<std::string>* trace, std::vector<uint8_t>* ways);

}  // namespace firtide::simulation
