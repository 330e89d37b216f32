// The state that a member persists for its own next start: facts that stay valid after a restart, and hints.
// Encodes and decodes it; no I/O. Snapshots of earlier versions must stay readable.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

// A reduction of an upstream by the decision module's overload control.
struct PersistedReduction {
    uint64_t upstream_hash = 0;  // hash of the upstream's uid
    float reduction = 0;
    int64_t remaining_us = 0;  // validity left when the snapshot was written
    MSGPACK_DEFINE(upstream_hash, reduction, remaining_us)
};

struct MemberSnapshot {
    std::string fleet, member;
    Incarnation incarnation = 0;
    std::string boot_id;             // of the machine; its boot clock is only comparable within the same boot
    int64_t written_at_boot_us = 0;  // on the boot clock
    uint64_t list_version = 0;
    std::string list_text;      // the full endpoint list
    double accepted_rate = 0;   // accepted and successful requests per second
    double total_capacity = 0;  // of all upstreams
    uint32_t peer_count = 0;    // balancers that shared the upstreams
    std::vector<PersistedReduction> reductions;
    std::vector<SeenEpoch> seen_epochs;
    std::vector<std::string> open_request_ids;  // requests that may have been executed and were not answered
    MSGPACK_DEFINE(fleet, member, incarnation, boot_id, written_at_boot_us, list_version, list_text,
                   accepted_rate, total_capacity, peer_count, reductions, seen_epochs, open_request_ids)
};

// Why a snapshot is rejected. The message is for the log and for operators.
struct SnapshotError {
    std::string message;
};

inline constexpr uint32_t member_snapshot_format = 1;
inline constexpr const char* snapshot_file_name = "snapshot";

std::string encode_member_snapshot(const MemberSnapshot& snapshot);
// Returns the whole snapshot or an error, never a part of it.
std::variant<MemberSnapshot, SnapshotError> decode_member_snapshot(std::string_view bytes);
// Returns nullopt if the snapshot belongs to this member.
std::optional<SnapshotError> check_snapshot_owner(const MemberSnapshot& snapshot, const std::string& fleet,
                                                  const std::string& member);

}  // namespace firtide::fleet
