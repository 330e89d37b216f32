#include "member_snapshot.h"

#include <xxhash.h>

#include <array>
#include <cstring>

namespace firtide::fleet
{
namespace
{

// Little-endian. The checksum covers the rest of the header and the payload.
struct Header {
    std::array<char, 8> magic = {'F', 'I', 'R', 'T', 'S', 'N', 'A', 'P'};
    uint32_t format = member_snapshot_format;
    uint32_t padding = 0;
    uint64_t length = 0;
    uint64_t checksum = 0;
};
static_assert(sizeof(Header) == 32);

uint64_t checksum_of(Header header, std::string_view payload)
{
    header.checksum = 0;
    return XXH3_64bits_withSeed(payload.data(), payload.size(), XXH3_64bits(&header, sizeof header));
}

}  // namespace

std::string encode_member_snapshot(const MemberSnapshot& snapshot)
{
    const auto payload = pack(snapshot);
    Header header;
    header.length = payload.size();
    header.checksum = checksum_of(header, payload);
    std::string bytes(sizeof header, '\0');
    std::memcpy(bytes.data(), &header, sizeof header);
    return bytes.append(payload);
}

std::variant<MemberSnapshot, SnapshotError> decode_member_snapshot(std::string_view bytes)
{
    Header header;
    if (bytes.size() < sizeof header) return SnapshotError{"it is cut short"};
    std::memcpy(&header, bytes.data(), sizeof header);
    if (header.magic != Header{}.magic) return SnapshotError{"it is not a snapshot"};
    const auto payload = bytes.substr(sizeof header);
    if (payload.size() < header.length) return SnapshotError{"it is cut short"};
    if (payload.size() > header.length || checksum_of(header, payload) != header.checksum)
        return SnapshotError{"it is damaged"};
    // Only after the checksum, so that a damaged format number is not taken for a newer format.
    if (header.format != member_snapshot_format)
        return SnapshotError{"its format " + std::to_string(header.format) + " is not supported"};
    auto snapshot = unpack<MemberSnapshot>(payload);
    if (!snapshot) return SnapshotError{"its payload is not a member snapshot"};
    return std::move(*snapshot);
}

std::optional<SnapshotError> check_snapshot_owner(const MemberSnapshot& snapshot, const std::string& fleet,
                                                  const std::string& member)
{
    if (snapshot.fleet != fleet) return SnapshotError{"it is of fleet '" + snapshot.fleet + "'"};
    if (snapshot.member != member) return SnapshotError{"it is of member '" + snapshot.member + "'"};
    return {};
}

}  // namespace firtide::fleet
