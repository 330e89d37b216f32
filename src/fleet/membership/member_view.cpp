#include "member_view.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace firtide::fleet
{

MemberView::MemberView(const Roster& roster) : roster_(roster), members_(roster.size()) {}

void MemberView::seed(const std::vector<MemberState>& members, MemberIndex self)
{
    const MemberState own = members_[self];
    members_ = members;
    members_[self] = own;
    alive_count_ = 0;
    digest_ = 0;
    ++version_;
    suspect_since_.clear();
    gone_.clear();
    for (MemberIndex member = 0; member < members_.size(); ++member) {
        const MemberState& state = members_[member];
        alive_count_ += state.health == Health::alive;
        if (state.incarnation) digest_ += digest_of(member);
        if (state.health == Health::gone) gone_.push_back(member);
        if (state.health == Health::suspect && state.incarnation) suspect_since_[member] = started_;
    }
}

// The digest of the view is the sum of these, so that a change of one record updates it incrementally.
uint64_t MemberView::digest_of(MemberIndex member) const
{
    const MemberState& state = members_[member];
    const uint64_t health_and_incarnation = state.incarnation * 4 + static_cast<uint64_t>(state.health);
    const std::array<uint64_t, 2> hashed{roster_[member].key, health_and_incarnation};
    return XXH3_64bits(hashed.data(), sizeof hashed);
}

void MemberView::set_state(MemberIndex member, const MemberState& next)
{
    MemberState& state = members_[member];
    if (state.incarnation) digest_ -= digest_of(member);
    alive_count_ -= state.health == Health::alive;
    state = next;
    alive_count_ += state.health == Health::alive;
    if (state.incarnation) digest_ += digest_of(member);
    ++version_;
}

void MemberView::update_health_sets(TimePoint now, MemberIndex member, Health before)
{
    const MemberState& state = members_[member];
    const auto place = std::lower_bound(gone_.begin(), gone_.end(), member);
    const bool listed = place != gone_.end() && *place == member;
    if (state.health == Health::gone && !listed) gone_.insert(place, member);
    if (state.health != Health::gone && listed) gone_.erase(place);
    if (state.health != Health::suspect)
        suspect_since_.erase(member);
    else if (state.incarnation)
        suspect_since_.try_emplace(member, before == Health::suspect ? started_ : now);
}

std::vector<MemberIndex> MemberView::overdue_suspects(TimePoint now, Duration timeout)
{
    std::vector<MemberIndex> overdue;
    for (const auto& [member, since] : suspect_since_)
        if (now - since > timeout) overdue.push_back(member);
    if (!unheard_not_yet_overdue_ || now - started_ <= timeout) return overdue;
    unheard_not_yet_overdue_ = false;
    for (MemberIndex member = 0; member < members_.size(); ++member)
        if (members_[member].health == Health::suspect && members_[member].incarnation == 0)
            overdue.push_back(member);
    std::sort(overdue.begin(), overdue.end());
    return overdue;
}

}  // namespace firtide::fleet
