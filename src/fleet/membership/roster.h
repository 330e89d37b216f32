// The members that a fleet file names, and what follows from them alone: the index by key, and the rings by
// which members watch each other. Copies share one set of data, so that a process that runs many members
// holds it once.
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
    std::string address;  // as this member reaches it
    std::string zone;
    bool is_voter = false;
    uint32_t line = 0;
};

// A value with copy on write. Copies may be read by several threads; one that is still being filled may not.
class Roster
{
  public:
    static constexpr size_t ring_count = 3;

    // All members in the order of a hash of their ids: the same at every member, whatever the order of its
    // file.
    struct Ring {
        std::vector<MemberIndex> order;
        std::vector<uint32_t> place;  // of each member in that order
    };
    using Rings = std::array<Ring, ring_count>;

    Roster();

    // The first of two members with one key is the one that is found by it.
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
    // Made when they are first asked for.
    const Rings& rings() const;

    bool shares_with(const Roster& other) const { return data_ == other.data_; }

  private:
    struct Data;

    std::shared_ptr<Data> data_;
};

}  // namespace firtide::fleet
