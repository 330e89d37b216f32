#include "reducer.h"

#include <algorithm>

namespace firtide::net
{
namespace
{

constexpr Span probe_waits = seconds(0.25);
constexpr Span may_listen_for =
    seconds(0.05);  // forwards go on for a caller that has closed its sending side
// Bytes of one message that is passed on, before its reader is held: less where there are many.
constexpr size_t least_window = 16 * 1024, most_window = 64 * 1024;
constexpr Span front_sends_on = seconds(0.4);  // to a balancer that drains, until it has noticed
// The process may be killed so long after the signal to stop and the longest time that a client waits, of
// which no more than so much counts.
constexpr Span killed_after = seconds(0.7), longest_wait = seconds(3);
// What has come after the signal is answered so long before that, and callers are turned out before this
// again by so much.
constexpr Span before_kill = seconds(0.3), for_last_answers = seconds(1.4);

Response plain_answer(int status, const char* text)
{
    Response r;
    r.status = status;
    r.body = text;
    return r;
}

// What an answer proves. A 503 that does not say it was declined may have run.
AttemptResult result_of(const Response& r)
{
    if (r.status == 200) return AttemptResult::succeeded;
    if ((r.status == 503 || r.status == 504) && r.declined) return AttemptResult::full;
    // Guards against blaming upstreams for what bad callers ask, and against asking it of another one.
    if (r.status >= 400 && r.status < 500) return AttemptResult::unusable;
    return AttemptResult::errored;
}

// What a break proves: nothing ran before the last byte was written.
AttemptResult result_of(ConnectionError b)
{
    if (b.cause == FailureCause::no_descriptor) return AttemptResult::not_sent;
    if (b.progress < AttemptProgress::written) return AttemptResult::unreachable;
    return b.cause == FailureCause::no_answer_in_time ? AttemptResult::timed_out : AttemptResult::reset;
}

}  // namespace

uint64_t id_of(std::string_view uid)
{
    uint64_t hash = 0xcbf29ce484222325u;
    for (const unsigned char c : uid) hash = (hash ^ c) * 0x100000001b3u;
    return hash;
}

Reducer::Reducer(ServiceConfig& setup, uint64_t seed, std::string discovery, size_t room)
    : setup_(setup),
      all_room_(room),
      room_(room),
      discovery_(std::move(discovery)),
      balancer_(setup.settings, seed, *this)
{
    for (const auto& name : setup.operations) outcomes_[name];
}

void Reducer::join(fleet::EndpointView::Config rules)
{
    const Settings& set = setup_.settings;
    rules.zone = set.zone, rules.cold = set.cold + set.ready_margin,
    rules.cold_share = std::max(0.01, set.cold_share);
    view_.emplace(std::move(rules));
}

std::vector<Effect> Reducer::reduce(Point now, Event event)
{
    now_ = now;
    if (view_ && view_->due([this](UpstreamId t) { return reduction(t); })) show();
    std::visit([this](auto& e) { on(e); }, event);
    // The module is told only now of a forward that was cancelled, or that could not be made: it may not be
    // called while it decides.
    while (!settled_.empty()) {
        const auto [id, result] = settled_.front();
        settled_.pop_front();
        if (result == AttemptResult::cancelled) effects_.push_back(CloseUpstream{id});
        ended(id, result, nullptr);
    }
    return std::move(effects_);
}

void Reducer::on(ServiceStarted)
{
    if (recovery_) recovery_->start(now_);
    balancer_.started(now_);
}

// A new upstream takes the place of one that has gone. Guards against growing with all that ever were; what
// was forwarded to the old one still counts against it until it is over.
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
        if (all) u.phase = EndpointPhase::gone;  // a whole list drops what it does not name
    }
    // Those that have a place come first. Guards against giving it to another one of the same list.
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
        listed.push_back({at, id_of(e.uid), e.phase, e.zone, e.cell, 1, e.started});
        if (setup_.sizes_listed && e.size > 0) listed.back().size = e.size;
    }
    bool left = false;
    for (UpstreamId t = 0; t < upstreams_.size(); ++t)
        if (before[t] == EndpointPhase::ready && upstreams_[t].phase != EndpointPhase::ready)
            effects_.push_back(CloseIdle{t}), left = true;
    // Guards against a request that passed the gate before this list and leaves after it.
    if (left)
        for (const auto& [id, a] : attempts_)
            if (upstreams_[a.upstream_id].phase != EndpointPhase::ready) effects_.push_back(CancelWrite{id});
    listed_ = listed_ || !listed.empty();
    return listed;
}

