#include "recent_request_ids.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace firtide::net
{

uint64_t RecentRequestIds::hash_of(std::string_view id) const
{
    const uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), key_);
    return hash ? hash : 1;
}

void RecentRequestIds::add(std::string_view id)
{
    const uint64_t hash = hash_of(id);
    if (newer_.contains(hash)) return;
    if (newer_.count == min_recent_ids) {
        std::swap(newer_, older_);
        newer_.clear();
    }
    newer_.add(hash);
}

bool RecentRequestIds::contains(std::string_view id) const
{
    const uint64_t hash = hash_of(id);
    return newer_.contains(hash) || older_.contains(hash);
}

// Of the hash, or the free one that it would take.
size_t RecentRequestIds::Generation::slot_of(uint64_t hash) const
{
    size_t slot = hash % slots.size();
    while (slots[slot] != 0 && slots[slot] != hash) slot = (slot + 1) % slots.size();
    return slot;
}

void RecentRequestIds::Generation::add(uint64_t hash)
{
    slots[slot_of(hash)] = hash;
    ++count;
}

void RecentRequestIds::Generation::clear()
{
    std::fill(slots.begin(), slots.end(), 0);
    count = 0;
}

}  // namespace firtide::net
