// Decodes the settings of a balancer: those of the Balancer itself, the layout of load reports, and those
// that only the service on sockets needs. The service and the simulator adapter use the same flat keys.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "balancer.h"

namespace firtide
{

struct SettingError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

using FlatSettings = std::map<std::string, std::string, std::less<>>;
using LoadReportField = std::optional<double> LoadReport::*;  // null: an ignored figure

struct ServiceConfig {
    Settings settings;
    uint32_t config_version = 0;                       // counts the configurations loaded since the start
    std::vector<std::string> load_report_fields;       // names of a load report's figures, in their order
    std::vector<LoadReportField> load_report_members;  // the member for each of them
    bool capacities_listed = false;

    std::vector<std::string> operation_names, tenant_names, zone_names, machine_kind_names;  // by index
    uint32_t own_zone_index = 0;
    Duration connect_timeout = seconds(1);
    Duration upstream_idle_timeout = seconds(5);  // after which an upstream closes an idle connection

    // Whether zone_names has the zone, and machine_kind_names the kind.
    bool knows_zone(ZoneId zone) const;
    bool knows_machine_kind(MachineKind kind) const;
};

// Parses lines of key=value.
FlatSettings parse_flat_settings(std::string_view text);

// How the lists of a host identify zones and kinds of machine: by their names, or by their numbers in the
// settings, which must stay the same then.
enum class PlaceIdentity { name, number };

ServiceConfig decode_settings(const FlatSettings& values, PlaceIdentity identity = PlaceIdentity::name);

}  // namespace firtide
