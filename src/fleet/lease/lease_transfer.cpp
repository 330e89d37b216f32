// Transfers of LeaseManager, started by rebalancing (one duty at a time) or by an operator. The holder is
// asked to release the lease repeatedly, until it does or the lease has expired.
#include <algorithm>

#include "lease_manager.h"
#include "lease_rank.h"
#include "lease_timing.h"

namespace firtide::fleet
{
namespace
{

constexpr Duration revoke_interval = seconds(0.1);  // between two requests to release the same lease
constexpr Duration transfer_grace = seconds(1);  // beyond two lease lengths, before a transfer is abandoned
constexpr double rebalance_interval = lease_timing::renewal_interval / 4;  // fraction of the lease length
constexpr size_t tolerated_imbalance = 1;  // allowed difference between the most and the fewest duties held

}  // namespace

// Moves one duty at a time from the most loaded member to the least loaded one.
void LeaseManager::rebalance(TimePoint now)
{
    if (now - last_rebalance_ < config_.lease.duration * rebalance_interval || !transfers_.empty()) return;
    last_rebalance_ = now;
    const Loads loads = sessions_.loads(now, *table_);
    if (loads.size() < 2) return;
    const auto by_load = [](const auto& left, const auto& right) { return left.second < right.second; };
    const auto [least_loaded, lowest_load] = *std::min_element(loads.begin(), loads.end(), by_load);
    const auto [most_loaded, highest_load] = *std::max_element(loads.begin(), loads.end(), by_load);
    if (highest_load <= lowest_load + tolerated_imbalance) return;
    if (const Duty* duty = duty_to_move(most_loaded, least_loaded))
        transfers_[duty->name] = {least_loaded, table_->entry(duty->name).epoch, now, {}, {}};
}

// Of the duties that `from` holds, picks the one with the highest rank for `to`. Duties placed by an operator
// are not moved.
const Duty* LeaseManager::duty_to_move(MemberIndex from, MemberIndex to) const
{
    const Duty* best = nullptr;
    const MemberKey target = config_.members[to].key;
    for (const Duty& duty : config_.duties) {
        if (duty.kind == DutyKind::drain || pending_duties_.count(duty.name)) continue;
        const auto entry = table_->entry(duty.name);
        if (entry.holder != config_.members[from].key || entry.pinned) continue;
        if (!best || lease_rank(duty.name, target) > lease_rank(best->name, target)) best = &duty;
    }
    return best;
}

void LeaseManager::transfer(TimePoint now, MemberIndex from, const AdminCommand& command)
{
    const CommandOrigin origin{from, command.number};
    const std::string refusal = transfer_refusal(now, command);
    if (!refusal.empty()) return report_result(origin, false, refusal);
    const std::string& duty = command.first_argument;
    const auto entry = table_->entry(duty);
    auto to = config_.member_of(std::string_view(command.second_argument));
    const bool holds_it =
        to && entry.holder == config_.members[*to].key && sessions_.instance_of(*to) == entry.instance;
    if (holds_it) return report_result(origin, true, "it holds it already");
    if (!to) to = least_loaded_other(now, entry.holder);
    if (!to) return report_result(origin, false, "there is no other member to hold it");
    if (const auto earlier = transfers_.find(duty); earlier != transfers_.end())
        report_result(earlier->second.origin, false, "another hand-over came after it");
    transfers_[duty] = {to, entry.epoch, now, {}, origin};
}

// The reason why the transfer is refused; empty if it is not.
std::string LeaseManager::transfer_refusal(TimePoint now, const AdminCommand& command) const
{
    if (!is_leader_ || !table_) return "this member does not lead";
    const auto duty = config_.duty_of(command.first_argument);
    if (!duty || config_.duties[*duty].kind == DutyKind::drain) return "no such duty to hand over";
    if (command.second_argument.empty()) return "";
    const auto to = config_.member_of(std::string_view(command.second_argument));
    if (!to) return "no such member";
    return sessions_.is_live(now, *to) ? "" : "that member renews no lease";
}

std::optional<MemberIndex> LeaseManager::least_loaded_other(TimePoint now, MemberKey holder) const
{
    Loads loads = sessions_.loads(now, *table_);
    if (const auto member = config_.member_of(holder)) loads.erase(*member);
    std::optional<MemberIndex> best;
    for (const auto& [member, load] : loads)
        if (!best || load < loads.at(*best)) best = member;
    return best;
}

std::optional<MemberIndex> LeaseManager::live_transfer_target(TimePoint now, const std::string& duty) const
{
    const auto transfer = transfers_.find(duty);
    if (transfer == transfers_.end() || !transfer->second.target) return {};
    if (!sessions_.is_live(now, *transfer->second.target)) return {};
    return transfer->second.target;
}

void LeaseManager::advance_transfers(TimePoint now)
{
    for (auto next = transfers_.begin(); next != transfers_.end();) {
        const auto current = next++;
        auto& [duty, transfer] = *current;
        if (now - transfer.started > config_.lease.duration * 2 + transfer_grace) {
            report_result(transfer.origin, false, "it could not be handed over in time");
            transfers_.erase(current);
            continue;
        }
        const auto entry = table_->entry(duty);
        const auto holder = entry.holder ? config_.member_of(entry.holder) : std::nullopt;
        if (!holder || entry.epoch != transfer.epoch || now - transfer.last_revoke < revoke_interval)
            continue;
        transfer.last_revoke = now;
        sends_.push_back({*holder, LeaseRevoke{duty, entry.epoch}});
    }
}

void LeaseManager::complete_transfers(const std::vector<LeaseCommand>& commands, const LeaseTable& table)
{
    for (const LeaseCommand& command : commands) {
        const auto transfer = transfers_.find(command.duty);
        if (command.kind != LeaseCommand::grant || transfer == transfers_.end()) continue;
        const auto entry = table.entry(command.duty);
        const auto holder = config_.member_of(entry.holder);
        const std::string text =
            holder ? "now held by " + config_.members[*holder].id + " at epoch " + std::to_string(entry.epoch)
                   : "nobody holds it";
        report_result(transfer->second.origin, holder == transfer->second.target, text);
        transfers_.erase(transfer);
    }
}

void LeaseManager::report_result(const std::optional<CommandOrigin>& origin, bool success,
                                 const std::string& text)
{
    if (origin) sends_.push_back({origin->member, AdminCommandResult{origin->number, success, text}});
}

}  // namespace firtide::fleet
