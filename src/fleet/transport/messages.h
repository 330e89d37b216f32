// Messages between members and between voters. Their encoding must not change, because a fleet may run
// several versions at the same time (tests/compatibility.cpp). Each message is decoded once, on arrival, to
// one of these types.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pack.h"
#include "src/fleet/ids.h"

namespace firtide::fleet
{

enum class Health : uint8_t { alive, suspect, gone };  // of equal incarnations, the later value wins
// Startup stage of a voter; see VoterAgent.
enum class VoterStage : uint8_t { empty, checking, voting, failed, refused };
const char* to_string(Health health);
const char* to_string(VoterStage stage);

// The first message on every connection.
struct Hello {
    std::string fleet;
    uint32_t version = 0;  // wire_version
    MemberKey from = 0, to = 0;
    InstanceId instance = 0;
    MSGPACK_DEFINE(fleet, version, from, to, instance)
};

// ---- membership ----

struct MembershipUpdate {
    MemberKey member = 0;
    uint8_t health = 0;  // Health
    Incarnation incarnation = 0;
    InstanceId instance = 0;
    uint8_t weight = 0;  // traffic weight: 100 is one request per second, +4 doubles it; 0: unknown
    MSGPACK_DEFINE(member, health, incarnation, instance, weight)
};
// Also serves as the acknowledgement of a ping.
struct Ping {
    uint64_t number = 0;
    uint64_t acknowledges = 0;  // the number of the ping that this one answers; zero: none
    Incarnation incarnation = 0;
    InstanceId instance = 0;
    uint64_t view_digest = 0;              // of the sender's view of all members
    uint8_t receiver_health = 0;           // Health of the receiver in the sender's view
    Incarnation receiver_incarnation = 0;  // and its incarnation there
    MemberKey leader = 0;                  // zero: unknown
    Term term = 0;
    uint64_t list_number = 0;  // revision of the sender's endpoint list
    Epoch list_epoch = 0;
    uint8_t weight = 0;
    uint64_t list_digest = 0;  // of the list at that revision, with [deltas]
    MSGPACK_DEFINE(number, acknowledges, incarnation, instance, view_digest, receiver_health,
                   receiver_incarnation, leader, term, list_number, list_epoch, weight, list_digest)
};
// Asks the receiver to probe a member that the sender cannot reach.
struct IndirectProbeRequest {
    MemberKey member = 0;
    MSGPACK_DEFINE(member)
};
struct IndirectProbeAck {
    MemberKey member = 0;
    Incarnation incarnation = 0;
    MSGPACK_DEFINE(member, incarnation)
};
struct MembershipUpdates {
    std::vector<MembershipUpdate> updates;
    bool reply_requested = false;  // asks for the receiver's view of all members
    MSGPACK_DEFINE(updates, reply_requested)
};

// ---- consensus ----

// A Raft message between voters; see raft_wire.h.
struct RaftMessage {
    DiskId from = 0, to = 0;
    uint64_t writes = 0;  // number of writes to the sender's disk that this message depends on
    std::string bytes;
    MSGPACK_DEFINE(from, to, writes, bytes)
};
// Number of writes to a voter's disk that another voter has seen. A disk that records fewer has lost writes.
struct SeenDisk {
    DiskId disk = 0;
    uint64_t writes = 0;
    MSGPACK_DEFINE(disk, writes)
};
// Sent by a voter to the other voters.
struct DiskReport {
    DiskId disk = 0;
    uint8_t stage = 0;  // VoterStage
    uint64_t writes = 0;
    std::vector<SeenDisk> seen_disks;
    MSGPACK_DEFINE(disk, stage, writes, seen_disks)
};
struct BootstrapVoter {
    std::string member;  // id
    DiskId disk = 0;
    MSGPACK_DEFINE(member, disk)
};
// The voters of a new log, sent by the only voter that may bootstrap it.
struct BootstrapConfig {
    std::vector<BootstrapVoter> voters;
    MSGPACK_DEFINE(voters)
};

// ---- leases ----

// An epoch of a duty that a member has seen.
struct SeenEpoch {
    std::string duty;
    Epoch epoch = 0;
    MSGPACK_DEFINE(duty, epoch)
};
// Renews a member's leases on all duties that it holds.
struct LeaseRenewRequest {
    InstanceId instance = 0;
    uint64_t nonce = 0;                  // increases with each request of this instance
    uint64_t table_version = 0;          // of the member's copy of the lease table
    std::vector<std::string> requested;  // families of duties that the member asks for
    std::vector<SeenEpoch> seen_epochs;  // those higher than in that table
    bool departing = false;              // the member shuts down and wants no duties
    uint64_t last_answered_nonce = 0;    // of the newest request that was answered
    std::vector<SeenEpoch> given_up;     // granted leases that the member no longer holds
    MSGPACK_DEFINE(instance, nonce, table_version, requested, seen_epochs, departing, last_answered_nonce,
                   given_up)
};
struct LeaseRecord {
    std::string duty;
    MemberKey holder = 0;  // zero: nobody
    InstanceId instance = 0;
    Epoch epoch = 0;
    MSGPACK_DEFINE(duty, holder, instance, epoch)
};
// The leader's response, confirmed by a majority. With nonce 0 it is a notification that renews nothing.
struct LeaseRenewResponse {
    Term term = 0;
    uint64_t nonce = 0;  // of the request
    uint64_t table_version = 0;
    bool full_table = false;  // whether `leases` is the whole table or only the receiver's leases
    std::vector<LeaseRecord> leases;
    MSGPACK_DEFINE(term, nonce, table_version, full_table, leases)
};
// The response of a member that is not the leader.
struct LeaderRedirect {
    MemberKey leader = 0;  // zero: unknown
    Term term = 0;
    MSGPACK_DEFINE(leader, term)
};
// The leader asks the holder to release a lease.
struct LeaseRevoke {
    std::string duty;
    Epoch epoch = 0;
    MSGPACK_DEFINE(duty, epoch)
};
struct LeaseRelease {
    std::string duty;
    Epoch epoch = 0;
    InstanceId instance = 0;
    MSGPACK_DEFINE(duty, epoch, instance)
};

// ---- operators ----

// Sent to the leader for an operator at the sender's admin address.
struct AdminCommand {
    uint64_t number = 0;
    std::string name, first_argument, second_argument;  // the command and its arguments
    MSGPACK_DEFINE(number, name, first_argument, second_argument)
};
struct AdminCommandResult {
    uint64_t number = 0;
    bool success = false;
    std::string text;
    MSGPACK_DEFINE(number, success, text)
};

// ---- broadcasts ----

// An effect of a duty on all members. Each member that accepts it forwards it.
struct Broadcast {
    std::string duty;
    Epoch epoch = 0;
    uint64_t number = 0;  // increases within the epoch
    // The latest broadcast with content. If this one has none, that content is still valid.
    uint64_t content_number = 0;
    int64_t age_us = 0;
    std::string content;
    MSGPACK_DEFINE(duty, epoch, number, content_number, age_us, content)
};
// Asks for the newest broadcast of a duty.
struct BroadcastRequest {
    std::string duty;
    MSGPACK_DEFINE(duty)
};

// ---- outliers ----

// Outlier report of one balancer about an upstream; see outlier_gossip.h.
struct OutlierReport {
    uint64_t upstream = 0;  // hash of its uid
    MemberKey reporter = 0;
    InstanceId instance = 0;
    uint64_t number = 0;         // increases with each report of this instance
    uint8_t reduction = 0;       // of 255
    uint8_t evidence_count = 0;  // number of bad responses that it is based on
    uint32_t age_ms = 0;         // since the last of them
    uint32_t started_s = 0;      // seconds since the upstream's start, plus 1; 0: it is not warming up
    MSGPACK_DEFINE(upstream, reporter, instance, number, reduction, evidence_count, age_ms, started_s)
};
struct OutlierDigest {
    std::vector<OutlierReport> reports;
    MSGPACK_DEFINE(reports)
};

// ---- quotas ----

// A member's demand on one budget; see quota_client.h.
struct QuotaDemand {
    uint8_t budget = 0;  // Budget
    uint64_t budget_id = 0;
    float demand = 0;     // per second
    float held_rate = 0;  // granted rate that may still be used
    MSGPACK_DEFINE(budget, budget_id, demand, held_rate)
};
struct QuotaRequest {
    InstanceId instance = 0;
    Epoch epoch = 0;  // of the receiving allocator
    uint64_t number = 0;
    uint64_t last_answered = 0;  // request; earlier grants are no longer used
    std::vector<QuotaDemand> demands;
    MSGPACK_DEFINE(instance, epoch, number, last_answered, demands)
};
struct QuotaGrant {
    uint8_t budget = 0;
    uint64_t budget_id = 0;
    float rate = 0;  // per second
    MSGPACK_DEFINE(budget, budget_id, rate)
};
struct QuotaResponse {
    Epoch epoch = 0;
    InstanceId instance = 0;
    uint64_t number = 0;  // of the request
    std::vector<QuotaGrant> grants;
    MSGPACK_DEFINE(epoch, instance, number, grants)
};

// ---- the endpoint list ----

// Identifies a state of the replicated list. Revisions are ordered and unique; zero is the initial empty
// list.
struct EndpointRevision {
    Epoch epoch = 0;      // of the holder that published it
    uint64_t number = 0;  // within the epoch, from 1
    auto operator<=>(const EndpointRevision&) const = default;
    MSGPACK_DEFINE(epoch, number)
};
// Version of a list as numbered by discovery. Numbers of different sources are not comparable.
struct EndpointListVersion {
    std::string source;  // discovery's address
    uint64_t number = 0;
    bool operator==(const EndpointListVersion&) const = default;
    bool older_than(const EndpointListVersion& other) const
    {
        return source == other.source && number < other.number;
    }
    MSGPACK_DEFINE(source, number)
};
struct EndpointEntry {
    std::string uid, text;  // text: the target in the format of discovery
    MSGPACK_DEFINE(uid, text)
};
// One change of the replicated list. Pushed along the gossip rings, or sent in response to an
// EndpointDeltaRequest.
struct EndpointDelta {
    EndpointRevision from, to;
    EndpointListVersion version;  // after this change
    std::vector<EndpointEntry> changed;
    std::vector<std::string> removed;  // uids
    uint64_t digest = 0;               // of the list after this change
    bool partial = false;              // the rest of this version follows in the next delta
    bool is_response = false;          // a response to EndpointDeltaRequest
    bool has_more = false;             // the last delta of a response that does not include all deltas
    int64_t age_us = 0;                // since the sender's list was last confirmed
    MSGPACK_DEFINE(from, to, version, changed, removed, digest, partial, is_response, has_more, age_us)
};
// Asks for the changes after `from`, as deltas or as the first chunk of a snapshot.
struct EndpointDeltaRequest {
    EndpointRevision from;
    EndpointListVersion version;  // at `from`
    uint64_t digest = 0;          // at `from`
    bool needs_snapshot = false;  // the sender's replica is wrong, which deltas cannot repair
    EndpointRevision snapshot;    // the snapshot that is being received, and its next chunk
    uint32_t next_chunk = 0;
    MSGPACK_DEFINE(from, version, digest, needs_snapshot, snapshot, next_chunk)
};
struct EndpointSnapshotChunk {
    EndpointRevision revision;
    EndpointListVersion version;
    uint64_t digest = 0;
    bool partial = false;
    uint32_t index = 0, count = 0;
    int64_t age_us = 0;
    std::vector<EndpointEntry> entries;
    MSGPACK_DEFINE(revision, version, digest, partial, index, count, age_us, entries)
};

using Message = std::variant<Hello, Ping, IndirectProbeRequest, IndirectProbeAck, MembershipUpdates,
                             RaftMessage, DiskReport, BootstrapConfig, LeaseRenewRequest, LeaseRenewResponse,
                             LeaderRedirect, LeaseRevoke, LeaseRelease, AdminCommand, AdminCommandResult,
                             Broadcast, BroadcastRequest, OutlierDigest, QuotaRequest, QuotaResponse,
                             EndpointDelta, EndpointDeltaRequest, EndpointSnapshotChunk>;

inline constexpr uint32_t wire_version = 1;
inline constexpr size_t max_frame_bytes = 4 << 20;

// Lower values are sent first, and dropped last when a queue overflows.
enum class Urgency : uint8_t { leases, membership, bulk };
Urgency urgency_of(const Message& message);

std::string encode_payload(const Message& message);
// `kind` is the index in Message; `number` counts the frames of a connection from 0.
std::string encode_frame(size_t kind, std::string_view payload, uint32_t number);
inline std::string encode_frame(const Message& message, uint32_t number)
{
    return encode_frame(message.index(), encode_payload(message), number);
}

// Decodes the frames that one connection receives.
class FrameReader
{
  public:
    enum class State { incomplete, message, failed };
    // Appends received bytes. Call next() afterwards for as long as it returns State::message.
    void append(std::string_view bytes) { buffer_.append(bytes); }
    State next();
    Message& message() { return message_; }
    const char* error() const { return error_; }  // what next() failed on; empty otherwise

  private:
    State fail(const char* error);

    std::string buffer_;
    size_t offset_ = 0;
    uint32_t next_number_ = 0;
    Message message_;
    const char* error_ = "";
};

}  // namespace firtide::fleet
