// A process of hollow members: each the fleet's own code on the wire, without a balancer round it and without
// callers. Reports when each has a list in force.
#pragma once

#include "hollow_protocol.h"

namespace firtide::scale
{

// Until the controller closes its end. The exit status; why it could not start is on standard error.
int run_hollow_process(const std::string& spec_path);

}  // namespace firtide::scale
