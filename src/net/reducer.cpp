#include "reducer.h"

#include <algorithm>

#include "attempt_outcome.h"

namespace firtide::net
{
namespace
{

// New attempts may start for this long after a caller has shut its sending side.
constexpr Duration half_closed_grace = seconds(0.05);

}  // namespace

uint64_t hash_uid(std::string_view uid)
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
    for (const auto& name : setup.operation_names) outcomes_[name];
}

std::vector<Effect> Reducer::reduce(TimePoint now, Event event)
{
    now_ = now;
    if (view_ && view_->needs_update([this](UpstreamId t) { return reduction(t); })) show();
    std::visit([this](auto& e) { on(e); }, event);
    // The decision module learns only now of a forward that was cancelled or could not be made: it must not
    // be called while it decides.
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
    balancer_.start(now_);
}

void Reducer::on(RequestReceived& arrived)
{
    // A request whose head was read under other settings must not be taken for another operation.
    if (arrived.request.config_version != setup_.config_version) {
        const auto operation = decode_operation(setup_, arrived.request.target);
        if (!operation) {
            effects_.push_back(
                SendResponse{arrived.caller, plain_response(404, "no such operation\n"), true});
            return;
        }
        arrived.request.operation = *operation;
        arrived.request.tenant = static_cast<uint32_t>(setup_.tenant_names.size());  // no tenant
    }
    ++taken_;
    if (view_) view_->count_request();
    OutcomeCounts& outcomes = outcomes_of(arrived.request.operation);
    if (turned_away(arrived)) return;
    // Of two forwards with one id, an upstream would take the second for a copy of the first.
    if (!open_ids_.insert(arrived.request.id).second) {
        ++outcomes.failure;
        effects_.push_back(SendResponse{arrived.caller, plain_response(409, "this id is open\n"), true});
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
                                arrived.request.body_incomplete};
    Invocation& i = invocations_[inv] = {};
    i.caller = arrived.caller;
    i.over = false;
    i.request = std::move(arrived.request);
    if (arrived.half_closed) i.half_closed = now_ - half_closed_grace;
    i.outcomes = &outcomes;
    const Operation& op = setup_.settings.operations[ask.operation];
    if (op.idempotency == Idempotency::deduplicated) i.window = op.deduplication_window;
    sending_ += i.request.body_incomplete;
    balancer_.accept(now_, inv, ask);
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
    balancer_.on_client_disconnected(now_, at->second);
}

// A caller that has disconnected and one that still reads look the same: running attempts continue, but no
// new ones start.
void Reducer::on(DownstreamHalfClosed closed)
{
    if (const auto at = invocation_of_.find(closed.caller); at != invocation_of_.end())
        invocations_[at->second].half_closed = now_;
}

// The last check before bytes are sent: while the connection was being made, the upstream may have drained or
// moved to another address, and the invocation may have ended or run out of time.
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
    return !i.half_closed || now_ - *i.half_closed < half_closed_grace;
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
        const auto probe = encode_probe(host, setup_.settings.load_reports_by_probe);
        return effects_.push_back(WriteUpstream{connected.attempt, probe, false, a.stamp});
    }
    Invocation& i = invocations_[*a.inv];
    const Duration wait = i.request.body_incomplete ? i.request.time_left : a.until - now_;
    effects_.push_back(
        WriteUpstream{connected.attempt, encode_request(i.request, host, wait), i.request.body_incomplete});
    if (i.request.body_incomplete) i.goes_to = connected.attempt, i.on_way = i.request.body.size();
}

void Reducer::on(RequestWritten written)
{
    const auto at = attempts_.find(written.attempt);
    if (at == attempts_.end() || !at->second.inv) return;
    Invocation& i = invocations_[*at->second.inv];
    if (i.request.body_incomplete && i.goes_to == written.attempt) {
        i.on_way = 0;
        return hear(i);
    }
    // The time it took to receive a streamed request is its caller's, not the upstream's.
    if (i.spent && !at->second.counted) at->second.sent = now_;
    // Counted once: the response may be reported before the last byte is known to have been sent.
    backend_calls_ += !std::exchange(at->second.counted, true);
}

void Reducer::on(RequestRejected turned)
{
    if (turned.config_version != setup_.config_version) return;
    ++taken_;
    ++outcomes_of(turned.operation).busy;
}

OutcomeCounts& Reducer::outcomes_of(uint32_t operation)
{
    return outcomes_[setup_.operation_names[operation]];
}

