#include "quota_allocator.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr Duration idle_retention = seconds(10);  // after the last request of an idle holder
constexpr double min_demand = 0.05, max_demand = 1e9;
constexpr size_t max_pools = 4096;
constexpr double rounding_margin = 0.999;  // rates are sent in single precision, which may round up

}  // namespace

QuotaAllocator::QuotaAllocator(const QuotaConfig& config, double clock_drift)
    : config_(config), clock_drift_(clock_drift)
{
}

void QuotaAllocator::on_lease_gained(TimePoint now, Epoch epoch)
{
    epoch_ = epoch;
    lease_gained_at_ = now;
    pools_.clear();
}

// Twice the lease length, measured by the slowest clock.
Duration QuotaAllocator::max_grant_lifetime() const
{
    return config_.lease_duration * (2 + 8 * clock_drift_);
}

double QuotaAllocator::outstanding(TimePoint now, BudgetName name) const
{
    const auto found = pools_.find(name);
    if (found == pools_.end())
        return may_have_earlier_grants(now) ? config_.total_of(name) * allocatable_share : 0;
    const Pool& pool = found->second;
    double sum = may_have_earlier_grants(now) ? pool.unaccounted : 0;
    for (const auto& [id, holder] : pool.holders) sum += holder.outstanding(now);
    return sum;
}

double QuotaAllocator::Holder::outstanding(TimePoint now) const
{
    double highest_rate = 0;
    for (const OutstandingGrant& grant : grants)
        if (now < grant.expires_at) highest_rate = std::max(highest_rate, grant.rate);
    return highest_rate;
}

// Max-min fairness: each holder gets its demand, up to a common limit; what is left is shared evenly.
double QuotaAllocator::fair_rate(TimePoint now, const Pool& pool, const Holder& holder, double total) const
{
    std::vector<double> demands;
    for (const auto& [id, each] : pool.holders)
        if (now - each.last_request < config_.lease_duration * 2)
            demands.push_back(std::max(each.demand, min_demand));
    std::sort(demands.begin(), demands.end());
    double remaining = total;
    for (size_t i = 0; i < demands.size(); ++i) {
        const double level = remaining / static_cast<double>(demands.size() - i);
        if (demands[i] >= level) return std::min(holder.demand, level);
        remaining -= demands[i];
    }
    return holder.demand + remaining / static_cast<double>(std::max<size_t>(1, demands.size()));
}

QuotaAllocator::Pool& QuotaAllocator::pool_of(TimePoint now, BudgetName name)
{
    const auto [entry, is_new] = pools_.try_emplace(name);
    Pool& pool = entry->second;
    if (is_new)
        pool.unaccounted = may_have_earlier_grants(now) ? config_.total_of(name) * allocatable_share : 0;
    std::erase_if(pool.holders, [&](const auto& each) {
        return each.second.outstanding(now) <= 0 && now - each.second.last_request > idle_retention;
    });
    return pool;
}

QuotaAllocator::Holder& QuotaAllocator::holder_of(TimePoint now, Pool& pool, HolderId id,
                                                  const QuotaDemand& demand)
{
    const auto [entry, is_new] = pool.holders.try_emplace(id);
    Holder& holder = entry->second;
    if (!is_new) return holder;
    // What an earlier allocator granted to this holder is tracked here from now on.
    const double held_rate = std::clamp<double>(demand.held_rate, 0, pool.unaccounted);
    pool.unaccounted -= held_rate;
    holder.grants.push_back({0, held_rate, now + max_grant_lifetime()});
    return holder;
}

double QuotaAllocator::grant(TimePoint now, BudgetName name, HolderId id, const QuotaRequest& request,
                             const QuotaDemand& demand)
{
    const double total = config_.total_of(name) * allocatable_share;
    Pool& pool = pool_of(now, name);
    Holder& holder = holder_of(now, pool, id, demand);
    std::erase_if(holder.grants, [&](const OutstandingGrant& grant) {
        return now >= grant.expires_at || grant.number < request.last_answered;
    });
    holder.demand = std::clamp<double>(demand.demand, min_demand, max_demand);
    holder.last_request = now;
    const double others = outstanding(now, name) - holder.outstanding(now);
    const double available = std::max(0.0, total - others);
    const double rate = std::clamp(fair_rate(now, pool, holder, total), 0.0, available);
    holder.grants.push_back({request.number, rate, now + max_grant_lifetime()});
    return rate;
}

QuotaResponse QuotaAllocator::answer(TimePoint now, MemberKey from, const QuotaRequest& request)
{
    QuotaResponse response{epoch_, request.instance, request.number, {}};
    if (request.epoch != epoch_) return response;
    for (const QuotaDemand& demand : request.demands) {
        if (demand.budget > static_cast<uint8_t>(Budget::tenant)) continue;
        const BudgetName name{static_cast<Budget>(demand.budget), demand.budget_id};
        if (config_.total_of(name) <= 0 || (pools_.size() >= max_pools && !pools_.count(name))) continue;
        const double rate = grant(now, name, {from, request.instance}, request, demand);
        response.grants.push_back(
            {demand.budget, demand.budget_id, static_cast<float>(rate * rounding_margin)});
    }
    return response;
}

}  // namespace firtide::fleet
