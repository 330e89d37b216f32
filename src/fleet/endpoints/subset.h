// Which of the upstreams a balancer uses, so that all together use each by its size: an arc of a ring. No
// I/O, no clock but what it is told.
#pragma once

#include <optional>
#include <vector>

#include "src/fleet/shared_choices_config.h"
#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

// A balancer that shares the upstreams.
struct SubsetPeer {
    MemberKey key = 0;
    bool own_zone = false;
    double traffic_weight = 1;  // of its traffic

    bool operator==(const SubsetPeer&) const = default;
};

// An upstream, at its place in the list.
struct SubsetCandidate {
    uint64_t id = 0;  // the same at every balancer
    double size = 1;  // zero: not there
    bool own_zone = false;
};

// How much of each candidate is used: 0 to 1.
using SubsetWeights = std::vector<double>;

// The subset of one balancer, `widening` times as wide as configured. With the same peers and candidates at
// every balancer, all weights of one upstream add up to the same, by sizes and weights.
SubsetWeights select_subset(const SubsetConfig& config, const std::vector<SubsetPeer>& peers, MemberKey self,
                            const std::vector<SubsetCandidate>& candidates, double widening);

// How wide the subset is. It widens at once where too little in it can be used, and narrows slowly.
class SubsetSize
{
  public:
    // `narrow_after`: without need at the present width, one step back.
    explicit SubsetSize(Duration narrow_after) : narrow_after_(narrow_after) {}

    [[nodiscard]] double widening() const { return static_cast<double>(1U << steps_); }
    [[nodiscard]] uint32_t steps() const { return steps_; }
    // `free`: the share of the subset that carries no reduction; `narrower_free`: the same of the next
    // narrower one; `is_whole_list`: there is nothing beyond the subset. Returns whether the size has
    // changed.
    [[nodiscard]] bool adjust(TimePoint now, double free, double narrower_free, bool is_whole_list);

  private:
    bool widen(TimePoint now, double free);

    const Duration narrow_after_;
    uint32_t steps_ = 0;
    TimePoint last_needed_;
};

}  // namespace firtide::fleet
