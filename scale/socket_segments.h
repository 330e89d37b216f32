// Counts the TCP segments of all connections on one port from the kernel's per-socket counters, so that other
// traffic of the machine is excluded.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace firtide::scale
{

// IPv4 and TCP headers with the timestamps option, which Linux uses by default; excludes the link layer.
inline constexpr uint32_t header_bytes = 20 + 20 + 12;

// By socket cookie: segments sent and received since the connection was opened.
using SocketSegments = std::map<uint64_t, uint64_t>;

// Covers all sockets with this port at either end. Returns nothing if the kernel does not report the
// counters.
std::optional<SocketSegments> segments_at(uint16_t port);

// Sockets that were closed in between are not counted.
uint64_t segments_between(const SocketSegments& before, const SocketSegments& after);

}  // namespace firtide::scale
