#include "admin_service.h"

namespace firtide::fleet
{
namespace
{

// A command times out after this many lease durations plus the grace period.
constexpr double timeout_leases = 3;
constexpr Duration timeout_grace = seconds(10);

// Names of commands on the wire.
constexpr const char* transfer_command = "hand-over";
constexpr const char* add_voter_command = "let-in";

}  // namespace

void AdminService::tick()
{
    for (auto next = callers_.begin(); next != callers_.end();) {
        const auto caller = next++;
        if (context_.now < caller->second.deadline) continue;
        context_.reply(caller->second.id, "FAILURE no leader has answered in time\n");
        callers_.erase(caller);
    }
}

void AdminService::on_disconnected(uint64_t caller)
{
    std::erase_if(callers_, [&](const auto& each) { return each.second.id == caller; });
}

void AdminService::on_request(const AdminRequest& request, MemberKey leader)
{
    if (request.name == add_voter_command &&
        !context_.config.member_of(std::string_view(request.first_argument)))
        return context_.reply(request.caller, "FAILURE no such member\n");
    if (request.name == transfer_command && !context_.config.duty_of(request.first_argument))
        return context_.reply(request.caller, "FAILURE no such duty\n");
    const AdminCommand command{++last_number_, request.name, request.first_argument, request.second_argument};
    const TimePoint deadline = context_.now + context_.config.lease.duration * timeout_leases + timeout_grace;
    callers_[command.number] = {request.caller, deadline};
    if (lease_manager_.is_leader()) return on_command(context_.self, command);
    const auto last_leader = context_.lease_client.leader();
    if (!leader && last_leader) leader = context_.config.members[*last_leader].key;
    const auto member = leader ? context_.config.member_of(leader) : std::nullopt;
    if (member && *member != context_.self) return context_.send(*member, command);
    callers_.erase(command.number);
    context_.reply(request.caller, "FAILURE no leader is known\n");
}

// Returns nothing if the command may be executed. Any voter can be removed, even one that is no longer in the
// fleet file.
std::optional<std::string> AdminService::rejection_reason(const AdminCommand& command) const
{
    if (!lease_manager_.is_leader()) return "this member does not lead";
    if (command.name != add_voter_command) return {};
    const auto member = context_.config.member_of(std::string_view(command.first_argument));
    if (member && context_.config.members[*member].is_voter) return {};
    return "the leader's fleet file has no such voter";
}

void AdminService::on_command(MemberIndex from, const AdminCommand& command)
{
    if (command.name == transfer_command) return lease_manager_.transfer(context_.now, from, command);
    const Origin origin{from, command.number};
    if (const auto text = rejection_reason(command)) return send_result(origin, false, *text);
    const uint64_t proposal = next_proposal_++;
    pending_proposals_[proposal] = origin;
    const auto kind =
        command.name == add_voter_command ? VoterConfigChange::Kind::add : VoterConfigChange::Kind::remove;
    context_.emit(CallVoterAgent{VoterConfigChange{proposal, kind, command.first_argument}});
}

void AdminService::send_result(const Origin& origin, bool success, std::string text)
{
    const AdminCommandResult result{origin.number, success, std::move(text)};
    if (origin.member == context_.self)
        on_result(result);
    else
        context_.send(origin.member, result);
}

bool AdminService::on_proposal_result(const ProposalResult& result)
{
    auto node = pending_proposals_.extract(result.id);
    if (node.empty()) return false;
    send_result(node.mapped(), result.committed, result.committed ? "done" : result.error);
    return true;
}

void AdminService::on_result(const AdminCommandResult& result)
{
    auto node = callers_.extract(result.number);
    if (node.empty()) return;
    context_.reply(node.mapped().id, (result.success ? "SUCCESS " : "FAILURE ") + result.text + "\n");
}

}  // namespace firtide::fleet