void Reducer::on(EndpointListUpdated& told)
{
    // Guards against a discovery that has lost its own past: no good list is thrown away for an empty one.
    const bool empty =
        recovery_ && told.all && told.entries.empty() && listed_ && !recovery_->accepts_empty_list(now_);
    if (recovery_ && !told.entries.empty()) recovery_->on_valid_list();
    list_told_ = list_told_ || !empty;
    if (!empty) listed(listings(told.entries, told.all), told.all);
    balancer_.list_answered(now_, true);
}

// Of a list from before the start, warmth is not believed: what came back with this one is cold.
void Reducer::on(EndpointListRestored& told)
{
    if (recovery_)
        for (ListedEndpoint& e : told.entries) e.started = now_;
    listed(listings(told.entries, true), true);
}

void Reducer::listed(const std::vector<EndpointState>& listings, bool all)
{
    if (!view_) return all ? balancer_.list_is(now_, listings) : balancer_.list_changed(now_, listings);
    if (all)
        for (EndpointState& l : real_) l.phase = EndpointPhase::gone;
    real_.resize(upstreams_.size());
    for (const EndpointState& l : listings) real_[l.upstream_id] = l;
    view_->set_endpoints(real_);
    show();
}

// ---- as a member of a fleet ----

void Reducer::show()
{
    const auto changes = view_->update(now_, [this](UpstreamId t) { return reduction(t); });
    if (changes.empty()) return;
    for (const EndpointState& l : changes)
        if (l.phase == EndpointPhase::gone && !view_->shows(l.upstream_id))
            effects_.push_back(CloseIdle{l.upstream_id});
    balancer_.list_changed(now_, changes);
    const double balancers = std::max(1u, setup_.settings.balancers);
    balancer_.share_of_list(view_->shown_share() * (sharers_ > 0 ? sharers_ / balancers : 1));
}

void Reducer::on(SubsetPeersUpdated& fleet)
{
    if (!view_) return;
    sharers_ = static_cast<double>(fleet.sharers.size());
    view_->set_peers(std::move(fleet.sharers));
}

void Reducer::on(const OutlierReportsUpdated& told)
{
    if (view_) view_->apply_verdicts(now_, told.results);
}

void Reducer::on(const QuotasUpdated& parts)
{
    if (view_) view_->set_quotas(now_, parts.parts);
}

// Against the fleet's own limits, before the module hears of it.
bool Reducer::turned_away(RequestReceived& arrived)
{
    OutcomeCounts& outcomes = outcomes_of(arrived.request.operation);
    // What may have run before this start is never forwarded again.
    if (!may_have_run_.empty() && may_have_run_.count(arrived.request.id) &&
        setup_.settings.operations[arrived.request.operation].repeat == Idempotency::non_idempotent) {
        ++outcomes.failure;
        effects_.push_back(SendResponse{arrived.caller, plain_answer(502, "errored\n"), turns_out(now_)});
        return true;
    }
    auto retry_after = over_rate(arrived.request);
    // Spread by the caller's number, so that those turned away together don't come back together.
    if (!retry_after && recovery_ && !recovery_->admits(now_, rank_of(arrived.request.operation)))
        retry_after = seconds(1 + static_cast<double>(arrived.caller % 16) * 0.125);
    if (!retry_after) return false;
    ++outcomes.busy;
    auto r = plain_answer(503, "throttled\n");
    r.passed_on.emplace_back("Retry-After", encode_seconds(*retry_after));
    effects_.push_back(SendResponse{arrived.caller, std::move(r), turns_out(now_)});
    return true;
}

