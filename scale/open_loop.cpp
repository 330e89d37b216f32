#include "open_loop.h"

#include <algorithm>
#include <cmath>

namespace firtide::scale
{

constexpr double nanoseconds_per_second = 1e9;

ArrivalSchedule::ArrivalSchedule(double calls_per_second, uint64_t seed)
    : random_(seed), mean_gap_ns_(nanoseconds_per_second / calls_per_second)
{
}

Nanoseconds ArrivalSchedule::next()
{
    // Draws 53 bits itself, as the results of std::exponential_distribution differ between standard
    // libraries.
    const double uniform = static_cast<double>(random_() >> 11) * 0x1p-53;
    at_ns_ += -std::log1p(-uniform) * mean_gap_ns_;
    return Nanoseconds(static_cast<int64_t>(at_ns_));
}

OpenLoop::OpenLoop(ArrivalSchedule schedule, Nanoseconds duration, Nanoseconds warm_up)
    : schedule_(schedule), duration_(duration), warm_up_(warm_up), next_(schedule_.next())
{
}

std::optional<Nanoseconds> OpenLoop::next_due() const
{
    if (next_ >= duration_) return {};
    return next_;
}

std::optional<Call> OpenLoop::take_due(Nanoseconds now)
{
    if (next_ >= duration_ || next_ > now) return {};
    const Call call{taken_++, next_};
    next_ = schedule_.next();
    return call;
}

void OpenLoop::answered(const Call& call, Nanoseconds now)
{
    ++answered_;
    if (call.intended < warm_up_) return;
    const auto latency = std::max(Nanoseconds{}, now - call.intended);
    latencies_.record(static_cast<uint64_t>(latency.count()));
}

void OpenLoop::failed(int status)
{
    ++failed_;
    ++failures_[status];
}

}  // namespace firtide::scale
