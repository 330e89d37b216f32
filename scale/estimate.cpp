#include "estimate.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>

#include "layout.h"

namespace firtide::scale
{
namespace
{

// Resident memory, from runs with 50 and 200 members and 50 to 8000 upstreams (docs/capacity/runs), rounded
// up.
constexpr double controller_mb = 30, real_process_mb = 10, hollow_process_mb = 20;
constexpr double real_member_kb = 8;       // in a real process, per member of the fleet
constexpr double hollow_base_kb = 150;     // per hollow member
constexpr double hollow_member_kb = 0.6;   // per hollow member and member of the fleet
constexpr double list_entry_kb = 0.08;     // per upstream in the text of a list
constexpr double hollow_list_copies = 50;  // per hollow member, including queued messages
constexpr double real_list_copies = 70;    // per real process
constexpr double controller_list_copies = 10;
constexpr double sockets_kb = 120;  // kernel memory for the connections of a member; not from those runs

constexpr double base_descriptors_per_hollow_member = 130;  // in a hollow process, if the start took no time
// Additional, for pings to members that are considered gone.
constexpr double descriptors_per_start_second = 8;
constexpr double idle_connection_seconds = 90;       // lifetime of an idle connection
constexpr uint64_t descriptors_per_member_real = 3;  // at a leader: a connection each way, and queries
constexpr uint64_t base_descriptors_per_process = 100;

constexpr double kb_in_mb = 1024;

}  // namespace

uint64_t descriptors_per_hollow_member(uint32_t members)
{
    const double start_seconds = members / starts_per_second(members);
    return static_cast<uint64_t>(base_descriptors_per_hollow_member +
                                 descriptors_per_start_second *
                                     std::min(start_seconds, idle_connection_seconds));
}

uint32_t hollow_processes(const Options& options)
{
    const uint32_t hollow = options.hollow();
    // The members to kill share a separate process.
    const uint32_t killed = options.disruption == Disruption::killed ? options.members / 20 : 0;
    const auto processes_for = [&](uint32_t members) {
        return (members + options.hollow_per_process - 1) / options.hollow_per_process;
    };
    return processes_for(hollow - killed) + (killed > 0 ? 1 : 0);
}

Estimate estimate(const Options& options)
{
    const double members = options.members, real = options.real, hollow = options.hollow();
    const double list_mb = options.upstreams * list_entry_kb / kb_in_mb;
    const double per_real_process_mb =
        real_process_mb + members * real_member_kb / kb_in_mb + real_list_copies * list_mb;
    const double per_hollow_member_mb =
        (hollow_base_kb + members * hollow_member_kb) / kb_in_mb + hollow_list_copies * list_mb;
    Estimate needed;
    needed.processes = 1 + options.real + hollow_processes(options);
    needed.memory_mb = controller_mb + controller_list_copies * list_mb + real * per_real_process_mb +
                       hollow_processes(options) * hollow_process_mb + hollow * per_hollow_member_mb +
                       members * sockets_kb / kb_in_mb;
    const uint64_t members_per_process = std::min(options.hollow(), options.hollow_per_process);
    needed.descriptors_per_process =
        base_descriptors_per_process +
        std::max(members_per_process * descriptors_per_hollow_member(options.members),
                 options.members * descriptors_per_member_real);
    return needed;
}

std::optional<std::string> exceeded_limit(const Estimate& needed, const MachineLimits& limits)
{
    if (needed.processes > max_processes)
        return "the run needs " + std::to_string(needed.processes) + " processes, at most " +
               std::to_string(max_processes) + " are allowed";
    const double allowed_mb = limits.memory_mb * max_memory_fraction;
    if (needed.memory_mb > allowed_mb)
        return "the run needs about " + std::to_string(std::lround(needed.memory_mb)) +
               " MB of memory, half of the machine's memory is " + std::to_string(std::lround(allowed_mb)) +
               " MB";
    if (needed.descriptors_per_process > limits.descriptors_per_process)
        return "a process of the run needs about " + std::to_string(needed.descriptors_per_process) +
               " file descriptors, the system allows " + std::to_string(limits.descriptors_per_process);
    return {};
}

MachineLimits raise_descriptor_limit()
{
    MachineLimits limits;
    limits.memory_mb = static_cast<double>(sysconf(_SC_PHYS_PAGES)) *
                       static_cast<double>(sysconf(_SC_PAGESIZE)) / (kb_in_mb * kb_in_mb);
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) return limits;
    descriptors.rlim_cur = descriptors.rlim_max;
    setrlimit(RLIMIT_NOFILE, &descriptors);
    limits.descriptors_per_process = descriptors.rlim_max;
    return limits;
}

}  // namespace firtide::scale
