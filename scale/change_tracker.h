// Which member used which version of the list from when on, and how long each change took to be in force.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "src/base/time.h"

namespace firtide::scale
{

class ChangeTracker
{
  public:
    explicit ChangeTracker(size_t members) : lives_(members) {}

    // From here on a member has to follow changes, until it is down. A change made while it is down, or that
    // it has not reached when it goes down, does not count for it.
    void member_up(size_t member, TimePoint at);
    void member_down(size_t member, TimePoint at);
    void changed(uint64_t version, TimePoint at);                     // at discovery
    void in_force(size_t member, uint64_t version, TimePoint since);  // versions up to this one, too

    struct Summary {
        std::vector<double> seconds;  // for each member and change
        uint64_t missing = 0;         // of a member and a change: never in force
        uint64_t members_at_last = 0, members_up = 0;
    };
    // Of the changes from this point of time on.
    Summary summary(TimePoint from) const;
    // Whether all members that are up have the last change in force.
    bool all_at_last() const;
    bool has_list(size_t member) const;

  private:
    struct InForce {
        uint64_t version = 0;
        TimePoint since;
    };
    struct Life {
        TimePoint from;
        std::optional<TimePoint> until;
        std::vector<InForce> lists;  // versions grow
    };
    struct Change {
        uint64_t version = 0;
        TimePoint at;
    };

    const Life* life_at(size_t member, TimePoint at) const;
    bool at_last(size_t member) const;

    std::vector<std::vector<Life>> lives_;
    std::vector<Change> changes_;
};

}  // namespace firtide::scale
