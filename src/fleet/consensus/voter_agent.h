// Manages this member's voter: opens its disk, checks the other voters' reports for a newer state of that
// disk, bootstraps a new log, and runs the voter.
//
// Calls return the effects to carry out. Used by a single thread, which may block on the disk.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <variant>

#include "src/base/random.h"
#include "src/fleet/config.h"
#include "src/fleet/lease/lease_table.h"
#include "voter.h"

namespace firtide::fleet
{

// ---- calls ----

struct DiskReportReceived {
    MemberIndex from = 0;
    DiskReport report;
};
struct BootstrapReceived {
    MemberIndex from = 0;
    BootstrapConfig config;
};
// An operator's request to add or remove a voter.
struct VoterConfigChange {
    enum class Kind : uint8_t { add, remove };

    uint64_t id = 0;  // returned with the ProposalResult
    Kind kind = Kind::add;
    std::string member;
};
using VoterAgentCall =
    std::variant<DiskReportReceived, BootstrapReceived, RaftMessage, Proposal, VoterConfigChange>;

// ---- effects ----

// Sent to all other voters.
struct BroadcastDiskReport {
    DiskReport report;
};
struct BroadcastBootstrapConfig {
    BootstrapConfig config;
};
// The lease table after a committed change.
struct LeaseTableUpdated {
    LeaseTable table;
};
struct VoterStatus {
    VoterState raft;
    VoterStage stage = VoterStage::empty;
    DiskId disk = 0;
    std::optional<VoterFault> fault;

    bool operator==(const VoterStatus&) const = default;
};
// What another voter has reported of this voter's disk since the store was opened.
struct DiskWitness {
    MemberIndex member = 0;
    uint64_t seen_writes = 0;  // highest write count that it knows of; zero: none
    Duration age;              // of its report
};
// Returned, for the log, when a stored log has been checked against the reports of other voters, and with
// each voter's first report after that.
struct DiskChecked {
    OpenResult file = OpenResult::intact;
    uint64_t writes = 0;  // this disk's own count
    std::vector<DiskWitness> witnesses;
    bool accepted = false;  // the voter votes; otherwise it has started over with an empty disk
};
// A VoterStatus is returned whenever it has changed.
using VoterAgentEffect = std::variant<SendRaftMessage, BroadcastDiskReport, BroadcastBootstrapConfig,
                                      LeaseTableUpdated, ProposalResult, VoterStatus, DiskChecked>;

class VoterAgent
{
  public:
    // `config` and `files` must outlive the agent.
    VoterAgent(const FleetConfig& config, FileSystem& files, VoterTiming timing, uint64_t seed);
    ~VoterAgent();
    VoterAgent(const VoterAgent&) = delete;
    VoterAgent& operator=(const VoterAgent&) = delete;

    [[nodiscard]] std::vector<VoterAgentEffect> start(TimePoint now);
    [[nodiscard]] std::vector<VoterAgentEffect> tick(TimePoint now);  // expected about every 20 ms
    [[nodiscard]] std::vector<VoterAgentEffect> handle(TimePoint now, const VoterAgentCall& call);

  private:
    class LeaseStateMachine;
    struct PeerReport {
        DiskReport report;
        TimePoint received;
    };
    // Adding a voter takes up to three configuration changes.
    struct Promotion {
        enum class Step : uint8_t { add, promote, remove_previous_disk };

        VoterConfig voter;
        Step step = Step::add;
    };

    // Each returns false if the call is ignored.
    bool on(TimePoint now, const DiskReportReceived& received);
    bool on(TimePoint now, const BootstrapReceived& received);
    bool on(TimePoint now, const RaftMessage& message);
    bool on(TimePoint now, const Proposal& proposal);
    bool on(TimePoint now, const VoterConfigChange& change);
    void add_voter(TimePoint now, uint64_t id, const std::string& member);
    void remove_voter(TimePoint now, uint64_t id, const std::string& member);

    // ---- stages ----
    void open_store(TimePoint now);
    bool remove_incomplete_record();
    void start_voter(TimePoint now, const std::vector<VoterConfig>& bootstrap);
    void update_stage(TimePoint now);
    void bootstrap_log(TimePoint now);
    void check_disk(TimePoint now);
    std::vector<DiskWitness> disk_witnesses(TimePoint now) const;
    bool may_vote(TimePoint now, const std::vector<DiskWitness>& witnesses) const;
    VoterFault missing_witnesses(const std::vector<DiskWitness>& witnesses) const;
    bool all_disks_empty(TimePoint now) const;
    bool is_bootstrap_voter() const;
    DiskId generate_disk_id();

    // ---- effects ----
    void process_effects(std::vector<VoterEffect> effects);
    void send_reports(TimePoint now);
    void continue_promotions(TimePoint now);
    void continue_promotion(TimePoint now, uint64_t id, const Promotion& promotion);
    DiskId previous_disk_of(const VoterConfig& voter) const;
    void report_status(TimePoint now);
    std::vector<VoterAgentEffect> finish_call(TimePoint now);

    const FleetConfig& config_;
    FileSystem& files_;
    const VoterTiming timing_;
    RandomEngine random_;
    std::unique_ptr<Store> store_;
    OpenResult open_result_ = OpenResult::failed;
    std::unique_ptr<LeaseStateMachine> leases_;
    std::unique_ptr<Voter> voter_;
    VoterStage stage_ = VoterStage::empty;
    std::optional<VoterFault> fault_;
    std::map<MemberIndex, PeerReport> peer_reports_;
    std::optional<uint64_t> checked_writes_;          // the disk's write count when this voter began to vote
    std::map<DiskId, uint64_t> highest_seen_writes_;  // by disk, as seen by any voter
    TimePoint last_report_, opened_at_, failed_at_;
    std::optional<uint64_t> reported_table_version_;  // version of the table that was returned last
    VoterState raft_state_;
    std::optional<VoterStatus> reported_status_;
    std::map<uint64_t, Promotion> promotions_;
    std::vector<VoterAgentEffect> effects_;
};

}  // namespace firtide::fleet
