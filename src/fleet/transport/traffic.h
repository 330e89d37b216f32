// What one member's connections to the other members have carried, since its process started.
#pragma once

#include <cstdint>
#include <string>

namespace firtide::fleet
{

struct TrafficCounts {
    uint64_t messages_in = 0, messages_out = 0, bytes_in = 0, bytes_out = 0;
    uint64_t dropped = 0;    // of the queues, for want of room or by age
    uint64_t garbage = 0;    // connections ended for what could not be read
    uint64_t strangers = 0;  // refused: another fleet or version, an unknown member, or meant for another
};

// The line `traffic ...` of show-fleet, with its end.
inline std::string to_string(const TrafficCounts& counts)
{
    return "traffic messages_in " + std::to_string(counts.messages_in) + " messages_out " +
           std::to_string(counts.messages_out) + " bytes_in " + std::to_string(counts.bytes_in) +
           " bytes_out " + std::to_string(counts.bytes_out) + " dropped " + std::to_string(counts.dropped) +
           "\n";
}

}  // namespace firtide::fleet
