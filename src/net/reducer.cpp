#include "reducer.h"

#include <algorithm>

#include "attempt_outcome.h"
#include "src/base/replace.h"

namespace firtide::net
{
namespace
{

// New attempts may start for this long after a caller has shut its sending side.
constexpr Duration half_closed_grace = seconds(0.05);

Response repeated_id_response(IdClaim claim)
{
    return plain_response(409, claim == IdClaim::is_open ? "this id is open\n" : "this id was used before\n");
}

}  // namespace

uint64_t hash_uid(std::string_view uid) { return fnv1a(uid); }

Reducer::Reducer(ServiceConfig& config, uint64_t seed, std::string discovery_address, MemoryBudget* memory,
                 RequestIdRegistry* request_ids)
    : config_(config),
      memory_(memory ? *memory : unlimited_memory_),
      endpoint_memory_(memory_, MemoryPurpose::endpoint_list),
      own_request_ids_(request_ids ? nullptr : std::make_unique<RequestIdRegistry>(seed)),
      request_ids_(request_ids ? *request_ids : *own_request_ids_),
      discovery_address_(std::move(discovery_address)),
      balancer_(config.settings, seed, *this)
{
    for (const auto& name : config.operation_names) outcomes_[name];
}

std::vector<Effect> Reducer::reduce(TimePoint now, Event event)
{
    now_ = now;
    if (view_ && view_->needs_update([this](UpstreamId upstream_id) { return reduction(upstream_id); }))
        update_view();
    std::visit([this](auto& typed_event) { on(typed_event); }, event);
    // The decision module learns only now of a forward that was cancelled or could not be made: it must not
    // be called while it decides.
    while (!unreported_results_.empty()) {
        const auto [id, result] = unreported_results_.front();
        unreported_results_.pop_front();
        if (result == AttemptResult::cancelled) effects_.push_back(CloseUpstream{id});
        end_attempt(id, result, nullptr);
    }
    return std::move(effects_);
}

void Reducer::on(ServiceStarted)
{
    if (startup_) startup_->start(now_);
    balancer_.start(now_);
}

void Reducer::on(RequestReceived& event)
{
    // A request whose head was read under other settings must not be taken for another operation.
    if (event.request.config_version != config_.config_version) {
        const auto operation = decode_operation(config_, event.request.target);
        if (!operation) {
            effects_.push_back(SendResponse{event.caller, plain_response(404, "no such operation\n"), true});
            return;
        }
        event.request.operation = *operation;
        event.request.tenant = static_cast<uint32_t>(config_.tenant_names.size());  // no tenant
    }
    ++requests_received_;
    if (view_) view_->count_request();
    OutcomeCounts& outcomes = outcomes_of(event.request.operation);
    if (reject_at_admission(event)) return;
    if (event.request.body_incomplete && !has_room_for_transfer()) {
        ++outcomes.busy;
        effects_.push_back(SendResponse{event.caller, plain_response(503, "throttled\n"), true});
        return;
    }
    if (reject_repeated_id(event, outcomes)) return;
    if (free_invocations_.empty()) {
        free_invocations_.push_back(static_cast<InvocationId>(invocations_.size()));
        invocations_.emplace_back();
    }
    const InvocationId invocation_id = free_invocations_.back();
    free_invocations_.pop_back();
    invocation_of_.emplace(event.caller, invocation_id);
    limit_time_left_at_shutdown(event.request);
    const InvocationRequest invocation_request{event.request.operation, event.request.tenant,
                                               event.request.time_left, event.request.body_incomplete};
    Invocation& invocation = invocations_[invocation_id];
    invocation.caller = event.caller;
    invocation.finished = false;
    invocation.may_run_twice = may_run_twice(event.request);
    invocation.request = std::move(event.request);
    // With room for the copy on its way to an upstream, until that is written.
    invocation.memory = MemoryReservation(memory_, MemoryPurpose::requests_in_flight,
                                          sizeof(Invocation) + 2 * invocation.request.memory_bytes());
    invocation.chunk_received_at = now_;
    if (event.half_closed) invocation.half_closed_at = now_ - half_closed_grace;
    invocation.outcomes = &outcomes;
    streamed_requests_ += invocation.request.body_incomplete;
    balancer_.accept(now_, invocation_id, invocation_request);
}

// Each request has an id of its own, a client's retry too. What may have run under an id, for a client that
// has left or was answered, is not run again. Of two forwards with one id, an upstream would take the second
// for a copy of the first.
bool Reducer::reject_repeated_id(const RequestReceived& event, OutcomeCounts& outcomes)
{
    const IdClaim claim = request_ids_.claim(event.request.id, may_run_twice(event.request));
    if (claim == IdClaim::claimed) return false;
    ++outcomes.failure;
    ++repeated_ids_;
    effects_.push_back(SendResponse{event.caller, repeated_id_response(claim), true});
    return true;
}

void Reducer::on(DownstreamDisconnected event)
{
    if (const auto relay = relay_of_.find(event.caller); relay != relay_of_.end()) {
        const AttemptId id = relay->second;
        ++requests_abandoned_;
        effects_.push_back(CloseUpstream{id});
        return end_relay(id, nullptr);
    }
    const auto found = invocation_of_.find(event.caller);
    if (found == invocation_of_.end() || invocations_[found->second].finished) return;
    finish(invocations_[found->second]);
    ++requests_abandoned_;
    balancer_.on_client_disconnected(now_, found->second);
}

// A caller that has disconnected and one that still reads look the same: running attempts continue, but no
// new ones start.
void Reducer::on(DownstreamHalfClosed event)
{
    if (const auto found = invocation_of_.find(event.caller); found != invocation_of_.end())
        invocations_[found->second].half_closed_at = now_;
}

// The last check before bytes are sent: while the connection was being made, the upstream may have drained or
// moved to another address, and the invocation may have ended or run out of time.
bool Reducer::may_write(const Attempt& attempt)
{
    if (!is_still_valid(attempt) || now_ >= attempt.deadline) return false;
    if (!attempt.invocation_id) return true;
    const Invocation& invocation = invocations_[*attempt.invocation_id];
    return !invocation.finished && !invocation.body_discarded && may_start_attempt(invocation);
}

// Whether the upstream is what the attempt was made for, and the decision module would still make it.
bool Reducer::is_still_valid(const Attempt& attempt)
{
    const Upstream& upstream = upstreams_[attempt.upstream_id];
    return upstream.phase == EndpointPhase::ready && upstream.endpoint == attempt.endpoint &&
           location_of(upstream) == attempt.location && is_same_process(attempt) &&
           (!attempt.invocation_id ||
            balancer_.may_still_send(now_, *attempt.invocation_id, attempt.forward_index));
}

bool Reducer::may_run_twice(const Request& request) const
{
    return config_.settings.operations[request.operation].idempotency == Idempotency::idempotent;
}

bool Reducer::may_start_attempt(const Invocation& invocation) const
{
    return !invocation.half_closed_at || now_ - *invocation.half_closed_at < half_closed_grace;
}

void Reducer::on(UpstreamConnected event)
{
    const auto found = attempts_.find(event.attempt);
    if (found == attempts_.end()) return;
    const Attempt& attempt = found->second;
    if (!may_write(attempt)) {
        effects_.push_back(CloseUpstream{event.attempt});
        return end_attempt(event.attempt, AttemptResult::unreachable, nullptr);
    }
    const auto& host = upstreams_[attempt.upstream_id].endpoint;
    if (!attempt.invocation_id) {
        const auto probe = encode_probe(host, config_.settings.load_reports_by_probe);
        return effects_.push_back(WriteUpstream{event.attempt, probe, false, attempt.fencing_token});
    }
    Invocation& invocation = invocations_[*attempt.invocation_id];
    if (!record_run(invocation)) return end_repeated_invocation(event.attempt, *attempt.invocation_id);
    invocation.memory.resize(sizeof(Invocation) + invocation.request.memory_bytes());
    const Duration time_left =
        invocation.request.body_incomplete ? invocation.request.time_left : attempt.deadline - now_;
    effects_.push_back(WriteUpstream{event.attempt, encode_request(invocation.request, host, time_left),
                                     invocation.request.body_incomplete});
    if (invocation.request.body_incomplete)
        invocation.streaming_attempt = event.attempt,
        invocation.unwritten_bytes = invocation.request.body.size();
}

// Returns false if another process of this balancer has sent a request of the same id.
bool Reducer::record_run(Invocation& invocation)
{
    if (invocation.may_run_twice || invocation.run_recorded) return true;
    invocation.run_recorded = request_ids_.record_run(invocation.request.id);
    return invocation.run_recorded;
}

// Before anything was sent for it.
void Reducer::end_repeated_invocation(AttemptId id, InvocationId invocation_id)
{
    ++repeated_ids_;
    respond(invocation_id, repeated_id_response(IdClaim::was_used));
    effects_.push_back(CloseUpstream{id});
    end_attempt(id, AttemptResult::not_sent, nullptr);
}

void Reducer::on(RequestWritten event)
{
    const auto found = attempts_.find(event.attempt);
    if (found == attempts_.end() || !found->second.invocation_id) return;
    Invocation& invocation = invocations_[*found->second.invocation_id];
    if (invocation.request.body_incomplete && invocation.streaming_attempt == event.attempt) {
        invocation.unwritten_bytes = 0;
        return resume_request_reading(invocation);
    }
    // The time it took to receive a streamed request is its caller's, not the upstream's.
    if (invocation.body_discarded && !found->second.counted_as_written) found->second.started_at = now_;
    // Counted once: the response may be reported before the last byte is known to have been sent.
    backend_calls_ += !std::exchange(found->second.counted_as_written, true);
}

void Reducer::on(RequestRejected event)
{
    if (event.config_version != config_.config_version) return;
    ++requests_received_;
    ++outcomes_of(event.operation).busy;
}

OutcomeCounts& Reducer::outcomes_of(uint32_t operation)
{
    return outcomes_[config_.operation_names[operation]];
}

void Reducer::on(ResponseReceived& event)
{
    const auto result = result_of(event.response);
    bool may_relay = true;
    if (const auto found = attempts_.find(event.attempt); found != attempts_.end()) {
        // A response that comes before the request has been sent only shows how the attempt ended: the
        // request does not count as written, and a large response is not relayed.
        const bool request_unfinished =
            found->second.invocation_id && invocations_[*found->second.invocation_id].request.body_incomplete;
        if (!request_unfinished) on(RequestWritten{event.attempt});
        if (event.response.body_incomplete && result == AttemptResult::succeeded && !request_unfinished)
            may_relay = start_relay(event.attempt);
    }
    if (event.response.body_incomplete && !relays_.count(event.attempt)) {
        effects_.push_back(CloseUpstream{event.attempt});
        // A lack of room here says nothing about the upstream.
        if (result == AttemptResult::succeeded)
            return end_attempt(event.attempt, may_relay ? AttemptResult::reset : AttemptResult::cancelled,
                               nullptr);
    }
    end_attempt(event.attempt, result, &event.response);
}

void Reducer::on(ResponseBegun event)
{
    const auto found = attempts_.find(event.attempt);
    if (found == attempts_.end() || !found->second.invocation_id) return;
    balancer_.on_response_begun(now_, *found->second.invocation_id, found->second.forward_index);
}

void Reducer::on(ResponseStalled event)
{
    const auto found = attempts_.find(event.attempt);
    if (found == attempts_.end() || !found->second.invocation_id) return;
    responses_stalled_ += !std::exchange(found->second.counted_as_stalled, true);
    balancer_.on_response_stalled(now_, *found->second.invocation_id, found->second.forward_index);
}

void Reducer::give_up_forward(InvocationId invocation_id, uint32_t forward)
{
    const AttemptId id = invocations_[invocation_id].attempts[forward];
    if (!attempts_.count(id)) return;
    ++responses_given_up_;
    effects_.push_back(CloseUpstream{id});
    unreported_results_.emplace_back(id, AttemptResult::reset);
}

void Reducer::on(AttemptFailed event)
{
    if (const auto found = relays_.find(event.attempt); found != relays_.end()) {
        effects_.push_back(AbortResponse{found->second.caller});
        return end_relay(event.attempt, &OutcomeCounts::failure);
    }
    if (event.error.progress >= AttemptProgress::written) on(RequestWritten{event.attempt});
    end_attempt(event.attempt, result_of(event.error), nullptr);
}

void Reducer::end_attempt(AttemptId id, AttemptResult result, Response* response)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;  // cancelled before
    const Attempt attempt = found->second;
    attempts_.erase(found);
    if (attempt.invocation_id && invocations_[*attempt.invocation_id].streaming_attempt == id) {
        Invocation& invocation = invocations_[*attempt.invocation_id];
        invocation.streaming_attempt.reset();
        if (invocation.request.body_incomplete && !invocation.finished)
            effects_.push_back(SetRequestReading{invocation.caller, false});
    }
    if (!attempt.invocation_id) return end_probe(attempt, result, response);
    const LoadReport report = response && is_same_process(attempt) ? response->load_report : LoadReport{};
    // An attempt that was cancelled, never sent, or failed because of the request itself says nothing about
    // the upstream.
    if (view_ && is_same_process(attempt) && result != AttemptResult::cancelled &&
        result != AttemptResult::not_sent && result != AttemptResult::invalid_request)
        view_->record_response(now_, attempt.upstream_id, result == AttemptResult::succeeded);
    // The first success is the response; the decision module does not have to ask for it.
    if (result == AttemptResult::succeeded) respond(*attempt.invocation_id, std::move(*response));
    const bool finished = invocations_[*attempt.invocation_id].finished;
    balancer_.on_forward_ended(now_, *attempt.invocation_id, attempt.forward_index, result,
                               now_ - attempt.started_at, finished, report);
}

