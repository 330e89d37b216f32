// The ids of requests that may have run, so that none of them is run again when its id comes again.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace firtide::net
{

// Holds at least the last `min_recent_ids` that were added and at most twice as many, in memory that is
// allocated once. Of an id only a keyed hash of 64 bits is kept.
inline constexpr size_t min_recent_ids = 8192;

class RecentRequestIds
{
  public:
    // key: of the hash; clients must not know it, or they could choose ids that collide.
    explicit RecentRequestIds(uint64_t key) : key_(key) {}

    void add(std::string_view id);
    bool contains(std::string_view id) const;
    size_t size() const { return newer_.count + older_.count; }

  private:
    // Open addressing; 0 marks a free slot.
    struct Generation {
        std::vector<uint64_t> slots = std::vector<uint64_t>(2 * min_recent_ids);
        size_t count = 0;

        size_t slot_of(uint64_t hash) const;
        bool contains(uint64_t hash) const { return slots[slot_of(hash)] == hash; }
        void add(uint64_t hash);
        void clear();
    };

    uint64_t hash_of(std::string_view id) const;

    uint64_t key_;
    Generation newer_, older_;
};

}  // namespace firtide::net
