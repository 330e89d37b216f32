// One request over a connection of its own: some bytes there, all that comes back, and the end.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <string>

#include "src/io/event.h"

namespace firtide::fault_injection
{

// then: with what had come by the end of the connection, or until nothing came for `wait`.
void call(event_base* base, sockaddr_in to, const std::string& bytes, Duration wait,
          std::function<void(std::string)> then);

}  // namespace firtide::fault_injection
