// Operators' commands about the fleet, as they come at the admin address. No I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/fleet/fleet_events.h"

namespace firtide::net
{

// The words of a line: show-fleet, show-recovery, transfer-duty DUTY [ID], add-voter ID, remove-voter ID,
// drain permit. The older names hand-over, let-in, put-out and drain turn mean the same. Nothing where it is
// no such command.
std::optional<fleet::AdminRequest> decode_fleet_command(uint64_t caller,
                                                        const std::vector<std::string>& words);

}  // namespace firtide::net
