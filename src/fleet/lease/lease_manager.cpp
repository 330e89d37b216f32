#include "lease_manager.h"

#include <algorithm>

#include "lease_rank.h"
#include "lease_timing.h"

namespace firtide::fleet
{
namespace
{

constexpr Duration max_batch_interval = seconds(0.15);
constexpr double settling_intervals = 1.2;  // no new grants for this many renewal intervals after an election
constexpr double early_expiry_fraction = 0.3;  // fraction of a lease; see DisabledChecks::full_expiry

// The part of a duty's name before the dot.
std::string family_of(const std::string& duty) { return duty.substr(0, duty.find('.')); }

}  // namespace

LeaseManager::LeaseManager(const FleetConfig& config, uint64_t seed)
    : config_(config), random_(static_cast<uint32_t>(seed ^ seed >> 32)), sessions_(config)
{
    // A random start keeps a restarted leader from mistaking the result of an earlier proposal for its own.
    last_proposal_id_ = uint64_t{random_()} << 32;
}

void LeaseManager::on_elected(TimePoint now, Term term)
{
    is_leader_ = true;
    term_ = term;
    elected_at_ = last_rebalance_ = now;
    last_proposal_ = now - max_batch_interval;
    sessions_.clear();
    pending_renewals_.clear();
    pending_proposals_.clear();
    pending_duties_.clear();
    naming_proposal_.reset();
    transfers_.clear();
}

void LeaseManager::on_stepped_down()
{
    if (!std::exchange(is_leader_, false)) return;
    for (const auto& [duty, transfer] : transfers_)
        report_result(transfer.origin, false, "the leader stepped down");
    transfers_.clear();
    pending_renewals_.clear();
    pending_proposals_.clear();
    pending_duties_.clear();
}

void LeaseManager::tick(TimePoint now)
{
    if (!is_leader_ || !table_) return;
    if (table_->version() == 0) return name_log(now);
    advance_transfers(now);
    assign_leases(now);
    rebalance(now);
    propose_pending_renewals(now);
    sessions_.expire(now);
}

// ---- renewals ----

void LeaseManager::on_renew_request(TimePoint now, MemberIndex from, const LeaseRenewRequest& request)
{
    if (!is_leader_) return;
    sessions_.record(now, from, request);
    for (const SeenEpoch& seen : request.seen_epochs)
        epoch_floors_[seen.duty] = std::max(epoch_floors_[seen.duty], seen.epoch);
    for (const SeenEpoch& lease : request.given_up) release_and_regrant(now, from, request.instance, lease);
    // A later renewal of the same instance replaces the earlier one.
    std::erase_if(pending_renewals_, [&](const PendingRenewal& renewal) {
        return renewal.from == from && renewal.request.instance == request.instance;
    });
    if (disabled_checks.confirm_by_majority && table_) return send_response({from, request}, *table_);
    pending_renewals_.push_back({from, request});
}

// Nothing is answered or granted before: without its name, members could not tell this log from the one
// before.
void LeaseManager::name_log(TimePoint now)
{
    if (naming_proposal_) return;
    LeaseCommand command;
    command.kind = LeaseCommand::confirm;
    command.epoch = std::max<LogName>(1, static_cast<LogName>(random_()));
    naming_proposal_ = last_proposal_id_ + 1;
    propose(now, {command});
}

void LeaseManager::propose_pending_renewals(TimePoint now)
{
    const Duration batch =
        std::min(max_batch_interval, config_.lease.duration * lease_timing::batch_interval);
    if (!pending_renewals_.empty() && now - last_proposal_ >= batch) propose(now, {});
}

// Pending renewals are answered once this proposal is committed.
void LeaseManager::propose(TimePoint now, std::vector<LeaseCommand> commands)
{
    if (commands.empty()) commands.push_back({});
    const uint64_t id = ++last_proposal_id_;
    pending_proposals_[id] = {std::exchange(pending_renewals_, {}), commands};
    last_proposal_ = now;
    proposals_.push_back({id, std::move(commands)});
}

void LeaseManager::on_proposal_result(const LeaseTable& table, uint64_t proposal, bool committed)
{
    auto node = pending_proposals_.extract(proposal);
    if (node.empty()) return;
    const PendingProposal pending = std::move(node.mapped());
    if (naming_proposal_ == proposal) naming_proposal_.reset();
    for (const LeaseCommand& command : pending.commands) pending_duties_.erase(command.duty);
    if (!is_leader_ || !committed) return;
    for (const PendingRenewal& renewal : pending.renewals) send_response(renewal, table);
    notify_grantees(pending.commands, table);
    complete_transfers(pending.commands, table);
}

void LeaseManager::send_response(const PendingRenewal& renewal, const LeaseTable& table)
{
    const LeaseRenewRequest& request = renewal.request;
    LeaseRenewResponse response{term_, request.nonce, table.version(), false, {}};
    response.full_table = request.table_version != table.version();
    const MemberKey key = config_.members[renewal.from].key;
    for (const auto& [duty, entry] : table.entries()) {
        const bool own = entry.holder == key && entry.instance == request.instance;
        if (response.full_table || own)
            response.leases.push_back({duty, entry.holder, entry.instance, entry.epoch});
    }
    sends_.push_back({renewal.from, std::move(response)});
}

// Notifies members of new grants at once. The response has no nonce, so it renews no lease.
void LeaseManager::notify_grantees(const std::vector<LeaseCommand>& commands, const LeaseTable& table)
{
    std::set<MemberIndex> notified;
    for (const LeaseCommand& command : commands) {
        if (command.kind != LeaseCommand::grant) continue;
        const auto entry = table.entry(command.duty);
        const auto member = config_.member_of(command.holder);
        const bool granted = entry.holder == command.holder && entry.instance == command.instance;
        if (member && granted && notified.insert(*member).second) notify_grantee(*member, command, table);
    }
}

void LeaseManager::notify_grantee(MemberIndex member, const LeaseCommand& grant, const LeaseTable& table)
{
    LeaseRenewResponse response{term_, 0, table.version(), false, {}};
    for (const auto& [duty, entry] : table.entries())
        if (entry.holder == grant.holder && entry.instance == grant.instance)
            response.leases.push_back({duty, entry.holder, entry.instance, entry.epoch});
    sends_.push_back({member, std::move(response)});
}

// ---- grants ----

// Whether the lease can no longer be in force by any clock within the configured drift.
bool LeaseManager::is_expired(TimePoint now, const LeaseTable::Entry& lease) const
{
    const auto renewed = sessions_.last_renewal(lease.holder, lease.instance);
    TimePoint last = renewed ? std::max(elected_at_, *renewed) : elected_at_;
    if (disabled_checks.wait_after_election && !renewed) last = elected_at_ - config_.lease.duration;
    const Duration length =
        config_.lease.duration * (disabled_checks.full_expiry ? early_expiry_fraction : 1);
    return now - last > length;
}

void LeaseManager::assign_leases(TimePoint now)
{
    std::vector<LeaseCommand> commands;
    Loads loads = sessions_.loads(now, *table_);
    for (const Duty& duty : config_.duties)
        if (!pending_duties_.count(duty.name)) assign_lease(now, duty, loads, commands);
    if (!commands.empty()) propose(now, std::move(commands));
}

void LeaseManager::assign_lease(TimePoint now, const Duty& duty, Loads& loads,
                                std::vector<LeaseCommand>& commands)
{
    const auto lease = table_->entry(duty.name);
    const bool settled = now - elected_at_ > wait_before_grants();
    if (lease.holder ? !is_expired(now, lease) : !settled) return;
    if (lease.holder) release_expired(duty, lease, loads, commands);
    if (duty.kind == DutyKind::drain) return grant_permit(now, duty, commands);
    const auto target = live_transfer_target(now, duty.name);
    const auto to = target ? target : choose_holder(duty.name, loads);
    if (!to) return;
    ++loads[*to];
    grant(commands, duty.name, *to, transfers_.count(duty.name) ? "handed over" : "nobody held it");
}

// How long after an election duties without a holder are not granted.
Duration LeaseManager::wait_before_grants() const
{
    if (!table_->has_granted() && !disabled_checks.wait_after_election) return config_.lease.duration;
    // It takes one renewal interval to learn which members are live: the first member to renew does not get
    // every duty.
    return config_.lease.duration * (lease_timing::renewal_interval * settling_intervals);
}

void LeaseManager::release_expired(const Duty& duty, const LeaseTable::Entry& lease, Loads& loads,
                                   std::vector<LeaseCommand>& commands)
{
    commands.push_back({LeaseCommand::release, duty.name, lease.epoch, 0, 0, "its lease ran out", false});
    pending_duties_.insert(duty.name);
    // The duty must not be granted again to the member that it is taken from.
    if (const auto member = config_.member_of(lease.holder)) loads.erase(*member);
}

// Permits are granted in the order of the requests, at most one to each member.
void LeaseManager::grant_permit(TimePoint now, const Duty& duty, std::vector<LeaseCommand>& commands)
{
    const std::string family = family_of(duty.name);
    std::optional<MemberIndex> first;
    TimePoint first_requested;
    for (const auto& [member, session] : sessions_.sessions()) {
        const auto requested = session.requested.find(family);
        if (!sessions_.is_live(now, member) || requested == session.requested.end()) continue;
        if (has_permit(member, session, family, commands)) continue;
        if (first && requested->second >= first_requested) continue;
        first = member;
        first_requested = requested->second;
    }
    if (first) grant(commands, duty.name, *first, "its turn");
}

// Also considers grants of proposals that are not committed yet.
bool LeaseManager::has_permit(MemberIndex member, const LeaseSession& session, const std::string& family,
                              const std::vector<LeaseCommand>& commands) const
{
    const MemberKey key = config_.members[member].key;
    const auto is_grant_to_it = [&](const LeaseCommand& command) {
        return family_of(command.duty) == family && command.holder == key;
    };
    for (const auto& [duty, entry] : table_->entries())
        if (family_of(duty) == family && entry.holder == key && entry.instance == session.instance)
            return true;
    if (std::any_of(commands.begin(), commands.end(), is_grant_to_it)) return true;
    return std::any_of(pending_proposals_.begin(), pending_proposals_.end(), [&](const auto& pending) {
        const auto& proposed = pending.second.commands;
        return std::any_of(proposed.begin(), proposed.end(), is_grant_to_it);
    });
}

// Of the members that hold less than an even share, picks the one with the highest rank for this duty.
std::optional<MemberIndex> LeaseManager::choose_holder(const std::string& duty, const Loads& loads) const
{
    if (loads.empty()) return {};
    const auto balanced_duties =
        static_cast<size_t>(std::count_if(config_.duties.begin(), config_.duties.end(),
                                          [](const Duty& each) { return each.kind != DutyKind::drain; }));
    const size_t even_share = (balanced_duties + loads.size() - 1) / loads.size();
    std::optional<MemberIndex> best;
    for (const auto& [member, load] : loads) {
        if (load >= even_share) continue;
        const bool better = !best || lease_rank(duty, config_.members[member].key) >
                                         lease_rank(duty, config_.members[*best].key);
        if (better) best = member;
    }
    return best;
}

void LeaseManager::grant(std::vector<LeaseCommand>& commands, const std::string& duty, MemberIndex to,
                         const std::string& reason)
{
    const auto floor = epoch_floors_.find(duty);
    const auto transfer = transfers_.find(duty);
    LeaseCommand command;
    command.kind = LeaseCommand::grant;
    command.duty = duty;
    command.epoch = floor == epoch_floors_.end() ? 0 : floor->second;
    command.holder = config_.members[to].key;
    command.instance = sessions_.instance_of(to);
    command.reason = reason;
    command.pinned = transfer != transfers_.end() && transfer->second.origin && transfer->second.target == to;
    commands.push_back(std::move(command));
    pending_duties_.insert(duty);
}

void LeaseManager::on_release(TimePoint now, MemberIndex from, const LeaseRelease& release)
{
    if (is_leader_) release_and_regrant(now, from, release.instance, {release.duty, release.epoch});
}

// Releases a lease that its holder has given up. The next grant goes into the same log entry, so that the
// duty is without a holder for as short as possible.
void LeaseManager::release_and_regrant(TimePoint now, MemberIndex from, InstanceId instance,
                                       const SeenEpoch& lease)
{
    if (!table_) return;
    const auto entry = table_->entry(lease.duty);
    const bool is_holder = entry.holder == config_.members[from].key && entry.instance == instance;
    if (!is_holder || entry.epoch != lease.epoch || pending_duties_.count(lease.duty)) return;
    std::vector<LeaseCommand> commands{
        {LeaseCommand::release, lease.duty, lease.epoch, 0, 0, "released", false}};
    pending_duties_.insert(lease.duty);
    const auto duty = config_.duty_of(lease.duty);
    if (duty && config_.duties[*duty].kind != DutyKind::drain)
        if (const auto to = next_holder(now, lease.duty, from))
            grant(commands, lease.duty, *to, transfers_.count(lease.duty) ? "handed over" : "released");
    propose(now, std::move(commands));
}

std::optional<MemberIndex> LeaseManager::next_holder(TimePoint now, const std::string& duty,
                                                     MemberIndex last_holder) const
{
    if (const auto target = live_transfer_target(now, duty)) return target;
    Loads loads = sessions_.loads(now, *table_);
    loads.erase(last_holder);
    if (const auto chosen = choose_holder(duty, loads)) return chosen;
    if (loads.empty()) return {};
    return loads.begin()->first;
}

}  // namespace firtide::fleet
