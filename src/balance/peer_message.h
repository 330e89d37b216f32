// What instances tell each other, where messages are allowed: encoded and decoded once. On the wire: 1 for
// all or 0 for changes; with all, the number of tenants and what each asks, in sixteenths a second; then a
// name of two bytes and the sender's work out, for each upstream. Numbers are little-endian.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace firtide
{

constexpr size_t max_peer_message_bytes = 256;  // bytes
constexpr size_t max_tenant_rates = 64;         // tenants past these are told nothing of

struct PeerMessage {
    bool all = false;           // what is not named holds nothing; else: as before
    std::vector<double> rates;  // with all: what each tenant asks, in invocations a second
    std::vector<std::pair<uint16_t, uint8_t>> out;  // an upstream's name, and the sender's work out to it

    bool has_room() const
    {
        return 5 + 2 * rates.size() + 3 * out.size() <= max_peer_message_bytes;
    }  // for one more
};

std::string encode_peer_message(const PeerMessage& told);

// None where the bytes are no whole message.
std::optional<PeerMessage> decode_peer_message(std::string_view bytes);

}  // namespace firtide
