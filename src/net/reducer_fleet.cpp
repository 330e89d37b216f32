// The reducer as a member of a fleet: what the decision module is shown of the upstreams, quotas, and
// admission after a start.
#include <algorithm>

#include "reducer.h"

namespace firtide::net
{

void Reducer::join_fleet(fleet::EndpointView::Config rules)
{
    const Settings& set = setup_.settings;
    rules.zone = set.zone, rules.slow_start_duration = set.slow_start_duration + set.start_time_margin,
    rules.slow_start_min_share = std::max(0.01, set.slow_start_min_share);
    view_.emplace(std::move(rules));
}

void Reducer::show()
{
    const auto changes = view_->update(now_, [this](UpstreamId t) { return reduction(t); });
    if (changes.empty()) return;
    for (const EndpointState& l : changes)
        if (l.phase == EndpointPhase::gone && !view_->is_shown(l.upstream_id))
            effects_.push_back(CloseIdle{l.upstream_id});
    balancer_.update_endpoints(now_, changes);
    const double balancers = std::max(1u, setup_.settings.balancer_count);
    balancer_.set_subset_fraction(view_->shown_share() * (sharers_ > 0 ? sharers_ / balancers : 1));
}

void Reducer::on(SubsetPeersUpdated& fleet)
{
    if (!view_) return;
    sharers_ = static_cast<double>(fleet.peers.size());
    view_->set_peers(std::move(fleet.peers));
}

void Reducer::on(const OutlierReportsUpdated& told)
{
    if (view_) view_->apply_verdicts(now_, told.verdicts);
}

void Reducer::on(const QuotasUpdated& parts)
{
    if (view_) view_->set_quotas(now_, parts.leases);
}

// Checks the fleet's limits before the decision module sees the request. Returns whether it was rejected.
bool Reducer::turned_away(RequestReceived& arrived)
{
    OutcomeCounts& outcomes = outcomes_of(arrived.request.operation);
    // A non-idempotent request that may have run before this start is never forwarded again.
    if (!may_have_run_.empty() && may_have_run_.count(arrived.request.id) &&
        setup_.settings.operations[arrived.request.operation].idempotency == Idempotency::non_idempotent) {
        ++outcomes.failure;
        effects_.push_back(
            SendResponse{arrived.caller, plain_response(502, "errored\n"), should_close_connections(now_)});
        return true;
    }
    auto retry_after = over_rate(arrived.request);
    // Spread by request number, so that callers rejected together do not return together.
    if (!retry_after && recovery_ && !recovery_->try_admit(now_, rank_of(arrived.request.operation)))
        retry_after = seconds(1 + static_cast<double>(arrived.caller % 16) * 0.125);
    if (!retry_after) return false;
    ++outcomes.busy;
    auto r = plain_response(503, "throttled\n");
    r.forwarded_headers.emplace_back("Retry-After", encode_seconds(*retry_after));
    effects_.push_back(SendResponse{arrived.caller, std::move(r), should_close_connections(now_)});
    return true;
}

// 0 for the most valuable operations, up to 1.
double Reducer::rank_of(uint32_t operation) const
{
    double most = 0;
    for (const Operation& op : setup_.settings.operations) most = std::max(most, op.late_response_value);
    return most > 0 ? 1 - setup_.settings.operations[operation].late_response_value / most : 0;
}

void Reducer::on(const FleetStateUpdated& fleet)
{
    if (recovery_) recovery_->set_fleet_state(fleet.state);
}

// Tells the startup sequence how much of their capacity the listed upstreams can serve by now, and updates
// the rate of successful requests.
void Reducer::look_at_return()
{
    if (!recovery_) return;
    const Settings& set = setup_.settings;
    double warm = 0, listed = 0;
    for (UpstreamId t = 0; t < upstreams_.size() && t < real_.size(); ++t) {
        const EndpointState& l = real_[t];
        if (upstreams_[t].phase != EndpointPhase::ready) continue;
        listed += l.capacity;
        const double age = l.started_at && set.slow_start_duration > Duration{}
                               ? std::clamp((now_ - *l.started_at) / set.slow_start_duration, 0.0, 1.0)
                               : 1;
        warm += l.capacity * (set.slow_start_min_share + (1 - set.slow_start_min_share) * age);
    }
    recovery_->tick(now_, warm, listed, list_told_);
    if (now_ - well_at_ < seconds(1)) return;
    const double rate =
        static_cast<double>(std::exchange(went_well_, 0)) / std::max(1.0, (now_ - well_at_).seconds());
    if (well_at_.us) well_rate_ += (rate > well_rate_ ? 0.5 : 0.05) * (rate - well_rate_);
    well_at_ = now_;
}

// Adds what the fleet is told for its snapshot.
void Reducer::remember(LocalObservations& observed)
{
    observed.startup_status = recovery_->status_lines(now_);
    for (UpstreamId t = 0; t < upstreams_.size() && t < real_.size(); ++t) {
        if (upstreams_[t].phase != EndpointPhase::ready) continue;
        observed.total_capacity += real_[t].capacity;
        if (const double r = reduction(t); r >= 0.1)
            observed.reductions.push_back({real_[t].global_id, static_cast<float>(r), seconds(1.5).us});
    }
    const auto baseline = recovery_->next_baseline(now_, {well_rate_, observed.total_capacity, 0});
    observed.accepted_rate = baseline.accepted_rate;
    observed.total_capacity = baseline.total_capacity;
    observed.peer_count = baseline.peer_count;
    for (const Invocation& i : invocations_)
        if (!i.over && !i.attempts.empty() && i.request.operation < setup_.settings.operations.size() &&
            setup_.settings.operations[i.request.operation].idempotency == Idempotency::non_idempotent)
            observed.open_request_ids.push_back(i.request.id);
}

void Reducer::on(Tick)
{
    look_at_return();
    if (!view_) return;
    show();
    auto observed = view_->observe(
        now_, [this](UpstreamId t) { return reduction(t); },
        [this](UpstreamId t) { return upstreams_[t].referred > 0; });
    if (!observed) return;
    for (const Upstream& u : upstreams_)
        if (u.phase != EndpointPhase::gone) observed->upstream_names[hash_uid(u.uid)] = u.uid;
    if (recovery_) remember(*observed);
    effects_.push_back(std::move(*observed));
}

// Takes a forward's tokens from the fleet's budgets; without them it counts as not sent.
bool Reducer::within_budgets(uint32_t nth, UpstreamId upstream_id)
{
    if (!view_) return true;
    if (nth > 0 && !view_->take_from_budget(now_, {fleet::Budget::retries, 0})) return false;
    return view_->take_from_slow_start_budget(now_, upstream_id);
}

// Limits a tenant's rate over the whole fleet. Returns when to retry if this balancer's share is used up.
std::optional<Duration> Reducer::over_rate(const Request& request)
{
    if (!view_ || request.tenant >= setup_.tenant_names.size()) return {};
    if (view_->take_from_budget(now_,
                                {fleet::Budget::tenant, fleet::key_of(setup_.tenant_names[request.tenant])}))
        return {};
    return setup_.settings.max_retry_after > Duration{} ? setup_.settings.max_retry_after : seconds(1);
}

void Reducer::on(const SnapshotRestored& set_baseline)
{
    const fleet::MemberSnapshot& m = set_baseline.snapshot;
    may_have_run_ = {m.open_request_ids.begin(), m.open_request_ids.end()};
    if (recovery_) recovery_->set_baseline({m.accepted_rate, m.total_capacity, m.peer_count});
    if (view_) view_->restore_reductions(now_, m.reductions);
}

}  // namespace firtide::net
