#include "change_tracker.h"

#include <algorithm>

namespace firtide::scale
{

void ChangeTracker::member_up(size_t member, TimePoint at) { up_periods_[member].push_back({at, {}, {}}); }

void ChangeTracker::member_down(size_t member, TimePoint at)
{
    auto& periods = up_periods_[member];
    if (!periods.empty() && !periods.back().until) periods.back().until = at;
}

void ChangeTracker::record_change(uint64_t version, TimePoint at) { changes_.push_back({version, at}); }

void ChangeTracker::record_list_in_force(size_t member, uint64_t version, TimePoint since)
{
    auto& periods = up_periods_[member];
    if (periods.empty() || periods.back().until) return;
    auto& lists = periods.back().lists;
    if (lists.empty() || lists.back().version < version) lists.push_back({version, since});
}

const ChangeTracker::UpPeriod* ChangeTracker::up_period_at(size_t member, TimePoint at) const
{
    for (const UpPeriod& period : up_periods_[member])
        if (period.from <= at && (!period.until || at < *period.until)) return &period;
    return nullptr;
}

bool ChangeTracker::has_last_version(size_t member) const
{
    if (changes_.empty()) return has_list(member);
    return has_list(member) && up_periods_[member].back().lists.back().version >= changes_.back().version;
}

bool ChangeTracker::has_list(size_t member) const
{
    const auto& periods = up_periods_[member];
    return !periods.empty() && !periods.back().until && !periods.back().lists.empty();
}

bool ChangeTracker::all_at_last_version() const
{
    for (size_t member = 0; member < up_periods_.size(); ++member) {
        const bool is_up = !up_periods_[member].empty() && !up_periods_[member].back().until;
        if (is_up && !has_last_version(member)) return false;
    }
    return true;
}

ChangeTracker::Summary ChangeTracker::summary(TimePoint from) const
{
    Summary out;
    for (size_t member = 0; member < up_periods_.size(); ++member) {
        if (up_periods_[member].empty() || up_periods_[member].back().until) continue;
        ++out.members_up;
        out.members_at_last_version += has_last_version(member);
    }
    for (const Change& change : changes_) {
        if (change.at < from) continue;
        for (size_t member = 0; member < up_periods_.size(); ++member) {
            const UpPeriod* period = up_period_at(member, change.at);
            if (!period) continue;
            const auto reached = std::lower_bound(
                period->lists.begin(), period->lists.end(), change.version,
                [](const InForce& list, uint64_t version) { return list.version < version; });
            if (reached != period->lists.end())
                out.seconds.push_back(std::max(0.0, (reached->since - change.at).seconds()));
            else if (!period->until)
                ++out.missing;
        }
    }
    return out;
}

}  // namespace firtide::scale
