// Operators' commands that only the leader can execute. Forwards them to the leader for callers at this
// member, and at the leader executes those that members have forwarded.
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

    // Replies to callers whose command has timed out.
    void tick();
    // hand-over DUTY [ID], let-in ID, put-out ID, from a caller at this member. `leader`: zero if none is
    // known.
    void on_request(const AdminRequest& request, MemberKey leader);
    void on_disconnected(uint64_t caller);
    // At the leader.
    void on_command(MemberIndex from, const AdminCommand& command);
    void on_result(const AdminCommandResult& result);
    // Returns false if the proposal does not belong to an operator's command.
    [[nodiscard]] bool on_proposal_result(const ProposalResult& result);

  private:
    struct Caller {
        uint64_t id = 0;
        TimePoint deadline;
    };
    // Where a received command came from, and its number there.
    struct Origin {
        MemberIndex member = 0;
        uint64_t number = 0;
    };

    void send_result(const Origin& origin, bool success, std::string text);
    std::optional<std::string> rejection_reason(const AdminCommand& command) const;

    FleetContext& context_;
    LeaseManager& lease_manager_;
    std::map<uint64_t, Caller> callers_;            // by command number
    std::map<uint64_t, Origin> pending_proposals_;  // changes of the set of voters
    uint64_t last_number_ = 0;
    uint64_t next_proposal_ = uint64_t{1} << 63;  // a range distinct from the lease manager's
};

}  // namespace firtide::fleet
