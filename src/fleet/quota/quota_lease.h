// A member's temporary share of a fleet-wide budget.
#pragma once

#include "src/base/time.h"
#include "src/fleet/shared_choices_config.h"

namespace firtide::fleet
{

// Grants the full rate until `full_rate_until` by the holder's clock. From then on the rate falls linearly
// and reaches the guaranteed rate at `expires_at`.
struct QuotaLease {
    BudgetName name;
    double rate = 0;             // per second
    double guaranteed_rate = 0;  // per second, in addition to `rate`; does not expire
    TimePoint full_rate_until, expires_at;

    [[nodiscard]] double rate_at(TimePoint now) const
    {
        if (now < full_rate_until) return rate + guaranteed_rate;
        if (now >= expires_at) return guaranteed_rate;
        return guaranteed_rate + rate * ((expires_at - now) / (expires_at - full_rate_until));
    }
};

}  // namespace firtide::fleet
