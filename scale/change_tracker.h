// Records when each member put which list version in force, and computes how long each change took.
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
    explicit ChangeTracker(size_t members) : up_periods_(members) {}

    // A member is expected to follow changes from member_up until member_down. A change made while it is
    // down, or not yet in force when it goes down, does not count for it.
    void member_up(size_t member, TimePoint at);
    void member_down(size_t member, TimePoint at);
    void record_change(uint64_t version, TimePoint at);  // at discovery
    // Putting a version in force implies all earlier versions.
    void record_list_in_force(size_t member, uint64_t version, TimePoint since);

    struct Summary {
        std::vector<double> seconds;  // per member and change
        uint64_t missing = 0;         // member-change pairs where the change was never in force
        uint64_t members_at_last_version = 0, members_up = 0;
    };
    // Covers the changes made at or after `from`.
    Summary summary(TimePoint from) const;
    // Whether all members that are up have the last change in force.
    bool all_at_last_version() const;
    bool has_list(size_t member) const;

  private:
    struct InForce {
        uint64_t version = 0;
        TimePoint since;
    };
    struct UpPeriod {
        TimePoint from;
        std::optional<TimePoint> until;
        std::vector<InForce> lists;  // by ascending version
    };
    struct Change {
        uint64_t version = 0;
        TimePoint at;
    };

    const UpPeriod* up_period_at(size_t member, TimePoint at) const;
    bool has_last_version(size_t member) const;

    std::vector<std::vector<UpPeriod>> up_periods_;
    std::vector<Change> changes_;
};

}  // namespace firtide::scale
