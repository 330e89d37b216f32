// The member's side of fleet-wide budgets: measures its demand, requests quotas from the allocator and keeps
// the leases that it was granted.
//
// One share of each budget is allocated by demand. Another is guaranteed: divided evenly among all members of
// the fleet file, including members that are partitioned. The remainder covers fleet files that list too few
// members. Does no I/O and reads no clock.
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
    // `config` must outlive the client. `members`: number of members in the fleet file.
    QuotaClient(const QuotaConfig& config, size_t members, InstanceId instance);

    // The number of requests that used each budget since the last call.
    void record_demand(TimePoint now, const std::map<BudgetName, uint32_t>& requests);
    // Makes the next request, for the allocator at this epoch.
    [[nodiscard]] QuotaRequest make_request(TimePoint now, Epoch allocator);
    // Ignores everything but answers of the allocator that was asked last.
    void on_response(TimePoint now, const QuotaResponse& response);
    [[nodiscard]] std::vector<QuotaLease> leases() const;

  private:
    struct BudgetState {
        QuotaLease lease;
        double demand = 0;  // requests per second
        TimePoint last_demand;
    };

    BudgetState& state_of(BudgetName name);

    const QuotaConfig& config_;
    const size_t member_count_;
    const InstanceId instance_;
    std::map<BudgetName, BudgetState> budgets_;
    uint64_t last_request_number_ = 0;
    std::map<uint64_t, TimePoint> pending_requests_;  // send time by request number
    Epoch allocator_epoch_ = 0;                       // epoch of the allocator that was asked last
    uint64_t last_answered_number_ = 0;
    TimePoint last_measured_;
};

}  // namespace firtide::fleet
