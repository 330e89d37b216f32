#include "statistics.h"

#include <algorithm>
#include <cmath>

namespace firtide::scale
{

Spread spread_of(std::vector<double> values)
{
    if (values.empty()) return {};
    std::sort(values.begin(), values.end());
    const size_t middle = values.size() / 2;
    const double upper = values[middle];
    const double lower = values.size() % 2 == 0 ? values[middle - 1] : upper;
    return {(lower + upper) / 2, values.back()};
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    const double rank = std::ceil(fraction * static_cast<double>(values.size()));
    const auto index = static_cast<size_t>(std::max(1.0, rank)) - 1;
    return values[std::min(index, values.size() - 1)];
}

}  // namespace firtide::scale
