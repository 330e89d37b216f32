// Sends the calls of an open loop over HTTP/1.1 connections on loopback, from one thread.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "open_loop.h"

namespace firtide::scale
{

// Ends a run early; set by the handler of SIGINT and SIGTERM.
extern std::atomic<bool> interrupted;

struct LoadTarget {
    std::vector<uint16_t> ports;  // used in rotation
    std::string call_id_prefix;   // distinguishes the request ids of runs
};

// Sends until all calls of the loop are answered or have failed, or until `interrupted`. Calls that are
// unanswered twelve seconds after the last call was due count as failed.
void generate_load(const LoadTarget& target, OpenLoop& loop);

}  // namespace firtide::scale
