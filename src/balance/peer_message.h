// The messages that balancers exchange where the settings allow it. On the wire, with little-endian numbers:
// one byte, 1 for a snapshot or 0 for changes; in a snapshot, the number of tenants (one byte) and the
// request rate of each (two bytes, in sixteenths per second); then for each upstream its name (two bytes) and
// the sender's requests in flight to it (one byte).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace firtide
{

constexpr size_t max_peer_message_bytes = 256;
constexpr size_t max_tenant_rates = 64;  // the rates of further tenants are left out

struct PeerMessage {
    // A snapshot: upstreams that are not named have nothing in flight. Otherwise they are unchanged.
    bool is_snapshot = false;
    std::vector<double> tenant_rates;                     // in a snapshot, by tenant: invocations per second
    std::vector<std::pair<uint16_t, uint8_t>> in_flight;  // by upstream name: the sender's requests in flight

    bool has_room_for_entry() const
    {
        return 5 + 2 * tenant_rates.size() + 3 * in_flight.size() <= max_peer_message_bytes;
    }
};

std::string encode_peer_message(const PeerMessage& message);

// Returns nothing if the bytes are not exactly one well-formed message.
std::optional<PeerMessage> decode_peer_message(std::string_view bytes);

}  // namespace firtide
