// The fleet file: a TOML file, which is parsed, validated and completed with defaults here only.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "shared_choices_config.h"
#include "src/base/config_error.h"
#include "src/base/time.h"
#include "src/fleet/membership/roster.h"

namespace firtide::fleet
{

using DutyIndex = uint32_t;  // index in FleetConfig::duties

struct LeaseConfig {
    Duration duration = seconds(3);
    double max_clock_drift = 0.02;  // maximum relative difference between the rates of two clocks

    // How long a holder may use a lease, by its own clock and counted from its request.
    Duration holder_duration() const { return duration * (1 - 2 * max_clock_drift); }
};

enum class DutyKind : uint8_t {
    external,          // performed by an external program next to the balancer
    list,              // polls discovery and publishes the endpoint list
    probe,             // probes one partition of the upstreams
    drain,             // a permit to drain: granted on request only
    quota_allocation,  // allocates quotas of the fleet-wide budgets
};

struct Duty {
    std::string name;
    DutyKind kind = DutyKind::external;
    std::string subscriber;  // address of the program next to each balancer that is notified; empty: none
    Duration notification_interval = seconds(1);
    uint32_t line = 0;  // in the fleet file
};

struct EndpointListConfig {
    Duration stale_after = seconds(4);  // with an older list, each member polls discovery itself
};
// Distribution of the list as deltas, with which members also repair each other's replicas.
struct EndpointDeltaConfig {
    uint32_t history_size = 1000;           // changes that a member keeps for members that are behind
    Duration repair_interval = seconds(1);  // after which a member that is behind repeats its request
    uint32_t chunk_bytes = 64 * 1024;       // bytes of entries per message
};
struct ProbeConfig {
    Duration interval = seconds(1);
    uint32_t shards = 4;
};
struct DrainConfig {
    uint32_t max_concurrent = 1;  // balancers that may drain at the same time
};

struct FleetConfig {
    std::string name, id, listen, data_directory;
    Roster members;  // shared between copies of this struct
    MemberIndex self = 0;
    LeaseConfig lease;
    std::vector<Duty> duties;
    std::optional<EndpointListConfig> endpoint_list;
    std::optional<EndpointDeltaConfig> endpoint_deltas;
    std::optional<ProbeConfig> probe;
    std::optional<DrainConfig> drain;
    std::optional<SubsetConfig> subset;
    std::optional<OutlierGossipConfig> outlier_gossip;
    std::optional<QuotaConfig> quotas;
    std::optional<StartupConfig> startup;

    size_t voters() const { return members.voter_count(); }
    std::optional<MemberIndex> member_of(MemberKey key) const { return members.member_of(key); }
    std::optional<MemberIndex> member_of(std::string_view named) const { return members.member_of(named); }
    std::optional<DutyIndex> duty_of(std::string_view name) const;
};

std::variant<FleetConfig, ConfigError> decode_fleet_config(std::string_view text);

}  // namespace firtide::fleet
