// Decides whether and as whom this member votes: it opens the disk, checks with the other voters that the
// disk is not older than they have seen it, bootstraps a new log, and runs the voter.
//
// Calls in, effects out. Used by one thread, which may block on the disk.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <variant>

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
// A change of who votes, from an operator.
struct VoterConfigChange {
    enum class Kind : uint8_t { add, remove };

    uint64_t id = 0;  // returned with the ProposalResult
    Kind kind = Kind::add;
    std::string member;
};
using VoterAgentCall =
    std::variant<DiskReportReceived, BootstrapReceived, RaftMessage, Proposal, VoterConfigChange>;

// ---- effects ----

// To all other voters.
struct BroadcastDiskReport {
    DiskReport report;
};
struct BroadcastBootstrapConfig {
    BootstrapConfig config;
};
// The lease table as committed.
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
// VoterStatus is returned whenever it has changed.
using VoterAgentEffect = std::variant<SendRaftMessage, BroadcastDiskReport, BroadcastBootstrapConfig,
                                      LeaseTableUpdated, ProposalResult, VoterStatus>;

class VoterAgent
{
  public:
    // `config` and `files` must outlive the agent.
    VoterAgent(const FleetConfig& config, FileSystem& files, VoterTiming times, uint64_t seed);
    ~VoterAgent();
    VoterAgent(const VoterAgent&) = delete;
    VoterAgent& operator=(const VoterAgent&) = delete;

    [[nodiscard]] std::vector<VoterAgentEffect> start(TimePoint now);
    [[nodiscard]] std::vector<VoterAgentEffect> tick(TimePoint now);  // every 20 ms or so
    [[nodiscard]] std::vector<VoterAgentEffect> handle(TimePoint now, const VoterAgentCall& call);

  private:
    class LeaseStateMachine;
    struct PeerReport {
        DiskReport report;
        TimePoint received;
    };
    // Adding a voter takes up to three changes of the configuration.
    struct Promotion {
        enum class Step : uint8_t { add, promote, remove_previous_disk };

        VoterConfig voter;
        Step step = Step::add;
    };

    // Each returns false where the call is ignored.
    bool on(TimePoint now, const DiskReportReceived& received);
    bool on(TimePoint now, const BootstrapReceived& received);
    bool on(TimePoint now, const RaftMessage& message);
    bool on(TimePoint now, const Proposal& proposal);
    bool on(TimePoint now, const VoterConfigChange& change);
    void add_voter(TimePoint now, uint64_t id, const std::string& member);
    void remove_voter(TimePoint now, uint64_t id, const std::string& member);

    // ---- stages ----
    void open_store(TimePoint now);
    void start_voter(TimePoint now, const std::vector<VoterConfig>& bootstrap);
    void update_stage(TimePoint now);
    void bootstrap_log(TimePoint now);
    void check_disk(TimePoint now);
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
    const VoterTiming times_;
    std::ranlux24_base random_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<LeaseStateMachine> leases_;
    std::unique_ptr<Voter> voter_;
    VoterStage stage_ = VoterStage::empty;
    std::optional<VoterFault> fault_;
    std::map<MemberIndex, PeerReport> peer_reports_;
    std::map<DiskId, uint64_t> highest_seen_writes_;  // of each disk, by whoever told of it
    TimePoint last_report_, opened_at_, failed_at_;
    std::optional<uint64_t> reported_table_version_;  // version
    VoterState raft_state_;
    std::optional<VoterStatus> reported_status_;
    std::map<uint64_t, Promotion> promotions_;
    std::vector<VoterAgentEffect> effects_;
};

}  // namespace firtide::fleet
