// The reducer as a member of a fleet: what the decision module is shown of the upstreams, quotas, and
// admission after a start.
#include <algorithm>

#include "reducer.h"

namespace firtide::net
{

void Reducer::join_fleet(fleet::EndpointView::Config config)
{
    const Settings& settings = config_.settings;
    config.own_zone = settings.own_zone,
    config.slow_start_duration = settings.slow_start_duration + settings.start_time_margin,
    config.slow_start_min_share = std::max(0.01, settings.slow_start_min_share);
    view_.emplace(std::move(config));
}

void Reducer::update_view()
{
    const auto changes =
        view_->update(now_, [this](UpstreamId upstream_id) { return reduction(upstream_id); });
    if (changes.empty()) return;
    for (const EndpointState& endpoint : changes)
        if (endpoint.phase == EndpointPhase::gone && !view_->is_shown(endpoint.upstream_id))
            effects_.push_back(CloseIdle{endpoint.upstream_id});
    balancer_.update_endpoints(now_, changes);
    const double balancers = std::max(1u, config_.settings.balancer_count);
    balancer_.set_subset_fraction(view_->shown_share() *
                                  (subset_peer_count_ > 0 ? subset_peer_count_ / balancers : 1));
}

void Reducer::on(SubsetPeersUpdated& event)
{
    if (!view_) return;
    subset_peer_count_ = static_cast<double>(event.peers.size());
    view_->set_peers(std::move(event.peers));
}

void Reducer::on(const OutlierReportsUpdated& event)
{
    if (view_) view_->apply_verdicts(now_, event.verdicts);
}

void Reducer::on(const QuotasUpdated& event)
{
    if (view_) view_->set_quotas(now_, event.leases);
}

// Checks the fleet's limits before the decision module sees the request. Returns whether it was rejected.
bool Reducer::reject_at_admission(RequestReceived& event)
{
    OutcomeCounts& outcomes = outcomes_of(event.request.operation);
    // A non-idempotent request that may have run before this start is never forwarded again.
    if (!possibly_executed_ids_.empty() && possibly_executed_ids_.count(event.request.id) &&
        config_.settings.operations[event.request.operation].idempotency == Idempotency::non_idempotent) {
        ++outcomes.failure;
        effects_.push_back(
            SendResponse{event.caller, plain_response(502, "errored\n"), should_close_connections(now_)});
        return true;
    }
    auto retry_after = tenant_rate_retry_after(event.request);
    // Spread by request number, so that callers rejected together do not return together.
    if (!retry_after && startup_ && !startup_->try_admit(now_, value_rank_of(event.request.operation)))
        retry_after = seconds(1 + static_cast<double>(event.caller % 16) * 0.125);
    if (!retry_after) return false;
    ++outcomes.busy;
    auto response = plain_response(503, "throttled\n");
    response.forwarded_headers.emplace_back("Retry-After", encode_seconds(*retry_after));
    effects_.push_back(SendResponse{event.caller, std::move(response), should_close_connections(now_)});
    return true;
}

// 0 for the most valuable operations, up to 1.
double Reducer::value_rank_of(uint32_t operation) const
{
    double max_value = 0;
    for (const Operation& candidate : config_.settings.operations)
        max_value = std::max(max_value, candidate.late_response_value);
    return max_value > 0 ? 1 - config_.settings.operations[operation].late_response_value / max_value : 0;
}

void Reducer::on(const FleetStateUpdated& event)
{
    if (startup_) startup_->set_fleet_state(event.state);
}

// Tells the startup sequence how much of their capacity the listed upstreams can serve by now, and updates
// the rate of successful requests.
void Reducer::update_startup()
{
    if (!startup_) return;
    const Settings& settings = config_.settings;
    double warm_capacity = 0, listed_capacity = 0;
    for (UpstreamId upstream_id = 0;
         upstream_id < upstreams_.size() && upstream_id < listed_endpoints_.size(); ++upstream_id) {
        const EndpointState& endpoint = listed_endpoints_[upstream_id];
        if (upstreams_[upstream_id].phase != EndpointPhase::ready) continue;
        listed_capacity += endpoint.capacity;
        const double warm_share =
            endpoint.started_at && settings.slow_start_duration > Duration{}
                ? std::clamp((now_ - *endpoint.started_at) / settings.slow_start_duration, 0.0, 1.0)
                : 1;
        warm_capacity += endpoint.capacity *
                         (settings.slow_start_min_share + (1 - settings.slow_start_min_share) * warm_share);
    }
    startup_->tick(now_, warm_capacity, listed_capacity, list_received_);
    if (now_ - goodput_updated_at_ < seconds(1)) return;
    const double success_rate = static_cast<double>(std::exchange(successes_since_update_, 0)) /
                                std::max(1.0, (now_ - goodput_updated_at_).seconds());
    if (goodput_updated_at_.us)
        goodput_ += (success_rate > goodput_ ? 0.5 : 0.05) * (success_rate - goodput_);
    goodput_updated_at_ = now_;
}

// Adds what the fleet is told for its snapshot.
void Reducer::add_snapshot_data(LocalObservations& observations)
{
    observations.startup_status = startup_->status_lines(now_);
    for (UpstreamId upstream_id = 0;
         upstream_id < upstreams_.size() && upstream_id < listed_endpoints_.size(); ++upstream_id) {
        if (upstreams_[upstream_id].phase != EndpointPhase::ready) continue;
        observations.total_capacity += listed_endpoints_[upstream_id].capacity;
        if (const double upstream_reduction = reduction(upstream_id); upstream_reduction >= 0.1)
            observations.reductions.push_back({listed_endpoints_[upstream_id].global_id,
                                               static_cast<float>(upstream_reduction), seconds(1.5).us});
    }
    const auto baseline = startup_->next_baseline(now_, {goodput_, observations.total_capacity, 0});
    observations.accepted_rate = baseline.accepted_rate;
    observations.total_capacity = baseline.total_capacity;
    observations.peer_count = baseline.peer_count;
    for (const Invocation& invocation : invocations_)
        if (!invocation.finished && !invocation.attempts.empty() &&
            invocation.request.operation < config_.settings.operations.size() &&
            config_.settings.operations[invocation.request.operation].idempotency ==
                Idempotency::non_idempotent)
            observations.open_request_ids.push_back(invocation.request.id);
}

void Reducer::on(Tick)
{
    update_startup();
    if (!view_) return;
    update_view();
    auto observations = view_->observe(
        now_, [this](UpstreamId upstream_id) { return reduction(upstream_id); },
        [this](UpstreamId upstream_id) { return upstreams_[upstream_id].reference_count > 0; });
    if (!observations) return;
    for (const Upstream& upstream : upstreams_)
        if (upstream.phase != EndpointPhase::gone)
            observations->upstream_names[hash_uid(upstream.uid)] = upstream.uid;
    if (startup_) add_snapshot_data(*observations);
    effects_.push_back(std::move(*observations));
}

// Takes a forward's tokens from the fleet's budgets; without them it counts as not sent.
bool Reducer::take_forward_budgets(uint32_t forward_index, UpstreamId upstream_id)
{
    if (!view_) return true;
    if (forward_index > 0 && !view_->take_from_budget(now_, {fleet::Budget::retries, 0})) return false;
    return view_->take_from_slow_start_budget(now_, upstream_id);
}

// Limits a tenant's rate over the whole fleet. Returns when to retry if this balancer's share is used up.
std::optional<Duration> Reducer::tenant_rate_retry_after(const Request& request)
{
    if (!view_ || request.tenant >= config_.tenant_names.size()) return {};
    if (view_->take_from_budget(now_,
                                {fleet::Budget::tenant, fleet::key_of(config_.tenant_names[request.tenant])}))
        return {};
    return config_.settings.max_retry_after > Duration{} ? config_.settings.max_retry_after : seconds(1);
}

void Reducer::on(const SnapshotRestored& event)
{
    const fleet::MemberSnapshot& snapshot = event.snapshot;
    possibly_executed_ids_ = {snapshot.open_request_ids.begin(), snapshot.open_request_ids.end()};
    if (startup_)
        startup_->set_baseline({snapshot.accepted_rate, snapshot.total_capacity, snapshot.peer_count});
    if (view_) view_->restore_reductions(now_, snapshot.reductions);
}

}  // namespace firtide::net
