// Decodes the parts of the answer to show-fleet that a scale run needs.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/fleet/transport/traffic.h"

namespace firtide::scale
{

struct FleetView {
    std::string leader;  // id; empty: unknown
    uint32_t alive = 0;
    uint32_t duties = 0, duties_held = 0;
    std::vector<std::string> own_duties;
    std::optional<fleet::TrafficCounts> traffic;
};

// Returns nothing for an incomplete answer.
std::optional<FleetView> decode_fleet_view(std::string_view answer);

}  // namespace firtide::scale
