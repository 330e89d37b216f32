#include "messages.h"

#include <xxhash.h>

#include <cstring>
#include <utility>

namespace firtide::fleet
{
namespace
{

// Little-endian, as all machines that this is built for.
struct Head {
    uint32_t length = 0;  // of what follows it
    uint16_t version = wire_version;
    uint16_t kind = 0;
    uint32_t number = 0;  // of the frame on its connection, from 0
    uint32_t pad = 0;
    uint64_t checksum = 0;  // of the head without it, and what follows
};
static_assert(sizeof(Head) == 24);

uint64_t checksum(Head head, std::string_view payload)
{
    head.checksum = 0;
    // False positive: the temporary in encode_frame() lives until frame() returns; the hash is a number.
    // cppcheck-suppress danglingTemporaryLifetime
    return XXH3_64bits_withSeed(payload.data(), payload.size(), XXH3_64bits(&head, sizeof head));
}

template <size_t I = 0>
bool decode(size_t kind, std::string_view payload, Message& into)
{
    if constexpr (I < std::variant_size_v<Message>) {
        if (kind != I) return decode<I + 1>(kind, payload, into);
        auto value = unpack<std::variant_alternative_t<I, Message>>(payload);
        if (!value) return false;
        into = std::move(*value);
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
    return std::visit([](const auto& m) { return pack(m); }, message);
}

std::string frame(size_t kind, std::string_view payload, uint32_t number)
{
    Head head;
    head.length = static_cast<uint32_t>(payload.size());
    head.kind = static_cast<uint16_t>(kind);
    head.number = number;
    head.checksum = checksum(head, payload);
    std::string out(sizeof head, '\0');
    std::memcpy(out.data(), &head, sizeof head);
    return out.append(payload);
}

FrameReader::State FrameReader::broken(const char* why)
{
    why_ = why;
    text_.clear();
    return State::broken;
}

FrameReader::State FrameReader::next()
{
    if (*why_) return State::broken;
    Head head;
    if (text_.size() - at_ < sizeof head) {
        text_.erase(0, std::exchange(at_, 0));
        return State::more;
    }
    std::memcpy(&head, text_.data() + at_, sizeof head);
    if (head.version != wire_version) return broken("another version of frames");
    if (head.length > max_frame_bytes) return broken("a frame that is too long");
    if (text_.size() - at_ - sizeof head < head.length) return State::more;
    const auto payload = std::string_view(text_).substr(at_ + sizeof head, head.length);
    if (checksum(head, payload) != head.checksum) return broken("a frame that was changed on its way");
    if (head.number != number_) return broken("a frame that is repeated or out of its order");
    if (!decode(head.kind, payload, message_)) return broken("a frame that holds no message");
    ++number_;
    at_ += sizeof head + head.length;
    return State::message;
}

}  // namespace firtide::fleet
