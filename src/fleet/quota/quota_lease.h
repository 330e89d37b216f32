// A member's share of a budget of the fleet, for a while.
#pragma once

#include "src/base/time.h"
#include "src/fleet/shared_choices_config.h"

namespace firtide::fleet
{

// Good in full until `full_until` by the clock of its holder, then falling evenly to the guaranteed rate,
// which it has from `expires` on.
struct QuotaLease {
    BudgetName name;
    double rate = 0;             // a second
    double guaranteed_rate = 0;  // a second, beside the rate and for ever
    TimePoint full_rate_until, expires_at;

    [[nodiscard]] double rate_at(TimePoint now) const
    {
        if (now < full_rate_until) return rate + guaranteed_rate;
        if (now >= expires_at) return guaranteed_rate;
        return guaranteed_rate + rate * ((expires_at - now) / (expires_at - full_rate_until));
    }
};

}  // namespace firtide::fleet
