// The fleet's clock: goes on while the machine is suspended, and starts anew with each boot of it.
#pragma once

#include <string>

#include "src/base/time.h"

namespace firtide::fleet
{

TimePoint fleet_now();

// Of the machine since its start; empty where the system does not tell.
std::string boot_id();

}  // namespace firtide::fleet
