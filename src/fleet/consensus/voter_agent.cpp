#include "voter_agent.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr Span say_every = seconds(0.25), heard_for = seconds(2), open_again = seconds(2);

}  // namespace

struct VoterAgent::Copy : StateMachine {
    LeaseTable table;
    void apply(std::string_view command) override
    {
        if (const auto commands = unpack<std::vector<LeaseCommand>>(command)) table.apply(*commands);
    }
    std::string snapshot() const override { return table.encode(); }
    void restore(std::string_view snapshot) override { (void)table.decode(snapshot); }
};

VoterAgent::VoterAgent(const FleetConfig& file, FileSystem& files, VoterTimes times, uint64_t seed)
    : file_(file), files_(files), times_(times), chance_(static_cast<uint32_t>(seed ^ seed >> 32))
{
}

VoterAgent::~VoterAgent() = default;

DiskId VoterAgent::draw_disk()
{
    DiskId disk = 0;
    while (!disk) disk = uint64_t{chance_()} << 40 ^ uint64_t { chance_() } << 20 ^ chance_();
    return disk;
}

void VoterAgent::open(Point now)
{
    voter_.reset();
    copy_ = std::make_unique<Copy>();
    store_ = std::make_unique<Store>(files_);
    standing_ = {};
    told_version_ = UINT64_MAX;
    trouble_.clear();
    promotions_.clear();
    opened_ = now;
    switch (const auto opened = store_->open(file_.name, file_.id, draw_disk())) {
        case OpenResult::fresh:
        case OpenResult::whole:
        case OpenResult::cut:
            stage_ = store_->kept().last() == 0 ? VoterStage::empty : VoterStage::checking;
            if (stage_ == VoterStage::empty) begin(now, {});
            return;
        case OpenResult::failed:
            stage_ = VoterStage::failed;
            failed_at_ = now;
            return;
        default:
            stage_ = VoterStage::refused;
            trouble_ = "the voter's file is " + std::string(text_of(opened));
            return;
    }
}

void VoterAgent::begin(Point now, const std::vector<VoterConfig>& founders)
{
    voter_.reset();
    voter_ = std::make_unique<Voter>(*store_, times_, chance_(), *copy_);
    if (!founders.empty() && !voter_->found(founders)) trouble_ = "the log could not be founded";
    take(voter_->start(now));
}

// The voter whose key is the lowest says who votes in a new log: never two say so.
bool VoterAgent::speaks_first() const
{
    for (const MemberConfig& m : file_.members)
        if (m.voter && m.key < file_.members[file_.self].key) return false;
    return true;
}

bool VoterAgent::all_empty(Point now) const
{
    for (MemberIndex m = 0; m < file_.members.size(); ++m) {
        if (!file_.members[m].voter || m == file_.self) continue;
        const auto at = heard_.find(m);
        if (at == heard_.end() || now - at->second.at > heard_for) return false;
        if (at->second.report.stage != static_cast<uint8_t>(VoterStage::empty)) return false;
    }
    return true;
}

void VoterAgent::look(Point now)
{
    if (store_->failed() && stage_ != VoterStage::failed) {
        stage_ = VoterStage::failed;
        failed_at_ = now;
    }
    const DiskId own = store_->owner().disk;
    if (stage_ == VoterStage::failed) {
        trouble_ = "its disk fails: " + store_->error();
        if (now - failed_at_ > open_again) open(now);
    } else if (stage_ == VoterStage::empty && store_->kept().last() > 0) {
        stage_ = VoterStage::voting;  // a leader has let it in
        trouble_.clear();
    } else if (stage_ == VoterStage::empty && speaks_first() && all_empty(now)) {
        std::vector<VoterConfig> seats{{own, file_.id, true}};
        for (const auto& [m, heard] : heard_) seats.push_back({heard.report.disk, file_.members[m].id, true});
        begin(now, seats);
        stage_ = VoterStage::voting;
    } else if (stage_ == VoterStage::checking) {
        // Guards against a disk that was put back, or whose last writes were lost: others know more of it
        // than it does, and it might vote twice.
        size_t answers = 0;
        uint64_t writes = 0;
        for (const auto& [m, heard] : heard_) {
            if (heard.at < opened_) continue;
            ++answers;
            for (const SeenDisk& seen : heard.report.seen)
                if (seen.disk == own) writes = std::max(writes, seen.writes);
        }
        if (writes > store_->written()) {
            if (!store_->renew(draw_disk())) return;
            stage_ = VoterStage::empty;
            trouble_ = "its disk is older than other voters have seen it: it has no vote until it is let in";
            begin(now, {});
        } else if (answers >= file_.voters() / 2) {
            stage_ = VoterStage::voting;
            begin(now, {});
        }
    }
}

