// What a member remembers over its own end: a snapshot of what is safe to believe, as far as it says. Encoded
// and decoded once; no I/O.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

struct PersistedReduction {
    uint64_t upstream = 0;
    float reduction = 0;
    int64_t left_us = 0;  // when it was written
    MSGPACK_DEFINE(upstream, reduction, left_us)
};

struct MemberSnapshot {
    std::string fleet, member;
    Incarnation incarnation = 0;
    std::string boot;     // of the machine: its boot clock says nothing of another one's
    int64_t boot_us = 0;  // when it was written, by that clock
    uint64_t list_version = 0;
    std::string list;  // whole
    double rate = 0;   // invocations a second that were accepted and went well
    double size = 0;   // of all upstreams together
    uint32_t sharers = 0;
    std::vector<PersistedReduction> reductions;
    std::vector<SeenEpoch> epochs;
    std::vector<std::string> open;  // ids of what may have run and was not answered
    MSGPACK_DEFINE(fleet, member, incarnation, boot, boot_us, list_version, list, rate, size, sharers,
                   reductions, epochs, open)
};

inline constexpr uint32_t member_snapshot_format = 1;
inline constexpr const char* snapshot_file = "snapshot";

std::string encode_member_snapshot(const MemberSnapshot& memory);
// Or why it is refused: whole or not at all.
std::variant<MemberSnapshot, std::string> decode_member_snapshot(std::string_view bytes);
// Empty: it is this member's.
std::string not_of(const MemberSnapshot& memory, const std::string& fleet, const std::string& member);

}  // namespace firtide::fleet
