// What one member has carried over several lives of its process, whose own counts begin at zero each time.
#pragma once

#include "src/base/time.h"
#include "src/fleet/transport/traffic.h"

namespace firtide::scale
{

fleet::TrafficCounts sum(const fleet::TrafficCounts& a, const fleet::TrafficCounts& b);
fleet::TrafficCounts difference(const fleet::TrafficCounts& later, const fleet::TrafficCounts& earlier);

class TrafficMeter
{
  public:
    struct Reading {
        TimePoint at;
        fleet::TrafficCounts counts;
    };

    void take(TimePoint at, const fleet::TrafficCounts& counts) { at_ = at, now_ = counts; }
    void life_ended() { earlier_ = sum(earlier_, now_), now_ = {}; }
    Reading reading() const { return {at_, sum(earlier_, now_)}; }

  private:
    TimePoint at_;
    fleet::TrafficCounts earlier_, now_;
};

}  // namespace firtide::scale