// 0 for the operations that are worth most.
double Reducer::rank_of(uint32_t operation) const
{
    double most = 0;
    for (const Operation& op : setup_.settings.operations) most = std::max(most, op.late_billed_value);
    return most > 0 ? 1 - setup_.settings.operations[operation].late_billed_value / most : 0;
}

void Reducer::on(const SnapshotRestored& set_baseline)
{
    const fleet::MemberSnapshot& m = set_baseline.memory;
    may_have_run_ = {m.open.begin(), m.open.end()};
    if (recovery_) recovery_->set_baseline(now_, m.rate, m.peers, m.size);
    if (view_) view_->restore_reductions(now_, m.reductions);
}

void Reducer::on(const FleetStateUpdated& fleet)
{
    if (recovery_) recovery_->set_fleet_state(fleet.state);
}

// What listed upstreams can do by now, for their sizes.
void Reducer::look_at_return()
{
    if (!recovery_) return;
    const Settings& set = setup_.settings;
    double warm = 0, listed = 0;
    for (UpstreamId t = 0; t < upstreams_.size() && t < real_.size(); ++t) {
        const EndpointState& l = real_[t];
        if (upstreams_[t].phase != EndpointPhase::ready) continue;
        listed += l.size;
        const double age =
            l.started && set.cold > Span{} ? std::clamp((now_ - *l.started) / set.cold, 0.0, 1.0) : 1;
        warm += l.size * (set.cold_share + (1 - set.cold_share) * age);
    }
    recovery_->tick(now_, warm, listed, list_told_);
    if (now_ - well_at_ < seconds(1)) return;
    const double rate =
        static_cast<double>(std::exchange(went_well_, 0)) / std::max(1.0, (now_ - well_at_).seconds());
    if (well_at_.us) well_rate_ += (rate > well_rate_ ? 0.5 : 0.05) * (rate - well_rate_);
    well_at_ = now_;
}

// What is told to the fleet for its snapshot.
void Reducer::remember(LocalObservations& observed)
{
    observed.recovery = recovery_->status_lines(now_);
    for (UpstreamId t = 0; t < upstreams_.size() && t < real_.size(); ++t) {
        if (upstreams_[t].phase != EndpointPhase::ready) continue;
        observed.size += real_[t].size;
        if (const double r = reduction(t); r >= 0.1)
            observed.reductions.push_back({real_[t].id, static_cast<float>(r), seconds(1.5).us});
    }
    const auto baseline = recovery_->baseline(now_, {well_rate_, observed.size, 0});
    observed.accepted = baseline.rate, observed.size = baseline.size, observed.sharers = baseline.sharers;
    for (const Invocation& i : invocations_)
        if (!i.over && !i.attempts.empty() && i.request.operation < setup_.settings.operations.size() &&
            setup_.settings.operations[i.request.operation].repeat == Idempotency::non_idempotent)
            observed.open.push_back(i.request.id);
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
        if (u.phase != EndpointPhase::gone) observed->names[id_of(u.uid)] = u.uid;
    if (recovery_) remember(*observed);
    effects_.push_back(std::move(*observed));
}

// The gate of the fleet's budgets: what it refuses has not been sent.
bool Reducer::within_budgets(uint32_t nth, UpstreamId upstream_id)
{
    if (!view_) return true;
    if (nth > 0 && !view_->take_from_budget(now_, {fleet::Budget::retries, 0})) return false;
    return view_->take_from_slow_start_budget(now_, upstream_id);
}

// A tenant's rate over the whole fleet. When to come back, where this one is over its part.
std::optional<Span> Reducer::over_rate(const Request& request)
{
    if (!view_ || request.tenant >= setup_.tenants.size()) return {};
    if (view_->take_from_budget(now_, {fleet::Budget::tenant, fleet::key_of(setup_.tenants[request.tenant])})) return {};
    return setup_.settings.max_retry_after > Span{} ? setup_.settings.max_retry_after : seconds(1);
}

void Reducer::on(EndpointListFetchFailed) { balancer_.list_answered(now_, false); }

