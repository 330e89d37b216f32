// The model checker: a small world of the real parts, and every way in which up to so many things go wrong in
// it.
#pragma once

#include "simulated_cluster.h"

namespace firtide::simulation
{

struct Check {
    SimulatedCluster::Options options;
    Duration settles = seconds(2.2), lasts = seconds(4);  // before anything can go wrong, and after
    size_t most = 1;                                      // things that go wrong in one run
    size_t part = 0, parts = 1;                           // of the runs, this part only
    uint64_t seed = 1;
    bool stop_at_first = true;
};

// Where things went wrong: the number of the fork, and the way taken there.
using Way = std::vector<std::pair<uint32_t, uint8_t>>;

struct Checked {
    uint64_t runs = 0, forks = 0;  // forks: of the run in which nothing goes wrong
    uint64_t broken = 0;
    Way first;  // that broke a rule
    std::vector<std::string> trace;
    std::string rule;
};

Checked check(const Check& check);

// One run; the trace tells what happened.
std::vector<Broken> play(const Check& check, const Way& way, std::vector<std::string>* trace,
                         std::vector<uint8_t>* ways);

}  // namespace firtide::simulation
