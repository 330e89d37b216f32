// One Balancer behind the simulator's protocol: maps ids to small indices, events to calls and decisions to
// actions.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "frames.h"
#include "src/balance/decode_settings.h"

namespace firtide::simulator_adapter
{

// What a delivered list holds. cached: a full list from before, which answers no request.
enum ListScope : uint8_t { changes = 0, full = 1, cached = 2, fetch_failed = 3 };

enum class ActionCode : uint8_t {
    cancel_forward = 80,
    throttle = 81,
    fail = 83,
    start_timer = 84,
    watch_endpoint_list = 85,
    close_idle_connections = 86,
    probe = 87,
    broadcast = 89,
    forward = 91
};

// An upstream in a list of the simulator.
struct EndpointEntry {
    uint32_t upstream_id;
    uint8_t zone;
    uint16_t machine_type;
    uint16_t pod_group;
    uint8_t phase;
    float nominal_capacity;
    uint64_t started_at;
};

class Instance : private BalancerDelegate
{
  public:
    Instance(uint16_t instance_id, uint64_t seed, std::string_view settings, Writer& out);

    void start(TimePoint now) { balancer_.start(now); }
    void on_endpoint_list(TimePoint now, uint8_t scope, const std::vector<EndpointEntry>& entries);
    void on_invocation(TimePoint now, Reader& in);
    void on_forward_ended(TimePoint now, Reader& in);
    void on_client_disconnected(TimePoint now, Reader& in);
    void on_probe_completed(TimePoint now, Reader& in);
    void on_peer_message(TimePoint now, Reader& in);
    void on_timer_fired(TimePoint now, Reader& in) { balancer_.on_timer_fired(now, in.read<uint64_t>()); }

  private:
    struct Invocation {
        uint32_t id = 0;
        uint32_t forwards = 0;
    };

    void forward(InvocationId invocation, UpstreamId upstream_id, Duration timeout) override;
    void throttle(InvocationId invocation, Duration retry_after) override;
    void fail(InvocationId invocation) override;
    void cancel_forward(InvocationId invocation, uint32_t forward) override;
    // The simulator sends whole requests, so that timeouts do not change.
    void set_forward_timeout(InvocationId, uint32_t, Duration) override {}
    void release_invocation(InvocationId invocation) override;
    void start_timer(TimePoint at, uint64_t timer_id) override;
    void probe(UpstreamId upstream_id) override;
    void close_idle_connections(UpstreamId upstream_id) override;
    void watch_endpoint_list() override;
    void broadcast(const std::string& message) override;

    Writer& begin_action(ActionCode code)
    {
        return out_.begin_record(static_cast<uint8_t>(code)).put(instance_id_);
    }
    UpstreamId upstream_index(uint32_t id);
    LoadReport read_load_report(Reader& in) const;

    uint16_t instance_id_;
    Writer& out_;
    ServiceConfig config_;
    std::unordered_map<uint32_t, InvocationId> invocation_by_id_;
    std::vector<Invocation> invocations_;
    std::vector<InvocationId> free_invocations_;
    std::unordered_map<uint32_t, UpstreamId> upstream_by_id_;
    std::vector<uint32_t> upstream_ids_;
    std::vector<EndpointState> endpoints_;
    Balancer balancer_;
};

}  // namespace firtide::simulator_adapter