void Reducer::on(RequestReceived& arrived)
{
    // Guards against a request whose head was read under other settings being taken for another operation.
    if (arrived.request.edition != setup_.edition) {
        const auto operation = decode_operation(setup_, arrived.request.target);
        if (!operation) {
            effects_.push_back(SendResponse{arrived.caller, plain_answer(404, "no such operation\n"), true});
            return;
        }
        arrived.request.operation = *operation;
        arrived.request.tenant = static_cast<uint32_t>(setup_.tenants.size());  // nobody
    }
    ++taken_;
    if (view_) view_->count_request();
    OutcomeCounts& outcomes = outcomes_of(arrived.request.operation);
    if (turned_away(arrived)) return;
    // Guards against two forwards under one id, of which an upstream would take the second for a copy.
    if (!open_ids_.insert(arrived.request.id).second) {
        ++outcomes.failure;
        effects_.push_back(SendResponse{arrived.caller, plain_answer(409, "this id is open\n"), true});
        return;
    }
    if (free_.empty()) {
        free_.push_back(static_cast<InvocationId>(invocations_.size()));
        invocations_.emplace_back();
    }
    const InvocationId inv = free_.back();
    free_.pop_back();
    invocation_of_.emplace(arrived.caller, inv);
    bound_by_stop(arrived.request);
    const InvocationRequest ask{arrived.request.operation, arrived.request.tenant, arrived.request.time_left,
                                arrived.request.more};
    Invocation& i = invocations_[inv] = {};
    i.caller = arrived.caller;
    i.over = false;
    i.request = std::move(arrived.request);
    if (arrived.half_closed) i.half_closed = now_ - may_listen_for;
    i.outcomes = &outcomes;
    const Operation& op = setup_.settings.operations[ask.operation];
    if (op.repeat == Idempotency::deduplicated) i.window = op.window;
    sending_ += i.request.more;
    balancer_.accept(now_, inv, ask);
}

// More of a request that goes on while it comes. Until its last byte nothing has run; its time begins there.
void Reducer::on(RequestChunkReceived& piece)
{
    const auto at = invocation_of_.find(piece.caller);
    if (at == invocation_of_.end() || invocations_[at->second].over) return;
    Invocation& i = invocations_[at->second];
    if (!i.request.more) return;
    i.request.body = {}, i.spent = true;
    if (!i.goes_to) return;
    i.on_way += piece.bytes.size();
    i.request.more = !piece.last;
    sending_ -= piece.last;
    effects_.push_back(WriteUpstream{
        *i.goes_to, encode_piece(std::move(piece.bytes), !i.request.length, piece.last), i.request.more});
    if (i.request.more) {
        if (i.on_way > most_on_way()) effects_.push_back(SetRequestReading{i.caller, false});
        return;
    }
    i.request.time_left = std::max(Span{}, i.request.time_left - piece.waited);
    bound_by_stop(i.request);
    balancer_.sent(now_, at->second, i.request.time_left);
}

// Guards against memory that is used up by many large messages at once: their readers are held sooner.
size_t Reducer::most_on_way() const
{
    return std::clamp(room_ / (relays_.size() + sending_ + 1), least_window, most_window);
}

// The caller is heard only while its bytes have somewhere to go.
void Reducer::hear(const Invocation& i)
{
    if (i.request.more) effects_.push_back(SetRequestReading{i.caller, true});
}

void Reducer::on(ResponseDrained taken)
{
    const auto at = relay_of_.find(taken.caller);
    if (at == relay_of_.end()) return;
    const AttemptId id = at->second;
    Relay& r = relays_[id];
    r.on_way = 0;
    if (r.all_came) return relayed(id, &OutcomeCounts::success);
    if (std::exchange(r.held, false)) effects_.push_back(SetResponseReading{id, true});
}

// From here on this attempt is the answer.
void Reducer::bind(AttemptId id)
{
    const auto at = attempts_.find(id);
    if (at == attempts_.end() || !at->second.inv) return;
    Invocation& i = invocations_[*at->second.inv];
    if (i.over) return;
    i.bound = true;
    relay_of_[i.caller] = id;
    relays_[id] = {i.caller, i.request.id, i.outcomes, 0, false, false};
}

