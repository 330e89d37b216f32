// Model check of three members and one duty: every single fault at every choice point.
#include <cstdio>

#include "simulation/model_check.h"

using namespace firtide;
using namespace firtide::simulation;

namespace
{

// The line of the trace that tells of the violation, without its time.
std::string violation_of(const std::vector<std::string>& trace)
{
    constexpr size_t time_width = 10;
    std::string found = "NONE";
    for (const std::string& line : trace)
        if (line.find("VIOLATION") != std::string::npos) found = line.substr(time_width);
    return found;
}

}  // namespace

int main()
{
    ModelCheck c;
    c.options.members = c.options.voters = 3;
    c.options.duties = 1;
    c.options.lease.duration = seconds(1);
    c.options.voter_timing = {seconds(0.2), seconds(0.1)};
    c.fault_window = seconds(2.5);
    for (c.seed = 1; c.seed <= 3; ++c.seed) {
        const auto got = run_model_check(c);
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(c.seed),
                    got.violating_runs ? got.rule.c_str()
                    : got.runs > 500   ? "no violation"
                                       : "TOO FEW RUNS");
    }
    c.seed = 1;
    c.options.lease_gate = false;
    auto got = run_model_check(c);
    std::printf("no lease gate: %s\n", got.rule.c_str());
    std::printf("  its trace shows: %s\n", violation_of(got.trace).c_str());
    // The fault schedule that was found violates the rule again, and none with the lease gate enabled.
    std::printf("  again: %s\n", run_schedule(c, got.first_violation, nullptr, nullptr).empty()
                                     ? "NO VIOLATION"
                                     : "violation");
    c.options.lease_gate = true;
    std::printf("  with the lease gate: %s\n", run_schedule(c, got.first_violation, nullptr, nullptr).empty()
                                                   ? "no violation"
                                                   : "VIOLATION");
}
