// Comparison of subsetting algorithms: how even the load is, and how much moves on a change.
#pragma once

#include <string>
#include <vector>

#include "src/fleet/endpoints/subset.h"

namespace firtide::simulation
{

struct SubsetComparison {
    std::string algorithm;
    double connections = 0;
    double same_view = 0, views_differ = 0;  // offered load of upstreams: maximum over mean
    double unequal_sizes = 0;                // same, with sizes and traffic that differ by up to four times
    double member_moves = 0,
           upstream_moves = 0;  // fraction of a subset that moves when one member or upstream leaves
};

std::vector<SubsetComparison> compare_subsets(size_t members, size_t upstreams, uint32_t size, size_t seeds);

}  // namespace firtide::simulation
