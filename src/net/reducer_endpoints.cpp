// The reducer's list of upstreams: their slots, their phases, and probes of them.
#include <algorithm>

#include "reducer.h"

namespace firtide::net
{
namespace
{

constexpr Duration probe_timeout = seconds(0.25);

}  // namespace

// A new upstream takes the slot of one that has gone, so that memory does not grow with every upstream that
// ever existed. What was forwarded to the old one keeps its slot in use until it has ended.
UpstreamId Reducer::place_of(const std::string& uid)
{
    const auto [at, fresh] = upstream_of_.try_emplace(uid, static_cast<UpstreamId>(upstreams_.size()));
    if (!fresh) return at->second;
    const auto free = std::find_if(upstreams_.begin(), upstreams_.end(), [](const Upstream& u) {
        return u.phase == EndpointPhase::gone && u.referred == 0;
    });
    if (free == upstreams_.end()) {
        upstreams_.emplace_back();
    } else {
        at->second = static_cast<UpstreamId>(free - upstreams_.begin());
        effects_.push_back(CloseIdle{at->second});
        upstream_of_.erase(free->uid);
        *free = {};
    }
    upstreams_[at->second].uid = uid;
    return at->second;
}

std::vector<EndpointState> Reducer::listings(const std::vector<ListedEndpoint>& entries, bool all)
{
    std::vector<EndpointPhase> before;
    for (Upstream& u : upstreams_) {
        before.push_back(u.phase);
        if (all) u.phase = EndpointPhase::gone;  // a full list drops what it does not name
    }
    // Known upstreams come first, so that their slots are not given to others of the same list.
    for (const ListedEndpoint& e : entries)
        if (const auto at = upstream_of_.find(e.uid); at != upstream_of_.end())
            upstreams_[at->second].phase = e.phase;
    std::vector<EndpointState> listed;
    for (const ListedEndpoint& e : entries) {
        const UpstreamId at = place_of(e.uid);
        before.resize(upstreams_.size(), EndpointPhase::gone);
        Upstream& u = upstreams_[at];
        if (!u.endpoint.empty() && u.endpoint != e.endpoint) effects_.push_back(CloseIdle{at});
        u.endpoint = e.endpoint;
        u.phase = e.phase;
        listed.push_back({at, hash_uid(e.uid), e.phase, e.zone, e.cell, 1, e.started_at});
        if (setup_.capacities_listed && e.capacity > 0) listed.back().capacity = e.capacity;
    }
    bool left = false;
    for (UpstreamId t = 0; t < upstreams_.size(); ++t)
        if (before[t] == EndpointPhase::ready && upstreams_[t].phase != EndpointPhase::ready)
            effects_.push_back(CloseIdle{t}), left = true;
    // A request may have passed may_write() before this list and not have been sent yet.
    if (left)
        for (const auto& [id, a] : attempts_)
            if (upstreams_[a.upstream_id].phase != EndpointPhase::ready) effects_.push_back(CancelWrite{id});
    listed_ = listed_ || !listed.empty();
    return listed;
}

void Reducer::on(EndpointListUpdated& told)
{
    // A discovery service that has lost its state sends an empty list: it does not replace a good one.
    const bool empty =
        recovery_ && told.is_full && told.entries.empty() && listed_ && !recovery_->accepts_empty_list(now_);
    if (recovery_ && !told.entries.empty()) recovery_->on_nonempty_list();
    list_told_ = list_told_ || !empty;
    if (!empty) listed(listings(told.entries, told.is_full), told.is_full);
    balancer_.on_endpoint_list_fetched(now_, true);
}

// The start times of a list from before this start are not trusted: upstreams that came back together with
// this balancer are cold.
void Reducer::on(EndpointListRestored& told)
{
    if (recovery_)
        for (ListedEndpoint& e : told.entries) e.started_at = now_;
    listed(listings(told.entries, true), true);
}

void Reducer::listed(const std::vector<EndpointState>& listings, bool all)
{
    if (!view_)
        return all ? balancer_.set_endpoints(now_, listings) : balancer_.update_endpoints(now_, listings);
    if (all)
        for (EndpointState& l : real_) l.phase = EndpointPhase::gone;
    real_.resize(upstreams_.size());
    for (const EndpointState& l : listings) real_[l.upstream_id] = l;
    view_->set_endpoints(real_);
    show();
}

void Reducer::on(EndpointListFetchFailed) { balancer_.on_endpoint_list_fetched(now_, false); }

// The hash of its uid assigns each upstream a shard and a time slice of the period, the same at every
// balancer.
void Reducer::on(ProbesDue due)
{
    for (UpstreamId t = 0; t < upstreams_.size(); ++t) {
        const uint64_t id = hash_uid(upstreams_[t].uid);
        if (upstreams_[t].phase != EndpointPhase::ready || id % due.shard_count != due.shard ||
            id / due.shard_count % due.slice_count != due.slice)
            continue;
        ++upstreams_[t].referred;
        dial(next_attempt_++,
             {{}, 0, t, upstreams_[t].endpoint, now_, now_ + probe_timeout, false, due.fencing_token});
    }
}

void Reducer::on(const ProbeReportReceived& heard)
{
    const auto at = upstream_of_.find(heard.uid);
    if (at == upstream_of_.end() || upstreams_[at->second].phase == EndpointPhase::gone) return;
    balancer_.on_probe_completed(
        now_, at->second, heard.success ? AttemptResult::succeeded : AttemptResult::unreachable,
        heard.load_report.empty() ? LoadReport{} : decode_load_report(setup_, heard.load_report));
}

void Reducer::probe(UpstreamId upstream_id)
{
    if (view_ && !view_->take_from_budget(now_, {fleet::Budget::probes, 0})) return;
    ++upstreams_[upstream_id].referred;
    dial(next_attempt_++, {{}, 0, upstream_id, upstreams_[upstream_id].endpoint, now_, now_ + probe_timeout});
}

void Reducer::close_idle_connections(UpstreamId upstream_id) { effects_.push_back(CloseIdle{upstream_id}); }

void Reducer::watch_endpoint_list() { effects_.push_back(WatchEndpointList{}); }

}  // namespace firtide::net