// Whether the upstream is still the process that the attempt was made for.
bool Reducer::is_same_process(const Attempt& attempt) const
{
    return upstreams_[attempt.upstream_id].incarnation == attempt.upstream_incarnation;
}

void Reducer::end_probe(const Attempt& attempt, AttemptResult result, const Response* response)
{
    Upstream& upstream = upstreams_[attempt.upstream_id];
    --upstream.reference_count;
    if (!is_same_process(attempt)) return;
    const bool with_report = response && config_.settings.load_reports_by_probe;
    if (attempt.fencing_token)
        effects_.push_back(ProbeCompleted{attempt.fencing_token, upstream.uid,
                                          result == AttemptResult::succeeded,
                                          with_report ? response->body : std::string()});
    balancer_.on_probe_completed(now_, attempt.upstream_id, result,
                                 with_report ? decode_load_report(config_, response->body) : LoadReport{});
}

void Reducer::on(TimerFired event) { balancer_.on_timer_fired(now_, event.timer_id); }

void Reducer::finish(Invocation& invocation)
{
    invocation.finished = true;
    request_ids_.close(invocation.request.id);
}

// The response to each invocation goes through here; a second one is never sent.
void Reducer::respond(InvocationId invocation_id, Response response)
{
    Invocation& invocation = invocations_[invocation_id];
    if (invocation.finished) return;
    successes_since_update_ += response.status == 200;
    if (invocation.has_relay) {
        invocation.finished = true;
        return effects_.push_back(
            SendResponse{invocation.caller, std::move(response), should_close_connections(now_)});
    }
    finish(invocation);
    ++(response.status == 200   ? invocation.outcomes->success
       : response.status == 503 ? invocation.outcomes->busy
                                : invocation.outcomes->failure);
    effects_.push_back(SendResponse{invocation.caller, std::move(response), should_close_connections(now_)});
}

