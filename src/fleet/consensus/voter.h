// One voter: drives libraft and provides its network, clock, random numbers and disk. It does no network I/O:
// every call returns the effects to carry out. Messages are returned only after the state that they depend on
// has been synced to the disk.
//
// Used by a single thread, which may block on the disk.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/base/time.h"
#include "store.h"

namespace firtide::fleet
{

enum class RaftRole : uint8_t { none, follower, candidate, leader };

// A server of the consensus configuration.
struct VoterConfig {
    DiskId disk = 0;
    std::string member;  // member id
    bool is_voter = false;

    bool operator==(const VoterConfig&) const = default;
};

// The reason why a voter does not take part, as text for the log and for operators.
struct VoterFault {
    std::string text;

    bool operator==(const VoterFault&) const = default;
};

// The voter's view of the consensus.
struct VoterState {
    RaftRole role = RaftRole::none;
    Term term = 0;
    DiskId leader = 0;  // zero: unknown
    std::vector<VoterConfig> voters;
    std::optional<VoterFault> fault;

    bool operator==(const VoterState&) const = default;
};

// ---- effects ----

struct SendRaftMessage {
    DiskId to = 0;
    std::string bytes;
    uint64_t writes = 0;  // synced write count of the sender's disk when the message is returned
};
// An entry that a majority has committed. Entries are returned in log order and are never rolled back.
struct EntryCommitted {
    std::string bytes;
};
// The state machine was replaced by a snapshot of all entries committed so far.
struct StateRestored {
    std::string bytes;
};
// The outcome of a proposal. If it is not committed, it may still be committed later.
struct ProposalResult {
    uint64_t id = 0;
    bool committed = false;
    std::string error;
};
// A VoterState is returned whenever the state has changed.
using VoterEffect = std::variant<SendRaftMessage, EntryCommitted, StateRestored, ProposalResult, VoterState>;

// The replicated state that committed log entries are applied to; each voter has its own copy.
class StateMachine
{
  public:
    virtual ~StateMachine() = default;
    virtual void apply(std::string_view entry) = 0;
    [[nodiscard]] virtual std::string snapshot() const = 0;
    virtual void restore(std::string_view snapshot) = 0;
};

struct VoterTiming {
    // Lower bound: the actual timeout is randomised between one and two times this value.
    Duration election_timeout = seconds(0.4);
    Duration heartbeat_interval = seconds(0.1);
};

class Voter
{
  public:
    // `store` and `machine` must outlive the voter.
    Voter(Store& store, VoterTiming timing, uint64_t seed, StateMachine& machine);
    ~Voter();
    Voter(const Voter&) = delete;
    Voter& operator=(const Voter&) = delete;

    // Writes the first entry of a new log, which lists the voters. Must be called before start(), on an empty
    // store. Returns false on failure.
    [[nodiscard]] bool bootstrap(const std::vector<VoterConfig>& voters);

    [[nodiscard]] std::vector<VoterEffect> start(TimePoint now);
    [[nodiscard]] std::vector<VoterEffect> tick(TimePoint now);  // expected about every 20 ms
    // Invalid messages are ignored.
    [[nodiscard]] std::vector<VoterEffect> receive(TimePoint now, DiskId from, std::string_view bytes);
    [[nodiscard]] std::vector<VoterEffect> propose(TimePoint now, uint64_t id, const std::string& bytes);

    // Configuration changes: one at a time, each completed by a ProposalResult. add_voter() adds an unknown
    // server without a vote, and gives a known server its vote.
    [[nodiscard]] std::vector<VoterEffect> add_voter(TimePoint now, uint64_t id, const VoterConfig& voter);
    [[nodiscard]] std::vector<VoterEffect> remove_voter(TimePoint now, uint64_t id, DiskId disk);

    // Transfers leadership to any other voter. Has no effect unless this voter is the leader.
    [[nodiscard]] std::vector<VoterEffect> step_down(TimePoint now);

  private:
    struct Core;
    std::vector<VoterEffect> run(TimePoint now, const std::function<void()>& call);

    std::unique_ptr<Core> core_;
};

}  // namespace firtide::fleet
