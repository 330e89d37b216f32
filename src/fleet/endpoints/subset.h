// Which of the upstreams a balancer uses, so that all together use each by its size: an arc of a ring. No
// I/O, no clock but what it is told.
#pragma once

#include <optional>
#include <vector>

#include "src/fleet/shared_choices_config.h"
#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

struct SubsetPeer {  // a balancer that is there
    MemberKey key = 0;
    bool own_zone = false;
    double weight = 1;  // of its traffic

    bool operator==(const SubsetPeer&) const = default;
};

struct SubsetCandidate {  // an upstream, at its place
    uint64_t id = 0;      // the same at every balancer
    double size = 1;      // zero: not there
    bool own_zone = false;
};

// How much of each is used: 0 to 1.
using SubsetWeights = std::vector<double>;

// wider: times the arc. The same sharers and upstreams at every balancer make all parts of one upstream add
// up to the same, by sizes and weights.
SubsetWeights choose(const SubsetConfig& config, const std::vector<SubsetPeer>& sharers, MemberKey self,
                     const std::vector<SubsetCandidate>& upstreams, double widening);

// How wide the arc is. It widens at once where too little in it can be used, and narrows slowly.
class SubsetSize
{
  public:
    explicit SubsetSize(Span narrow) : narrow_(narrow) {}

    double widening() const { return static_cast<double>(1u << steps_); }
    uint32_t steps() const { return steps_; }
    // free: of the arc, the part that carries no reduction; narrower: the same of the next narrower one;
    // whole: the arc is all there is. True: it changed.
    bool look(Point now, double free, double narrower, bool whole);

  private:
    const Span narrow_;
    uint32_t steps_ = 0;
    Point needed_;
};

}  // namespace firtide::fleet
