// The member's side of fleet-wide budgets: measures its own demand, asks the allocator for quotas and keeps
// the leases that it was granted.
//
// Of each budget a part is allocated by demand, and a part is guaranteed: an even share for each member of
// the fleet file, also for one that is cut off. What is left over covers files that name too few. No I/O, no
// clock of its own.
#pragma once

#include <map>
#include <vector>

#include "quota_lease.h"
#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

class QuotaClient
{
  public:
    // `config` must outlive the client. `members`: of the fleet file.
    QuotaClient(const QuotaConfig& config, size_t members, InstanceId instance);

    // What was asked of each budget since the last call.
    void record_demand(TimePoint now, const std::map<BudgetName, uint32_t>& requests);
    // The next request, for the allocator at this epoch.
    [[nodiscard]] QuotaRequest make_request(TimePoint now, Epoch allocator);
    // Anything but an answer of the allocator that was asked last is ignored.
    void on_response(TimePoint now, const QuotaResponse& response);
    [[nodiscard]] std::vector<QuotaLease> leases() const;

  private:
    struct BudgetState {
        QuotaLease lease;
        double demand = 0;  // a second
        TimePoint last_demand;
    };

    BudgetState& state_of(BudgetName name);

    const QuotaConfig& config_;
    const size_t member_count_;
    const InstanceId instance_;
    std::map<BudgetName, BudgetState> budgets_;
    uint64_t last_request_number_ = 0;
    std::map<uint64_t, TimePoint> pending_requests_;  // by number, when each was sent
    Epoch allocator_epoch_ = 0;                       // epoch of the one that was asked last
    uint64_t last_answered_number_ = 0;
    TimePoint last_measured_;
};

}  // namespace firtide::fleet
