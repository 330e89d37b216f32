#include "shared_choices.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace firtide::fleet
{
namespace
{

constexpr const char* allocator_duty = "parts";
constexpr Duration weight_interval = seconds(10), subset_interval = seconds(0.2);
constexpr double weight_hysteresis = 1.5;        // steps
constexpr double quota_request_interval = 0.25;  // of a quota's lease duration

// Traffic weights are logarithmic steps: 100 is one request per second, and four steps double the rate.
constexpr double base_steps = 100, steps_per_doubling = 4, max_steps = 255;
constexpr double min_rate = 1e-6;

double steps_of(double request_rate)
{
    const double steps = base_steps + steps_per_doubling * std::log2(std::max(request_rate, min_rate));
    return std::clamp(steps, 1.0, max_steps);
}

double rate_of(uint8_t steps) { return std::exp2((steps - base_steps) / steps_per_doubling); }

std::string two_decimals(double value)
{
    std::array<char, 32> text;
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

}  // namespace

SharedChoices::SharedChoices(FleetContext& context, InstanceId instance) : context_(context)
{
    const FleetConfig& config = context.config;
    if (config.outlier_gossip) outliers_.emplace(*config.outlier_gossip, context.own().key, instance);
    if (!config.quotas) return;
    quotas_.emplace(*config.quotas, config.members.size(), instance);
    allocator_.emplace(*config.quotas, config.lease.max_clock_drift);
}

void SharedChoices::tick()
{
    update_subset_peers();
    gossip_outliers();
    if (!quotas_) return;
    request_quotas();
    context_.emit(ApplyQuotas{quotas_->leases()});
}

void SharedChoices::on_observations(LocalObservations& observations)
{
    if (outliers_) outliers_->on_local_evidence(context_.now, observations.outlier_evidence);
    if (quotas_) quotas_->record_demand(context_.now, observations.budget_demand);
    update_weight(observations.request_rate);
    observations_ = std::move(observations);
}

// ---- subsets ----

// Announces a new weight rarely and in steps, because each step shifts the subsets of all members.
void SharedChoices::update_weight(double request_rate)
{
    if (!context_.config.subset || request_rate <= 0) return;
    const double steps = steps_of(request_rate);
    const uint8_t announced = context_.membership.own_state().traffic_weight;
    const bool is_first = announced == 0;
    if (!is_first && std::abs(steps - announced) < weight_hysteresis) return;
    if (!is_first && context_.now - last_weight_change_ <= weight_interval) return;
    context_.membership.set_weight(static_cast<uint8_t>(std::lround(steps)));
    last_weight_change_ = context_.now;
}

void SharedChoices::update_subset_peers()
{
    if (!context_.config.subset || context_.now - last_subset_update_ < subset_interval) return;
    last_subset_update_ = context_.now;
    if (subset_version_ == context_.membership.view_version()) return;
    subset_version_ = context_.membership.view_version();
    auto peers = subset_peers();
    if (peers == subset_peers_) return;
    subset_peers_ = peers;
    context_.emit(ApplySubsetPeers{std::move(peers)});
}

// Includes suspects until they are gone, so that a short silence does not shift subsets, and members that
// were not heard of yet, so that members that start together do not all choose the same subset.
std::vector<SubsetPeer> SharedChoices::subset_peers() const
{
    const FleetConfig& config = context_.config;
    std::vector<SubsetPeer> peers;
    double sum = 0, known = 0;
    for (MemberIndex member = 0; member < config.members.size(); ++member) {
        const MemberState& state = context_.membership.state_of(member);
        if (member != context_.self && state.health == Health::gone) continue;
        const MemberConfig& peer = config.members[member];
        const double rate = state.traffic_weight ? rate_of(state.traffic_weight) : 0;
        peers.push_back({peer.key, peer.zone == context_.own().zone, rate});
        if (!state.traffic_weight) continue;
        sum += rate;
        ++known;
    }
    const double mean = known > 0 ? sum / known : 1;
    for (SubsetPeer& peer : peers)
        if (peer.traffic_weight <= 0) peer.traffic_weight = mean;
    return peers;
}

// ---- outliers ----

void SharedChoices::gossip_outliers()
{
    if (!outliers_) return;
    const auto& targets = context_.membership.gossip_targets();
    const OutlierDigest digest = outliers_->next_digest(context_.now, targets.size());
    if (!digest.reports.empty()) context_.gossip(digest, no_member);
    auto verdicts = outliers_->verdicts(context_.now);
    const bool has_verdicts = !verdicts.empty();
    // Sends one empty update after the last verdict, so that none stays in force.
    if (std::exchange(had_verdicts_, has_verdicts) || has_verdicts)
        context_.emit(ApplyOutlierReports{std::move(verdicts)});
}

void SharedChoices::on_outlier_digest(const OutlierDigest& digest)
{
    if (outliers_) outliers_->on_digest(context_.now, digest);
}

// ---- quotas ----

void SharedChoices::request_quotas()
{
    const Duration interval = context_.config.quotas->lease_duration * quota_request_interval;
    if (context_.now - last_quota_request_ < interval || context_.shutting_down) return;
    last_quota_request_ = context_.now;
    const auto own_epoch = context_.held_epoch(allocator_duty);
    if (own_epoch) return on_quota_request(context_.self, quotas_->make_request(context_.now, *own_epoch));
    const auto lease = context_.lease_client.table().entry(allocator_duty);
    const auto holder = lease.holder ? context_.config.member_of(lease.holder) : std::nullopt;
    if (!holder) return;
    auto request = quotas_->make_request(context_.now, lease.epoch);
    // The table may still name this member after its lease has expired.
    if (*holder == context_.self) return on_quota_request(context_.self, request);
    context_.send(*holder, std::move(request));
}

void SharedChoices::on_quota_request(MemberIndex from, const QuotaRequest& request)
{
    const auto epoch = context_.held_epoch(allocator_duty);
    if (!allocator_ || !epoch || *epoch != allocator_->epoch()) return;
    auto response = allocator_->answer(context_.now, context_.config.members[from].key, request);
    if (response.grants.empty()) return;
    if (from == context_.self) return quotas_->on_response(context_.now, response);
    Publish publish;
    publish.sends.push_back({from, std::move(response)});
    context_.emit(LeasedEffect{allocator_duty, *epoch, {}, std::move(publish)});
}

void SharedChoices::on_quota_response(const QuotaResponse& response)
{
    if (quotas_) quotas_->on_response(context_.now, response);
}

void SharedChoices::on_allocator_lease_gained(Epoch epoch)
{
    if (allocator_) allocator_->on_lease_gained(context_.now, epoch);
}

// ---- show-fleet ----

std::string SharedChoices::status() const { return subset_status() + outlier_status() + quota_status(); }

std::string SharedChoices::subset_status() const
{
    if (!context_.config.subset) return "";
    const uint8_t weight = context_.membership.own_state().traffic_weight;
    return "subset upstreams " + std::to_string(observations_.upstreams_shown) + " of " +
           std::to_string(observations_.upstreams_listed) + " wider " +
           std::to_string(observations_.widening_steps) + " sharers " + std::to_string(subset_peers_.size()) +
           " weight " + two_decimals(weight ? rate_of(weight) : 0) + "\n";
}

std::string SharedChoices::outlier_status() const
{
    std::string text;
    if (!outliers_) return text;
    const auto verdicts = outliers_->verdicts(context_.now);
    for (const auto& [upstream, name] : observations_.upstream_names) {
        const auto verdict = verdicts.find(upstream);
        const double counts = verdict == verdicts.end() ? 0 : verdict->second.reduction;
        for (const auto& report : outliers_->reports_on(context_.now, upstream)) {
            const auto reporter = context_.config.member_of(report.reporter);
            text += "told " + name + " by " + (reporter ? context_.config.members[*reporter].id : "-") +
                    " reduction " + two_decimals(report.reduction) + " age_ms " +
                    std::to_string(report.age.us / 1000) + " counts " + two_decimals(counts) + "\n";
        }
    }
    return text;
}

std::string SharedChoices::name_of(const BudgetName& budget) const
{
    std::string name = to_string(budget.budget);
    if (budget.budget == Budget::slow_start) {
        const auto upstream = observations_.upstream_names.find(budget.id);
        return name + "." + (upstream == observations_.upstream_names.end() ? "-" : upstream->second);
    }
    if (budget.budget != Budget::tenant) return name;
    for (const auto& [key, total] : context_.config.quotas->totals)
        if (key.starts_with(tenant_prefix) && key_of(key.substr(tenant_prefix.size())) == budget.id)
            name = key;
    return name;
}

std::string SharedChoices::quota_status() const
{
    std::string text;
    if (!quotas_) return text;
    for (const QuotaLease& lease : quotas_->leases()) {
        const int64_t left_ms = std::max<int64_t>(0, (lease.expires_at - context_.now).us / 1000);
        text += "part " + name_of(lease.name) + " rate " + two_decimals(lease.rate_at(context_.now)) +
                " floor " + two_decimals(lease.guaranteed_rate) + " left_ms " + std::to_string(left_ms) +
                "\n";
    }
    return text;
}

}  // namespace firtide::fleet
