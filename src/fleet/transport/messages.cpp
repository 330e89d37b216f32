#include "messages.h"

#include <xxhash.h>

#include <cstring>
#include <utility>

namespace firtide::fleet
{
namespace
{

// Little-endian, like all machines that this is built for.
struct FrameHeader {
    uint32_t length = 0;  // bytes of payload
    uint16_t version = wire_version;
    uint16_t kind = 0;
    uint32_t number = 0;  // of the frame within its connection, from 0
    uint32_t padding = 0;
    uint64_t checksum = 0;  // of the header with this field set to 0, and the payload
};
static_assert(sizeof(FrameHeader) == 24);

uint64_t checksum(FrameHeader header, std::string_view payload)
{
    header.checksum = 0;
    // False positive: the temporary in encode_frame() lives until the call returns; the hash is a number.
    // cppcheck-suppress danglingTemporaryLifetime
    return XXH3_64bits_withSeed(payload.data(), payload.size(), XXH3_64bits(&header, sizeof header));
}

template <size_t Index = 0>
bool decode(size_t kind, std::string_view payload, Message& message)
{
    if constexpr (Index < std::variant_size_v<Message>) {
        if (kind != Index) return decode<Index + 1>(kind, payload, message);
        auto value = unpack<std::variant_alternative_t<Index, Message>>(payload);
        if (!value) return false;
        message = std::move(*value);
        return true;
    }
    return false;
}

}  // namespace

MemberKey key_of(std::string_view id)
{
    const MemberKey key = XXH3_64bits(id.data(), id.size());
    return key ? key : 1;
}

const char* to_string(Health health)
{
    return health == Health::alive ? "alive" : health == Health::suspect ? "suspect" : "gone";
}

const char* to_string(VoterStage stage)
{
    switch (stage) {
        case VoterStage::empty: return "empty";
        case VoterStage::checking: return "checking";
        case VoterStage::voting: return "voting";
        case VoterStage::failed: return "failed";
        case VoterStage::refused: return "refused";
    }
    return "";
}

Urgency urgency_of(const Message& message)
{
    if (std::get_if<Broadcast>(&message) || std::get_if<OutlierDigest>(&message) ||
        std::get_if<EndpointDelta>(&message) || std::get_if<EndpointSnapshotChunk>(&message))
        return Urgency::bulk;
    if (std::get_if<Ping>(&message) || std::get_if<IndirectProbeRequest>(&message) ||
        std::get_if<IndirectProbeAck>(&message) || std::get_if<MembershipUpdates>(&message) ||
        std::get_if<BroadcastRequest>(&message) || std::get_if<QuotaRequest>(&message) ||
        std::get_if<QuotaResponse>(&message) || std::get_if<EndpointDeltaRequest>(&message))
        return Urgency::membership;
    return Urgency::leases;
}

std::string encode_payload(const Message& message)
{
    return std::visit([](const auto& value) { return pack(value); }, message);
}

std::string encode_frame(size_t kind, std::string_view payload, uint32_t number)
{
    FrameHeader header;
    header.length = static_cast<uint32_t>(payload.size());
    header.kind = static_cast<uint16_t>(kind);
    header.number = number;
    header.checksum = checksum(header, payload);
    std::string out(sizeof header, '\0');
    std::memcpy(out.data(), &header, sizeof header);
    return out.append(payload);
}

FrameReader::State FrameReader::fail(const char* error)
{
    error_ = error;
    buffer_.clear();
    return State::failed;
}

FrameReader::State FrameReader::next()
{
    if (*error_) return State::failed;
    FrameHeader header;
    if (buffer_.size() - offset_ < sizeof header) {
        buffer_.erase(0, std::exchange(offset_, 0));
        return State::incomplete;
    }
    std::memcpy(&header, buffer_.data() + offset_, sizeof header);
    if (header.version != wire_version) return fail("an unsupported frame version");
    if (header.length > max_frame_bytes) return fail("a frame that exceeds the size limit");
    if (buffer_.size() - offset_ - sizeof header < header.length) return State::incomplete;
    const auto payload = std::string_view(buffer_).substr(offset_ + sizeof header, header.length);
    if (checksum(header, payload) != header.checksum) return fail("a frame that was changed on its way");
    if (header.number != next_number_) return fail("a frame that is repeated or out of order");
    if (!decode(header.kind, payload, message_)) return fail("a frame that cannot be decoded");
    ++next_number_;
    offset_ += sizeof header + header.length;
    return State::message;
}

}  // namespace firtide::fleet
