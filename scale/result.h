// The result of a scale run and its JSON encoding.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "options.h"
#include "src/fleet/transport/traffic.h"
#include "statistics.h"

namespace firtide::scale
{

// Metrics of one real process over the measured time, or of one hollow member, whose CPU and memory are its
// share of its process's.
struct MemberMetrics {
    double cpu_percent = 0;                              // of one core
    double rss_mb = 0;                                   // peak
    double kb_in_per_second = 0, kb_out_per_second = 0;  // message bytes at the socket
    double messages_in_per_second = 0, messages_out_per_second = 0;
};

struct RoleMetrics {
    size_t members = 0;
    Spread cpu_percent, rss_mb, kb_per_second, kb_in_per_second, kb_out_per_second, messages_per_second;
};

RoleMetrics summarize_role(const std::vector<MemberMetrics>& members);

struct ChangeMetrics {
    uint64_t made = 0, counted = 0, missing = 0;
    double p50 = 0, p99 = 0, max = 0;  // seconds
    uint64_t members_up = 0, members_at_last_version = 0;
};

struct MachineMetrics {
    double peak_memory_mb = 0;
    uint32_t processes = 0;
    double cpu_cores = 0;        // used by the processes of the run
    double load_before = 0;      // load average of the last minute before the start
    double other_cpu_cores = 0;  // used by other programs during the measured time
    uint32_t cores = 0;
};

struct Result {
    std::string command;
    Options options;
    double warm_up_seconds = 0, measured_seconds = 0;
    RoleMetrics balancer, leader, voter, list_holder, member, hollow;
    std::optional<double> overhead_kb_per_second;  // TCP and IP headers in and out, per member
    fleet::TrafficCounts totals;                   // of all members over the measured time
    ChangeMetrics changes;
    MachineMetrics machine;
    std::string leader_id, list_holder_id;
    uint32_t leader_sees_alive = 0;
    size_t list_bytes = 0;
    uint64_t restarts = 0;
    uint32_t killed_members = 0;
    double estimated_memory_mb = 0;
};

std::string encode_result(const Result& result);

}  // namespace firtide::scale
