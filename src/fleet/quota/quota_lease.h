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
    double rate = 0;        // a second
    double guaranteed = 0;  // a second, beside the rate and for ever
    Point full_until, expires;

    [[nodiscard]] double rate_at(Point now) const
    {
        if (now < full_until) return rate + guaranteed;
        if (now >= expires) return guaranteed;
        return guaranteed + rate * ((expires - now) / (expires - full_until));
    }
};

}  // namespace firtide::fleet
