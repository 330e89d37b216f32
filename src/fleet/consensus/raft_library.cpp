#include "raft_library.h"

#include <algorithm>
#include <cstring>

namespace firtide::fleet::raft_library
{

raft_buffer copy_buffer(std::string_view bytes)
{
    void* memory = raft_malloc(bytes.size() + 1);
    if (!bytes.empty()) std::memcpy(memory, bytes.data(), bytes.size());
    return {memory, bytes.size()};
}

raft_entry* copy_entries(const std::vector<LogEntry>& entries)
{
    if (entries.empty()) return nullptr;
    size_t bytes = 1;
    for (const LogEntry& entry : entries) bytes += entry.bytes.size();
    auto* batch = static_cast<char*>(raft_malloc(bytes));
    auto* copies = static_cast<raft_entry*>(raft_calloc(entries.size(), sizeof(raft_entry)));
    char* next = batch;
    for (size_t i = 0; i < entries.size(); ++i) {
        const std::string& text = entries[i].bytes;
        std::copy(text.begin(), text.end(), next);
        copies[i].term = entries[i].term;
        copies[i].type = entries[i].kind;
        copies[i].buf = {next, text.size()};
        copies[i].batch = batch;
        next += text.size();
    }
    return copies;
}

std::string to_string(const raft_buffer& buffer)
{
    return {static_cast<const char*>(buffer.base), buffer.len};
}

std::vector<RaftServer> servers_of(const raft_configuration& configuration)
{
    std::vector<RaftServer> servers;
    for (unsigned i = 0; i < configuration.n; ++i) {
        const raft_server& server = configuration.servers[i];
        servers.push_back({server.id, server.address, server.role});
    }
    return servers;
}

void fill_configuration(raft_configuration& into, const std::vector<RaftServer>& servers)
{
    raft_configuration_init(&into);
    for (const RaftServer& server : servers)
        raft_configuration_add(&into, server.disk, server.address.c_str(), server.role);
}

}  // namespace firtide::fleet::raft_library
