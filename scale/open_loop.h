// An open-loop load: calls are due at intended times that do not depend on answers, and each latency is
// counted from the intended time. A stall of the sender thus adds to the latency of every call that it sends
// late, which avoids coordinated omission. The caller supplies the clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>

#include "histogram.h"

namespace firtide::scale
{

using Nanoseconds = std::chrono::nanoseconds;

// Poisson arrivals; the same seed gives the same times.
class ArrivalSchedule
{
  public:
    ArrivalSchedule(double calls_per_second, uint64_t seed);

    // Time of the next arrival, relative to the start.
    Nanoseconds next();

  private:
    std::mt19937_64 random_;
    double mean_gap_ns_;
    double at_ns_ = 0;
};

inline constexpr int no_answer = 0;
using FailureCounts = std::map<int, uint64_t>;  // by status

struct Call {
    uint64_t number = 0;
    Nanoseconds intended{};
};

// The calls of one run. Times are relative to its start. Calls intended before `warm_up` is over are sent but
// their latencies are not recorded.
class OpenLoop
{
  public:
    OpenLoop(ArrivalSchedule schedule, Nanoseconds duration, Nanoseconds warm_up);

    // Time at which the next call is due; nothing once all have been taken.
    std::optional<Nanoseconds> next_due() const;
    // The next call, if it is due.
    std::optional<Call> take_due(Nanoseconds now);
    // Records that the last byte of a successful answer was received.
    void answered(const Call& call, Nanoseconds now);
    // Records a call with an error status, or with none if its connection failed or no answer was received.
    void failed(int status = no_answer);

    uint64_t taken() const { return taken_; }
    uint64_t answered_count() const { return answered_; }
    uint64_t failed_count() const { return failed_; }
    const FailureCounts& failures() const { return failures_; }
    uint64_t outstanding() const { return taken_ - answered_ - failed_; }
    // Latencies in nanoseconds.
    const Histogram& latencies() const { return latencies_; }

  private:
    ArrivalSchedule schedule_;
    Nanoseconds duration_, warm_up_, next_;
    uint64_t taken_ = 0, answered_ = 0, failed_ = 0;
    FailureCounts failures_;
    Histogram latencies_;
};

}  // namespace firtide::scale
