// Choices of many balancers that add up, each where the fleet file has its table: who shares the upstreams
// ([subset]), reports of outliers ([signals]) and quotas of budgets ([turns]).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fleet_context.h"
#include "src/fleet/outlier/outlier_gossip.h"
#include "src/fleet/quota/quota_allocator.h"
#include "src/fleet/quota/quota_client.h"

namespace firtide::fleet
{

class SharedChoices
{
  public:
    // `context` must outlive this.
    SharedChoices(FleetContext& context, InstanceId instance);

    void tick();
    void on_observations(LocalObservations& observations);
    void on_outlier_digest(const OutlierDigest& digest);
    void on_quota_request(MemberIndex from, const QuotaRequest& request);
    void on_quota_response(const QuotaResponse& response);
    // This member allocates quotas from now on.
    void on_allocator_lease_gained(Epoch epoch);

    // The last ones of this balancer.
    [[nodiscard]] const LocalObservations& observations() const { return observations_; }
    // For show-fleet.
    [[nodiscard]] std::string status() const;

  private:
    void update_weight(double request_rate);
    void update_subset_peers();
    std::vector<SubsetPeer> subset_peers() const;
    void gossip_outliers();
    void request_quotas();
    std::string subset_status() const;
    std::string outlier_status() const;
    std::string quota_status() const;
    std::string name_of(const BudgetName& budget) const;

    FleetContext& context_;
    std::optional<OutlierGossip> outliers_;
    std::optional<QuotaClient> quotas_;
    std::optional<QuotaAllocator> allocator_;
    LocalObservations observations_;
    std::vector<SubsetPeer> subset_peers_;
    std::optional<uint64_t> subset_version_;  // of the membership, when the peers were last reported
    TimePoint last_weight_change_, last_subset_update_, last_quota_request_;
    bool had_verdicts_ = false;
};

}  // namespace firtide::fleet
