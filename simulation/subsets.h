// Ways to choose subsets, compared: how even the load is, and how much moves.
#pragma once

#include <string>
#include <vector>

#include "src/fleet/endpoints/subset.h"

namespace firtide::simulation
{

struct SubsetComparison {
    std::string algorithm;
    double connections = 0;
    double same_view = 0, views_differ = 0;  // offered load of upstreams: greatest over mean
    double unequal_sizes = 0;                // the same, with sizes and traffic up to four times as great
    double member_moves = 0, upstream_moves = 0;  // of a share: what one more or less moves
};

std::vector<SubsetComparison> compare_subsets(size_t members, size_t upstreams, uint32_t size, size_t seeds);

}  // namespace firtide::simulation
