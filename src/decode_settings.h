// The settings of an instance, decoded once: what the module reads, how load reports are laid out, and what
// the service on sockets needs besides. Both hosts come through here with the same flat keys.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "src/balance.h"

namespace firtide
{

struct BadSetting : std::runtime_error {
    using std::runtime_error::runtime_error;
};

using Flat = std::map<std::string, std::string, std::less<>>;
using ReportField = std::optional<double> Report::*;  // null: a figure nobody reads

struct Setup {
    Settings settings;
    uint32_t edition = 0;  // counts what was loaded since the start
    std::vector<std::string>
        report_names;                 // of the figures of a load report, in the order in which they come
    std::vector<ReportField> report;  // and where each goes
    bool sizes_listed = false;

    std::vector<std::string> operations, tenants, zones;  // names; a number stands for the place in these
    Span connect_timeout = seconds(1);
    Span idle_close = seconds(5);  // an upstream closes a connection that has stood idle this long
};

// Lines of key=value.
Flat split_lines(std::string_view text);

Setup decode_settings(const Flat& values);

}  // namespace firtide
