#include "endpoint_view.h"

#include <algorithm>
#include <cmath>

namespace firtide::fleet
{
namespace
{

constexpr Duration observation_interval = seconds(0.1);
constexpr Duration doubling_time = seconds(0.5);  // of a capacity that recovers
// Keeps enough traffic to notice that the upstream has recovered.
constexpr double min_capacity_factor = 0.02;
constexpr double min_visible_change = 0.05;  // relative; smaller capacity changes are not shown to the module
// Reported start times closer than this are the same start.
constexpr Duration min_start_distance = seconds(5);
// Capacity factor of an upstream in slow start that has no token now, used while most upstreams are in slow
// start. It is picked only if nothing else is available, and then the budget decides. If it were hidden, it
// would be missing from the module's estimate of total capacity.
constexpr double min_drawn_capacity_factor = 1e-3;
constexpr Duration rate_window = seconds(10);
constexpr double min_counted_requests = 50;  // before a rate is reported
constexpr double full_weight = 1 - 1e-9;     // 1, allowing for rounding
// From this reduction on, requests in flight without any response count as a failure.
constexpr double min_stall_reduction = 0.5;
constexpr TimePoint long_ago{INT64_MIN / 2};

}  // namespace

EndpointView::EndpointView(Config config)
    : config_(std::move(config)),
      subset_width_(config_.subset ? config_.subset->narrowing_interval : Duration{})
{
}

// ---- inputs ----

void EndpointView::set_endpoints(const std::vector<EndpointState>& all)
{
    endpoints_.resize(std::max(endpoints_.size(), all.size()));
    candidates_.resize(endpoints_.size());
    for (UpstreamId upstream = 0; upstream < all.size(); ++upstream) {
        const EndpointState& state = all[upstream];
        Endpoint& endpoint = endpoints_[upstream];
        if (endpoint.listed_state.global_id != state.global_id) endpoint = {};
        endpoint.listed_state = state;
        const double size = state.phase == EndpointPhase::gone ? 0 : state.capacity;
        candidates_[upstream] = {state.global_id, size, state.location.zone == config_.own_zone};
    }
    subset_outdated_ = needs_update_ = true;
}

void EndpointView::set_own_zone(std::optional<ZoneId> own_zone)
{
    config_.own_zone = own_zone;
    for (UpstreamId upstream = 0; upstream < candidates_.size(); ++upstream)
        candidates_[upstream].own_zone = endpoints_[upstream].listed_state.location.zone == own_zone;
    subset_outdated_ = needs_update_ = true;
}

void EndpointView::set_peers(std::vector<SubsetPeer> peers)
{
    peers_ = std::move(peers);
    subset_outdated_ = needs_update_ = true;
}

void EndpointView::apply_verdicts(TimePoint now, const std::map<uint64_t, OutlierGossip::Verdict>& verdicts)
{
    for (Endpoint& endpoint : endpoints_) {
        const auto verdict = verdicts.find(endpoint.listed_state.global_id);
        update_capacity_factor(now, endpoint);
        endpoint.verdict_reduction = verdict == verdicts.end() ? 0 : verdict->second.reduction;
        if (verdict == verdicts.end() || !verdict->second.time_since_start) continue;
        const TimePoint start = now - *verdict->second.time_since_start;
        const TimePoint known = std::max(endpoint.reported_start.value_or(long_ago),
                                         endpoint.listed_state.started_at.value_or(long_ago));
        if (start - known > min_start_distance) endpoint.reported_start = start;
    }
}

// Buckets fill from the first lease on, whether or not tokens are wanted yet.
void EndpointView::set_quotas(TimePoint now, const std::vector<QuotaLease>& leases)
{
    quotas_.clear();
    for (const QuotaLease& lease : leases) {
        quotas_[lease.name] = lease;
        (void)buckets_[lease.name].has_token(now, lease);
    }
    std::erase_if(buckets_, [this](const auto& bucket) { return !quotas_.count(bucket.first); });
}

void EndpointView::restore_reductions(TimePoint now, const std::vector<PersistedReduction>& reductions)
{
    for (const PersistedReduction& persisted : reductions)
        restored_reductions_[persisted.upstream_hash] = {persisted.reduction,
                                                         now + Duration{persisted.remaining_us}};
    needs_update_ = true;
}

void EndpointView::record_response(TimePoint now, UpstreamId upstream, bool success)
{
    if (upstream >= endpoints_.size()) return;
    Endpoint& endpoint = endpoints_[upstream];
    ++(success ? endpoint.successes : endpoint.failures).per_second[0];
    (success ? endpoint.last_success : endpoint.last_failure) = now;
}

// ---- slow start ----

bool EndpointView::is_warming(TimePoint now, const EndpointState& endpoint) const
{
    return endpoint.started_at && now - *endpoint.started_at < config_.slow_start_duration;
}

// The capacity available now of an upstream in slow start, relative to that at its start.
double EndpointView::capacity_growth(TimePoint now, const EndpointState& endpoint) const
{
    const double age = std::clamp((now - *endpoint.started_at) / config_.slow_start_duration, 0.0, 1.0);
    return (config_.slow_start_min_share + (1 - config_.slow_start_min_share) * age) /
           config_.slow_start_min_share;
}

// The quota for an upstream grows as it warms up, in the same way at every balancer.
std::optional<QuotaLease> EndpointView::slow_start_quota(TimePoint now, const EndpointState& endpoint) const
{
    const auto quota = quotas_.find({Budget::slow_start, endpoint.global_id});
    if (quota == quotas_.end()) return {};
    QuotaLease scaled = quota->second;
    const double growth = capacity_growth(now, endpoint);
    scaled.rate *= growth;
    scaled.guaranteed_rate *= growth;
    return scaled;
}

void EndpointView::limit_slow_start(TimePoint now, EndpointState& state)
{
    if (!config_.quotas || state.phase != EndpointPhase::ready || !is_warming(now, state)) return;
    const BudgetName name{Budget::slow_start, state.global_id};
    if (!has_budget(name)) return;
    const auto quota = slow_start_quota(now, state);
    if (quota && buckets_[name].has_token(now, *quota)) return;
    if (mostly_warm_)
        state.phase = EndpointPhase::gone;
    else
        state.capacity *= min_drawn_capacity_factor;
}

bool EndpointView::take_from_budget(TimePoint now, BudgetName name)
{
    if (!has_budget(name)) return true;
    ++budget_demand_.try_emplace(name).first->second;
    const auto quota = quotas_.find(name);
    return quota != quotas_.end() && buckets_[name].try_take(now, quota->second);
}

bool EndpointView::take_from_slow_start_budget(TimePoint now, UpstreamId upstream)
{
    if (upstream >= shown_.size() || !is_warming(now, shown_[upstream])) return true;
    needs_update_ = true;  // hidden or shrunk until the next token
    const BudgetName name{Budget::slow_start, shown_[upstream].global_id};
    if (!has_budget(name)) return true;
    const auto quota = slow_start_quota(now, shown_[upstream]);
    return quota && buckets_[name].try_take(now, *quota);
}

// ---- the module's view ----

// While requests are in flight, the module picks an upstream in proportion to about the fifth power of its
// capacity. So a report of one balancer alone reduces the capacity only a little, and reports that several
// agree on nearly remove the upstream.
double EndpointView::update_capacity_factor(TimePoint now, Endpoint& endpoint) const
{
    double reduction = endpoint.verdict_reduction;
    const auto restored = restored_reductions_.find(endpoint.listed_state.global_id);
    if (restored != restored_reductions_.end() && now < restored->second.until)
        reduction = std::max(reduction, restored->second.reduction);
    const double exponent = 0.2 + 0.8 * reduction * reduction;
    const double max_factor = std::max(min_capacity_factor, std::pow(1 - reduction, exponent));
    const double recovered =
        endpoint.capacity_factor * std::exp2((now - endpoint.capacity_factor_at) / doubling_time);
    endpoint.capacity_factor = std::min(max_factor, std::max(min_capacity_factor, std::min(1.0, recovered)));
    endpoint.capacity_factor_at = now;
    return endpoint.capacity_factor;
}

double EndpointView::subset_weight(UpstreamId upstream) const
{
    if (!config_.subset) return 1;
    return upstream < subset_.size() ? subset_[upstream] : 0;
}

EndpointState EndpointView::adjusted_state(TimePoint now, UpstreamId upstream)
{
    Endpoint& endpoint = endpoints_[upstream];
    EndpointState state = endpoint.listed_state;
    const bool has_newer_start =
        endpoint.reported_start && (!state.started_at || *state.started_at < *endpoint.reported_start);
    if (has_newer_start) state.started_at = endpoint.reported_start;
    const double weight = subset_weight(upstream);
    if (weight <= 0) state.phase = EndpointPhase::gone;
    if (config_.outlier_gossip || !restored_reductions_.empty())
        state.capacity *= update_capacity_factor(now, endpoint);
    state.capacity *= weight > 0 ? weight : 1;
    limit_slow_start(now, state);
    return state;
}

bool EndpointView::is_mostly_warm(TimePoint now) const
{
    double listed = 0, warming = 0;
    for (const Endpoint& endpoint : endpoints_) {
        if (endpoint.listed_state.phase != EndpointPhase::ready) continue;
        listed += endpoint.listed_state.capacity;
        if (is_warming(now, endpoint.listed_state)) warming += endpoint.listed_state.capacity;
    }
    return warming * 2 < listed;
}

bool EndpointView::differs_visibly(const EndpointState& next, const EndpointState& shown,
                                   UpstreamId upstream) const
{
    const bool same = next.global_id == shown.global_id && next.phase == shown.phase &&
                      next.started_at == shown.started_at && next.location == shown.location &&
                      next.machine_type == shown.machine_type && next.incarnation == shown.incarnation;
    if (!same) return true;
    if (next.capacity == shown.capacity) return false;
    // A capacity that is fully restored is always shown, however small the step.
    const bool is_fully_restored = next.capacity == endpoints_[upstream].listed_state.capacity;
    return is_fully_restored ||
           std::abs(next.capacity - shown.capacity) > min_visible_change * shown.capacity;
}

std::vector<EndpointState> EndpointView::update(TimePoint now, const Reduction& reduction)
{
    needs_update_ = false;
    if (config_.subset) update_subset(now, reduction);
    mostly_warm_ = is_mostly_warm(now);
    if (shown_.size() < endpoints_.size()) shown_.resize(endpoints_.size());
    std::vector<EndpointState> changes;
    for (UpstreamId upstream = 0; upstream < endpoints_.size(); ++upstream) {
        const EndpointState next = adjusted_state(now, upstream);
        EndpointState& shown = shown_[upstream];
        const bool is_hidden = next.phase == EndpointPhase::gone && shown.phase == EndpointPhase::gone;
        const bool is_listed = endpoints_[upstream].listed_state.phase != EndpointPhase::gone;
        // The module knows a hidden one as gone, so that it can record what others report of it.
        if (is_hidden && (!is_listed || next.global_id == shown.global_id)) continue;
        if (!differs_visibly(next, shown, upstream)) continue;
        shown = next;
        changes.push_back(next);
    }
    return changes;
}

bool EndpointView::needs_update(const Reduction& reduction) const
{
    if (needs_update_ || !config_.subset) return needs_update_;
    for (UpstreamId upstream = 0; upstream < shown_.size(); ++upstream)
        if (shown_[upstream].phase == EndpointPhase::ready && reduction(upstream) <= 0) return false;
    return !shown_.empty();
}

bool EndpointView::is_shown(UpstreamId upstream) const
{
    return upstream < shown_.size() && shown_[upstream].phase != EndpointPhase::gone;
}

double EndpointView::shown_share() const
{
    double shown = 0, listed = 0;
    for (UpstreamId upstream = 0; upstream < endpoints_.size(); ++upstream) {
        if (candidates_[upstream].size <= 0) continue;
        listed += 1;
        shown += upstream < subset_.size() ? subset_[upstream] : 0;
    }
    return config_.subset && listed > 0 && shown > 0 ? shown / listed : 1;
}

// ---- the subset ----

SubsetWeights EndpointView::compute_subset(double widening) const
{
    return select_subset(*config_.subset, peers_, config_.self_key, candidates_, widening);
}

bool EndpointView::covers_whole_list() const
{
    for (size_t i = 0; i < candidates_.size(); ++i)
        if (candidates_[i].size > 0 && subset_[i] <= full_weight) return false;
    return true;
}

// Weighted by capacity and, for upstreams in slow start, by the share of it that is available now.
double EndpointView::unreduced_share(TimePoint now, const SubsetWeights& subset,
                                     const Reduction& reduction) const
{
    double all = 0, free = 0;
    bool any_unreduced = false;
    for (UpstreamId upstream = 0; upstream < subset.size(); ++upstream) {
        if (subset[upstream] <= 0) continue;
        const Endpoint& endpoint = endpoints_[upstream];
        const double size = subset[upstream] * candidates_[upstream].size;
        all += size;
        if (endpoint.listed_state.phase != EndpointPhase::ready) continue;
        const double own_reduction = reduction(upstream);
        any_unreduced = any_unreduced || own_reduction <= 0;
        const bool warming = is_warming(now, endpoint.listed_state);
        const double available_share =
            warming ? capacity_growth(now, endpoint.listed_state) * config_.slow_start_min_share : 1;
        free += size * (1 - std::max(own_reduction, endpoint.verdict_reduction)) * available_share;
    }
    return any_unreduced && all > 0 ? free / all : 0;
}

void EndpointView::update_subset(TimePoint now, const Reduction& reduction)
{
    if (std::exchange(subset_outdated_, false)) {
        subset_ = compute_subset(subset_width_.widening());
        if (subset_width_.steps() > 0) narrower_subset_ = compute_subset(subset_width_.widening() / 2);
    }
    for (;;) {
        const double free = unreduced_share(now, subset_, reduction);
        const double narrower_free =
            subset_width_.steps() > 0 ? unreduced_share(now, narrower_subset_, reduction) : 0;
        const double old_widening = subset_width_.widening();
        if (!subset_width_.adjust(now, free, narrower_free, covers_whole_list())) return;
        subset_ = compute_subset(subset_width_.widening());
        narrower_subset_ = compute_subset(subset_width_.widening() / 2);
        if (subset_width_.widening() < old_widening) return;
    }
}

// ---- reports to the fleet ----

// Averages over the whole run at first and over about ten seconds later, so that subset weights do not follow
// random fluctuations.
void EndpointView::update_rate(TimePoint now, double elapsed)
{
    constexpr double min_elapsed = 0.01;
    if (rate_since_.us == 0) rate_since_ = now - Duration{static_cast<int64_t>(elapsed * 1e6)};
    const double total = std::max(elapsed, (now - rate_since_).seconds());
    const double gain = std::max(elapsed / rate_window.seconds(), elapsed / total);
    total_requests_ += new_requests_;
    const double rate = std::exchange(new_requests_, 0) / std::max(min_elapsed, elapsed);
    request_rate_ += gain * (rate - request_rate_);
}

OutlierEvidence EndpointView::make_evidence(TimePoint now, UpstreamId upstream, const Reduction& reduction,
                                            const HasInFlight& in_flight) const
{
    const Endpoint& endpoint = endpoints_[upstream];
    OutlierEvidence evidence;
    evidence.upstream = endpoint.listed_state.global_id;
    evidence.reduction = reduction(upstream);
    evidence.good_responses = endpoint.successes.total();
    evidence.bad_responses = endpoint.failures.total();
    evidence.last_bad_response_age = now - endpoint.last_failure;
    evidence.last_good_response_age = now - endpoint.last_success;
    // An upstream that holds requests without answering any causes no failures to count, so the stall itself
    // counts as one.
    const bool is_silent = evidence.good_responses + evidence.bad_responses == 0;
    if (evidence.reduction >= min_stall_reduction && is_silent && in_flight(upstream)) {
        evidence.bad_responses = 1;
        evidence.last_bad_response_age = {};
    }
    if (is_warming(now, endpoint.listed_state))
        evidence.time_since_start = now - *endpoint.listed_state.started_at;
    return evidence;
}

void EndpointView::add_observations(TimePoint now, UpstreamId upstream, const OutlierEvidence& evidence,
                                    LocalObservations& observations) const
{
    const BudgetName slow_start{Budget::slow_start, endpoints_[upstream].listed_state.global_id};
    const bool shown_warming = upstream < shown_.size() && is_warming(now, shown_[upstream]);
    if (shown_warming && has_budget(slow_start)) ++observations.budget_demand[slow_start];
    if (evidence.reduction > 0 || evidence.good_responses > 0 || evidence.bad_responses > 0 ||
        evidence.time_since_start)
        observations.outlier_evidence.push_back(evidence);
}

void EndpointView::rotate_response_counts(TimePoint now)
{
    if (now - last_rotation_ < seconds(1)) return;
    last_rotation_ = now;
    for (Endpoint& endpoint : endpoints_) {
        endpoint.successes.rotate();
        endpoint.failures.rotate();
    }
}

std::optional<LocalObservations> EndpointView::observe(TimePoint now, const Reduction& reduction,
                                                       const HasInFlight& in_flight)
{
    if (now - last_observation_ < observation_interval) return {};
    update_rate(now, std::min(1.0, (now - std::exchange(last_observation_, now)).seconds()));
    LocalObservations observations;
    if (total_requests_ >= min_counted_requests) observations.request_rate = request_rate_;
    observations.budget_demand = std::exchange(budget_demand_, {});
    observations.widening_steps = subset_width_.steps();
    for (UpstreamId upstream = 0; upstream < endpoints_.size(); ++upstream) {
        if (endpoints_[upstream].listed_state.phase == EndpointPhase::gone) continue;
        ++observations.upstreams_listed;
        if (config_.subset && subset_weight(upstream) <= 0) continue;
        ++observations.upstreams_shown;
        add_observations(now, upstream, make_evidence(now, upstream, reduction, in_flight), observations);
    }
    rotate_response_counts(now);
    return observations;
}

}  // namespace firtide::fleet
