// Measures the latency that a balancer adds to a call. The same open-loop load is sent alternately straight
// to the upstreams and through a balancer, while upstreams restart cold, the fleet's duties are held and the
// list of upstreams changes.
//
// Added latency is the difference of two quantiles, that of the calls through the balancer and that of the
// direct calls. It is not the quantile of differences, as no call is sent both ways.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "open_loop.h"

namespace CLI
{
class App;
}

namespace firtide::scale
{

struct LatencyOptions {
    std::vector<double> rates{154, 1540, 7700};  // calls per second
    size_t rounds = 10;
    double seconds = 5;  // per run; a round has two runs
    double warm_up = 0.5;
    uint64_t seed = 1;
    size_t upstreams = 20;
    double changes_per_second = 1.27;
    double service_ms = 0;
    size_t members = 3;  // of the fleet; 0: a balancer without a fleet
    size_t chain = 0;    // length of an additional chain of balancers; 0: none
    double chain_rate = 154;
    std::string program;  // path of firtide; empty: beside this program
    std::string json;     // path of the result; empty: standard output
    std::string command;  // command line, for the result
};

// Median and extremes over the rounds.
struct Spread {
    double median = 0, min = 0, max = 0;
};

struct Quantiles {
    double p50 = 0, p99 = 0;
};

// Latencies in milliseconds.
struct LatencyResult {
    double calls_per_second = 0;
    Quantiles direct, through;          // over all rounds
    Spread added_p50, added_p99;        // of the differences per round
    uint64_t answered = 0, failed = 0;  // calls through the balancer
    FailureCounts failures;
    uint64_t direct_answered = 0, direct_failed = 0;
    uint64_t list_changes = 0;
    std::vector<std::string> duties;  // held by the measured balancer at the end
};

Spread spread_of(std::vector<double> values);

// Measures one rate on its own test bed: a chain of `chain` balancers, or the fleet if it is 0.
LatencyResult measure_rate(const LatencyOptions& options, double calls_per_second, size_t chain);

// Runs all measurements and writes the result. Returns the exit status: 0, 1 after an error, 130 after an
// interrupt.
int measure_latency(const LatencyOptions& options);

void add_latency_options(CLI::App& app, LatencyOptions& options);
// Adds the subcommand `latency`. Parsing throws CLI::RuntimeError if its exit status is not 0.
void add_latency_command(CLI::App& app);

}  // namespace firtide::scale