void VoterAgent::take(std::vector<VoterEffect> effects)
{
    for (VoterEffect& e : effects) {
        if (auto* send = std::get_if<SendRaft>(&e)) {
            effects_.push_back(std::move(*send));
        } else if (auto* standing = std::get_if<VoterState>(&e)) {
            standing_ = std::move(*standing);
        } else if (auto* proposed = std::get_if<ProposalResult>(&e)) {
            effects_.push_back(std::move(*proposed));
        } else if (copy_->table.version() != told_version_) {
            // Whoever hears of what became of a proposal has the table that it made.
            told_version_ = copy_->table.version();
            effects_.push_back(TableUpdated{copy_->table});
        }
    }
}

void VoterAgent::say(Point now)
{
    said_ = now;
    DiskReport w{store_->owner().disk, static_cast<uint8_t>(stage_), store_->written(), {}};
    for (const auto& [disk, writes] : seen_) w.seen.push_back({disk, writes});
    effects_.push_back(BroadcastDiskReport{std::move(w)});
    // Until the log has grown beyond its founding, there may be voters that have not heard of it.
    if (stage_ != VoterStage::voting || !speaks_first() || store_->kept().last() != 1 ||
        store_->kept().snapshot.index)
        return;
    BootstrapConfig f;
    for (const VoterConfig& seat : standing_.seats) f.voters.emplace_back(seat.member, seat.disk);
    if (!f.voters.empty()) effects_.push_back(BroadcastBootstrapConfig{std::move(f)});
}

std::vector<VoterAgentEffect> VoterAgent::out(Point now)
{
    look(now);
    // Of changes that were accepted, the next step.
    std::vector<std::pair<uint64_t, Promotion>> next;
    for (const VoterAgentEffect& e : effects_)
        if (const auto* p = std::get_if<ProposalResult>(&e)) {
            const auto at = promotions_.find(p->name);
            if (at == promotions_.end()) continue;
            Promotion promotion = at->second;
            promotions_.erase(at);
            if (p->well && ++promotion.step < 3) next.emplace_back(p->name, promotion);
        }
    for (const auto& [name, promotion] : next) {
        DiskId before = 0;
        for (const VoterConfig& s : standing_.seats)
            if (s.member == promotion.seat.member && s.disk != promotion.seat.disk) before = s.disk;
        if (promotion.step == 2 && !before) continue;
        // It is told of as done only with its last step.
        std::erase_if(effects_, [n = name](const VoterAgentEffect& e) {
            const auto* p = std::get_if<ProposalResult>(&e);
            return p && p->name == n;
        });
        promotions_[name] = promotion;
        take(promotion.step == 1 ? voter_->add_voter(now, name, promotion.seat)
                                 : voter_->remove_voter(now, name, before));
    }
    VoterStatus standing{standing_, stage_, store_->owner().disk, trouble_};
    if (stage_ != VoterStage::voting) standing.standing.role = RaftRole::none;
    if (standing.trouble.empty()) standing.trouble = standing_.trouble;
    if (!told_ || !(*told_ == standing)) {
        const bool stage_changed = !told_ || told_->stage != stage_;
        told_ = standing;
        effects_.push_back(std::move(standing));
        if (stage_changed) say(now);
    }
    return std::exchange(effects_, {});
}

std::vector<VoterAgentEffect> VoterAgent::start(Point now)
{
    open(now);
    return out(now);
}

