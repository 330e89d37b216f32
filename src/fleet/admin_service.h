// Operators' commands that the leader carries out: sent to it on behalf of a caller here, or carried out here
// on behalf of a caller at another member.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "fleet_context.h"
#include "src/fleet/lease/lease_manager.h"

namespace firtide::fleet
{

class AdminService
{
  public:
    // Both must outlive the service.
    AdminService(FleetContext& context, LeaseManager& lease_manager)
        : context_(context), lease_manager_(lease_manager)
    {
    }

    // Answers callers whose command was not answered in time.
    void tick();
    // hand-over DUTY [ID], let-in ID, put-out ID, from a caller here. `leader`: zero where none is known.
    void on_request(const AdminRequest& request, MemberKey leader);
    void on_disconnected(uint64_t caller);
    // At the leader.
    void on_command(MemberIndex from, const AdminCommand& command);
    void on_result(const AdminCommandResult& result);
    // Returns false where the proposal is not an operator's.
    [[nodiscard]] bool on_proposal_result(const ProposalResult& result);

  private:
    struct Caller {
        uint64_t id = 0;
        TimePoint deadline;
    };
    // A command that was received, and its number at its sender.
    struct Origin {
        MemberIndex member = 0;
        uint64_t number = 0;
    };

    void answer(const Origin& origin, bool success, std::string text);
    std::optional<std::string> refusal(const AdminCommand& command) const;

    FleetContext& context_;
    LeaseManager& lease_manager_;
    std::map<uint64_t, Caller> callers_;            // by the number of their command
    std::map<uint64_t, Origin> pending_proposals_;  // changes of who votes
    uint64_t last_number_ = 0;
    uint64_t next_proposal_ = uint64_t{1} << 63;  // apart from the lease manager's
};

}  // namespace firtide::fleet
