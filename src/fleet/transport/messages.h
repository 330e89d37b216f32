// Messages between members and between voters. Their encoding is fixed: a fleet may run several versions at a
// time (tests/compatibility.cpp). A message is decoded once, on arrival, to one of these.
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

enum class Health : uint8_t { alive, suspect, gone };  // at one incarnation, later ones overrule earlier ones
// How far a voter has come after its start; see VoterAgent.
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
    uint8_t weight = 0;  // of its traffic: four steps double it, 100 is one request a second; 0: unknown
    MSGPACK_DEFINE(member, health, incarnation, instance, weight)
};
// Also acknowledges one.
struct Ping {
    uint64_t number = 0;
    uint64_t acknowledges = 0;  // the number of the ping that this one answers; zero: none
    Incarnation incarnation = 0;
    InstanceId instance = 0;
    uint64_t view_digest = 0;              // of all that the sender holds of the members
    uint8_t receiver_health = 0;           // what the sender holds of the receiver,
    Incarnation receiver_incarnation = 0;  // and at which incarnation
    MemberKey leader = 0;                  // zero: unknown
    Term term = 0;
    uint64_t list_number = 0;  // revision of the endpoint list that the sender has
    Epoch list_epoch = 0;
    uint8_t weight = 0;
    uint64_t list_digest = 0;  // of the state at that revision, where the list is replicated as deltas
    MSGPACK_DEFINE(number, acknowledges, incarnation, instance, view_digest, receiver_health,
                   receiver_incarnation, leader, term, list_number, list_epoch, weight, list_digest)
};
// Asks the receiver to probe a member that the sender does not reach.
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
    bool reply_requested = false;  // with all that the receiver holds
    MSGPACK_DEFINE(updates, reply_requested)
};

// ---- consensus ----

// A message between voters: raft_wire.h.
struct RaftMessage {
    DiskId from = 0, to = 0;
    uint64_t writes = 0;  // of the sender's disk: what the message says rests on these
    std::string bytes;
    MSGPACK_DEFINE(from, to, writes, bytes)
};
// How many writes of a voter's disk another voter has seen: a disk that knows of fewer itself is not the one
// that it was.
struct SeenDisk {
    DiskId disk = 0;
    uint64_t writes = 0;
    MSGPACK_DEFINE(disk, writes)
};
// Of a voter, to the other voters.
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
// Who votes in a new log, from the one voter that may bootstrap it.
struct BootstrapConfig {
    std::vector<BootstrapVoter> voters;
    MSGPACK_DEFINE(voters)
};

// ---- leases ----

