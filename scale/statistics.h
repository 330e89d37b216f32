// Summaries of measured figures.
#pragma once

#include <vector>

namespace firtide::scale
{

struct Spread {
    double median = 0, greatest = 0;
};

// Zeros where there are no values. The median of an even number of values is the mean of the middle two.
Spread spread_of(std::vector<double> values);

// The smallest value that at least this part (0 to 1) of all values do not exceed; zero where there are none.
double percentile(std::vector<double> values, double part);

}  // namespace firtide::scale
