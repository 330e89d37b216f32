// Settings of the fleet file for traffic decisions that many balancers make together: subsets of upstreams,
// outlier reports, quotas of fleet-wide budgets, and startup.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "src/base/time.h"

namespace firtide::fleet
{

struct SubsetConfig {
    uint32_t size = 20;        // upstreams of mean capacity in a subset
    bool zone_aware = false;   // a subset of the own zone, and a smaller one of the other zones
    uint32_t remote_size = 4;  // size of the subset of the other zones
    // After this time without need for the present width, the subset is narrowed by one step.
    Duration narrowing_interval = seconds(10);
};

struct OutlierGossipConfig {
    double single_reporter_limit =
        0.5;  // the largest reduction that the reports of a single balancer can cause
    Duration validity = seconds(1.5);
    uint32_t bytes_per_second = 2000;  // that a member sends per second
};

struct StartupConfig {
    Duration snapshot_interval = seconds(2);  // interval between snapshots
    Duration stage_timeout = seconds(3);      // maximum duration of a startup stage
    Duration warmup_timeout = seconds(60);    // maximum duration of the stage that warms up upstreams
};

enum class Budget : uint8_t { retries, probes, slow_start, tenant };
struct BudgetName {
    Budget budget = Budget::retries;
    uint64_t id = 0;  // global id of the upstream, or hash of the tenant's name, or 0

    auto operator<=>(const BudgetName&) const = default;
};
const char* to_string(Budget budget);

// Shares of each budget: one is allocated by demand, the other is guaranteed and divided evenly between the
// members of the fleet file, including unreachable ones. The remainder covers members whose fleet file names
// too few members.
inline constexpr double allocatable_share = 0.7, guaranteed_share = 0.2;

inline constexpr std::string_view tenant_prefix = "tenant.";

struct QuotaConfig {
    Duration lease_duration = seconds(1);
    std::map<std::string, double>
        totals;  // rates per second of "retries", "probes", "cold" and "tenant.NAME"
    std::optional<double>
        guaranteed_rate;  // guaranteed to each member; absent: an even part of guaranteed_share

    double total_of(BudgetName name) const;  // zero: no such budget
};

}  // namespace firtide::fleet
