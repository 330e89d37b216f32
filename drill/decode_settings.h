// The settings text of the wire, decoded into what the module reads and how load reports are laid out.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "src/balance.h"

namespace firtide::drill
{

using ReportField = std::optional<double> Report::*;  // null: a figure nobody reads

struct Setup {
    Settings settings;
    std::vector<ReportField> report;
    bool sizes_listed = false;
};

Setup decode_settings(std::string_view text);

}  // namespace firtide::drill
