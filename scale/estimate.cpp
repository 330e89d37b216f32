#include "estimate.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>

namespace firtide::scale
{
namespace
{

// Measured as resident memory with 3 voters and lists of whole upstreams, rounded up; docs/capacity/scale.md
// tells how. In MB, or in KB where the name says so.
constexpr double controller_mb = 30, real_process_mb = 20, hollow_process_mb = 20;
constexpr double real_member_kb = 8;      // at a real process, for each member of the fleet
constexpr double hollow_base_kb = 150;    // of a hollow member by itself
constexpr double hollow_member_kb = 0.6;  // at a hollow member, for each member of the fleet
constexpr double list_entry_kb = 0.1;     // of an upstream in the text of a list
constexpr double hollow_list_copies = 8;  // at a hollow member: the last list, and what waits to be sent
constexpr double real_list_copies = 20;   // at a real process: parsed too
constexpr double sockets_kb = 120;        // of the system, for each member's connections
constexpr double controller_list_copies = 10;

constexpr uint64_t descriptors_a_member = 100;  // of a hollow process, while neighbours change in the warm-up
constexpr uint64_t descriptors_a_member_real = 3;  // at a leader: one way each, and questions
constexpr uint64_t descriptors_process = 100;

constexpr double kb_in_mb = 1024;

}  // namespace

uint32_t hollow_processes(const Options& options)
{
    const uint32_t hollow = options.hollow();
    // The members that are killed share a process of their own.
    const uint32_t killed = options.trouble == Trouble::killed ? options.members / 20 : 0;
    const auto shared = [&](uint32_t members) {
        return (members + options.hollow_per_process - 1) / options.hollow_per_process;
    };
    return shared(hollow - killed) + (killed > 0 ? 1 : 0);
}

Estimate estimate(const Options& options)
{
    const double members = options.members, real = options.real, hollow = options.hollow();
    const double list_mb = options.upstreams * list_entry_kb / kb_in_mb;
    const double one_real_mb =
        real_process_mb + members * real_member_kb / kb_in_mb + real_list_copies * list_mb;
    const double one_hollow_mb =
        (hollow_base_kb + members * hollow_member_kb) / kb_in_mb + hollow_list_copies * list_mb;
    Estimate needed;
    needed.processes = 1 + options.real + hollow_processes(options);
    needed.memory_mb = controller_mb + controller_list_copies * list_mb + real * one_real_mb +
                       hollow_processes(options) * hollow_process_mb + hollow * one_hollow_mb +
                       members * sockets_kb / kb_in_mb;
    const uint64_t together = std::min(options.hollow(), options.hollow_per_process);
    needed.descriptors_each = descriptors_process + std::max(together * descriptors_a_member,
                                                             options.members * descriptors_a_member_real);
    return needed;
}

std::optional<std::string> refusal(const Estimate& needed, const MachineLimits& limits)
{
    if (needed.processes > most_processes)
        return "it needs " + std::to_string(needed.processes) + " processes, and " +
               std::to_string(most_processes) + " are allowed";
    const double allowed_mb = limits.memory_mb * most_memory_part;
    if (needed.memory_mb > allowed_mb)
        return "it needs about " + std::to_string(std::lround(needed.memory_mb)) +
               " MB of memory, and half of the machine's are " + std::to_string(std::lround(allowed_mb)) +
               " MB";
    if (needed.descriptors_each > limits.descriptors_each)
        return "one of its processes needs about " + std::to_string(needed.descriptors_each) +
               " descriptors, and the system allows " + std::to_string(limits.descriptors_each);
    return {};
}

MachineLimits claim_machine()
{
    MachineLimits limits;
    limits.memory_mb = static_cast<double>(sysconf(_SC_PHYS_PAGES)) *
                       static_cast<double>(sysconf(_SC_PAGESIZE)) / (kb_in_mb * kb_in_mb);
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) return limits;
    descriptors.rlim_cur = descriptors.rlim_max;
    setrlimit(RLIMIT_NOFILE, &descriptors);
    limits.descriptors_each = descriptors.rlim_max;
    return limits;
}

}  // namespace firtide::scale
