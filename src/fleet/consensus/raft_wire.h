// Messages between voters, as they are sent inside a RaftMessage. They mirror libraft's messages field by
// field; their encoding must not change.
#pragma once

#include <string>
#include <vector>

#include "src/fleet/ids.h"
#include "src/fleet/transport/pack.h"

namespace firtide::fleet
{

// A server of the consensus configuration. Its address consists of the member's id and the id of its disk:
// "ID/DISK".
struct RaftServer {
    DiskId disk = 0;
    std::string address;
    int role = 0;  // libraft's role number
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
    int pre_vote = 0;  // libraft's tribool: false, true, unknown
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
    uint16_t kind = 0;  // libraft's message type
    std::string body;
    MSGPACK_DEFINE(kind, body)
};

}  // namespace raft_wire
}  // namespace firtide::fleet
