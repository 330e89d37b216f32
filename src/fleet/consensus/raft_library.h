// libraft's header, which says nothing of C++, and what is needed to hand memory to the library.
#pragma once

extern "C" {
#include <raft.h>
}

#include <string>
#include <string_view>
#include <vector>

#include "raft_wire.h"
#include "store_format.h"

namespace firtide::fleet::raft_library
{

// Memory that the library releases.
raft_buffer copy_buffer(std::string_view bytes);
// One batch for all entries, as the library wants them. Null where there are none.
raft_entry* copy_entries(const std::vector<LogEntry>& entries);

std::string to_string(const raft_buffer& buffer);

// Voters and other servers, out of and into the library's form. `into` is initialised; the library releases
// it.
std::vector<RaftServer> servers_of(const raft_configuration& configuration);
void fill_configuration(raft_configuration& into, const std::vector<RaftServer>& servers);

}  // namespace firtide::fleet::raft_library
