// One voter of the consensus: libraft, whose network, clock, random numbers and disk are this object's. Calls
// in, effects out; nothing is sent before what it promises is on the disk.
//
// Used by one thread, which may block on the disk.
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

// One server of the consensus configuration.
struct VoterConfig {
    DiskId disk = 0;
    std::string member;  // id
    bool is_voter = false;

    bool operator==(const VoterConfig&) const = default;
};

// Why a voter does not take part. The text is for the log and for operators.
struct VoterFault {
    std::string text;

    bool operator==(const VoterFault&) const = default;
};

// How a voter stands among the others.
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
    uint64_t writes = 0;  // of the sender's disk when this was said
};
// Committed by a majority, in the order of the log; never taken back.
struct EntryCommitted {
    std::string bytes;
};
// All that was committed up to now, in place of what was known.
struct StateRestored {
    std::string bytes;
};
// What became of a proposal. Not committed: it may yet be.
struct ProposalResult {
    uint64_t id = 0;
    bool committed = false;
    std::string error;
};
// VoterState is returned whenever it has changed.
using VoterEffect = std::variant<SendRaftMessage, EntryCommitted, StateRestored, ProposalResult, VoterState>;

// What the log's entries make, in the voter's own copy.
class StateMachine
{
  public:
    virtual ~StateMachine() = default;
    virtual void apply(std::string_view entry) = 0;
    [[nodiscard]] virtual std::string snapshot() const = 0;
    virtual void restore(std::string_view snapshot) = 0;
};

struct VoterTiming {
    Duration election_timeout = seconds(0.4);  // timeout: from one to two times it
    Duration heartbeat_interval = seconds(0.1);
};

class Voter
{
  public:
    // `store` and `machine` must outlive the voter.
    Voter(Store& store, VoterTiming times, uint64_t seed, StateMachine& machine);
    ~Voter();
    Voter(const Voter&) = delete;
    Voter& operator=(const Voter&) = delete;

    // Writes the first entry of a new log: who votes. Before start(), and only where nothing is stored.
    // Returns false where that fails.
    [[nodiscard]] bool bootstrap(const std::vector<VoterConfig>& voters);

    [[nodiscard]] std::vector<VoterEffect> start(TimePoint now);
    [[nodiscard]] std::vector<VoterEffect> tick(TimePoint now);  // every 20 ms or so
    // Bytes that are no message change nothing.
    [[nodiscard]] std::vector<VoterEffect> receive(TimePoint now, DiskId from, std::string_view bytes);
    [[nodiscard]] std::vector<VoterEffect> propose(TimePoint now, uint64_t id, const std::string& bytes);

    // Changes of the configuration, one at a time; each ends with a ProposalResult. A server that is not in
    // the configuration is added without a vote at first; one that is gets its vote.
    [[nodiscard]] std::vector<VoterEffect> add_voter(TimePoint now, uint64_t id, const VoterConfig& voter);
    [[nodiscard]] std::vector<VoterEffect> remove_voter(TimePoint now, uint64_t id, DiskId disk);

    // Hands leadership to any other voter. Does nothing where this one does not lead.
    [[nodiscard]] std::vector<VoterEffect> step_down(TimePoint now);

  private:
    struct Core;
    std::vector<VoterEffect> run(TimePoint now, const std::function<void()>& call);

    std::unique_ptr<Core> core_;
};

}  // namespace firtide::fleet
