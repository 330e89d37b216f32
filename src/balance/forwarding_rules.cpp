#include "forwarding_rules.h"

#include <algorithm>

namespace firtide
{
namespace
{

constexpr double slow_start_budget_share = 0.7;  // of the multiple at which an upstream collapses

template <class Part>
bool is_one_of(const std::optional<Part>& part, const std::optional<std::vector<Part>>& allowed)
{
    if (!allowed) return true;
    return part && std::find(allowed->begin(), allowed->end(), *part) != allowed->end();
}

}  // namespace

bool ForwardingRules::is_warming(const EndpointState& endpoint) const
{
    return endpoint.started_at &&
           now_ - *endpoint.started_at < settings_.slow_start_duration + settings_.start_time_margin;
}

double ForwardingRules::warm_capacity_share(const EndpointState& endpoint) const
{
    if (!is_warming(endpoint)) return 1;
    const double age = std::max(
        0.0, (now_ - *endpoint.started_at - settings_.start_time_margin) / settings_.slow_start_duration);
    return settings_.slow_start_min_share + (1 - settings_.slow_start_min_share) * age;
}

bool ForwardingRules::has_slow_start_token(const EndpointState& endpoint, SlowStartTokens& tokens,
                                           double even_forward_rate) const
{
    const double tokens_per_second = even_forward_rate * warm_capacity_share(endpoint) *
                                     settings_.collapse_multiple * slow_start_budget_share;
    tokens.count += (now_ - tokens.updated_at).seconds() * tokens_per_second;
    tokens.count =
        std::min(tokens.count, std::max(1.0, tokens_per_second * settings_.collapse_window.seconds()));
    tokens.updated_at = now_;
    return tokens.count >= 1;
}

bool ForwardingRules::may_send(const Invocation& invocation, const EndpointState& endpoint) const
{
    return !invocation.finished && now_ < invocation.deadline &&
           invocation.forwards.size() < std::min(invocation.max_forwards, settings_.max_forwards) &&
           endpoint.phase == EndpointPhase::ready && is_allowed_at(invocation.operation, endpoint.location) &&
           may_run_again(invocation, invocation.forwards.size(), endpoint.location);
}

bool ForwardingRules::may_still_send(const Invocation& invocation, size_t forward_index,
                                     const UpstreamLocation& location) const
{
    return location == invocation.forwards[forward_index].location &&
           is_allowed_at(invocation.operation, location) &&
           may_run_again(invocation, forward_index, location);
}

bool ForwardingRules::is_allowed_at(const Operation& operation, const UpstreamLocation& location)
{
    return is_one_of(location.zone, operation.allowed_zones) &&
           is_one_of(location.machine_kind, operation.allowed_machine_kinds);
}

bool ForwardingRules::may_throttle(const Invocation& invocation)
{
    for (const Forward& forward : invocation.forwards) {
        if (forward.proven_not_run || invocation.operation.idempotency == Idempotency::idempotent) continue;
        if (invocation.operation.idempotency == Idempotency::non_idempotent ||
            invocation.operation.deduplication_scope != DeduplicationScope::all)
            return false;
    }
    return true;
}

// Whether the forwards before the one with this index allow one to an upstream at the location.
bool ForwardingRules::may_run_again(const Invocation& invocation, size_t forward_index,
                                    const UpstreamLocation& location) const
{
    for (size_t i = 0; i < forward_index; ++i) {
        const Forward& forward = invocation.forwards[i];
        if (forward.proven_not_run) continue;
        if (forward.in_flight && !(invocation.may_overlap_forwards && settings_.may_overlap_forwards))
            return false;
        if (invocation.operation.idempotency == Idempotency::idempotent) continue;
        if (invocation.operation.idempotency == Idempotency::non_idempotent) return false;
        if (!recognises_repeat(invocation, forward, location)) return false;
    }
    return true;
}

// Whether upstreams at the location recognise a repeat of the forward, both by the settings under which it
// was sent and by those since.
bool ForwardingRules::recognises_repeat(const Invocation& invocation, const Forward& forward,
                                        const UpstreamLocation& location) const
{
    return now_ - forward.sent_at < invocation.operation.deduplication_window &&
           share_deduplication_group(forward.deduplication_scope, forward.location, location) &&
           share_deduplication_group(invocation.operation.deduplication_scope, forward.location, location);
}

}  // namespace firtide
