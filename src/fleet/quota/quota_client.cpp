#include "quota_client.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr Duration idle_retention = seconds(10);  // of a slow-start budget without demand
constexpr double demand_decay_rate = 2;           // per second
constexpr size_t max_budgets = 256, max_pending_requests = 16;

}  // namespace

const char* to_string(Budget budget)
{
    switch (budget) {
        case Budget::retries: return "retries";
        case Budget::probes: return "probes";
        case Budget::slow_start: return "cold";
        case Budget::tenant: return "tenant";
    }
    return "";
}

double QuotaConfig::total_of(BudgetName name) const
{
    if (name.budget == Budget::tenant) {
        for (const auto& [key, value] : totals)
            if (key.starts_with(tenant_prefix) && key_of(key.substr(tenant_prefix.size())) == name.id)
                return value;
        return 0;
    }
    const auto found = totals.find(to_string(name.budget));
    return found == totals.end() ? 0 : found->second;
}

QuotaClient::QuotaClient(const QuotaConfig& config, size_t members, InstanceId instance)
    : config_(config), member_count_(members), instance_(instance)
{
    for (const auto& [name, total] : config.totals) {
        if (name == to_string(Budget::slow_start)) continue;  // created for each upstream that warms up
        if (name.starts_with(tenant_prefix))
            state_of({Budget::tenant, key_of(name.substr(tenant_prefix.size()))});
        else
            state_of({name == to_string(Budget::retries) ? Budget::retries : Budget::probes, 0});
    }
}

QuotaClient::BudgetState& QuotaClient::state_of(BudgetName name)
{
    const auto [entry, is_new] = budgets_.try_emplace(name);
    BudgetState& state = entry->second;
    if (!is_new) return state;
    const double even_share = config_.total_of(name) * guaranteed_share / static_cast<double>(member_count_);
    state.lease.name = name;
    state.lease.guaranteed_rate = config_.guaranteed_rate.value_or(even_share);
    return state;
}

void QuotaClient::record_demand(TimePoint now, const std::map<BudgetName, uint32_t>& requests)
{
    const double elapsed = (now - last_measured_).seconds();
    if (elapsed <= 0) return;
    last_measured_ = now;
    for (const auto& [name, count] : requests)
        if (config_.total_of(name) > 0 && budgets_.size() < max_budgets) state_of(name).last_demand = now;
    for (auto next = budgets_.begin(); next != budgets_.end();) {
        auto& [name, state] = *next;
        const auto count = requests.find(name);
        const double rate = count == requests.end() ? 0 : count->second / elapsed;
        // Demand rises at once and falls gradually.
        const double gain = rate > state.demand ? 1 : std::min(1.0, demand_decay_rate * elapsed);
        state.demand += gain * (rate - state.demand);
        const bool unused = now - state.last_demand > idle_retention && now >= state.lease.expires_at;
        next = name.budget == Budget::slow_start && unused ? budgets_.erase(next) : std::next(next);
    }
}

QuotaRequest QuotaClient::make_request(TimePoint now, Epoch allocator)
{
    // An answer of the last allocator must not arrive after the new one was told the held rate.
    if (std::exchange(allocator_epoch_, allocator) != allocator) {
        pending_requests_.clear();
        last_answered_number_ = 0;
    }
    QuotaRequest request{instance_, allocator, ++last_request_number_, last_answered_number_, {}};
    pending_requests_[last_request_number_] = now;
    while (pending_requests_.size() > max_pending_requests)
        pending_requests_.erase(pending_requests_.begin());
    for (const auto& [name, state] : budgets_) {
        const double held_rate = state.lease.rate_at(now) - state.lease.guaranteed_rate;
        request.demands.push_back({static_cast<uint8_t>(name.budget), name.id,
                                   static_cast<float>(state.demand), static_cast<float>(held_rate)});
    }
    return request;
}

// A lease counts from its request, so that it expires here before it does at the allocator.
void QuotaClient::on_response(TimePoint now, const QuotaResponse& response)
{
    const auto request = pending_requests_.find(response.number);
    const bool is_answer = response.instance == instance_ && response.epoch == allocator_epoch_;
    if (!is_answer || request == pending_requests_.end()) return;
    last_answered_number_ = response.number;
    const TimePoint sent = request->second;
    pending_requests_.erase(pending_requests_.begin(), std::next(request));
    for (const QuotaGrant& grant : response.grants) {
        const auto budget = budgets_.find({static_cast<Budget>(grant.budget), grant.budget_id});
        if (budget == budgets_.end()) continue;
        QuotaLease lease = budget->second.lease;
        lease.rate = grant.rate;
        lease.full_rate_until = sent + config_.lease_duration;
        lease.expires_at = sent + config_.lease_duration * 2;
        if (now < lease.expires_at) budget->second.lease = lease;
    }
}

std::vector<QuotaLease> QuotaClient::leases() const
{
    std::vector<QuotaLease> leases;
    for (const auto& [name, state] : budgets_) leases.push_back(state.lease);
    return leases;
}

}  // namespace firtide::fleet
