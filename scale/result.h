// The figures of a scale run, and their JSON.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "options.h"
#include "src/fleet/transport/traffic.h"
#include "statistics.h"

namespace firtide::scale
{

// One real process, or one hollow member with its part of its process's figures, over the measured time.
struct MemberFigures {
    double cpu_percent = 0;                              // of one core
    double rss_mb = 0;                                   // the greatest seen
    double kb_in_per_second = 0, kb_out_per_second = 0;  // of messages, as counted at the socket
    double messages_in_per_second = 0, messages_out_per_second = 0;
};

struct RoleFigures {
    size_t members = 0;
    Spread cpu_percent, rss_mb, kb_per_second, kb_in_per_second, kb_out_per_second, messages_per_second;
};

RoleFigures figures_of(const std::vector<MemberFigures>& members);

struct ChangeFigures {
    uint64_t made = 0, counted = 0, missing = 0;
    double p50 = 0, p99 = 0, max = 0;  // seconds
    uint64_t members_up = 0, members_at_last = 0;
};

struct MachineFigures {
    double peak_memory_mb = 0;
    uint32_t processes = 0;
    double cpu_cores = 0;        // used by the run
    double load_before = 0;      // of all programs, in the minute before the start
    double other_cpu_cores = 0;  // used by other programs of the machine meanwhile
    uint32_t cores = 0;
};

struct Result {
    std::string command;
    Options options;
    double warm_up_seconds = 0, measured_seconds = 0;
    RoleFigures balancer, leader, voter, list_holder, member, hollow;
    std::optional<double> overhead_kb_per_second;  // of TCP and IP, in and out, a member
    fleet::TrafficCounts totals;                   // of all members, over the measured time
    ChangeFigures changes;
    MachineFigures machine;
    std::string leader_id, list_holder_id;
    uint32_t leader_sees_alive = 0;
    size_t list_bytes = 0;
    uint64_t restarts = 0;
    uint32_t killed_members = 0;
    double estimated_memory_mb = 0;
};

std::string encode_result(const Result& result);

}  // namespace firtide::scale
