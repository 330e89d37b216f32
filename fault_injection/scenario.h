// A script of what happens to several processes, and of what has to be seen: TOML, a line of words for each
// step. docs/fault-injection.md names the steps.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "src/base/config_error.h"
#include "test_cluster.h"

namespace firtide::fault_injection
{

struct Scenario {
    std::string name;
    Plan plan;
    bool overlap_allowed = false;
    std::vector<std::string> steps;
};

std::variant<Scenario, ConfigError> decode_scenario(std::string_view text);

// A scenario whose troubles are drawn from a seed; at its end all heals, and all has to be held.
Scenario draw_scenario(uint64_t seed, size_t faults);

struct Verdict {
    std::vector<std::string> wrong;  // empty: all was safe and as expected
    std::vector<Duration> gaps;      // times without a holder
    size_t accepted = 0;             // effects that receivers took
    std::string logs;                // of all processes, where something was wrong
};

Verdict play(const Scenario& scenario, const std::string& program, const std::string& shim, size_t slot);

}  // namespace firtide::fault_injection
