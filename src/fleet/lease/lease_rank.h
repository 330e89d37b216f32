// Rendezvous hashing of duties to members: little moves when members come and go.
#pragma once

#include <xxhash.h>

#include <string_view>

#include "src/fleet/ids.h"

namespace firtide::fleet
{

// Of the members that may hold a duty, the one with the highest rank is preferred.
inline uint64_t lease_rank(std::string_view duty, MemberKey member)
{
    return XXH3_64bits_withSeed(duty.data(), duty.size(), member);
}

}  // namespace firtide::fleet
