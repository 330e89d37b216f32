// A token bucket that is refilled at the rate of a quota lease.
#pragma once

#include "quota_lease.h"

namespace firtide::fleet
{

// Holds at most one second's tokens, but at least one.
class TokenBucket
{
  public:
    // Refills the bucket and returns whether it has a token.
    [[nodiscard]] bool has_token(TimePoint now, const QuotaLease& lease);
    // Takes a token. Returns false if there is none.
    [[nodiscard]] bool try_take(TimePoint now, const QuotaLease& lease);

  private:
    static constexpr TimePoint never{INT64_MIN / 2};

    double tokens_ = 0;
    TimePoint last_refill_ = never;
};

}  // namespace firtide::fleet
