// libraft's header, which lacks extern "C", and helpers that pass memory to the library.
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

// Allocates a copy that libraft releases.
raft_buffer copy_buffer(std::string_view bytes);
// Copies all entries into one batch, as libraft requires. Returns null if there are none.
raft_entry* copy_entries(const std::vector<LogEntry>& entries);

std::string to_string(const raft_buffer& buffer);

// Converts the servers of a configuration from and to libraft's form. fill_configuration() initialises
// `into`, which libraft releases.
std::vector<RaftServer> servers_of(const raft_configuration& configuration);
void fill_configuration(raft_configuration& into, const std::vector<RaftServer>& servers);

}  // namespace firtide::fleet::raft_library
