// Summaries of measured values.
#pragma once

#include <vector>

namespace firtide::scale
{

struct Spread {
    double median = 0, max = 0;
};

// Returns zeros if there are no values. The median of an even number of values is the mean of the middle two.
Spread spread_of(std::vector<double> values);

// The smallest value that at least this fraction (0 to 1) of all values do not exceed; 0 if there are none.
double percentile(std::vector<double> values, double fraction);

}  // namespace firtide::scale
