// The answer to show-fleet, as far as a scale run needs it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/fleet/transport/traffic.h"

namespace firtide::scale
{

struct FleetView {
    std::string leader;  // its id; empty: none is known
    uint32_t alive = 0;
    uint32_t duties = 0, duties_held = 0;
    std::vector<std::string> own_duties;
    std::optional<fleet::TrafficCounts> traffic;
};

// Nothing where the answer is not whole.
std::optional<FleetView> decode_fleet_view(std::string_view answer);

}  // namespace firtide::scale
