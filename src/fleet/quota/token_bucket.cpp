#include "token_bucket.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr Duration burst_window = seconds(1);

}  // namespace

bool TokenBucket::has_token(TimePoint now, const QuotaLease& lease)
{
    const double rate = lease.rate_at(now);
    if (last_refill_ == never) last_refill_ = now;
    const double refill = rate * std::max(0.0, (now - last_refill_).seconds());
    const double capacity = std::max(1.0, rate * burst_window.seconds());
    tokens_ = std::min(tokens_ + refill, capacity);
    last_refill_ = now;
    return tokens_ >= 1;
}

bool TokenBucket::try_take(TimePoint now, const QuotaLease& lease)
{
    if (!has_token(now, lease)) return false;
    tokens_ -= 1;
    return true;
}

}  // namespace firtide::fleet
