// What a scale run will take of the machine, before it starts anything.
#pragma once

#include <optional>
#include <string>

#include "options.h"

namespace firtide::scale
{

struct Estimate {
    uint32_t processes = 0;         // the controller too
    double memory_mb = 0;           // of all processes and of the system's socket buffers
    uint64_t descriptors_each = 0;  // of the process that needs the most
};

struct MachineLimits {
    double memory_mb = 0;
    uint64_t descriptors_each = 0;
};

inline constexpr uint32_t most_processes = 300;
inline constexpr double most_memory_part = 0.5;

uint32_t hollow_processes(const Options& options);
Estimate estimate(const Options& options);

// Why a run of this size is refused; nothing: it may start.
std::optional<std::string> refusal(const Estimate& needed, const MachineLimits& limits);

// Raises this process's limit of descriptors to what the system allows, and says what there is.
MachineLimits claim_machine();

}  // namespace firtide::scale
