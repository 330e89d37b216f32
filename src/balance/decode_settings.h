// The settings of an instance, decoded once: what the module reads, how load reports are laid out, and what
// the service on sockets needs besides. Both hosts come through here with the same flat keys.
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
using LoadReportField = std::optional<double> LoadReport::*;  // null: a figure nobody reads

struct ServiceConfig {
    Settings settings;
    uint32_t config_version = 0;  // counts what was loaded since the start
    std::vector<std::string>
        load_report_fields;  // of the figures of a load report, in the order in which they come
    std::vector<LoadReportField> load_report_members;  // and where each goes
    bool capacities_listed = false;

    std::vector<std::string> operation_names, tenant_names,
        zone_names;  // names; a number stands for the place in these
    Duration connect_timeout = seconds(1);
    Duration upstream_idle_timeout =
        seconds(5);  // an upstream closes a connection that has stood idle this long
};

// Lines of key=value.
FlatSettings parse_flat_settings(std::string_view text);

ServiceConfig decode_settings(const FlatSettings& values);

}  // namespace firtide
