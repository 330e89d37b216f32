// Adds up the traffic of a member over restarts of its process, each of which resets the counters to zero.
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

    void sample(TimePoint at, const fleet::TrafficCounts& counts) { sampled_at_ = at, current_ = counts; }
    void process_ended() { previous_processes_ = sum(previous_processes_, current_), current_ = {}; }
    Reading reading() const { return {sampled_at_, sum(previous_processes_, current_)}; }

  private:
    TimePoint sampled_at_;
    fleet::TrafficCounts previous_processes_, current_;
};

}  // namespace firtide::scale
