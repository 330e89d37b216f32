// Fleet commands of the command line, other than serving.
#pragma once

#include <string>

#include "host.h"

namespace firtide::fleet
{

// Throws CannotStart with a one-line message that names the file, line and key.
FleetConfig read_fleet_config(const std::string& path);

// The following functions return the exit status.
int check_fleet_file(const std::string& path);
// Checks a snapshot file; with `dump`, prints its content.
int check_snapshot(const std::string& path, bool dump);
// Sends one line to the management address and prints the response.
int send_management_command(const std::string& address, const std::string& line);

}  // namespace firtide::fleet