void Reducer::on(ResponseChunkReceived& came)
{
    const auto at = relays_.find(came.attempt);
    if (at == relays_.end()) return;
    Relay& r = at->second;
    r.on_way += came.bytes.size();
    r.all_came = came.last;
    effects_.push_back(SendResponseChunk{r.caller, std::move(came.bytes), came.last});
    if (came.last || r.held || r.on_way <= most_on_way()) return;
    r.held = true;
    effects_.push_back(SetResponseReading{came.attempt, false});
}

// A relay is over, and counts as what it came to.
void Reducer::relayed(AttemptId id, uint64_t OutcomeCounts::*as)
{
    const Relay r = std::move(relays_[id]);
    if (as) ++(r.outcomes->*as);
    open_ids_.erase(r.id);
    relay_of_.erase(r.caller);
    relays_.erase(id);
}

void Reducer::on(DownstreamDisconnected left)
{
    if (const auto relay = relay_of_.find(left.caller); relay != relay_of_.end()) {
        const AttemptId id = relay->second;
        ++left_;
        effects_.push_back(CloseUpstream{id});
        return relayed(id, nullptr);
    }
    const auto at = invocation_of_.find(left.caller);
    if (at == invocation_of_.end() || invocations_[at->second].over) return;
    over(invocations_[at->second]);
    ++left_;
    balancer_.client_left(now_, at->second);
}

// One that has gone and one that listens look the same: what is out goes on, nothing more begins.
void Reducer::on(DownstreamHalfClosed closed)
{
    if (const auto at = invocation_of_.find(closed.caller); at != invocation_of_.end())
        invocations_[at->second].half_closed = now_;
}

// The last check before bytes leave. Guards against an upstream that drained or moved, and an invocation that
// ended or ran out of time, while the connection was being made.
bool Reducer::may_write(const Attempt& attempt) const
{
    const Upstream& u = upstreams_[attempt.upstream_id];
    if (u.phase != EndpointPhase::ready || u.endpoint != attempt.endpoint || now_ >= attempt.until ||
        (attempt.written_by && now_ >= *attempt.written_by))
        return false;
    if (!attempt.inv) return true;
    const Invocation& i = invocations_[*attempt.inv];
    return !i.over && !i.spent && may_begin(i);
}

bool Reducer::may_begin(const Invocation& i) const
{
    return !i.half_closed || now_ - *i.half_closed < may_listen_for;
}

void Reducer::on(UpstreamConnected connected)
{
    const auto at = attempts_.find(connected.attempt);
    if (at == attempts_.end()) return;
    const Attempt& a = at->second;
    if (!may_write(a)) {
        effects_.push_back(CloseUpstream{connected.attempt});
        return ended(connected.attempt, AttemptResult::unreachable, nullptr);
    }
    const auto& host = upstreams_[a.upstream_id].endpoint;
    if (!a.inv) {
        const auto probe = encode_probe(host, setup_.settings.reports_by_probe);
        return effects_.push_back(WriteUpstream{connected.attempt, probe, false, a.stamp});
    }
    Invocation& i = invocations_[*a.inv];
    const Span wait = i.request.more ? i.request.time_left : a.until - now_;
    effects_.push_back(
        WriteUpstream{connected.attempt, encode_request(i.request, host, wait), i.request.more});
    if (i.request.more) i.goes_to = connected.attempt, i.on_way = i.request.body.size();
}

void Reducer::on(RequestWritten written)
{
    const auto at = attempts_.find(written.attempt);
    if (at == attempts_.end() || !at->second.inv) return;
    Invocation& i = invocations_[*at->second.inv];
    if (i.request.more && i.goes_to == written.attempt) {
        i.on_way = 0;
        return hear(i);
    }
    // What took long to come took its caller's time, not the upstream's.
    if (i.spent && !at->second.counted) at->second.sent = now_;
    // Once: what came back may be heard of before the last byte is known to have left.
    backend_calls_ += !std::exchange(at->second.counted, true);
}

