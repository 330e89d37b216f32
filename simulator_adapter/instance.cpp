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
    throw Malformed("unknown outcome " + std::to_string(code));
}

uint32_t wire_span(Duration span)
{
    return static_cast<uint32_t>(std::clamp<int64_t>(span.us, 0, INT32_MAX));
}

}  // namespace

Instance::Instance(uint16_t name, uint64_t seed, std::string_view setup, Writer& out)
    : name_(name),
      out_(out),
      setup_(decode_settings(parse_flat_settings(setup))),
      balancer_(setup_.settings, seed, *this)
{
}

UpstreamId Instance::upstream(uint32_t id)
{
    const auto [at, fresh] = upstream_of_.try_emplace(id, static_cast<UpstreamId>(upstreams_.size()));
    if (fresh) upstreams_.push_back(id);
    return at->second;
}

void Instance::roster(TimePoint now, uint8_t scope, const std::vector<Entry>& entries)
{
    if (scope == ListScope::fetch_failed) return balancer_.on_endpoint_list_fetched(now, false);
    if (scope > ListScope::fetch_failed) throw Malformed("unknown scope of a list");
    listings_.clear();
    for (const Entry& e : entries) {
        if (e.state > 2) throw Malformed("unknown state of an upstream");
        EndpointState l{
            upstream(e.upstream), e.upstream, static_cast<EndpointPhase>(e.state), e.zone, e.cell, 1, {}};
        if (setup_.capacities_listed && std::isfinite(e.nominal) && e.nominal > 0) l.capacity = e.nominal;
        l.machine_type = e.kind;
        if (e.ready_at) l.started_at = TimePoint{static_cast<int64_t>(e.ready_at)};
        listings_.push_back(l);
    }
    if (scope == ListScope::changes)
        balancer_.update_endpoints(now, listings_);
    else
        balancer_.set_endpoints(now, listings_);
    if (scope != ListScope::full_unrequested) balancer_.on_endpoint_list_fetched(now, true);
}

LoadReport Instance::report(Reader& in) const
{
    LoadReport report;
    const auto n = in.get<uint8_t>();
    for (size_t i = 0; i < n; ++i) {
        const auto value = in.get<float>();
        if (i < setup_.load_report_members.size() && setup_.load_report_members[i] && std::isfinite(value))
            report.*setup_.load_report_members[i] = std::max(0.0, static_cast<double>(value));
    }
    return report;
}

void Instance::demand(TimePoint now, Reader& in)
{
    const auto id = in.get<uint32_t>();
    InvocationRequest ask;
    ask.operation = in.get<uint8_t>();
    ask.tenant = in.get<uint32_t>();
    ask.subject_key = in.get<uint64_t>();
    ask.time_left = Duration{in.get<uint32_t>()};
    in.get<uint32_t>();  // expected work: unused
    in.get<uint16_t>();  // marks: unused
    if (ask.operation >= setup_.settings.operations.size()) throw Malformed("unknown operation");
    if (free_.empty()) {
        free_.push_back(static_cast<InvocationId>(invocations_.size()));
        invocations_.emplace_back();
    }
    const auto inv = free_.back();
    if (!invocation_of_.try_emplace(id, inv).second)
        throw Malformed("duplicate invocation id " + std::to_string(id));
    free_.pop_back();
    invocations_[inv] = {id, 0};
    balancer_.accept(now, inv, ask);
}

void Instance::reply(TimePoint now, Reader& in)
{
    const auto id = in.get<uint32_t>();
    const auto forward = in.get<uint16_t>();
    in.get<uint32_t>();  // upstream id: known from the forward
    const auto result = result_of(in.get<uint16_t>());
    const Duration took{in.get<uint32_t>()};
    const bool over = in.get<uint8_t>();
    const auto load = report(in);
    const auto at = invocation_of_.find(id);
    if (at == invocation_of_.end() || forward >= invocations_[at->second].forwards)
        throw Malformed("a result for a forward that was never sent");
    balancer_.on_forward_ended(now, at->second, forward, result, took, over, load);
}

void Instance::gone(TimePoint now, Reader& in)
{
    const auto at = invocation_of_.find(in.get<uint32_t>());
    if (at != invocation_of_.end()) balancer_.on_client_disconnected(now, at->second);
}

void Instance::probed(TimePoint now, Reader& in)
{
    in.get<uint32_t>();  // time taken: unused
    const auto id = in.get<uint32_t>();
    const auto result = result_of(in.get<uint16_t>());
    const auto load = report(in);
    const auto at = upstream_of_.find(id);
    if (at == upstream_of_.end()) throw Malformed("a probe result for an unknown upstream");
    balancer_.on_probe_completed(now, at->second, result, load);
}

void Instance::forward(InvocationId inv, UpstreamId upstream_id, Duration limit)
{
    ++invocations_[inv].forwards;
    act(ActionCode::forward).put(invocations_[inv].id).put(wire_span(limit)).put(upstreams_[upstream_id]);
}

void Instance::throttle(InvocationId inv, Duration retry_after)
{
    act(ActionCode::throttle).put(invocations_[inv].id).put(wire_span(retry_after));
}

void Instance::fail(InvocationId inv) { act(ActionCode::fail).put(invocations_[inv].id); }

void Instance::cancel_forward(InvocationId inv, uint32_t forward)
{
    act(ActionCode::cancel_forward).put(invocations_[inv].id).put(static_cast<uint16_t>(forward));
}

void Instance::release_invocation(InvocationId inv)
{
    invocation_of_.erase(invocations_[inv].id);
    free_.push_back(inv);
}

void Instance::start_timer(TimePoint at, uint64_t name)
{
    act(ActionCode::start_timer).put(name).put(static_cast<uint64_t>(at.us));
}

void Instance::probe(UpstreamId upstream_id) { act(ActionCode::probe).put(upstreams_[upstream_id]); }

void Instance::close_idle_connections(UpstreamId upstream_id)
{
    act(ActionCode::close_idle_connections).put(upstreams_[upstream_id]);
}

void Instance::watch_endpoint_list() { act(ActionCode::watch_endpoint_list).put(uint8_t{1}); }

void Instance::told(TimePoint now, Reader& in)
{
    const auto peer = in.get<uint32_t>();
    const auto size = in.get<uint16_t>();
    balancer_.on_peer_message(now, peer, in.take(size));
}

void Instance::broadcast(const std::string& message)
{
    Writer& w = act(ActionCode::broadcast).put(uint16_t{0xffff}).put(static_cast<uint16_t>(message.size()));
    for (const char c : message) w.put(c);
}

}  // namespace firtide::simulator_adapter
