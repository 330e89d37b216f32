#include "lease_sessions.h"

#include "lease_timing.h"

namespace firtide::fleet
{

void LeaseSessions::clear()
{
    sessions_.clear();
    last_renewal_.clear();
}

void LeaseSessions::record(TimePoint now, MemberIndex member, const LeaseRenewRequest& request)
{
    LeaseSession& session = sessions_[member];
    if (session.instance != request.instance) {
        session = {};
        session.instance = request.instance;
        session.last_answered_nonce = request.last_answered_nonce;
    }
    const bool answers_arrive =
        request.last_answered_nonce > session.last_answered_nonce ||
        (request.last_answered_nonce && request.last_answered_nonce + 1 == request.nonce);
    if (answers_arrive) {
        session.last_answered_nonce = request.last_answered_nonce;
        session.last_answered_at = now;
    }
    session.last_request = now;
    session.departing = request.departing;
    std::map<std::string, TimePoint> requested;
    for (const std::string& family : request.requested) {
        const auto before = session.requested.find(family);
        requested[family] = before == session.requested.end() ? now : before->second;
    }
    session.requested = std::move(requested);
    last_renewal_[{config_.members[member].key, request.instance}] = now;
}

void LeaseSessions::expire(TimePoint now)
{
    const Duration length = config_.lease.duration;
    std::erase_if(sessions_, [&](const auto& entry) { return now - entry.second.last_request > length * 2; });
    std::erase_if(last_renewal_, [&](const auto& entry) { return now - entry.second > length * 4; });
}

bool LeaseSessions::is_live(TimePoint now, MemberIndex member) const
{
    const auto found = sessions_.find(member);
    if (found == sessions_.end()) return false;
    const LeaseSession& session = found->second;
    const Duration recent = config_.lease.duration * lease_timing::liveness_window;
    return !session.departing && session.last_answered_at && now - session.last_request < recent &&
           now - *session.last_answered_at < recent;
}

std::optional<TimePoint> LeaseSessions::last_renewal(MemberKey holder, InstanceId instance) const
{
    const auto found = last_renewal_.find({holder, instance});
    if (found == last_renewal_.end()) return {};
    return found->second;
}

std::map<MemberIndex, size_t> LeaseSessions::loads(TimePoint now, const LeaseTable& table) const
{
    std::map<MemberIndex, size_t> loads;
    for (const auto& [member, session] : sessions_)
        if (is_live(now, member)) loads[member] = 0;
    for (const auto& [duty, entry] : table.entries()) {
        const auto member = entry.holder ? config_.member_of(entry.holder) : std::nullopt;
        if (member && loads.count(*member)) ++loads[*member];
    }
    return loads;
}

}  // namespace firtide::fleet
