// A token bucket whose rate is a quota lease.
#pragma once

#include "quota_lease.h"

namespace firtide::fleet
{

// Saves up no more than a second's tokens, or one.
class TokenBucket
{
  public:
    // Whether a token is there now.
    [[nodiscard]] bool has_token(TimePoint now, const QuotaLease& lease);
    // Takes a token; false where there is none.
    [[nodiscard]] bool try_take(TimePoint now, const QuotaLease& lease);

  private:
    static constexpr TimePoint never{INT64_MIN / 2};

    double tokens_ = 0;
    TimePoint last_refill_ = never;
};

}  // namespace firtide::fleet