std::vector<VoterAgentEffect> VoterAgent::tick(Point now)
{
    if (voter_ && !store_->failed()) take(voter_->tick(now));
    if (now - said_ >= say_every) say(now);
    return out(now);
}

std::vector<VoterAgentEffect> VoterAgent::on_disk_report(Point now, MemberIndex from,
                                                         const DiskReport& report)
{
    if (!file_.members[from].voter || report.stage > static_cast<uint8_t>(VoterStage::refused)) return {};
    heard_[from] = {report, now};
    auto& seen = seen_[report.disk];
    seen = std::max(seen, report.writes);
    // What a third voter has seen is worth as much: the one that saw it may be gone.
    for (const SeenDisk& s : report.seen) seen_[s.disk] = std::max(seen_[s.disk], s.writes);
    return out(now);
}

std::vector<VoterAgentEffect> VoterAgent::founded(Point now, MemberIndex from, const BootstrapConfig& founded)
{
    const auto& kept = store_->kept();
    if (!file_.members[from].voter || stage_ != VoterStage::empty || kept.term != 0 || kept.last() != 0)
        return {};
    std::vector<VoterConfig> seats;
    bool own = false;
    for (const auto& [member, disk] : founded.voters) {
        seats.push_back({disk, member, true});
        own |= member == file_.id && disk == store_->owner().disk;
    }
    if (!own) return {};
    stage_ = VoterStage::voting;
    begin(now, seats);
    return out(now);
}

std::vector<VoterAgentEffect> VoterAgent::raft(Point now, const RaftMessage& sent)
{
    auto& seen = seen_[sent.from];
    seen = std::max(seen, sent.writes);
    const bool may =
        stage_ == VoterStage::voting || (stage_ == VoterStage::empty && Voter::brings_log(sent.bytes));
    if (!may || !voter_ || store_->failed() || sent.to != store_->owner().disk) return {};
    take(voter_->receive(now, sent.from, sent.bytes));
    return out(now);
}

std::vector<VoterAgentEffect> VoterAgent::propose(Point now, const Proposal& propose)
{
    if (stage_ == VoterStage::voting && !store_->failed())
        take(voter_->propose(now, propose.id, pack(propose.commands)));
    else
        effects_.push_back(ProposalResult{propose.id, false, "it does not vote"});
    return out(now);
}

std::vector<VoterAgentEffect> VoterAgent::add_voter(Point now, uint64_t name, const std::string& id)
{
    const auto member = file_.member_of(std::string_view(id));
    const auto at = member ? heard_.find(*member) : heard_.end();
    if (stage_ != VoterStage::voting || at == heard_.end() || now - at->second.at > heard_for) {
        effects_.push_back(ProposalResult{name, false, "nothing has been heard of its disk lately"});
        return out(now);
    }
    const VoterConfig seat{at->second.report.disk, id, true};
    for (const VoterConfig& s : standing_.seats)
        if (s.disk == seat.disk && s.votes) {
            effects_.push_back(ProposalResult{name, true, "it votes already"});
            return out(now);
        }
    const bool added = std::any_of(standing_.seats.begin(), standing_.seats.end(),
                                   [&](const VoterConfig& s) { return s.disk == seat.disk; });
    promotions_[name] = {seat, added ? 1 : 0};
    take(voter_->add_voter(now, name, seat));
    return out(now);
}

std::vector<VoterAgentEffect> VoterAgent::remove_voter(Point now, uint64_t name, const std::string& member)
{
    for (const VoterConfig& s : standing_.seats)
        if (stage_ == VoterStage::voting && s.member == member) {
            take(voter_->remove_voter(now, name, s.disk));
            return out(now);
        }
    effects_.push_back(ProposalResult{name, false, "it has no vote"});
    return out(now);
}

std::vector<VoterAgentEffect> VoterAgent::step_down(Point now)
{
    if (stage_ == VoterStage::voting) take(voter_->hand_over(now, 0));
    return out(now);
}

}  // namespace firtide::fleet