// An epoch of a duty that a member knows of.
struct SeenEpoch {
    std::string duty;
    Epoch epoch = 0;
    MSGPACK_DEFINE(duty, epoch)
};
// A member renews its lease on all that it holds.
struct LeaseRenewRequest {
    InstanceId instance = 0;
    uint64_t nonce = 0;                  // grows with each request of this instance
    uint64_t table_version = 0;          // of the lease table that the member has
    std::vector<std::string> requested;  // families of duties that it asks for
    std::vector<SeenEpoch> seen_epochs;  // higher than that table has them
    bool departing = false;              // it wants nothing any more
    uint64_t last_answered_nonce = 0;    // the newest request that it has an answer to
    std::vector<SeenEpoch> given_up;     // leases that were granted to it and that it does not hold any more
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
// The leader's answer, confirmed by a majority. With nonce zero it is a notification, which renews nothing.
struct LeaseRenewResponse {
    Term term = 0;
    uint64_t nonce = 0;  // of the request
    uint64_t table_version = 0;
    bool full_table = false;  // the leases are the whole table; otherwise the receiver's own alone
    std::vector<LeaseRecord> leases;
    MSGPACK_DEFINE(term, nonce, table_version, full_table, leases)
};
// The answer of a member that does not lead.
struct LeaderRedirect {
    MemberKey leader = 0;  // zero: it knows of none
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
    std::string name, first, second;  // and its arguments
    MSGPACK_DEFINE(number, name, first, second)
};
struct AdminCommandResult {
    uint64_t number = 0;
    bool success = false;
    std::string text;
    MSGPACK_DEFINE(number, success, text)
};

// ---- broadcasts ----

// An effect of a duty on all members, passed on by each that accepts it.
struct Broadcast {
    std::string duty;
    Epoch epoch = 0;
    uint64_t number = 0;  // grows within the epoch
    uint64_t content_number =
        0;  // of the last one with content: where this one has none, that one still holds
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

// What one balancer has found of an upstream: outlier_gossip.h.
struct OutlierReport {
    uint64_t upstream = 0;  // hash of its uid
    MemberKey reporter = 0;
    InstanceId instance = 0;
    uint64_t number = 0;         // grows with each report of this instance
    uint8_t reduction = 0;       // of 255
    uint8_t evidence_count = 0;  // bad answers that it rests on
    uint32_t age_ms = 0;         // since the last of them
    uint32_t started_s = 0;      // since the upstream's start, plus one; zero: it is not warming up
    MSGPACK_DEFINE(upstream, reporter, instance, number, reduction, evidence_count, age_ms, started_s)
};
struct OutlierDigest {
    std::vector<OutlierReport> reports;
    MSGPACK_DEFINE(reports)
};

// ---- quotas ----

// Of one budget: quota_client.h.
struct QuotaDemand {
    uint8_t budget = 0;  // Budget
    uint64_t which = 0;
    float demand = 0;     // a second
    float held_rate = 0;  // what was granted and may still be used
    MSGPACK_DEFINE(budget, which, demand, held_rate)
};
struct QuotaRequest {
    InstanceId instance = 0;
    Epoch epoch = 0;  // of the allocator that is asked
    uint64_t number = 0;
    uint64_t last_answered = 0;  // request: what was granted before its answer is not used any more
    std::vector<QuotaDemand> demands;
    MSGPACK_DEFINE(instance, epoch, number, last_answered, demands)
};
struct QuotaGrant {
    uint8_t budget = 0;
    uint64_t which = 0;
    float rate = 0;  // a second
    MSGPACK_DEFINE(budget, which, rate)
};
struct QuotaResponse {
    Epoch epoch = 0;
    InstanceId instance = 0;
    uint64_t number = 0;  // of the request
    std::vector<QuotaGrant> grants;
    MSGPACK_DEFINE(epoch, instance, number, grants)
};

// ---- the endpoint list ----

// A state of the replicated list: ordered, and never used for two states. Zero: the empty list at the start.
struct EndpointRevision {
    Epoch epoch = 0;      // of the holder that published it
    uint64_t number = 0;  // within the epoch, from 1
    auto operator<=>(const EndpointRevision&) const = default;
    MSGPACK_DEFINE(epoch, number)
};
// Of a list as discovery numbers it. Numbers of two sources say nothing of each other.
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
    std::string uid, text;  // text: its target in discovery's form
    MSGPACK_DEFINE(uid, text)
};
// One step of the replicated list. Pushed along the rings, or sent in answer to EndpointDeltaRequest.
struct EndpointDelta {
    EndpointRevision from, to;
    EndpointListVersion version;  // after it
    std::vector<EndpointEntry> changed;
    std::vector<std::string> removed;  // uids
    uint64_t digest = 0;               // of the state after it
    bool partial = false;              // the rest of this version follows in the next delta
    bool answer = false;               // to EndpointDeltaRequest
    bool more = false;                 // the last of an answer whose sender holds further ones
    int64_t age_us = 0;                // since its sender's list was last confirmed
    MSGPACK_DEFINE(from, to, version, changed, removed, digest, partial, answer, more, age_us)
};
// Asks for what follows `from`: deltas, or the first chunk of a snapshot.
struct EndpointDeltaRequest {
    EndpointRevision from;
    EndpointListVersion version;  // at `from`
    uint64_t digest = 0;          // at `from`
    bool whole = false;           // its sender's replica is wrong: deltas do not help
    EndpointRevision snapshot;    // that is being received, and its next chunk
    uint32_t chunk = 0;
    MSGPACK_DEFINE(from, version, digest, whole, snapshot, chunk)
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
inline constexpr size_t max_frame_bytes = 4 << 20;  // bytes

// Lower ones are sent first, and dropped last where a queue overflows.
enum class Urgency : uint8_t { leases, membership, bulk };
Urgency urgency_of(const Message& message);

std::string encode_payload(const Message& message);
std::string frame(size_t kind, std::string_view payload, uint32_t number);  // kind: the message's index
inline std::string encode_frame(const Message& message, uint32_t number)
{
    return frame(message.index(), encode_payload(message), number);
}

// Frames of one connection, in order.
class FrameReader
{
  public:
    enum class State { more, message, broken };
    // Takes bytes in; then next() until it says more, or broken.
    void take(std::string_view bytes) { text_.append(bytes); }
    State next();
    Message& message() { return message_; }
    const char* why() const { return why_; }  // broken

  private:
    State broken(const char* why);

    std::string text_;
    size_t at_ = 0;
    uint32_t number_ = 0;
    Message message_;
    const char* why_ = "";
};

}  // namespace firtide::fleet
