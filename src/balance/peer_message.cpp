#include "peer_message.h"

#include <algorithm>

namespace firtide
{

std::string encode_peer_message(const PeerMessage& told)
{
    std::string bytes(1, told.all ? 1 : 0);
    const auto put = [&](uint32_t n, int size) {
        for (; size > 0; --size, n >>= 8) bytes.push_back(static_cast<char>(n & 0xff));
    };
    if (told.all) {
        const size_t rates = std::min(told.rates.size(), max_tenant_rates);
        put(static_cast<uint32_t>(rates), 1);
        for (size_t i = 0; i < rates; ++i)
            put(static_cast<uint32_t>(std::clamp(told.rates[i] * 16, 0.0, 65535.0)), 2);
    }
    for (const auto& [name, out] : told.out) put(name, 2), put(out, 1);
    return bytes;
}

std::optional<PeerMessage> decode_peer_message(std::string_view bytes)
{
    const auto byte = [&](size_t i) { return static_cast<uint32_t>(static_cast<unsigned char>(bytes[i])); };
    const auto two = [&](size_t i) { return static_cast<uint16_t>(byte(i) | byte(i + 1) << 8); };
    if (bytes.empty() || bytes.size() > max_peer_message_bytes || byte(0) > 1) return {};
    PeerMessage told{byte(0) == 1, {}, {}};
    size_t at = 1;
    if (told.all) {
        if (bytes.size() < 2 || byte(1) > max_tenant_rates || bytes.size() < 2 + 2 * byte(1)) return {};
        for (at = 2; at < 2 + 2 * byte(1); at += 2) told.rates.push_back(two(at) / 16.0);
    }
    if ((bytes.size() - at) % 3 != 0) return {};
    for (; at < bytes.size(); at += 3) told.out.emplace_back(two(at), static_cast<uint8_t>(byte(at + 2)));
    return told;
}

}  // namespace firtide
