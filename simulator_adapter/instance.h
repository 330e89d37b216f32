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

enum ListScope : uint8_t { changes = 0, full = 1, full_unrequested = 2, fetch_failed = 3 };

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
struct Entry {
    uint32_t upstream;
    uint8_t zone;
    uint16_t kind;
    uint16_t cell;
    uint8_t state;
    float nominal;
    uint64_t ready_at;
};

class Instance : private BalancerDelegate
{
  public:
    Instance(uint16_t name, uint64_t seed, std::string_view setup, Writer& out);

    void begin(TimePoint now) { balancer_.start(now); }
    void roster(TimePoint now, uint8_t scope, const std::vector<Entry>& entries);
    void demand(TimePoint now, Reader& in);
    void reply(TimePoint now, Reader& in);
    void gone(TimePoint now, Reader& in);
    void probed(TimePoint now, Reader& in);
    void told(TimePoint now, Reader& in);
    void wakeup(TimePoint now, Reader& in) { balancer_.on_timer_fired(now, in.get<uint64_t>()); }

  private:
    struct Invocation {
        uint32_t id = 0;
        uint32_t forwards = 0;
    };

    void forward(InvocationId inv, UpstreamId upstream_id, Duration limit) override;
    void throttle(InvocationId inv, Duration retry_after) override;
    void fail(InvocationId inv) override;
    void cancel_forward(InvocationId inv, uint32_t forward) override;
    void set_forward_timeout(InvocationId, uint32_t, Duration) override {
    }  // the simulator sends whole requests
    void release_invocation(InvocationId inv) override;
    void start_timer(TimePoint at, uint64_t name) override;
    void probe(UpstreamId upstream_id) override;
    void close_idle_connections(UpstreamId upstream_id) override;
    void watch_endpoint_list() override;
    void broadcast(const std::string& message) override;

    Writer& act(ActionCode code) { return out_.record(static_cast<uint8_t>(code)).put(name_); }
    UpstreamId upstream(uint32_t id);
    LoadReport report(Reader& in) const;

    uint16_t name_;
    Writer& out_;
    ServiceConfig setup_;
    std::unordered_map<uint32_t, InvocationId> invocation_of_;
    std::vector<Invocation> invocations_;
    std::vector<InvocationId> free_;
    std::unordered_map<uint32_t, UpstreamId> upstream_of_;
    std::vector<uint32_t> upstreams_;
    std::vector<EndpointState> listings_;
    Balancer balancer_;
};

}  // namespace firtide::simulator_adapter
