// What a member persists for its own next start: facts that are safe to trust after a restart, and hints.
// Encoded and decoded here; no I/O. Snapshots of earlier versions have to stay readable.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

// An overload-control entry of the decision module.
struct PersistedReduction {
    uint64_t upstream_hash = 0;  // hash of its uid
    float reduction = 0;
    int64_t remaining_us = 0;  // of its validity, when it was written
    MSGPACK_DEFINE(upstream_hash, reduction, remaining_us)
};

struct MemberSnapshot {
    std::string fleet, member;
    Incarnation incarnation = 0;
    std::string boot_id;  // id of the machine's boot: its boot clock says nothing after another one
    int64_t written_at_boot_us = 0;  // when this was written, by that clock
    uint64_t list_version = 0;
    std::string list_text;      // the full endpoint list
    double accepted_rate = 0;   // requests a second that were accepted and succeeded
    double total_capacity = 0;  // of all upstreams together
    uint32_t peer_count = 0;    // balancers that shared the upstreams
    std::vector<PersistedReduction> reductions;
    std::vector<SeenEpoch> seen_epochs;
    std::vector<std::string> open_request_ids;  // ids of requests that may have run and were not answered
    MSGPACK_DEFINE(fleet, member, incarnation, boot_id, written_at_boot_us, list_version, list_text,
                   accepted_rate, total_capacity, peer_count, reductions, seen_epochs, open_request_ids)
};

// Why a snapshot is not used. The text is for the log and for operators.
struct SnapshotError {
    std::string message;
};

inline constexpr uint32_t member_snapshot_format = 1;
inline constexpr const char* snapshot_file_name = "snapshot";

std::string encode_member_snapshot(const MemberSnapshot& snapshot);
// The whole snapshot or nothing of it.
std::variant<MemberSnapshot, SnapshotError> decode_member_snapshot(std::string_view bytes);
// Nothing where the snapshot is this member's.
std::optional<SnapshotError> check_owner(const MemberSnapshot& snapshot, const std::string& fleet,
                                         const std::string& member);

}  // namespace firtide::fleet
