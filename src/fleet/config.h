// The fleet file: TOML, read, checked and given its defaults in this one place.
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

using DutyIndex = uint32_t;  // place among the duties

struct LeaseConfig {
    Duration length = seconds(3);
    double drift = 0.02;  // clocks' rates differ by this part at the most

    // By its own clock a holder stops so long after it asked.
    Duration holder_duration() const { return length * (1 - 2 * drift); }
};

enum class DutyKind : uint8_t {
    other,  // of programs beside the balancer
    list,   // asks discovery
    probe,  // probes some of the upstreams
    drain,  // a turn to drain: held on request only
    parts,  // gives parts of the fleet's budgets
};

struct Duty {
    std::string name;
    DutyKind kind = DutyKind::other;
    std::string subscriber;  // address of the program beside each balancer that is notified; empty: none
    Duration every = seconds(1);
    uint32_t line = 0;
};

struct EndpointListConfig {
    Duration stale = seconds(4);  // older than that, and each asks discovery itself
};
// The list goes round as deltas, and members repair each other's replicas.
struct EndpointDeltaConfig {
    uint32_t history = 1000;       // changes that a member keeps to repair others
    Duration repair = seconds(1);  // a member that finds itself behind asks again after so long
    uint32_t chunk = 64 * 1024;    // bytes of entries in one message
};
struct ProbeConfig {
    Duration every = seconds(1);
    uint32_t parts = 4;
};
struct DrainConfig {
    uint32_t most = 1;  // balancers drained at a time
};

struct FleetConfig {
    std::string name, id, listen, data;
    Roster members;  // held once by all copies
    MemberIndex self = 0;
    LeaseConfig lease;
    std::vector<Duty> duties;
    std::optional<EndpointListConfig> list;
    std::optional<EndpointDeltaConfig> deltas;
    std::optional<ProbeConfig> probe;
    std::optional<DrainConfig> drain;
    std::optional<SubsetConfig> subset;
    std::optional<OutlierGossipConfig> signals;
    std::optional<QuotaConfig> turns;
    std::optional<StartupConfig> recovery;

    size_t voters() const { return members.voter_count(); }
    std::optional<MemberIndex> member_of(MemberKey key) const { return members.member_of(key); }
    std::optional<MemberIndex> member_of(std::string_view named) const { return members.member_of(named); }
    std::optional<DutyIndex> duty_of(std::string_view name) const;
};

std::variant<FleetConfig, ConfigError> decode_fleet_config(std::string_view text);

}  // namespace firtide::fleet