void Reducer::on(ResponseReceived& answered)
{
    const auto result = result_of(answered.response);
    if (const auto at = attempts_.find(answered.attempt); at != attempts_.end()) {
        // A response that comes before the request has been sent only shows how the attempt ended: the
        // request does not count as written, and a large response is not relayed.
        const bool early = at->second.inv && invocations_[*at->second.inv].request.body_incomplete;
        if (!early) on(RequestWritten{answered.attempt});
        if (answered.response.body_incomplete && result == AttemptResult::succeeded && !early)
            bind(answered.attempt);
    }
    if (answered.response.body_incomplete && !relays_.count(answered.attempt)) {
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
    if (failed.error.progress >= AttemptProgress::written) on(RequestWritten{failed.attempt});
    ended(failed.attempt, result_of(failed.error), nullptr);
}

void Reducer::ended(AttemptId id, AttemptResult result, Response* response)
{
    const auto at = attempts_.find(id);
    if (at == attempts_.end()) return;  // cancelled before
    const Attempt a = at->second;
    attempts_.erase(at);
    if (a.inv && invocations_[*a.inv].goes_to == id) {
        Invocation& i = invocations_[*a.inv];
        i.goes_to.reset();
        if (i.request.body_incomplete && !i.over) effects_.push_back(SetRequestReading{i.caller, false});
    }
    if (!a.inv) {
        --upstreams_[a.upstream_id].referred;
        const bool asked = response && setup_.settings.load_reports_by_probe;
        if (a.stamp)
            effects_.push_back(ProbeCompleted{a.stamp, upstreams_[a.upstream_id].uid,
                                              result == AttemptResult::succeeded,
                                              asked ? response->body : std::string()});
        return balancer_.on_probe_completed(
            now_, a.upstream_id, result, asked ? decode_load_report(setup_, response->body) : LoadReport{});
    }
    const LoadReport report = response ? response->load_report : LoadReport{};
    // An attempt that was cancelled, never sent, or failed because of the request itself says nothing about
    // the upstream.
    if (view_ && result != AttemptResult::cancelled && result != AttemptResult::not_sent &&
        result != AttemptResult::invalid_request)
        view_->record_response(now_, a.upstream_id, result == AttemptResult::succeeded);
    // The first success is the response; the decision module does not have to ask for it.
    if (result == AttemptResult::succeeded) answer(*a.inv, std::move(*response));
    const bool over = invocations_[*a.inv].over;
    balancer_.on_forward_ended(now_, *a.inv, a.nth, result, now_ - a.sent, over, report);
}

void Reducer::on(TimerFired woken) { balancer_.on_timer_fired(now_, woken.timer_id); }

void Reducer::over(Invocation& i)
{
    i.over = true;
    open_ids_.erase(i.request.id);
}

// The response to each invocation goes through here; a second one is never sent.
void Reducer::answer(InvocationId inv, Response response)
{
    Invocation& i = invocations_[inv];
    if (i.over) return;
    went_well_ += response.status == 200;
    if (i.bound) {
        i.over = true;
        return effects_.push_back(
            SendResponse{i.caller, std::move(response), should_close_connections(now_)});
    }
    over(i);
    ++(response.status == 200   ? i.outcomes->success
       : response.status == 503 ? i.outcomes->busy
                                : i.outcomes->failure);
    effects_.push_back(SendResponse{i.caller, std::move(response), should_close_connections(now_)});
}

void Reducer::dial(AttemptId id, Attempt attempt)
{
    effects_.push_back(
        ConnectUpstream{id, attempt.upstream_id, attempt.endpoint, attempt.until - attempt.sent});
    attempts_.emplace(id, std::move(attempt));
}

void Reducer::forward(InvocationId inv, UpstreamId upstream_id, Duration limit)
{
    Invocation& i = invocations_[inv];
    const auto id = next_attempt_++;
    const auto nth = static_cast<uint32_t>(i.attempts.size());
    i.attempts.push_back(id);
    i.met.push_back(upstream_id);
    ++upstreams_[upstream_id].referred;
    Attempt attempt{inv, nth, upstream_id, upstreams_[upstream_id].endpoint, now_, now_ + limit};
    if (nth == 0) i.first_sent = now_;
    if (nth > 0 && i.window > Duration{}) attempt.written_by = i.first_sent + i.window;
    if (!i.spent && may_begin(i) && within_budgets(nth, upstream_id)) return dial(id, std::move(attempt));
    // Not sent: the bytes of the request are no longer held, its caller may have disconnected, or this
    // balancer's share of a fleet budget is used up.
    attempts_.emplace(id, std::move(attempt));
    settled_.emplace_back(id, AttemptResult::not_sent);
}

void Reducer::set_forward_timeout(InvocationId inv, uint32_t forward, Duration limit)
{
    const auto at = attempts_.find(invocations_[inv].attempts[forward]);
    if (at == attempts_.end()) return;
    at->second.until = now_ + limit;
    effects_.push_back(SetAttemptTimeout{at->first, limit});
}

void Reducer::throttle(InvocationId inv, Duration retry_after)
{
    auto r = plain_response(503, "throttled\n");
    if (retry_after > Duration{})
        r.forwarded_headers.emplace_back("Retry-After", encode_seconds(retry_after));
    answer(inv, std::move(r));
}

void Reducer::fail(InvocationId inv) { answer(inv, plain_response(502, "errored\n")); }

void Reducer::cancel_forward(InvocationId inv, uint32_t forward)
{
    settled_.emplace_back(invocations_[inv].attempts[forward], AttemptResult::cancelled);
}

void Reducer::release_invocation(InvocationId inv)
{
    invocation_of_.erase(invocations_[inv].caller);
    for (const UpstreamId upstream_id : invocations_[inv].met) --upstreams_[upstream_id].referred;
    sending_ -= invocations_[inv].request.body_incomplete;
    invocations_[inv] = {};
    free_.push_back(inv);
}

void Reducer::start_timer(TimePoint at, uint64_t name) { effects_.push_back(StartTimer{at, name}); }

}  // namespace firtide::net
