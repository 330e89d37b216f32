// What the command line does with fleets, beside serving in one.
#pragma once

#include <string>

#include "host.h"

namespace firtide::fleet
{

// Throws CannotStart with one line: file, line and key.
FleetConfig read_fleet_config(const std::string& path);

// Both return the exit status.
int check_file(const std::string& path);
// A snapshot's file: whether it is whole, and what it holds.
int check_snapshot(const std::string& path, bool dump);
int ask_management(const std::string& address, const std::string& line);

}  // namespace firtide::fleet
