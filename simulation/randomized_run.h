// Randomized runs: a fleet under faults drawn from a seed.
#pragma once

#include "simulated_cluster.h"

namespace firtide::simulation
{

struct RandomizedRun {
    SimulatedCluster::Options options;
    Duration duration = seconds(60);
    double faults_per_second = 1;  // mean rate, approximate
    bool disk_faults = true;       // power loss, torn writes, full and slow disks
    bool lost_records = false;     // a power loss also cuts up to 40 synced bytes off the voter's log
    bool clock_drift = true;       // clock rates differ, within the configured drift
    // One clock runs slower than true time by this fraction, so as to exceed the configured drift.
    double excess_drift = 0;
    bool heal_at_end = true;  // at the end all faults are repaired and every duty must have a holder again
};

struct RandomizedRunResult {
    std::vector<Violation> broken;
    SimulatedCluster::Count count;
    uint64_t faults = 0;
    std::vector<std::string> trace;
    std::vector<Duration> gaps;
};

RandomizedRunResult run_randomized(const RandomizedRun& run, uint64_t seed, bool traced = false);

}  // namespace firtide::simulation