void Reducer::start_attempt(AttemptId id, Attempt attempt)
{
    const Upstream& upstream = upstreams_[attempt.upstream_id];
    attempt.upstream_incarnation = upstream.incarnation;
    attempt.location = location_of(upstream);
    effects_.push_back(
        ConnectUpstream{id, attempt.upstream_id, attempt.endpoint, attempt.deadline - attempt.started_at});
    attempts_.emplace(id, std::move(attempt));
}

void Reducer::forward(InvocationId invocation_id, UpstreamId upstream_id, Duration timeout)
{
    Invocation& invocation = invocations_[invocation_id];
    const auto id = next_attempt_++;
    const auto forward_index = static_cast<uint32_t>(invocation.attempts.size());
    invocation.attempts.push_back(id);
    invocation.forwarded_to.push_back(upstream_id);
    ++upstreams_[upstream_id].reference_count;
    Attempt attempt{invocation_id, forward_index, upstream_id, upstreams_[upstream_id].endpoint,
                    now_,          now_ + timeout};
    if (!invocation.body_discarded && may_start_attempt(invocation) &&
        take_forward_budgets(forward_index, upstream_id))
        return start_attempt(id, std::move(attempt));
    // Not sent: the bytes of the request are no longer held, its caller may have disconnected, or this
    // balancer's share of a fleet budget is used up.
    attempts_.emplace(id, std::move(attempt));
    unreported_results_.emplace_back(id, AttemptResult::not_sent);
}

