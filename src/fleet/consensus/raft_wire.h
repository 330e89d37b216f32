// Messages between voters, as they go over the wire inside a RaftMessage. They follow the consensus library's
// own messages field by field; their encoding must not change.
#pragma once

#include <string>
#include <vector>

#include "src/fleet/ids.h"
#include "src/fleet/transport/pack.h"

namespace firtide::fleet
{

// A member of the consensus configuration. Its address names the fleet's member and its disk: "ID/DISK".
struct RaftServer {
    DiskId disk = 0;
    std::string address;
    int role = 0;  // as the library numbers them
    MSGPACK_DEFINE(disk, address, role)
};

namespace raft_wire
{

struct VoteRequest {
    Term term = 0;
    DiskId candidate = 0;
    LogIndex last_index = 0;
    Term last_term = 0;
    bool disrupt_leader = false, pre_vote = false;
    MSGPACK_DEFINE(term, candidate, last_index, last_term, disrupt_leader, pre_vote)
};
struct VoteResponse {
    Term term = 0;
    bool granted = false;
    int pre_vote = 0;  // a tribool of the library: false, true, unknown
    MSGPACK_DEFINE(term, granted, pre_vote)
};
struct Entry {
    Term term = 0;
    uint16_t kind = 0;
    std::string bytes;
    MSGPACK_DEFINE(term, kind, bytes)
};
struct AppendRequest {
    Term term = 0;
    LogIndex previous_index = 0;
    Term previous_term = 0;
    LogIndex committed = 0;
    std::vector<Entry> entries;
    MSGPACK_DEFINE(term, previous_index, previous_term, committed, entries)
};
struct AppendResponse {
    Term term = 0;
    LogIndex rejected = 0, last_index = 0;
    MSGPACK_DEFINE(term, rejected, last_index)
};
struct InstallSnapshot {
    Term term = 0;
    LogIndex last_index = 0;
    Term last_term = 0;
    std::vector<RaftServer> servers;
    LogIndex servers_index = 0;
    std::string data;
    MSGPACK_DEFINE(term, last_index, last_term, servers, servers_index, data)
};
struct TimeoutNow {
    Term term = 0;
    LogIndex last_index = 0;
    Term last_term = 0;
    MSGPACK_DEFINE(term, last_index, last_term)
};
struct Envelope {
    uint16_t kind = 0;  // as the library numbers its messages
    std::string body;
    MSGPACK_DEFINE(kind, body)
};

}  // namespace raft_wire
}  // namespace firtide::fleet
