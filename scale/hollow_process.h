// A process that runs hollow members. A hollow member runs the real fleet protocol over the network, but has
// no balancer and no callers. The process reports when each member has a list in force.
#pragma once

#include "hollow_protocol.h"

namespace firtide::scale
{

// Runs until the controller closes its end of the connection, and returns the exit status. An error at
// startup is written to standard error.
int run_hollow_process(const std::string& spec_path);

}  // namespace firtide::scale
