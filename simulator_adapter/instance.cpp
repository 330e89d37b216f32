#include "instance.h"

#include <algorithm>
#include <cmath>

namespace firtide::simulator_adapter
{
namespace
{

AttemptResult result_of(uint16_t code)
{
    switch (code) {
        case 100: return AttemptResult::succeeded;
        case 301: return AttemptResult::errored;
        case 302: return AttemptResult::declined;
        case 303: return AttemptResult::timed_out;
        case 304: return AttemptResult::unreachable;
        case 305: return AttemptResult::reset;
        case 306: return AttemptResult::cancelled;
        case 307: return AttemptResult::not_sent;
    }
    throw MalformedInput("unknown outcome " + std::to_string(code));
}

uint32_t duration_on_wire(Duration duration)
{
    return static_cast<uint32_t>(std::clamp<int64_t>(duration.us, 0, INT32_MAX));
}

}  // namespace

Instance::Instance(uint16_t instance_id, uint64_t seed, std::string_view settings, Writer& out)
    : instance_id_(instance_id),
      out_(out),
      config_(decode_settings(parse_flat_settings(settings), PlaceIdentity::number)),
      balancer_(config_.settings, seed, *this)
{
}

UpstreamId Instance::upstream_index(uint32_t id)
{
    const auto [position, is_new] =
        upstream_by_id_.try_emplace(id, static_cast<UpstreamId>(upstream_ids_.size()));
    if (is_new) upstream_ids_.push_back(id);
    return position->second;
}

void Instance::on_endpoint_list(TimePoint now, uint8_t scope, const std::vector<EndpointEntry>& entries)
{
    if (scope == ListScope::fetch_failed) return balancer_.on_endpoint_list_fetched(now, false);
    if (scope > ListScope::fetch_failed) throw MalformedInput("unknown scope of a list");
    endpoints_.clear();
    for (const EndpointEntry& entry : entries) {
        if (entry.phase > 2) throw MalformedInput("unknown state of an upstream");
        EndpointState endpoint{
            upstream_index(entry.upstream_id),
            entry.upstream_id,
            static_cast<EndpointPhase>(entry.phase),
            {ZoneId{entry.zone}, PodGroup{entry.pod_group}, MachineKind{entry.machine_type}},
            1,
            {}};
        if (config_.capacities_listed && std::isfinite(entry.nominal_capacity) && entry.nominal_capacity > 0)
            endpoint.capacity = entry.nominal_capacity;
        endpoint.machine_type = entry.machine_type;
        if (entry.started_at) endpoint.started_at = TimePoint{static_cast<int64_t>(entry.started_at)};
        endpoints_.push_back(endpoint);
    }
    if (scope == ListScope::changes)
        balancer_.update_endpoints(now, endpoints_);
    else
        balancer_.set_endpoints(now, endpoints_);
    if (scope != ListScope::cached) balancer_.on_endpoint_list_fetched(now, true);
}

LoadReport Instance::read_load_report(Reader& in) const
{
    LoadReport report;
    const auto count = in.read<uint8_t>();
    for (size_t i = 0; i < count; ++i) {
        const auto value = in.read<float>();
        if (i < config_.load_report_members.size() && config_.load_report_members[i] && std::isfinite(value))
            report.*config_.load_report_members[i] = std::max(0.0, static_cast<double>(value));
    }
    return report;
}

void Instance::on_invocation(TimePoint now, Reader& in)
{
    const auto id = in.read<uint32_t>();
    InvocationRequest request;
    request.operation = in.read<uint8_t>();
    request.tenant = in.read<uint32_t>();
    request.subject_key = in.read<uint64_t>();
    request.time_left = Duration{in.read<uint32_t>()};
    in.read<uint32_t>();  // expected work: unused
    in.read<uint16_t>();  // marks: unused
    if (request.operation >= config_.settings.operations.size()) throw MalformedInput("unknown operation");
    if (free_invocations_.empty()) {
        free_invocations_.push_back(static_cast<InvocationId>(invocations_.size()));
        invocations_.emplace_back();
    }
    const auto invocation = free_invocations_.back();
    if (!invocation_by_id_.try_emplace(id, invocation).second)
        throw MalformedInput("duplicate invocation id " + std::to_string(id));
    free_invocations_.pop_back();
    invocations_[invocation] = {id, 0};
    balancer_.accept(now, invocation, request);
}

void Instance::on_forward_ended(TimePoint now, Reader& in)
{
    const auto id = in.read<uint32_t>();
    const auto forward = in.read<uint16_t>();
    in.read<uint32_t>();  // upstream id: known from the forward
    const auto result = result_of(in.read<uint16_t>());
    const Duration duration{in.read<uint32_t>()};
    const bool answered = in.read<uint8_t>();
    const auto report = read_load_report(in);
    const auto found = invocation_by_id_.find(id);
    if (found == invocation_by_id_.end() || forward >= invocations_[found->second].forwards)
        throw MalformedInput("a result of a forward that was never sent");
    balancer_.on_forward_ended(now, found->second, forward, result, duration, answered, report);
}

void Instance::on_client_disconnected(TimePoint now, Reader& in)
{
    const auto found = invocation_by_id_.find(in.read<uint32_t>());
    if (found != invocation_by_id_.end()) balancer_.on_client_disconnected(now, found->second);
}

void Instance::on_probe_completed(TimePoint now, Reader& in)
{
    in.read<uint32_t>();  // time taken: unused
    const auto id = in.read<uint32_t>();
    const auto result = result_of(in.read<uint16_t>());
    const auto report = read_load_report(in);
    const auto found = upstream_by_id_.find(id);
    if (found == upstream_by_id_.end()) throw MalformedInput("a probe result from an unknown upstream");
    balancer_.on_probe_completed(now, found->second, result, report);
}

void Instance::forward(InvocationId invocation, UpstreamId upstream_id, Duration timeout)
{
    ++invocations_[invocation].forwards;
    begin_action(ActionCode::forward)
        .put(invocations_[invocation].id)
        .put(duration_on_wire(timeout))
        .put(upstream_ids_[upstream_id]);
}

void Instance::throttle(InvocationId invocation, Duration retry_after)
{
    begin_action(ActionCode::throttle).put(invocations_[invocation].id).put(duration_on_wire(retry_after));
}

void Instance::fail(InvocationId invocation)
{
    begin_action(ActionCode::fail).put(invocations_[invocation].id);
}

void Instance::cancel_forward(InvocationId invocation, uint32_t forward)
{
    begin_action(ActionCode::cancel_forward)
        .put(invocations_[invocation].id)
        .put(static_cast<uint16_t>(forward));
}

void Instance::release_invocation(InvocationId invocation)
{
    invocation_by_id_.erase(invocations_[invocation].id);
    free_invocations_.push_back(invocation);
}

void Instance::start_timer(TimePoint at, uint64_t timer_id)
{
    begin_action(ActionCode::start_timer).put(timer_id).put(static_cast<uint64_t>(at.us));
}

void Instance::probe(UpstreamId upstream_id)
{
    begin_action(ActionCode::probe).put(upstream_ids_[upstream_id]);
}

void Instance::close_idle_connections(UpstreamId upstream_id)
{
    begin_action(ActionCode::close_idle_connections).put(upstream_ids_[upstream_id]);
}

void Instance::watch_endpoint_list() { begin_action(ActionCode::watch_endpoint_list).put(uint8_t{1}); }

void Instance::on_peer_message(TimePoint now, Reader& in)
{
    const auto peer = in.read<uint32_t>();
    const auto size = in.read<uint16_t>();
    balancer_.on_peer_message(now, peer, in.read_bytes(size));
}

void Instance::broadcast(const std::string& message)
{
    Writer& action =
        begin_action(ActionCode::broadcast).put(uint16_t{0xffff}).put(static_cast<uint16_t>(message.size()));
    for (const char c : message) action.put(c);
}

}  // namespace firtide::simulator_adapter
