// Measures what a balancer adds to a call: the same open-loop load goes straight to upstreams and through a
// balancer, in alternation, while upstreams restart cold, the fleet's duties are held and the list of
// upstreams changes.
//
// "Added" is the difference of two quantiles (of the latencies through the balancer and of the direct ones),
// not the quantile of differences: no call is sent both ways.
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
    std::vector<double> rates{154, 1540, 7700};  // calls a second
    size_t rounds = 10;
    double seconds = 5;  // of each run; a round has two
    double warm_up = 0.5;
    uint64_t seed = 1;
    size_t upstreams = 20;
    double changes_per_second = 1.27;
    double service_ms = 0;
    size_t members = 3;  // of the fleet; 0: a balancer without a fleet
    size_t chain = 0;    // balancers in a row that are measured too; 0: none
    double chain_rate = 154;
    std::string program;  // firtide; empty: beside this program
    std::string json;     // the file to write; empty: standard output
    std::string command;  // as it was called, for the record
};

// Median and extremes of the rounds.
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
    Spread added_p50, added_p99;        // of the rounds' differences
    uint64_t answered = 0, failed = 0;  // of the calls through the balancer
    FailureCounts failures;
    uint64_t direct_answered = 0, direct_failed = 0;
    uint64_t list_changes = 0;
    std::vector<std::string> duties;  // that the measured balancer held at the end
};

Spread spread_of(std::vector<double> values);

// One rate against a test bed of its own; `chain` balancers in a row, or the fleet where it is 0.
LatencyResult measure_rate(const LatencyOptions& options, double calls_per_second, size_t chain);

// Runs all measurements and writes the record. The exit status: 0, 1 after a fault, 130 after an interrupt.
int measure_latency(const LatencyOptions& options);

void add_latency_options(CLI::App& app, LatencyOptions& options);
// The subcommand `latency`; it ends the parse by CLI::RuntimeError where its status is not 0.
void add_latency_command(CLI::App& app);

}  // namespace firtide::scale
