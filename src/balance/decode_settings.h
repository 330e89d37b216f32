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
    uint32_t edition = 0;  // counts what was loaded since the start
    std::vector<std::string>
        report_names;                     // of the figures of a load report, in the order in which they come
    std::vector<LoadReportField> report;  // and where each goes
    bool sizes_listed = false;

    std::vector<std::string> operations, tenants, zones;  // names; a number stands for the place in these
    Span connect_timeout = seconds(1);
    Span idle_close = seconds(5);  // an upstream closes a connection that has stood idle this long
};

// Lines of key=value.
FlatSettings split_lines(std::string_view text);

ServiceConfig decode_settings(const FlatSettings& values);

}  // namespace firtide