void Reducer::set_forward_timeout(InvocationId invocation_id, uint32_t forward, Duration timeout)
{
    const auto found = attempts_.find(invocations_[invocation_id].attempts[forward]);
    if (found == attempts_.end()) return;
    found->second.deadline = now_ + timeout;
    effects_.push_back(SetAttemptTimeout{found->first, timeout});
}

void Reducer::throttle(InvocationId invocation_id, Duration retry_after)
{
    auto response = plain_response(503, "throttled\n");
    if (retry_after > Duration{})
        response.forwarded_headers.emplace_back("Retry-After", encode_seconds(retry_after));
    respond(invocation_id, std::move(response));
}

void Reducer::fail(InvocationId invocation_id) { respond(invocation_id, plain_response(502, "errored\n")); }

void Reducer::cancel_forward(InvocationId invocation_id, uint32_t forward)
{
    unreported_results_.emplace_back(invocations_[invocation_id].attempts[forward], AttemptResult::cancelled);
}

void Reducer::release_invocation(InvocationId invocation_id)
{
    invocation_of_.erase(invocations_[invocation_id].caller);
    for (const UpstreamId upstream_id : invocations_[invocation_id].forwarded_to)
        --upstreams_[upstream_id].reference_count;
    streamed_requests_ -= invocations_[invocation_id].request.body_incomplete;
    replace_and_free(invocations_[invocation_id]);
    free_invocations_.push_back(invocation_id);
}

void Reducer::start_timer(TimePoint time, uint64_t timer_id)
{
    effects_.push_back(StartTimer{time, timer_id});
}

}  // namespace firtide::net
