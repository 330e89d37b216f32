// Sends one request over its own TCP connection and collects the response.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <string>

#include "src/io/event.h"

namespace firtide::fault_injection
{

// Sends `bytes` and calls `on_done` with everything received until the connection ended or was idle for
// `idle_timeout`. An empty text may also mean that the connection failed.
void send_and_receive(event_base* base, sockaddr_in to, const std::string& bytes, Duration idle_timeout,
                      std::function<void(std::string)> on_done);

}  // namespace firtide::fault_injection
