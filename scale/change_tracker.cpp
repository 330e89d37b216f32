#include "change_tracker.h"

#include <algorithm>

namespace firtide::scale
{

void ChangeTracker::member_up(size_t member, TimePoint at) { lives_[member].push_back({at, {}, {}}); }

void ChangeTracker::member_down(size_t member, TimePoint at)
{
    auto& lives = lives_[member];
    if (!lives.empty() && !lives.back().until) lives.back().until = at;
}

void ChangeTracker::changed(uint64_t version, TimePoint at) { changes_.push_back({version, at}); }

void ChangeTracker::in_force(size_t member, uint64_t version, TimePoint since)
{
    auto& lives = lives_[member];
    if (lives.empty() || lives.back().until) return;
    auto& lists = lives.back().lists;
    if (lists.empty() || lists.back().version < version) lists.push_back({version, since});
}

const ChangeTracker::Life* ChangeTracker::life_at(size_t member, TimePoint at) const
{
    for (const Life& life : lives_[member])
        if (life.from <= at && (!life.until || at < *life.until)) return &life;
    return nullptr;
}

bool ChangeTracker::at_last(size_t member) const
{
    if (changes_.empty()) return has_list(member);
    return has_list(member) && lives_[member].back().lists.back().version >= changes_.back().version;
}

bool ChangeTracker::has_list(size_t member) const
{
    const auto& lives = lives_[member];
    return !lives.empty() && !lives.back().until && !lives.back().lists.empty();
}

bool ChangeTracker::all_at_last() const
{
    for (size_t member = 0; member < lives_.size(); ++member) {
        const bool is_up = !lives_[member].empty() && !lives_[member].back().until;
        if (is_up && !at_last(member)) return false;
    }
    return true;
}

ChangeTracker::Summary ChangeTracker::summary(TimePoint from) const
{
    Summary out;
    for (size_t member = 0; member < lives_.size(); ++member) {
        if (lives_[member].empty() || lives_[member].back().until) continue;
        ++out.members_up;
        out.members_at_last += at_last(member);
    }
    for (const Change& change : changes_) {
        if (change.at < from) continue;
        for (size_t member = 0; member < lives_.size(); ++member) {
            const Life* life = life_at(member, change.at);
            if (!life) continue;
            const auto reached = std::lower_bound(
                life->lists.begin(), life->lists.end(), change.version,
                [](const InForce& list, uint64_t version) { return list.version < version; });
            if (reached != life->lists.end())
                out.seconds.push_back(std::max(0.0, (reached->since - change.at).seconds()));
            else if (!life->until)
                ++out.missing;
        }
    }
    return out;
}

}  // namespace firtide::scale
