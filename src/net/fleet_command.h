// Decodes operators' fleet commands, as received at the management address. No I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/fleet/fleet_events.h"

namespace firtide::net
{

// Decodes the words of a line: show-fleet, show-recovery, transfer-duty DUTY [ID], add-voter ID,
// remove-voter ID, drain permit. The former names hand-over, let-in, put-out and drain turn mean the same.
// Returns nullopt for any other command.
std::optional<fleet::AdminRequest> decode_fleet_command(uint64_t caller,
                                                        const std::vector<std::string>& words);

}  // namespace firtide::net
