// Identities and counters that members of a fleet exchange and store.
#pragma once

#include <cstdint>
#include <string_view>

namespace firtide::fleet
{

using MemberIndex = uint32_t;  // place of a member in the fleet file; local to a process
using MemberKey = uint64_t;    // hash of a member's id, the same in every process; never zero
using InstanceId = uint64_t;   // one run of a member's process, drawn at its start
using Incarnation = uint64_t;  // of a member's health; grows with every refutation and restart
using Epoch = uint64_t;        // fencing token of a duty; grows with every grant

using Term = uint64_t;      // of an election
using LogIndex = uint64_t;  // of the replicated log, from 1
using DiskId = uint64_t;    // drawn once for each new disk of a voter; the voter's name in the log

inline constexpr MemberIndex no_member = UINT32_MAX;

MemberKey key_of(std::string_view id);

}  // namespace firtide::fleet
