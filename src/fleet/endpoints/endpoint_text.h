// Lists of upstreams as discovery writes them: the whole list, or changes of it. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace firtide::fleet
{

// Entries by uid, each the text of its target.
using EndpointTexts = std::map<std::string, std::string>;

std::string full_list_text(uint64_t version, const EndpointTexts& texts);

// Those of `uids` that `lines` has, as they are there; the others as gone.
std::string list_changes_text(uint64_t version, const std::set<std::string>& uids,
                              const EndpointTexts& texts);

}  // namespace firtide::fleet