void Reducer::on(RequestRejected turned)
{
    if (turned.edition != setup_.edition) return;
    ++taken_;
    ++outcomes_of(turned.operation).busy;
}

OutcomeCounts& Reducer::outcomes_of(uint32_t operation) { return outcomes_[setup_.operations[operation]]; }

void Reducer::on(ResponseReceived& answered)
{
    const auto result = result_of(answered.response);
    if (const auto at = attempts_.find(answered.attempt); at != attempts_.end()) {
        // An answer that comes before the request has gone is no more than a word on how it ended.
        const bool early = at->second.inv && invocations_[*at->second.inv].request.more;
        if (!early) on(RequestWritten{answered.attempt});
        if (answered.response.more && result == AttemptResult::succeeded && !early) bind(answered.attempt);
    }
    if (answered.response.more && !relays_.count(answered.attempt)) {
        effects_.push_back(CloseUpstream{answered.attempt});
        if (result == AttemptResult::succeeded) return ended(answered.attempt, AttemptResult::reset, nullptr);
    }
    ended(answered.attempt, result, &answered.response);
}

void Reducer::on(AttemptFailed failed)
{
    if (const auto at = relays_.find(failed.attempt); at != relays_.end()) {
        effects_.push_back(AbortResponse{at->second.caller});
        return relayed(failed.attempt, &OutcomeCounts::failure);
    }
    if (failed.broken.progress >= AttemptProgress::written) on(RequestWritten{failed.attempt});
    ended(failed.attempt, result_of(failed.broken), nullptr);
}

void Reducer::ended(AttemptId id, AttemptResult result, Response* response)
{
    const auto at = attempts_.find(id);
    if (at == attempts_.end()) return;  // called off before
    const Attempt a = at->second;
    attempts_.erase(at);
    if (a.inv && invocations_[*a.inv].goes_to == id) {
        Invocation& i = invocations_[*a.inv];
        i.goes_to.reset();
        if (i.request.more && !i.over) effects_.push_back(SetRequestReading{i.caller, false});
    }
    if (!a.inv) {
        --upstreams_[a.upstream_id].referred;
        const bool asked = response && setup_.settings.reports_by_probe;
        if (a.stamp)
            effects_.push_back(ProbeCompleted{a.stamp, upstreams_[a.upstream_id].uid,
                                              result == AttemptResult::succeeded,
                                              asked ? response->body : std::string()});
        return balancer_.probed(now_, a.upstream_id, result,
                                asked ? decode_report(setup_, response->body) : LoadReport{});
    }
    const LoadReport report = response ? response->report : LoadReport{};
    // What is called off, or was never sent, says nothing of the upstream.
    if (view_ && result != AttemptResult::cancelled && result != AttemptResult::not_sent &&
        result != AttemptResult::unusable)
        view_->record_answer(now_, a.upstream_id, result == AttemptResult::succeeded);
    // The first success is the answer, without being asked for.
    if (result == AttemptResult::succeeded) answer(*a.inv, std::move(*response));
    const bool over = invocations_[*a.inv].over;
    balancer_.ended(now_, *a.inv, a.nth, result, now_ - a.sent, over, report);
}

void Reducer::on(ProcessCountChanged shared) { room_ = all_room_ / std::max<size_t>(1, shared.processes); }

// Each upstream has its part, and its slice of the period, by its id: the same at every balancer.
void Reducer::on(ProbesDue due)
{
    for (UpstreamId t = 0; t < upstreams_.size(); ++t) {
        const uint64_t id = id_of(upstreams_[t].uid);
        if (upstreams_[t].phase != EndpointPhase::ready || id % due.parts != due.part ||
            id / due.parts % due.slices != due.slice)
            continue;
        ++upstreams_[t].referred;
        dial(next_attempt_++, {{}, 0, t, upstreams_[t].endpoint, now_, now_ + probe_waits, false, due.stamp});
    }
}

