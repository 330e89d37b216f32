#include "member_snapshot.h"

#include <xxhash.h>

#include <cstring>

namespace firtide::fleet
{
namespace
{

// Little-endian. The checksum is of the head without it, and all that follows.
struct Head {
    char magic[8] = {'F', 'I', 'R', 'T', 'S', 'N', 'A', 'P'};
    uint32_t format = member_snapshot_format;
    uint32_t pad = 0;
    uint64_t length = 0;
    uint64_t checksum = 0;
};
static_assert(sizeof(Head) == 32);

uint64_t checksum(Head head, std::string_view payload)
{
    head.checksum = 0;
    return XXH3_64bits_withSeed(payload.data(), payload.size(), XXH3_64bits(&head, sizeof head));
}

}  // namespace

std::string encode_member_snapshot(const MemberSnapshot& memory)
{
    const auto payload = pack(memory);
    Head head;
    head.length = payload.size();
    head.checksum = checksum(head, payload);
    std::string out(sizeof head, '\0');
    std::memcpy(out.data(), &head, sizeof head);
    return out.append(payload);
}

std::variant<MemberSnapshot, std::string> decode_member_snapshot(std::string_view bytes)
{
    Head head;
    if (bytes.size() < sizeof head) return "it is cut short";
    std::memcpy(&head, bytes.data(), sizeof head);
    if (std::memcmp(head.magic, Head{}.magic, sizeof head.magic) != 0) return "it is no snapshot";
    const auto payload = bytes.substr(sizeof head);
    if (payload.size() < head.length) return "it is cut short";
    if (payload.size() > head.length || checksum(head, payload) != head.checksum) return "it is damaged";
    // Only after the checksum: a damaged number is no newer format.
    if (head.format != member_snapshot_format)
        return "its format " + std::to_string(head.format) + " is not known here";
    auto memory = unpack<MemberSnapshot>(payload);
    if (!memory) return "it holds something else";
    return std::move(*memory);
}

std::string not_of(const MemberSnapshot& memory, const std::string& fleet, const std::string& member)
{
    if (memory.fleet != fleet) return "it is of fleet '" + memory.fleet + "'";
    if (memory.member != member) return "it is of member '" + memory.member + "'";
    return "";
}

}  // namespace firtide::fleet
