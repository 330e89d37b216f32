// Chooses the subset of upstreams that a balancer uses, as an arc of a ring, so that all balancers together
// use each upstream in proportion to its size. No I/O, no clock of its own.
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
    double traffic_weight = 1;  // traffic relative to that of the other peers

    bool operator==(const SubsetPeer&) const = default;
};

// An upstream, at its position in the list.
struct SubsetCandidate {
    uint64_t id = 0;  // the same at every balancer
    double size = 1;  // zero: absent
    bool own_zone = false;
};

// The share of each candidate that is used, 0 to 1.
using SubsetWeights = std::vector<double>;

// The subset of one balancer, `widening` times as wide as configured. If all balancers have the same peers
// and candidates, the weights of an upstream, each counted by its balancer's traffic, add up to the same for
// all upstreams, so that load is proportional to size.
SubsetWeights select_subset(const SubsetConfig& config, const std::vector<SubsetPeer>& peers, MemberKey self,
                            const std::vector<SubsetCandidate>& candidates, double widening);

// The width of the subset. It widens at once if too little of the subset is usable, and narrows slowly.
class SubsetWidth
{
  public:
    // `narrowing_delay`: time without need for the present width before it narrows by one step.
    explicit SubsetWidth(Duration narrowing_delay) : narrowing_delay_(narrowing_delay) {}

    [[nodiscard]] double widening() const { return static_cast<double>(1U << steps_); }
    [[nodiscard]] uint32_t steps() const { return steps_; }
    // `free`: the share of the subset that carries no reduction; `narrower_free`: the same for the subset one
    // step narrower; `covers_whole_list`: the subset covers all upstreams. Returns whether the width has
    // changed.
    [[nodiscard]] bool adjust(TimePoint now, double free, double narrower_free, bool covers_whole_list);

  private:
    bool widen(TimePoint now, double free);

    const Duration narrowing_delay_;
    uint32_t steps_ = 0;
    TimePoint last_needed_;
};

}  // namespace firtide::fleet