void Reducer::on(const ProbeReportReceived& heard)
{
    const auto at = upstream_of_.find(heard.uid);
    if (at == upstream_of_.end() || upstreams_[at->second].phase == EndpointPhase::gone) return;
    balancer_.probed(now_, at->second, heard.well ? AttemptResult::succeeded : AttemptResult::unreachable,
                     heard.report.empty() ? LoadReport{} : decode_report(setup_, heard.report));
}

void Reducer::on(TimerFired woken) { balancer_.woken(now_, woken.name); }

void Reducer::on(ShutdownStarted stopping)
{
    stopped_ = now_;
    another_serves_ = stopping.another_serves;
}

// A second drain changes nothing, nor does a resume where nothing drains. What stops does so for good.
void Reducer::on(AdminCommandReceived ordered)
{
    AdminCommandResult obeyed{ordered.caller, true, {}, {}};
    switch (ordered.order) {
        case AdminCommand::ready: obeyed.success = ready(); break;
        case AdminCommand::show_stat: obeyed.figures = figures(); break;
        case AdminCommand::drain:
            if (!drained_) drained_ = now_;
            break;
        case AdminCommand::resume:
            obeyed.success = !stopped_;
            drained_.reset();
            break;
    }
    obeyed.serving_state = serving_state();
    effects_.push_back(std::move(obeyed));
}

ServingState Reducer::serving_state() const
{
    if (stopped_) return ServingState::stopping;
    if (drained_) return ServingState::draining;
    return listed_ ? ServingState::ready : ServingState::starting;
}

ServiceStatistics Reducer::figures()
{
    ServiceStatistics f{outcomes_, backend_calls_, taken_, left_, open_ids_.size(), 0, 0};
    for (const Upstream& u : upstreams_) f.hosts_listed += u.phase != EndpointPhase::gone;
    for (UpstreamId t = 0; t < upstreams_.size(); ++t)
        f.hosts_down += upstreams_[t].phase == EndpointPhase::draining ||
                        (upstreams_[t].phase == EndpointPhase::ready && reduction(t) >= 0.5);
    return f;
}

// What is open finishes as the module says; its answers come from upstreams that stay the same.
void Reducer::settings_are(ServiceConfig setup)
{
    const auto places = [](const std::vector<std::string>& now, const std::vector<std::string>& before) {
        IndexMapping were;
        for (const auto& name : now) {
            const auto at = std::find(before.begin(), before.end(), name);
            were.emplace_back();
            if (at != before.end()) were.back() = static_cast<uint32_t>(at - before.begin());
        }
        return were;
    };
    const auto operations = places(setup.operations, setup_.operations);
    const auto tenants = places(setup.tenants, setup_.tenants);
    setup.edition = setup_.edition + 1;
    setup_ = std::move(setup);
    for (const auto& name : setup_.operations) outcomes_[name];
    balancer_.settings_are(now_, setup_.settings, operations, tenants);
}

// The list, and what is known of its upstreams, stays as it is until the new address has told its own. With
// new settings the list is asked for anew as a whole: its zones may have other places.
void Reducer::on(ConfigReloaded& read)
{
    if (read.discovery == discovery_ && !read.setup) return;
    if (read.setup) settings_are(std::move(*read.setup));
    discovery_ = read.discovery;
    effects_.push_back(MoveEndpointWatch{std::move(read.discovery)});
}

// After the signal to stop. Guards against answers that wait for upstreams until the process is killed, where
// clients wait for a short time only.
Span Reducer::answers_for() const
{
    Span longest;
    for (const Operation& op : setup_.settings.operations) longest = std::max(longest, op.client_timeout);
    return std::min(longest_wait, longest) + killed_after - before_kill;
}

// The module may wait longer than it is told by the margin of clocks.
void Reducer::bound_by_stop(Request& request) const
{
    if (!stopped_) return;
    const Span bound = *stopped_ + answers_for() - setup_.settings.left_margin - now_;
    request.time_left = std::min(request.time_left, bound);
}

