// What the fleet file says of choices that many balancers make: how they share upstreams, what they tell each
// other, and budgets.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "src/base/time.h"

namespace firtide::fleet
{

struct SubsetConfig {
    uint32_t size = 20;             // upstreams of middling size in an arc
    bool zones = false;             // an arc of the own zone's, and a smaller one of the others
    uint32_t beyond = 4;            // in that smaller one
    Duration narrow = seconds(10);  // without need at the present width: one step back
};

struct OutlierGossipConfig {
    double alone = 0.5;  // one balancer's word counts so far
    Duration validity = seconds(1.5);
    uint32_t bytes = 2000;  // a second that a member sends
};

struct StartupConfig {
    Duration every = seconds(2);  // the snapshot is written again
    Duration wait = seconds(3);   // the longest of a stage
    Duration warm = seconds(60);  // and of upstreams' warming
};

enum class Budget : uint8_t { retries, probes, cold, tenant };
struct BudgetName {
    Budget of = Budget::retries;
    uint64_t which = 0;  // cold: the upstream; tenant: by its name

    auto operator<=>(const BudgetName&) const = default;
};
const char* to_string(Budget budget);

// Of each budget, the share that is allocated by demand, and the share that is guaranteed: an even part for
// each member of the fleet file, also for one that is cut off. What is left over covers files that name too
// few.
inline constexpr double allocatable_share = 0.7, guaranteed_share = 0.2;

inline constexpr std::string_view tenant_prefix = "tenant.";

struct QuotaConfig {
    Duration length = seconds(1);
    std::map<std::string, double> whole;  // a second: "retries", "probes", "cold", "tenant.NAME"
    std::optional<double> floor;          // of each member; absent: an even part of what is kept for that

    double total_of(BudgetName name) const;  // zero: there is no such budget
};

}  // namespace firtide::fleet
