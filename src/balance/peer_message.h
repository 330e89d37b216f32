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
    bool all = false;
    std::vector<double> rates;                      // in a snapshot, by tenant: invocations per second
    std::vector<std::pair<uint16_t, uint8_t>> out;  // by upstream name: the sender's requests in flight

    bool has_room() const { return 5 + 2 * rates.size() + 3 * out.size() <= max_peer_message_bytes; }
};

std::string encode_peer_message(const PeerMessage& told);

// Returns nothing if the bytes are not exactly one well-formed message.
std::optional<PeerMessage> decode_peer_message(std::string_view bytes);

}  // namespace firtide