bool Reducer::turns_out(Point now) const
{
    if (stopped_)
        return another_serves_ ||
               now >= *stopped_ + std::max(front_sends_on, answers_for() - for_last_answers);
    return drained_ && now >= *drained_ + front_sends_on;
}

void Reducer::over(Invocation& i)
{
    i.over = true;
    open_ids_.erase(i.request.id);
}

// Every answer to a caller passes here; a second one never does.
void Reducer::answer(InvocationId inv, Response response)
{
    Invocation& i = invocations_[inv];
    if (i.over) return;
    went_well_ += response.status == 200;
    if (i.bound) {
        i.over = true;
        return effects_.push_back(SendResponse{i.caller, std::move(response), turns_out(now_)});
    }
    over(i);
    ++(response.status == 200   ? i.outcomes->success
       : response.status == 503 ? i.outcomes->busy
                                : i.outcomes->failure);
    effects_.push_back(SendResponse{i.caller, std::move(response), turns_out(now_)});
}

void Reducer::dial(AttemptId id, Attempt attempt)
{
    effects_.push_back(
        ConnectUpstream{id, attempt.upstream_id, attempt.endpoint, attempt.until - attempt.sent});
    attempts_.emplace(id, std::move(attempt));
}

void Reducer::forward(InvocationId inv, UpstreamId upstream_id, Span limit)
{
    Invocation& i = invocations_[inv];
    const auto id = next_attempt_++;
    const auto nth = static_cast<uint32_t>(i.attempts.size());
    i.attempts.push_back(id);
    i.met.push_back(upstream_id);
    ++upstreams_[upstream_id].referred;
    Attempt attempt{inv, nth, upstream_id, upstreams_[upstream_id].endpoint, now_, now_ + limit};
    if (nth == 0) i.first_sent = now_;
    if (nth > 0 && i.window > Span{}) attempt.written_by = i.first_sent + i.window;
    if (!i.spent && may_begin(i) && within_budgets(nth, upstream_id)) return dial(id, std::move(attempt));
    // Guards against a request that lacks the bytes which were not held: there is nothing left to send. And
    // against more than this balancer's part of a budget of the fleet.
    attempts_.emplace(id, std::move(attempt));
    settled_.emplace_back(id, AttemptResult::not_sent);
}

void Reducer::limit(InvocationId inv, uint32_t forward, Span limit)
{
    const auto at = attempts_.find(invocations_[inv].attempts[forward]);
    if (at == attempts_.end()) return;
    at->second.until = now_ + limit;
    effects_.push_back(SetAttemptTimeout{at->first, limit});
}

void Reducer::throttle(InvocationId inv, Span retry_after)
{
    auto r = plain_answer(503, "throttled\n");
    if (retry_after > Span{}) r.passed_on.emplace_back("Retry-After", encode_seconds(retry_after));
    answer(inv, std::move(r));
}

void Reducer::error(InvocationId inv) { answer(inv, plain_answer(502, "errored\n")); }

void Reducer::cancel(InvocationId inv, uint32_t forward)
{
    settled_.emplace_back(invocations_[inv].attempts[forward], AttemptResult::cancelled);
}

void Reducer::released(InvocationId inv)
{
    invocation_of_.erase(invocations_[inv].caller);
    for (const UpstreamId upstream_id : invocations_[inv].met) --upstreams_[upstream_id].referred;
    sending_ -= invocations_[inv].request.more;
    invocations_[inv] = {};
    free_.push_back(inv);
}

void Reducer::wake(Point at, uint64_t name) { effects_.push_back(StartTimer{at, name}); }

void Reducer::probe(UpstreamId upstream_id)
{
    if (view_ && !view_->take_from_budget(now_, {fleet::Budget::probes, 0})) return;
    ++upstreams_[upstream_id].referred;
    dial(next_attempt_++, {{}, 0, upstream_id, upstreams_[upstream_id].endpoint, now_, now_ + probe_waits});
}

void Reducer::close_idle(UpstreamId upstream_id) { effects_.push_back(CloseIdle{upstream_id}); }

void Reducer::watch_list() { effects_.push_back(WatchEndpointList{}); }

}  // namespace firtide::net
