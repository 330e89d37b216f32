#include "voter_agent.h"

#include <algorithm>

#include "raft_codec.h"
#include "src/fleet/transport/pack.h"

namespace firtide::fleet
{
namespace
{

constexpr Duration report_interval = seconds(0.25);
constexpr Duration report_validity = seconds(2);
constexpr Duration reopen_interval = seconds(2);  // after a disk error

bool is_known_stage(uint8_t stage) { return stage <= static_cast<uint8_t>(VoterStage::refused); }

}  // namespace

// Applies log entries, which are lists of lease commands, to the lease table.
class VoterAgent::LeaseStateMachine : public StateMachine
{
  public:
    void apply(std::string_view entry) override
    {
        if (const auto commands = unpack<std::vector<LeaseCommand>>(entry)) table_.apply(*commands);
    }
    std::string snapshot() const override { return table_.encode(); }
    void restore(std::string_view snapshot) override { (void)table_.decode(snapshot); }

    const LeaseTable& table() const { return table_; }

  private:
    LeaseTable table_;
};

VoterAgent::VoterAgent(const FleetConfig& config, FileSystem& files, VoterTiming timing, uint64_t seed)
    : config_(config), files_(files), timing_(timing), random_(static_cast<uint32_t>(seed ^ seed >> 32))
{
}

VoterAgent::~VoterAgent() = default;

std::vector<VoterAgentEffect> VoterAgent::start(TimePoint now)
{
    open_store(now);
    return finish_call(now);
}

std::vector<VoterAgentEffect> VoterAgent::tick(TimePoint now)
{
    if (voter_ && !store_->failed()) process_effects(voter_->tick(now));
    if (now - last_report_ >= report_interval) send_reports(now);
    return finish_call(now);
}

std::vector<VoterAgentEffect> VoterAgent::handle(TimePoint now, const VoterAgentCall& call)
{
    const bool accepted = std::visit([&](const auto& each) { return on(now, each); }, call);
    if (!accepted) return {};
    return finish_call(now);
}

// ---- stages ----

DiskId VoterAgent::generate_disk_id()
{
    DiskId disk = 0;
    while (!disk) {
        disk = uint64_t{random_()} << 40;
        disk ^= uint64_t{random_()} << 20;
        disk ^= random_();
    }
    return disk;
}

void VoterAgent::open_store(TimePoint now)
{
    voter_.reset();
    leases_ = std::make_unique<LeaseStateMachine>();
    store_ = std::make_unique<Store>(files_);
    raft_state_ = {};
    reported_table_version_.reset();
    fault_.reset();
    promotions_.clear();
    checked_writes_.reset();
    opened_at_ = now;
    open_result_ = store_->open(config_.name, config_.id, generate_disk_id());
    switch (open_result_) {
        case OpenResult::created:
        case OpenResult::intact:
        case OpenResult::truncated:
            stage_ = store_->state().last_index() == 0 ? VoterStage::empty : VoterStage::checking;
            if (stage_ == VoterStage::empty && remove_incomplete_record()) start_voter(now, {});
            return;
        case OpenResult::failed:
            stage_ = VoterStage::failed;
            failed_at_ = now;
            return;
        default:
            stage_ = VoterStage::refused;
            fault_ = VoterFault{std::string("the voter's file is ") + to_string(open_result_)};
            return;
    }
}

// Returns false on a disk error, which update_stage() handles.
bool VoterAgent::remove_incomplete_record()
{
    return open_result_ != OpenResult::truncated || store_->remove_incomplete_record();
}

void VoterAgent::start_voter(TimePoint now, const std::vector<VoterConfig>& bootstrap)
{
    voter_.reset();
    voter_ = std::make_unique<Voter>(*store_, timing_, random_(), *leases_);
    if (!bootstrap.empty() && !voter_->bootstrap(bootstrap))
        fault_ = VoterFault{"the log could not be bootstrapped"};
    process_effects(voter_->start(now));
}

// Only the voter with the lowest key bootstraps a new log, so that two voters never do.
bool VoterAgent::is_bootstrap_voter() const
{
    const MemberKey own = config_.members[config_.self].key;
    return std::none_of(config_.members.begin(), config_.members.end(),
                        [&](const MemberConfig& member) { return member.is_voter && member.key < own; });
}

bool VoterAgent::all_disks_empty(TimePoint now) const
{
    for (MemberIndex member = 0; member < config_.members.size(); ++member) {
        if (!config_.members[member].is_voter || member == config_.self) continue;
        const auto peer = peer_reports_.find(member);
        if (peer == peer_reports_.end() || now - peer->second.received > report_validity) return false;
        if (peer->second.report.stage != static_cast<uint8_t>(VoterStage::empty)) return false;
    }
    return true;
}

void VoterAgent::update_stage(TimePoint now)
{
    if (store_->failed() && stage_ != VoterStage::failed) {
        stage_ = VoterStage::failed;
        failed_at_ = now;
    }
    if (stage_ == VoterStage::failed) {
        fault_ = VoterFault{"its disk fails: " + (store_->error() ? store_->error()->text() : "")};
        if (now - failed_at_ > reopen_interval) open_store(now);
    } else if (stage_ == VoterStage::empty && store_->state().last_index() > 0) {
        stage_ = VoterStage::voting;  // a leader has replicated its log to this voter
        fault_.reset();
    } else if (stage_ == VoterStage::empty && is_bootstrap_voter() && all_disks_empty(now)) {
        bootstrap_log(now);
    } else if (stage_ == VoterStage::checking) {
        check_disk(now);
    }
}

void VoterAgent::bootstrap_log(TimePoint now)
{
    std::vector<VoterConfig> voters{{store_->owner().disk, config_.id, true}};
    for (const auto& [member, peer] : peer_reports_)
        voters.push_back({peer.report.disk, config_.members[member].id, true});
    start_voter(now, voters);
    stage_ = VoterStage::voting;
}

// A disk that was restored from a copy, or that lost its last writes, could vote twice in one term. It is
// recognised by a write count below the one that other voters have seen.
void VoterAgent::check_disk(TimePoint now)
{
    DiskChecked checked{open_result_, store_->synced_writes(), disk_witnesses(now), false};
    uint64_t seen_by_others = 0;
    for (const DiskWitness& witness : checked.witnesses)
        seen_by_others = std::max(seen_by_others, witness.seen_writes);
    if (seen_by_others > checked.writes) {
        if (!store_->reset(generate_disk_id())) return;
        stage_ = VoterStage::empty;
        fault_ =
            VoterFault{"its disk is older than other voters have seen it: it has no vote until it is let in"};
        effects_.emplace_back(std::move(checked));
        start_voter(now, {});
    } else if (may_vote(now, checked.witnesses)) {
        if (!remove_incomplete_record()) return;
        stage_ = VoterStage::voting;
        fault_.reset();
        checked_writes_ = checked.writes;
        checked.accepted = true;
        effects_.emplace_back(std::move(checked));
        start_voter(now, {});
    } else if (now - opened_at_ > report_validity) {
        fault_ = missing_witnesses(checked.witnesses);
    }
}

// A vote given, or an entry acknowledged, is known to the voter that counted it, and to those that this
// disk's or that voter's reports have reached since. So every voter is asked that can be reached. If the file
// shows that a record has been lost, a voter that does not report may be the one that counted it.
bool VoterAgent::may_vote(TimePoint now, const std::vector<DiskWitness>& witnesses) const
{
    if (witnesses.size() + 1 >= config_.voters()) return true;
    if (open_result_ == OpenResult::truncated) return false;
    return witnesses.size() >= config_.voters() / 2 && now - opened_at_ > report_validity;
}

VoterFault VoterAgent::missing_witnesses(const std::vector<DiskWitness>& witnesses) const
{
    std::string missing;
    for (MemberIndex member = 0; member < config_.members.size(); ++member) {
        const bool reported = std::any_of(witnesses.begin(), witnesses.end(),
                                          [&](const DiskWitness& each) { return each.member == member; });
        if (member == config_.self || !config_.members[member].is_voter || reported) continue;
        missing += " " + config_.members[member].id;
    }
    const char* file =
        open_result_ == OpenResult::truncated ? "its file ends in half a record: it votes" : "it votes";
    return VoterFault{std::string(file) + " when these voters have reported:" + missing};
}

std::vector<DiskWitness> VoterAgent::disk_witnesses(TimePoint now) const
{
    std::vector<DiskWitness> witnesses;
    for (const auto& [member, peer] : peer_reports_) {
        if (peer.received < opened_at_) continue;
        uint64_t writes = 0;
        for (const SeenDisk& seen : peer.report.seen_disks)
            if (seen.disk == store_->owner().disk) writes = std::max(writes, seen.writes);
        witnesses.push_back({member, writes, now - peer.received});
    }
    return witnesses;
}

// ---- calls ----

bool VoterAgent::on(TimePoint now, const DiskReportReceived& received)
{
    const DiskReport& report = received.report;
    if (!config_.members[received.from].is_voter || !is_known_stage(report.stage)) return false;
    PeerReport& peer = peer_reports_[received.from];
    const bool first = peer.received < opened_at_;
    peer = {report, now};
    uint64_t& writes = highest_seen_writes_[report.disk];
    writes = std::max(writes, report.writes);
    // Counts seen by other voters are merged as well: the voter that saw a count first may no longer exist.
    for (const SeenDisk& seen : report.seen_disks)
        highest_seen_writes_[seen.disk] = std::max(highest_seen_writes_[seen.disk], seen.writes);
    // The log shows what this voter had not heard yet when it began to vote.
    if (first && stage_ == VoterStage::voting && checked_writes_)
        effects_.emplace_back(DiskChecked{open_result_, *checked_writes_, disk_witnesses(now), true});
    return true;
}

bool VoterAgent::on(TimePoint now, const BootstrapReceived& received)
{
    const PersistentState& state = store_->state();
    const bool is_new = stage_ == VoterStage::empty && state.term == 0 && state.last_index() == 0;
    if (!config_.members[received.from].is_voter || !is_new) return false;
    std::vector<VoterConfig> voters;
    bool includes_this = false;
    for (const BootstrapVoter& voter : received.config.voters) {
        voters.push_back({voter.disk, voter.member, true});
        includes_this = includes_this || (voter.member == config_.id && voter.disk == store_->owner().disk);
    }
    if (!includes_this) return false;
    stage_ = VoterStage::voting;
    start_voter(now, voters);
    return true;
}

bool VoterAgent::on(TimePoint now, const RaftMessage& message)
{
    uint64_t& writes = highest_seen_writes_[message.from];
    writes = std::max(writes, message.writes);
    const bool accepted = stage_ == VoterStage::voting ||
                          (stage_ == VoterStage::empty && is_replication_message(message.bytes));
    if (!accepted || !voter_ || store_->failed() || message.to != store_->owner().disk) return false;
    process_effects(voter_->receive(now, message.from, message.bytes));
    return true;
}

bool VoterAgent::on(TimePoint now, const Proposal& proposal)
{
    if (stage_ == VoterStage::voting && !store_->failed())
        process_effects(voter_->propose(now, proposal.id, pack(proposal.commands)));
    else
        effects_.emplace_back(ProposalResult{proposal.id, false, "it does not vote"});
    return true;
}

bool VoterAgent::on(TimePoint now, const VoterConfigChange& change)
{
    if (change.kind == VoterConfigChange::Kind::add)
        add_voter(now, change.id, change.member);
    else
        remove_voter(now, change.id, change.member);
    return true;
}

void VoterAgent::add_voter(TimePoint now, uint64_t id, const std::string& member)
{
    const auto index = config_.member_of(std::string_view(member));
    const auto peer = index ? peer_reports_.find(*index) : peer_reports_.end();
    const bool is_recent = peer != peer_reports_.end() && now - peer->second.received <= report_validity;
    if (stage_ != VoterStage::voting || !is_recent) {
        effects_.emplace_back(ProposalResult{id, false, "no recent report of its disk has arrived"});
        return;
    }
    const VoterConfig voter{peer->second.report.disk, member, true};
    const auto& voters = raft_state_.voters;
    const auto known = std::find_if(voters.begin(), voters.end(),
                                    [&](const VoterConfig& each) { return each.disk == voter.disk; });
    if (known != voters.end() && known->is_voter) {
        effects_.emplace_back(ProposalResult{id, true, "it votes already"});
        return;
    }
    const auto step = known != voters.end() ? Promotion::Step::promote : Promotion::Step::add;
    promotions_[id] = {voter, step};
    process_effects(voter_->add_voter(now, id, voter));
}

void VoterAgent::remove_voter(TimePoint now, uint64_t id, const std::string& member)
{
    const auto& voters = raft_state_.voters;
    const auto known = std::find_if(voters.begin(), voters.end(),
                                    [&](const VoterConfig& each) { return each.member == member; });
    if (stage_ == VoterStage::voting && known != voters.end())
        return process_effects(voter_->remove_voter(now, id, known->disk));
    effects_.emplace_back(ProposalResult{id, false, "it has no vote"});
}

// ---- effects ----

void VoterAgent::process_effects(std::vector<VoterEffect> effects)
{
    for (VoterEffect& effect : effects) {
        if (auto* send = std::get_if<SendRaftMessage>(&effect)) {
            effects_.emplace_back(std::move(*send));
        } else if (auto* state = std::get_if<VoterState>(&effect)) {
            raft_state_ = std::move(*state);
        } else if (auto* result = std::get_if<ProposalResult>(&effect)) {
            effects_.emplace_back(std::move(*result));
        } else if (leases_->table().version() != reported_table_version_) {
            // Returned before the result of the proposal that changed the table.
            reported_table_version_ = leases_->table().version();
            effects_.emplace_back(LeaseTableUpdated{leases_->table()});
        }
    }
}

void VoterAgent::send_reports(TimePoint now)
{
    last_report_ = now;
    DiskReport report;
    report.disk = store_->owner().disk;
    report.stage = static_cast<uint8_t>(stage_);
    report.writes = store_->synced_writes();
    for (const auto& [disk, writes] : highest_seen_writes_) report.seen_disks.push_back({disk, writes});
    effects_.emplace_back(BroadcastDiskReport{std::move(report)});
    // As long as the log holds only its first entry, some voters may not have received that entry.
    const PersistentState& state = store_->state();
    const bool only_bootstrapped = state.last_index() == 1 && !state.snapshot.index;
    if (stage_ != VoterStage::voting || !is_bootstrap_voter() || !only_bootstrapped) return;
    BootstrapConfig config;
    for (const VoterConfig& voter : raft_state_.voters) config.voters.push_back({voter.member, voter.disk});
    if (!config.voters.empty()) effects_.emplace_back(BroadcastBootstrapConfig{std::move(config)});
}

// Starts the next step of each promotion whose last step succeeded.
void VoterAgent::continue_promotions(TimePoint now)
{
    std::vector<std::pair<uint64_t, Promotion>> succeeded;
    for (const VoterAgentEffect& effect : effects_) {
        const auto* result = std::get_if<ProposalResult>(&effect);
        if (!result) continue;
        auto node = promotions_.extract(result->id);
        if (node.empty() || !result->committed) continue;
        if (node.mapped().step != Promotion::Step::remove_previous_disk)
            succeeded.emplace_back(node.key(), std::move(node.mapped()));
    }
    for (const auto& [id, promotion] : succeeded) continue_promotion(now, id, promotion);
}

void VoterAgent::continue_promotion(TimePoint now, uint64_t id, const Promotion& promotion)
{
    const DiskId previous_disk = previous_disk_of(promotion.voter);
    const bool promotes = promotion.step == Promotion::Step::add;
    if (!promotes && !previous_disk) return;
    // Only the result of the last step is reported to the operator.
    std::erase_if(effects_, [id](const VoterAgentEffect& effect) {
        const auto* result = std::get_if<ProposalResult>(&effect);
        return result && result->id == id;
    });
    promotions_[id] = {promotion.voter,
                       promotes ? Promotion::Step::promote : Promotion::Step::remove_previous_disk};
    process_effects(promotes ? voter_->add_voter(now, id, promotion.voter)
                             : voter_->remove_voter(now, id, previous_disk));
}

// The disk that the member voted with before, or zero.
DiskId VoterAgent::previous_disk_of(const VoterConfig& voter) const
{
    DiskId previous_disk = 0;
    for (const VoterConfig& each : raft_state_.voters)
        if (each.member == voter.member && each.disk != voter.disk) previous_disk = each.disk;
    return previous_disk;
}

void VoterAgent::report_status(TimePoint now)
{
    VoterStatus status{raft_state_, stage_, store_->owner().disk, fault_};
    if (stage_ != VoterStage::voting) status.raft.role = RaftRole::none;
    if (!status.fault) status.fault = raft_state_.fault;
    if (reported_status_ == status) return;
    const bool stage_changed = !reported_status_ || reported_status_->stage != stage_;
    reported_status_ = status;
    effects_.emplace_back(std::move(status));
    if (stage_changed) send_reports(now);
}

std::vector<VoterAgentEffect> VoterAgent::finish_call(TimePoint now)
{
    update_stage(now);
    continue_promotions(now);
    report_status(now);
    return std::exchange(effects_, {});
}

}  // namespace firtide::fleet
