// The allocator of fleet-wide budgets, at the holder of the duty "parts". All quotas together are never more
// than the whole, whoever comes, goes, stalls or is cut off. No I/O, no clock of its own.
#pragma once

#include <map>
#include <vector>

#include "src/fleet/shared_choices_config.h"
#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

class QuotaAllocator
{
  public:
    // `config` must outlive the allocator. `clock_drift`: by which the members' clocks may differ in rate.
    QuotaAllocator(const QuotaConfig& config, double clock_drift);

    // Begins at a new epoch. What an earlier allocator has granted may be in use for a while.
    void on_lease_gained(TimePoint now, Epoch epoch);
    [[nodiscard]] Epoch epoch() const { return epoch_; }

    // An answer without grants, where the request is for another epoch.
    [[nodiscard]] QuotaResponse answer(TimePoint now, MemberKey from, const QuotaRequest& request);

    // What members may use together of a budget's allocatable share, at the most.
    [[nodiscard]] double outstanding(TimePoint now, BudgetName name) const;

  private:
    struct OutstandingGrant {
        uint64_t number = 0;
        double rate = 0;
        TimePoint expires_at;  // it can't be in use any more then
    };
    struct Holder {
        std::vector<OutstandingGrant> grants;  // the last one that is known to have arrived, and all after it
        double demand = 0;
        TimePoint last_request;

        [[nodiscard]] double outstanding(TimePoint now) const;
    };
    struct HolderId {
        MemberKey member = 0;
        InstanceId instance = 0;
        auto operator<=>(const HolderId&) const = default;
    };
    struct Pool {
        double unaccounted = 0;  // may be in use from an earlier allocator, until those leases have ended
        std::map<HolderId, Holder> holders;
    };

    bool may_have_earlier_grants(TimePoint now) const
    {
        return now - lease_gained_at_ < max_grant_lifetime();
    }
    Duration max_grant_lifetime() const;
    Pool& pool_of(TimePoint now, BudgetName name);
    Holder& holder_of(TimePoint now, Pool& pool, HolderId id, const QuotaDemand& demand);
    double grant(TimePoint now, BudgetName name, HolderId id, const QuotaRequest& request,
                 const QuotaDemand& demand);
    double fair_rate(TimePoint now, const Pool& pool, const Holder& holder, double total) const;

    const QuotaConfig& config_;
    const double clock_drift_;
    Epoch epoch_ = 0;
    TimePoint lease_gained_at_;
    std::map<BudgetName, Pool> pools_;
};

}  // namespace firtide::fleet
