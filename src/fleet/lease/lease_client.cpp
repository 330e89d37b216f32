#include "lease_client.h"

#include <algorithm>

#include "lease_timing.h"

namespace firtide::fleet
{
namespace
{

constexpr size_t max_pending_renewals = 32;

}  // namespace

LeaseClient::LeaseClient(const FleetConfig& config, InstanceId instance, uint64_t seed)
    : config_(config),
      own_key_(config.members[config.self].key),
      instance_(instance),
      random_(static_cast<uint32_t>(seed ^ seed >> 32))
{
    for (MemberIndex member = 0; member < config.members.size(); ++member)
        if (config.members[member].is_voter) voters_.push_back(member);
    std::shuffle(voters_.begin(), voters_.end(), random_);
}

void LeaseClient::start(TimePoint now) { next_renewal_ = lease_end_ = now; }

void LeaseClient::restore_epochs(const std::vector<SeenEpoch>& epochs)
{
    for (const SeenEpoch& seen : epochs) given_up_[seen.duty] = std::max(given_up_[seen.duty], seen.epoch);
}

void LeaseClient::on_leader_hint(MemberKey leader, Term term)
{
    if (!leader || term < leader_term_) return;
    leader_term_ = term;
    const auto member = config_.member_of(leader);
    if (!member || leader_ == *member) return;
    leader_ = *member;
    if (!last_renewal_answered_) next_renewal_ = TimePoint{};
}

LeaseRenewRequest LeaseClient::renew_request() const
{
    LeaseRenewRequest request;
    request.instance = instance_;
    request.nonce = last_nonce_;
    request.table_version = table_.version();
    request.requested = {requested_families_.begin(), requested_families_.end()};
    request.departing = departing_;
    request.last_answered_nonce = last_answered_nonce_;
    for (const auto& [duty, epoch] : unreported_) request.given_up.push_back({duty, epoch});
    for (const auto& [duty, epoch] : given_up_)
        if (epoch > table_.entry(duty).epoch) request.seen_epochs.push_back({duty, epoch});
    return request;
}

void LeaseClient::send_renew_request(TimePoint now)
{
    // A leader that does not answer may no longer be the leader: asks another voter.
    if (!last_renewal_answered_) leader_.reset();
    const MemberIndex to = leader_ ? *leader_ : voters_[next_voter_++ % voters_.size()];
    ++last_nonce_;
    pending_renewals_.push_back({last_nonce_, now});
    if (pending_renewals_.size() > max_pending_renewals) pending_renewals_.pop_front();
    sends_.push_back({to, renew_request()});
    last_renewal_answered_ = false;
    // Jitter keeps hundreds of members from sending their renewals at the same time.
    const double jitter = 0.8 + 0.4 * uniform_random();
    next_renewal_ = now + config_.lease.duration * (lease_timing::retry_interval * jitter);
}

void LeaseClient::tick(TimePoint now)
{
    now_ = now;
    if (now >= lease_end_)
        while (!held_.empty()) drop_lease(held_.begin()->first, "its lease ran out unrenewed");
    if (now >= next_renewal_) send_renew_request(now);
}

void LeaseClient::drop_lease(const std::string& duty, const std::string& reason)
{
    const auto held = held_.find(duty);
    if (held == held_.end()) return;
    Epoch& given_up = given_up_[duty];
    given_up = std::max(given_up, held->second);
    unreported_[duty] = given_up;
    changes_.push_back({LeaseChange::Kind::lost, duty, held->second, reason, std::min(now_, lease_end_)});
    held_.erase(held);
}

void LeaseClient::release(TimePoint now, const std::string& duty, const std::string& reason)
{
    now_ = now;
    const auto held = held_.find(duty);
    if (held == held_.end()) return;
    const Epoch epoch = held->second;
    drop_lease(duty, reason);
    if (leader_) sends_.push_back({*leader_, LeaseRelease{duty, epoch, instance_}});
}

void LeaseClient::depart(TimePoint now)
{
    now_ = now;
    departing_ = true;
    requested_families_.clear();
    while (!held_.empty()) release(now, std::string(held_.begin()->first), "this process stops");
    send_renew_request(now);
}

void LeaseClient::request_family(const std::string& family)
{
    requested_families_.insert(family);
    next_renewal_ = TimePoint{};
}

void LeaseClient::cancel_family_request(const std::string& family)
{
    requested_families_.erase(family);
    next_renewal_ = TimePoint{};
}

void LeaseClient::on_renew_response(TimePoint now, MemberIndex from, const LeaseRenewResponse& response)
{
    now_ = now;
    if (is_from_new_log(response)) follow_new_log(response.term);
    if (response.term < term_) return;
    if (response.term > term_) {
        term_ = response.term;
        leader_term_ = std::max(leader_term_, term_);
    }
    leader_ = from;
    if (response.nonce && !extend_lease(now, response.nonce)) return;
    if (now >= lease_end_ || response.table_version < table_.version()) return;
    if (response.full_table) table_.assign(response.leases, response.table_version);
    apply_leases(response);
}

// Whether the voters have founded a new log since the last response. Its terms and versions begin again, so
// they cannot be compared with those of the log before. A late response of that one answers no pending
// renewal.
bool LeaseClient::is_from_new_log(const LeaseRenewResponse& response) const
{
    if (!response.nonce || !response.table_version || !table_.version()) return false;
    return log_of(response.table_version) != log_of(table_.version()) &&
           pending_renewal(response.nonce) != pending_renewals_.end();
}

// The new log knows nothing of the leases and epochs of the log before.
void LeaseClient::follow_new_log(Term term)
{
    while (!held_.empty())
        drop_lease(std::string(held_.begin()->first), "the voters have lost the log that granted it");
    for (const auto& [duty, entry] : table_.entries())
        given_up_[duty] = std::max(given_up_[duty], entry.epoch);
    table_ = {};
    term_ = leader_term_ = term;
}

std::deque<LeaseClient::PendingRenewal>::const_iterator LeaseClient::pending_renewal(uint64_t nonce) const
{
    return std::find_if(pending_renewals_.begin(), pending_renewals_.end(),
                        [&](const PendingRenewal& pending) { return pending.nonce == nonce; });
}

bool LeaseClient::extend_lease(TimePoint now, uint64_t nonce)
{
    const auto renewal = pending_renewal(nonce);
    if (renewal == pending_renewals_.end()) return false;
    lease_end_ = std::max(lease_end_, renewal->sent + config_.lease.holder_duration());
    pending_renewals_.erase(pending_renewals_.cbegin(), renewal + 1);
    last_renewal_answered_ = true;
    const bool first_answer = std::exchange(last_answered_nonce_, nonce) == 0;
    const double jitter = 0.9 + 0.2 * uniform_random();
    const TimePoint lease_start = lease_end_ - config_.lease.holder_duration();
    next_renewal_ =
        std::max(now, lease_start + config_.lease.duration * (lease_timing::renewal_interval * jitter));
    // The leader grants leases only to members that are known to receive its answers, so the first answer is
    // acknowledged at once.
    if (first_answer) next_renewal_ = now;
    return true;
}

void LeaseClient::apply_leases(const LeaseRenewResponse& response)
{
    std::set<std::string> listed;
    for (const LeaseRecord& lease : response.leases) {
        if (lease.holder != own_key_) continue;
        // A lease of an earlier instance of this member has to expire.
        if (lease.instance != instance_) continue;
        listed.insert(lease.duty);
        accept_lease(lease, response.term);
    }
    // Without a nonce the response lists new grants, not everything that is held.
    if (!response.nonce) return;
    std::erase_if(unreported_, [&](const auto& reported) { return !listed.count(reported.first); });
    for (const auto& [duty, epoch] : std::map(held_))
        if (!listed.count(duty)) drop_lease(duty, "it is not this member's any more");
}

void LeaseClient::accept_lease(const LeaseRecord& lease, Term term)
{
    if (held_.count(lease.duty) && held_[lease.duty] == lease.epoch) return;
    if (must_return(lease)) return return_lease(lease);
    drop_lease(lease.duty, "it was granted anew");
    held_[lease.duty] = lease.epoch;
    changes_.push_back({LeaseChange::Kind::gained, lease.duty, lease.epoch,
                        "granted by the leader of term " + std::to_string(term), lease_end_});
}

// An epoch that was given up is never accepted again, however late a message arrives.
bool LeaseClient::must_return(const LeaseRecord& lease) const
{
    if (departing_ || !config_.duty_of(lease.duty)) return true;
    const auto given_up = given_up_.find(lease.duty);
    return given_up != given_up_.end() && lease.epoch <= given_up->second;
}

void LeaseClient::return_lease(const LeaseRecord& lease)
{
    given_up_[lease.duty] = unreported_[lease.duty] = std::max(lease.epoch, given_up_[lease.duty]);
    // Sent again even if it was sent before, because that message may have been lost.
    if (leader_) sends_.push_back({*leader_, LeaseRelease{lease.duty, lease.epoch, instance_}});
}

void LeaseClient::on_redirect(TimePoint now, MemberIndex from, const LeaderRedirect& redirect)
{
    const auto leader = redirect.leader ? config_.member_of(redirect.leader) : std::nullopt;
    if (leader && *leader != from) {
        if (redirect.term < leader_term_) return;
        leader_term_ = redirect.term;
        leader_ = *leader;
        last_renewal_answered_ = true;
        next_renewal_ = now;
    } else if (leader_ == from) {
        leader_.reset();
    }
}

void LeaseClient::on_revoke(TimePoint now, MemberIndex from, const LeaseRevoke& revoke)
{
    now_ = now;
    const auto held = held_.find(revoke.duty);
    if (held != held_.end() && held->second == revoke.epoch) {
        leader_ = from;
        return release(now, revoke.duty, "the leader asked for it");
    }
    const auto given_up = given_up_.find(revoke.duty);
    if (given_up != given_up_.end() && revoke.epoch <= given_up->second)
        sends_.push_back({from, LeaseRelease{revoke.duty, revoke.epoch, instance_}});
}

bool LeaseClient::holds(TimePoint now, const std::string& duty, Epoch epoch) const
{
    const auto held = held_.find(duty);
    return held != held_.end() && held->second == epoch && now < lease_end_;
}

std::optional<Epoch> LeaseClient::held_epoch(TimePoint now, const std::string& duty) const
{
    const auto held = held_.find(duty);
    if (held == held_.end() || now >= lease_end_) return {};
    return held->second;
}

std::map<std::string, Epoch> LeaseClient::held_duties(TimePoint now) const
{
    return now < lease_end_ ? held_ : std::map<std::string, Epoch>{};
}

}  // namespace firtide::fleet
