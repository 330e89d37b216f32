// The reducer's list of upstreams: their slots, their phases, and probes of them.
#include <algorithm>

#include "reducer.h"

namespace firtide::net
{
namespace
{

constexpr Duration probe_timeout = seconds(0.25);

template <class Part>
bool differ(const std::optional<Part>& a, const std::optional<Part>& b)
{
    return a && b && *a != *b;
}

// A process does not change its zone, pod group or machine. Where one of two is not known, they may be the
// same.
bool is_elsewhere(const UpstreamLocation& a, const UpstreamLocation& b)
{
    return differ(a.zone, b.zone) || differ(a.pod_group, b.pod_group) ||
           differ(a.machine_kind, b.machine_kind);
}

}  // namespace

// A new upstream takes the slot of one that has gone, so that memory does not grow with every upstream that
// ever existed. What was forwarded to the old one keeps its slot in use until it has ended.
UpstreamId Reducer::find_or_add_upstream(const std::string& uid)
{
    const auto [entry, inserted] = upstream_of_.try_emplace(uid, static_cast<UpstreamId>(upstreams_.size()));
    if (!inserted) return entry->second;
    const auto free_slot = std::find_if(upstreams_.begin(), upstreams_.end(), [](const Upstream& upstream) {
        return upstream.phase == EndpointPhase::gone && upstream.reference_count == 0;
    });
    if (free_slot == upstreams_.end()) {
        upstreams_.emplace_back();
    } else {
        entry->second = static_cast<UpstreamId>(free_slot - upstreams_.begin());
        effects_.push_back(CloseIdle{entry->second});
        upstream_of_.erase(free_slot->uid);
        *free_slot = {};
    }
    upstreams_[entry->second].uid = uid;
    return entry->second;
}

std::vector<EndpointState> Reducer::update_upstreams(const std::vector<ListedEndpoint>& entries, bool is_full)
{
    std::vector<EndpointPhase> previous_phases;
    for (Upstream& upstream : upstreams_) {
        previous_phases.push_back(upstream.phase);
        if (is_full) upstream.phase = EndpointPhase::gone;  // a full list drops what it does not name
    }
    // Known upstreams come first, so that their slots are not given to others of the same list.
    for (const ListedEndpoint& entry : entries)
        if (const auto found = upstream_of_.find(entry.uid); found != upstream_of_.end())
            upstreams_[found->second].phase = entry.phase;
    std::vector<EndpointState> endpoints;
    for (const ListedEndpoint& entry : entries) {
        const UpstreamId upstream_id = find_or_add_upstream(entry.uid);
        previous_phases.resize(upstreams_.size(), EndpointPhase::gone);
        apply_entry(upstream_id, entry);
        endpoints.push_back(endpoint_state(upstream_id));
    }
    for (UpstreamId upstream_id = 0; upstream_id < upstreams_.size(); ++upstream_id)
        if (previous_phases[upstream_id] == EndpointPhase::ready &&
            upstreams_[upstream_id].phase != EndpointPhase::ready)
            effects_.push_back(CloseIdle{upstream_id});
    has_listed_upstreams_ = has_listed_upstreams_ || !endpoints.empty();
    endpoint_memory_.resize(endpoint_bytes());
    return endpoints;
}

void Reducer::apply_entry(UpstreamId upstream_id, const ListedEndpoint& entry)
{
    Upstream& upstream = upstreams_[upstream_id];
    upstream.phase = entry.phase;
    const bool is_known = !upstream.endpoint.empty();
    if (is_known && entry.phase != EndpointPhase::ready) return;
    const bool has_moved = is_known && upstream.endpoint != entry.endpoint;
    const bool has_restarted = is_known && entry.started_at && *entry.started_at != listed_long_ago &&
                               entry.started_at != upstream.started_at;
    if (has_moved || has_restarted || (is_known && is_elsewhere(upstream.location, entry.location))) {
        effects_.push_back(CloseIdle{upstream_id});
        ++upstream.incarnation;
    }
    upstream.endpoint = entry.endpoint;
    upstream.location = entry.location;
    upstream.capacity = entry.capacity;
    // An entry that does not say when it started does not make a cold process a warm one.
    if (!entry.started_at && !has_moved && !upstream.has_assumed_start) return;
    upstream.started_at = entry.started_at == listed_long_ago ? std::nullopt : entry.started_at;
    upstream.has_assumed_start = false;
}

// What the decision module is told: a zone or kind of machine that the settings do not know is none.
UpstreamLocation Reducer::location_of(const Upstream& upstream) const
{
    UpstreamLocation location = upstream.location;
    if (location.zone && !config_.knows_zone(*location.zone)) location.zone.reset();
    if (location.machine_kind && !config_.knows_machine_kind(*location.machine_kind))
        location.machine_kind.reset();
    return location;
}

EndpointState Reducer::endpoint_state(UpstreamId upstream_id) const
{
    const Upstream& upstream = upstreams_[upstream_id];
    const double capacity = config_.capacities_listed ? upstream.capacity : 1;
    return {upstream_id,
            hash_uid(upstream.uid),
            upstream.phase,
            location_of(upstream),
            capacity,
            upstream.started_at,
            0,
            upstream.incarnation};
}

// A request may have passed may_write() before what has changed, and not have been sent yet.
void Reducer::cancel_unwritten_attempts()
{
    for (const auto& [id, attempt] : attempts_)
        if (!is_still_valid(attempt)) effects_.push_back(CancelWrite{id});
}

size_t Reducer::endpoint_bytes() const
{
    size_t bytes = 0;
    // Names stand twice: in their slots, and in the index or an update.
    for (const Upstream& upstream : upstreams_)
        bytes += endpoint_memory_bytes + 2 * (upstream.uid.size() + upstream.endpoint.size());
    return bytes;
}

void Reducer::on(EndpointListUpdated& event)
{
    // A discovery service that has lost its state sends an empty list: it does not replace a good one.
    const bool ignored_empty_list = startup_ && event.is_full && event.entries.empty() &&
                                    has_listed_upstreams_ && !startup_->accepts_empty_list(now_);
    if (startup_ && !event.entries.empty()) startup_->on_nonempty_list();
    list_received_ = list_received_ || !ignored_empty_list;
    if (!ignored_empty_list) publish_endpoints(update_upstreams(event.entries, event.is_full), event.is_full);
    cancel_unwritten_attempts();
    balancer_.on_endpoint_list_fetched(now_, true);
}

// The start times of a list from before this start are not trusted: upstreams that came back together with
// this balancer are cold.
void Reducer::on(EndpointListRestored& event)
{
    if (startup_)
        for (ListedEndpoint& entry : event.entries) entry.started_at = now_;
    const auto endpoints = update_upstreams(event.entries, true);
    for (const EndpointState& endpoint : endpoints)
        upstreams_[endpoint.upstream_id].has_assumed_start = startup_.has_value();
    publish_endpoints(endpoints, true);
    cancel_unwritten_attempts();
}

// With new settings, other zones may be known.
void Reducer::republish_endpoints()
{
    std::vector<EndpointState> endpoints;
    for (UpstreamId upstream_id = 0; upstream_id < upstreams_.size(); ++upstream_id)
        if (upstreams_[upstream_id].phase != EndpointPhase::gone)
            endpoints.push_back(endpoint_state(upstream_id));
    if (view_) view_->set_own_zone(config_.settings.own_zone);
    publish_endpoints(endpoints, false);
}

void Reducer::publish_endpoints(const std::vector<EndpointState>& endpoints, bool is_full)
{
    if (!view_)
        return is_full ? balancer_.set_endpoints(now_, endpoints)
                       : balancer_.update_endpoints(now_, endpoints);
    if (is_full)
        for (EndpointState& endpoint : listed_endpoints_) endpoint.phase = EndpointPhase::gone;
    listed_endpoints_.resize(upstreams_.size());
    for (const EndpointState& endpoint : endpoints) listed_endpoints_[endpoint.upstream_id] = endpoint;
    view_->set_endpoints(listed_endpoints_);
    update_view();
}

void Reducer::on(EndpointListFetchFailed) { balancer_.on_endpoint_list_fetched(now_, false); }

// The hash of its uid assigns each upstream a shard and a time slice of the period, the same at every
// balancer.
void Reducer::on(ProbesDue event)
{
    for (UpstreamId upstream_id = 0; upstream_id < upstreams_.size(); ++upstream_id) {
        const uint64_t id = hash_uid(upstreams_[upstream_id].uid);
        if (upstreams_[upstream_id].phase != EndpointPhase::ready || id % event.shard_count != event.shard ||
            id / event.shard_count % event.slice_count != event.slice)
            continue;
        ++upstreams_[upstream_id].reference_count;
        start_attempt(next_attempt_++, {{},
                                        0,
                                        upstream_id,
                                        upstreams_[upstream_id].endpoint,
                                        now_,
                                        now_ + probe_timeout,
                                        false,
                                        event.fencing_token});
    }
}

void Reducer::on(const ProbeReportReceived& event)
{
    const auto found = upstream_of_.find(event.uid);
    if (found == upstream_of_.end() || upstreams_[found->second].phase == EndpointPhase::gone) return;
    balancer_.on_probe_completed(
        now_, found->second, event.success ? AttemptResult::succeeded : AttemptResult::unreachable,
        event.load_report.empty() ? LoadReport{} : decode_load_report(config_, event.load_report));
}

void Reducer::probe(UpstreamId upstream_id)
{
    if (view_ && !view_->take_from_budget(now_, {fleet::Budget::probes, 0})) return;
    ++upstreams_[upstream_id].reference_count;
    start_attempt(next_attempt_++,
                  {{}, 0, upstream_id, upstreams_[upstream_id].endpoint, now_, now_ + probe_timeout});
}

void Reducer::close_idle_connections(UpstreamId upstream_id) { effects_.push_back(CloseIdle{upstream_id}); }

void Reducer::watch_endpoint_list() { effects_.push_back(WatchEndpointList{}); }

}  // namespace firtide::net
