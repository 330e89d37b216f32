// Experiments on a simulated service: a trouble, and what came of it with and without what balancers do
// together.
#pragma once

#include <string>
#include <vector>

#include "service_simulation.h"

namespace firtide::simulation
{

struct Outcome {
    double value = 0;  // answered in time, of what was asked
    double greatest_over_mean = 0;
    double connections = 0;
    double digest_bytes = 0;  // a second and balancer
    double fell_over = 0, widened = 0, narrowed = 0;
    double least_served = 0;                    // of a balancer, over the mean
    double back50 = 0, back90 = 0, back99 = 0;  // seconds; after a power loss
};

struct Trouble {
    std::string name;
    void (*plays)(ServiceSimulation& simulation);
    bool power = false;  // all come back: told in the times of return
};
const std::vector<Trouble>& troubles();

struct On {  // what is on
    bool subset = false, signals = false, turns = false, recovery = false;
};
ServiceSimulation::Options simulation_options(size_t balancers, size_t upstreams, On on);
Outcome play(const Trouble& trouble, const ServiceSimulation::Options& options, uint64_t seed);

}  // namespace firtide::simulation
