// Estimates the resources that a scale run needs, before anything is started.
#pragma once

#include <optional>
#include <string>

#include "options.h"

namespace firtide::scale
{

struct Estimate {
    uint32_t processes = 0;                // including the controller
    double memory_mb = 0;                  // of all processes and the kernel's socket buffers
    uint64_t descriptors_per_process = 0;  // highest need of one process
};

struct MachineLimits {
    double memory_mb = 0;
    uint64_t descriptors_per_process = 0;
};

inline constexpr uint32_t max_processes = 300;
inline constexpr double max_memory_fraction = 0.5;

// Most descriptors are connections, which stay open for longer than the start of the members takes.
uint64_t descriptors_per_hollow_member(uint32_t members);

uint32_t hollow_processes(const Options& options);
Estimate estimate(const Options& options);

// Describes the first limit that the run would exceed; nothing if it may start.
std::optional<std::string> exceeded_limit(const Estimate& needed, const MachineLimits& limits);

// Raises this process's soft limit of descriptors to the hard limit, and returns the limits of the machine.
MachineLimits raise_descriptor_limit();

}  // namespace firtide::scale
