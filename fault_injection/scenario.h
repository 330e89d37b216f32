// A scenario is a TOML file with the setup of a test cluster and a list of steps: faults to inject and
// expectations to check. A step is one line of words; docs/fault-injection.md describes them.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/base/config_error.h"
#include "test_cluster.h"

namespace firtide::fault_injection
{

struct Scenario {
    std::string name;
    ClusterConfig cluster_config;
    bool overlap_allowed = false;
    std::vector<std::string> steps;
};

std::variant<Scenario, ConfigError> parse_scenario(std::string_view text);

// A scenario with `faults` random faults drawn from the seed. At its end all faults are removed, and all
// duties must be held again.
Scenario random_scenario(uint64_t seed, size_t faults);

struct ScenarioResult {
    std::vector<std::string> violations;  // empty: no violation, and all expectations met
    std::vector<Duration> gaps;           // how long duties had no holder
    size_t accepted_count = 0;            // effects that receivers accepted
    std::string logs;                     // of all processes, if there are violations
    // Why the result says nothing of the program: a port was taken by another process.
    std::optional<std::string> port_conflict;
};

// Throws PortsUnavailable.
ScenarioResult run_scenario(const Scenario& scenario, const std::string& program,
                            const std::string& interposer, size_t preferred_ports);

}  // namespace firtide::fault_injection
