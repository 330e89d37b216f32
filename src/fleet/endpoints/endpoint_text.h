// Encodes endpoint lists in discovery's format: the full list, or changes to it. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace firtide::fleet
{

// The JSON text of each target, by uid.
using EndpointMap = std::map<std::string, std::string>;

std::string encode_full_list(uint64_t version, const EndpointMap& endpoints);

// Entries of `uids` that `endpoints` does not have are written as gone.
std::string encode_list_changes(uint64_t version, const std::set<std::string>& uids,
                                const EndpointMap& endpoints);

}  // namespace firtide::fleet
