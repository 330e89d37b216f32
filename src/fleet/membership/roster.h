// The members that a fleet file names, and what depends only on them: the index by key, and the rings that
// define who monitors whom. Copies share their data, so that a process that runs many members stores it once.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

struct MemberConfig {
    std::string id;
    MemberKey key = 0;    // key_of(id); set by Roster::push_back
    std::string address;  // as reachable from this member
    std::string zone;
    bool is_voter = false;
    uint32_t line = 0;
};

// Copy-on-write value. Several threads may read copies, but not one that is still being filled.
class Roster
{
  public:
    static constexpr size_t ring_count = 3;

    // All members in the order of a hash of their ids, which is the same at every member regardless of the
    // order of its fleet file.
    struct Ring {
        std::vector<MemberIndex> members;
        std::vector<uint32_t> positions;  // of each member in `members`
    };
    using Rings = std::array<Ring, ring_count>;

    Roster();

    // If two members have the same key, lookups by key find the first.
    void push_back(MemberConfig member);

    size_t size() const;
    bool empty() const { return size() == 0; }
    const MemberConfig& operator[](MemberIndex member) const;
    const MemberConfig& back() const;
    std::vector<MemberConfig>::const_iterator begin() const;
    std::vector<MemberConfig>::const_iterator end() const;

    std::optional<MemberIndex> member_of(MemberKey key) const;
    std::optional<MemberIndex> member_of(std::string_view id) const;
    size_t voter_count() const;
    // Built on first use.
    const Rings& rings() const;

    bool shares_data_with(const Roster& other) const { return data_ == other.data_; }

  private:
    struct Data;

    std::shared_ptr<Data> data_;
};

}  // namespace firtide::fleet
