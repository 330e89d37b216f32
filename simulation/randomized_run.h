// Random walks: a fleet under faults drawn from a seed.
#pragma once

#include "simulated_cluster.h"

namespace firtide::simulation
{

struct RandomizedRun {
    SimulatedCluster::Options options;
    Duration lasts = seconds(60);
    double faults = 1;        // a second, about
    bool disks = true;        // lost, torn, full, slow
    bool clocks = true;       // rates that differ, within the drift
    double clock_beyond = 0;  // a clock faster than stated, by this part
    bool quiet_end = true;    // at last all heals, and every duty has to be held again
};

struct Walked {
    std::vector<Broken> broken;
    SimulatedCluster::Count count;
    uint64_t faults = 0;
    std::vector<std::string> trace;
    std::vector<Duration> gaps;
};

Walked run_randomized(const RandomizedRun& run, uint64_t seed, bool traced = false);

}  // namespace firtide::simulation
