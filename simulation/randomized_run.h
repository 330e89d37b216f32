// Random walks: a fleet under faults drawn from a seed.
#pragma once

#include "simulated_cluster.h"

namespace firtide::simulation
{

struct RandomizedRun {
    SimulatedCluster::Options options;
    Duration duration = seconds(60);
    double faults_per_second = 1;  // a second, about
    bool disk_faults = true;       // lost, torn, full, slow
    bool clock_drift = true;       // rates that differ, within the drift
    double excess_drift = 0;       // a clock faster than stated, by this part
    bool heal_at_end = true;       // at last all heals, and every duty has to be held again
};

struct RandomizedRunResult {
    std::vector<Broken> broken;
    SimulatedCluster::Count count;
    uint64_t faults = 0;
    std::vector<std::string> trace;
    std::vector<Duration> gaps;
};

RandomizedRunResult run_randomized(const RandomizedRun& run, uint64_t seed, bool traced = false);

}  // namespace firtide::simulation
