// Rendezvous hashing of duties to members: few duties move when members join or leave.
#pragma once

#include <xxhash.h>

#include <string_view>

#include "src/fleet/ids.h"

namespace firtide::fleet
{

// The eligible member with the highest rank is preferred for a duty.
inline uint64_t lease_rank(std::string_view duty, MemberKey member)
{
    return XXH3_64bits_withSeed(duty.data(), duty.size(), member);
}

}  // namespace firtide::fleet
