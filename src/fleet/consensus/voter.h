// One voter: consensus of libraft, whose network, clock, chance and disk are this object's. Calls in, effects
// out; nothing is sent before what it promises is on the disk.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "src/base/time.h"
#include "store.h"

namespace firtide::fleet
{

enum class RaftRole : uint8_t { none, follower, candidate, leader };

struct VoterConfig {
    DiskId disk = 0;
    std::string member;
    bool votes = false;

    bool operator==(const VoterConfig&) const = default;
};

// How it stands among the voters, told whenever it changes.
struct VoterState {
    RaftRole role = RaftRole::none;
    Term term = 0;
    DiskId leader = 0;  // zero: unknown
    std::vector<VoterConfig> seats;
    std::string trouble;  // empty: it votes, or may

    bool operator==(const VoterState&) const = default;
};

struct SendRaft {
    DiskId to = 0;
    std::string bytes;
    uint64_t writes = 0;  // that were on the disk when it was said
};
struct EntryCommitted {  // by a majority, in the order of the log; never taken back
    std::string bytes;
};
struct SnapshotRestored {  // all that was committed up to here, in place of what was known
    std::string bytes;
};
struct ProposalResult {  // what became of a proposal; not well: it may yet be committed
    uint64_t name = 0;
    bool well = false;
    std::string why;
};
using VoterEffect = std::variant<SendRaft, EntryCommitted, SnapshotRestored, ProposalResult, VoterState>;

// What the log's commands make, in the voter's own copy.
class StateMachine
{
  public:
    virtual ~StateMachine() = default;
    virtual void apply(std::string_view command) = 0;
    virtual std::string snapshot() const = 0;
    virtual void restore(std::string_view snapshot) = 0;
};

struct VoterTimes {
    Span election = seconds(0.4);  // from one to two times it
    Span heartbeat = seconds(0.1);
};

class Voter
{
  public:
    Voter(Store& store, VoterTimes times, uint64_t seed, StateMachine& machine);
    ~Voter();

    // Writes the first entry of a new log: who votes. Only where nothing was kept before.
    bool found(const std::vector<VoterConfig>& seats);
    std::vector<VoterEffect> start(Point now);
    std::vector<VoterEffect> tick(Point now);  // every 20 ms or so
    // Messages that a member without a log may take: those of a leader that brings it one.
    static bool brings_log(std::string_view bytes);
    std::vector<VoterEffect> receive(Point now, DiskId from, std::string_view bytes);
    std::vector<VoterEffect> propose(Point now, uint64_t name, const std::string& bytes);
    // One change of who votes at a time.
    std::vector<VoterEffect> add_voter(Point now, uint64_t name, const VoterConfig& seat);
    std::vector<VoterEffect> remove_voter(Point now, uint64_t name, DiskId disk);
    std::vector<VoterEffect> hand_over(Point now, DiskId to);  // leadership; zero: to anyone

  private:
    struct State;
    std::vector<VoterEffect> after(Point now, const std::function<void()>& call);
    std::unique_ptr<State> state_;
};

}  // namespace firtide::fleet
