#include "peer_message.h"

#include <algorithm>

namespace firtide
{

std::string encode_peer_message(const PeerMessage& message)
{
    std::string bytes(1, message.is_snapshot ? 1 : 0);
    const auto put = [&](uint32_t n, int size) {
        for (; size > 0; --size, n >>= 8) bytes.push_back(static_cast<char>(n & 0xff));
    };
    if (message.is_snapshot) {
        const size_t rates = std::min(message.tenant_rates.size(), max_tenant_rates);
        put(static_cast<uint32_t>(rates), 1);
        for (size_t i = 0; i < rates; ++i)
            put(static_cast<uint32_t>(std::clamp(message.tenant_rates[i] * 16, 0.0, 65535.0)), 2);
    }
    for (const auto& [name, count] : message.in_flight) put(name, 2), put(count, 1);
    return bytes;
}

std::optional<PeerMessage> decode_peer_message(std::string_view bytes)
{
    const auto byte = [&](size_t i) { return static_cast<uint32_t>(static_cast<unsigned char>(bytes[i])); };
    const auto two_bytes = [&](size_t i) { return static_cast<uint16_t>(byte(i) | byte(i + 1) << 8); };
    if (bytes.empty() || bytes.size() > max_peer_message_bytes || byte(0) > 1) return {};
    PeerMessage message{byte(0) == 1, {}, {}};
    size_t position = 1;
    if (message.is_snapshot) {
        if (bytes.size() < 2 || byte(1) > max_tenant_rates || bytes.size() < 2 + 2 * byte(1)) return {};
        for (position = 2; position < 2 + 2 * byte(1); position += 2)
            message.tenant_rates.push_back(two_bytes(position) / 16.0);
    }
    if ((bytes.size() - position) % 3 != 0) return {};
    for (; position < bytes.size(); position += 3)
        message.in_flight.emplace_back(two_bytes(position), static_cast<uint8_t>(byte(position + 2)));
    return message;
}

}  // namespace firtide
