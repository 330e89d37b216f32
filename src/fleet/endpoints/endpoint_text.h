// Lists of upstreams as discovery writes them: the whole list, or changes of it. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace firtide::fleet
{

// Entries by uid, each the text of its target.
using EndpointMap = std::map<std::string, std::string>;

std::string encode_full_list(uint64_t version, const EndpointMap& texts);

// Those of `uids` that `lines` has, as they are there; the others as gone.
std::string encode_list_changes(uint64_t version, const std::set<std::string>& uids,
                                const EndpointMap& texts);

}  // namespace firtide::fleet
