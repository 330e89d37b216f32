// The allocator of fleet-wide budgets, which runs on the holder of the duty "parts". The quotas never add up
// to more than the budget, even when members join, leave, stall or are partitioned. Does no I/O and reads no
// clock.
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
    // `config` must outlive the allocator. `clock_drift`: the largest relative difference between the rates
    // of the members' clocks.
    QuotaAllocator(const QuotaConfig& config, double clock_drift);

    // Starts a new epoch. Grants of an earlier allocator may remain in use for a while.
    void on_lease_gained(TimePoint now, Epoch epoch);
    [[nodiscard]] Epoch epoch() const { return epoch_; }

    // The response has no grants if the request is for another epoch.
    [[nodiscard]] QuotaResponse answer(TimePoint now, MemberKey from, const QuotaRequest& request);

    // Upper bound of what members may currently use of a budget's allocatable share.
    [[nodiscard]] double outstanding(TimePoint now, BudgetName name) const;

  private:
    struct OutstandingGrant {
        uint64_t number = 0;
        double rate = 0;
        TimePoint expires_at;  // after which it can no longer be in use
    };
    struct Holder {
        std::vector<OutstandingGrant> grants;  // the last one known to have arrived, and all later ones
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
        double unaccounted = 0;  // rate that grants of an earlier allocator may still use until they expire
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
