// Identifiers and counters that members of a fleet exchange and store.
#pragma once

#include <cstdint>
#include <string_view>

namespace firtide::fleet
{

using MemberIndex = uint32_t;  // index of a member in the fleet file; valid in this process only
using MemberKey = uint64_t;    // hash of a member's id, equal in all processes; never zero
using InstanceId = uint64_t;   // random identifier of one run of a member's process
using Incarnation = uint64_t;  // version of a member's health; increases with each refutation and restart
using Epoch = uint64_t;        // fencing token of a duty; increases with each grant

using Term = uint64_t;      // election term
using LogIndex = uint64_t;  // index in the replicated log, from 1
using DiskId = uint64_t;    // random identifier of a voter's disk, by which the log names the voter

inline constexpr MemberIndex no_member = UINT32_MAX;

MemberKey key_of(std::string_view id);

}  // namespace firtide::fleet
