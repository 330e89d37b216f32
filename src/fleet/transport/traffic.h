// Traffic on a member's connections to other members since its process started.
#pragma once

#include <cstdint>
#include <string>

namespace firtide::fleet
{

struct TrafficCounts {
    uint64_t messages_in = 0, messages_out = 0, bytes_in = 0, bytes_out = 0;
    uint64_t dropped = 0;    // from queues that were full, or after the queue timeout
    uint64_t malformed = 0;  // connections closed after an unreadable frame
    // Connections refused at the Hello: other fleet or version, unknown sender, or other receiver.
    uint64_t refused = 0;
};

// The `traffic` line of show-fleet, with its newline.
inline std::string to_string(const TrafficCounts& counts)
{
    return "traffic messages_in " + std::to_string(counts.messages_in) + " messages_out " +
           std::to_string(counts.messages_out) + " bytes_in " + std::to_string(counts.bytes_in) +
           " bytes_out " + std::to_string(counts.bytes_out) + " dropped " + std::to_string(counts.dropped) +
           "\n";
}

}  // namespace firtide::fleet
