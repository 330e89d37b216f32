// Coordinates decisions whose effects add up over all balancers: subsets of upstreams ([subset]), outlier
// reports ([signals]) and quotas of budgets ([turns]). Each is active if the fleet file has its table.
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
    // `context` must outlive this object.
    SharedChoices(FleetContext& context, InstanceId instance);

    void tick();
    void on_observations(LocalObservations& observations);
    void on_outlier_digest(const OutlierDigest& digest);
    void on_quota_request(MemberIndex from, const QuotaRequest& request);
    void on_quota_response(const QuotaResponse& response);
    // To be called when this member becomes the quota allocator.
    void on_allocator_lease_gained(Epoch epoch);

    // The latest observations of this balancer.
    [[nodiscard]] const LocalObservations& observations() const { return observations_; }
    // The lines for show-fleet.
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
    std::optional<uint64_t> subset_version_;  // membership version at the last update of subset_peers_
    TimePoint last_weight_change_, last_subset_update_, last_quota_request_;
    bool had_verdicts_ = false;
};

}  // namespace firtide::fleet
