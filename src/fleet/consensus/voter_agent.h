// Whether and as whom this member votes: its disk, what other voters know of it, the founding of the log, and
// the voter itself. It runs where it may wait for the disk. Calls in, effects out.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "src/fleet/config.h"
#include "src/fleet/lease/lease_table.h"
#include "voter.h"

namespace firtide::fleet
{

struct BroadcastDiskReport {  // to all other voters
    DiskReport report;
};
struct BroadcastBootstrapConfig {
    BootstrapConfig founded;
};
struct TableUpdated {  // as committed
    LeaseTable table;
};
struct VoterStatus {
    VoterState standing;
    VoterStage stage = VoterStage::empty;
    DiskId disk = 0;
    std::string trouble;

    bool operator==(const VoterStatus&) const = default;
};
using VoterAgentEffect = std::variant<SendRaft, BroadcastDiskReport, BroadcastBootstrapConfig, TableUpdated,
                                      ProposalResult, VoterStatus>;

class VoterAgent
{
  public:
    // Stages: an empty disk waits to be founded or let in; one that has been written checks with other voters
    // that they know no more of it than it does; then it votes.
    VoterAgent(const FleetConfig& file, FileSystem& files, VoterTimes times, uint64_t seed);
    ~VoterAgent();

    std::vector<VoterAgentEffect> start(Point now);
    std::vector<VoterAgentEffect> tick(Point now);  // every 20 ms or so
    std::vector<VoterAgentEffect> on_disk_report(Point now, MemberIndex from, const DiskReport& report);
    std::vector<VoterAgentEffect> founded(Point now, MemberIndex from, const BootstrapConfig& founded);
    std::vector<VoterAgentEffect> raft(Point now, const RaftMessage& sent);
    std::vector<VoterAgentEffect> propose(Point now, const Proposal& propose);
    std::vector<VoterAgentEffect> add_voter(Point now, uint64_t name, const std::string& member);
    std::vector<VoterAgentEffect> remove_voter(Point now, uint64_t name, const std::string& member);
    std::vector<VoterAgentEffect> step_down(Point now);

  private:
    struct Copy;
    struct MessageReceived {
        DiskReport report;
        Point at;
    };
    // Promotion one in takes up to three changes: it is added, given its vote, and the disk that it had
    // before goes.
    struct Promotion {
        VoterConfig seat;
        int step = 0;
    };

    void open(Point now);
    void begin(Point now, const std::vector<VoterConfig>& founders);
    void look(Point now);
    void say(Point now);
    void take(std::vector<VoterEffect> effects);
    std::vector<VoterAgentEffect> out(Point now);
    bool all_empty(Point now) const;
    bool speaks_first() const;
    DiskId draw_disk();

    const FleetConfig& file_;
    FileSystem& files_;
    const VoterTimes times_;
    std::ranlux24_base chance_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<Copy> copy_;
    std::unique_ptr<Voter> voter_;
    VoterStage stage_ = VoterStage::empty;
    std::string trouble_;
    std::map<MemberIndex, MessageReceived> heard_;
    std::map<DiskId, uint64_t> seen_;
    Point said_, opened_, failed_at_;
    uint64_t told_version_ = UINT64_MAX;
    VoterState standing_;
    std::optional<VoterStatus> told_;
    std::map<uint64_t, Promotion> promotions_;
    std::vector<VoterAgentEffect> effects_;
};

}  // namespace firtide::fleet
