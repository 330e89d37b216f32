// The fleet's clock, which continues while the machine is suspended and restarts at boot.
#pragma once

#include <string>

#include "src/base/time.h"

namespace firtide::fleet
{

TimePoint fleet_now();

// Identifies the current boot of the machine; empty if the system does not provide it.
std::string boot_id();

}  // namespace firtide::fleet
