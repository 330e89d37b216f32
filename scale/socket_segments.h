// TCP segments that connections of one port have carried, as the system counts them for each socket. Other
// traffic of the machine does not count.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace firtide::scale
{

// IPv4, TCP and the timestamps option, which Linux uses by default; nothing of the layer below.
inline constexpr uint32_t header_bytes = 20 + 20 + 12;

// By socket: segments sent and received since the connection began.
using SocketSegments = std::map<uint64_t, uint64_t>;

// Of all sockets with this port at either end; nothing where the system does not tell.
std::optional<SocketSegments> segments_at(uint16_t port);

// Of sockets that were closed since, nothing is known.
uint64_t segments_between(const SocketSegments& before, const SocketSegments& after);

}  // namespace firtide::scale
