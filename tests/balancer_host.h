// A host of the decision module for tests: drives a Balancer by hand, with a simulated clock, and records
// its decisions.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/balance/balancer.h"

namespace firtide
{

// The decisions of a Balancer, one type for each function of its delegate.
namespace decision
{

struct Forwarded {
    InvocationId invocation;
    UpstreamId upstream;
    Duration limit;
    bool operator==(const Forwarded&) const = default;
};
struct Throttled {
    InvocationId invocation;
    bool with_retry_after;  // the response says when to retry
    bool operator==(const Throttled&) const = default;
};
struct Errored {
    InvocationId invocation;
    bool operator==(const Errored&) const = default;
};
struct LimitChanged {
    InvocationId invocation;
    uint32_t forward;
    Duration limit;
    bool operator==(const LimitChanged&) const = default;
};
struct Cancelled {
    InvocationId invocation;
    uint32_t forward;
    bool operator==(const Cancelled&) const = default;
};
struct Released {
    InvocationId invocation;
    bool operator==(const Released&) const = default;
};
struct Probed {
    UpstreamId upstream;
    bool operator==(const Probed&) const = default;
};
struct IdleConnectionsClosed {
    UpstreamId upstream;
    bool operator==(const IdleConnectionsClosed&) const = default;
};
struct ListWatched {
    bool operator==(const ListWatched&) const = default;
};

inline std::string format_seconds(Duration duration)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f s", duration.seconds());
    return text;
}

// Each decision as one line of text, for traces and failed assertions.
inline std::ostream& operator<<(std::ostream& out, const Forwarded& decision)
{
    return out << "inv " << decision.invocation << " forward u" << decision.upstream << " limit "
               << format_seconds(decision.limit);
}
inline std::ostream& operator<<(std::ostream& out, const Throttled& decision)
{
    return out << "inv " << decision.invocation << " throttled, come back in "
               << (decision.with_retry_after ? "a while" : "no stated time");
}
inline std::ostream& operator<<(std::ostream& out, const Errored& decision)
{
    return out << "inv " << decision.invocation << " errored";
}
inline std::ostream& operator<<(std::ostream& out, const LimitChanged& decision)
{
    return out << "inv " << decision.invocation << " forward " << decision.forward << " limit "
               << format_seconds(decision.limit);
}
inline std::ostream& operator<<(std::ostream& out, const Cancelled& decision)
{
    return out << "inv " << decision.invocation << " cancel forward " << decision.forward;
}
inline std::ostream& operator<<(std::ostream& out, const Released& decision)
{
    return out << "inv " << decision.invocation << " released";
}
inline std::ostream& operator<<(std::ostream& out, const Probed& decision)
{
    return out << "probe u" << decision.upstream;
}
inline std::ostream& operator<<(std::ostream& out, const IdleConnectionsClosed& decision)
{
    return out << "close idle connections of u" << decision.upstream;
}
inline std::ostream& operator<<(std::ostream& out, const ListWatched&) { return out << "watch the list"; }

}  // namespace decision

using Decision = std::variant<decision::Forwarded, decision::Throttled, decision::Errored,
                              decision::LimitChanged, decision::Cancelled, decision::Released,
                              decision::Probed, decision::IdleConnectionsClosed, decision::ListWatched>;
using Decisions = std::vector<Decision>;

class BalancerHost : private BalancerDelegate
{
  public:
    explicit BalancerHost(Settings settings, uint64_t seed = 1) : balancer(std::move(settings), seed, *this)
    {
        balancer.start(now);
    }

    static Operation make_operation(Idempotency repeat, DeduplicationScope group = DeduplicationScope::all)
    {
        return {repeat, group, seconds(2), seconds(1), 0, seconds(2), {}, {}};
    }

    static Settings make_settings(Operation operation)
    {
        Settings s;
        s.operations = {operation};
        s.max_forwards = 6;
        s.may_cancel = s.may_overlap_forwards = s.may_probe = true;
        s.max_retry_after = seconds(1);
        s.own_zone = ZoneId{0};
        return s;
    }

    // Upstreams are in two zones in turn, and in pod groups of two.
    static UpstreamLocation location_of(UpstreamId t) { return {ZoneId{t % 2}, PodGroup{t / 2}, {}}; }

    void advance_clock(Duration duration) { now = now + duration; }
    void set_endpoints(uint32_t n)
    {
        std::vector<EndpointState> all;
        for (UpstreamId t = 0; t < n; ++t) all.push_back({t, t, EndpointPhase::ready, location_of(t), 1, {}});
        balancer.set_endpoints(now, all);
    }
    void change_endpoint(UpstreamId t, EndpointPhase phase, std::optional<TimePoint> started = {})
    {
        balancer.update_endpoints(now, {{t, t, phase, location_of(t), 1, started}});
    }
    void accept(InvocationId inv, Duration left = seconds(2), uint32_t tenant = 0, uint64_t key = 0)
    {
        balancer.accept(now, inv, {0, tenant, left, false, key});
    }
    void end_attempt(InvocationId inv, AttemptResult result, Duration took = seconds(0.1),
                     LoadReport report = {})
    {
        const auto nth = forwards_[inv]++;
        balancer.on_forward_ended(now, inv, nth, result, took, result == AttemptResult::succeeded, report);
    }
    bool is_in_flight(InvocationId inv) const { return forwards_.count(inv) > 0; }
    void disconnect_client(InvocationId inv) { balancer.on_client_disconnected(now, inv); }
    void wake()
    {
        auto due = std::move(timers_);
        timers_.clear();
        for (const auto& [name, at] : due) now = std::max(now, at), balancer.on_timer_fired(now, name);
    }
    // Sends n invocations, each answered at once; returns how many each upstream got. Their decisions are
    // not recorded.
    std::map<UpstreamId, int> send_many(int n, AttemptResult result = AttemptResult::succeeded,
                                        UpstreamId only = ~0u, Duration every = seconds(0.01))
    {
        std::map<UpstreamId, int> counts;
        recording_paused = true;
        for (int i = 0; i < n; ++i) {
            advance_clock(every);
            last_upstream = ~0u;
            accept(99);
            if (last_upstream == ~0u) continue;
            ++counts[last_upstream];
            const bool affected = only == ~0u || last_upstream == only;
            end_attempt(99, affected ? result : AttemptResult::succeeded);
            if (forwards_.count(99)) disconnect_client(99), end_attempt(99, AttemptResult::cancelled);
        }
        recording_paused = false;
        return counts;
    }
    // Returns the decisions recorded since the last call.
    Decisions take_decisions() { return std::exchange(recorded_, {}); }

    TimePoint now{1'000'000'000};
    UpstreamId last_upstream = 0;
    bool recording_paused = false;
    int throttled_count = 0, idle_closed_count = 0;
    std::vector<std::string> peer_messages;  // to the other instances
    Balancer balancer;

  protected:
    virtual void record(const Decision& decision) { recorded_.push_back(decision); }

  private:
    void record_unless_paused(const Decision& decision)
    {
        if (!recording_paused) record(decision);
    }
    void forward(InvocationId inv, UpstreamId upstream_id, Duration limit) override
    {
        forwards_.try_emplace(inv, 0);
        last_upstream = upstream_id;
        record_unless_paused(decision::Forwarded{inv, upstream_id, limit});
    }
    void throttle(InvocationId inv, Duration retry_after) override
    {
        ++throttled_count;
        record_unless_paused(decision::Throttled{inv, retry_after > Duration{}});
    }
    void fail(InvocationId inv) override { record_unless_paused(decision::Errored{inv}); }
    void set_forward_timeout(InvocationId inv, uint32_t forward, Duration limit) override
    {
        record_unless_paused(decision::LimitChanged{inv, forward, limit});
    }
    void cancel_forward(InvocationId inv, uint32_t forward) override
    {
        record_unless_paused(decision::Cancelled{inv, forward});
    }
    void release_invocation(InvocationId inv) override
    {
        forwards_.erase(inv);
        record_unless_paused(decision::Released{inv});
    }
    void start_timer(TimePoint at, uint64_t name) override { timers_[name] = at; }
    void probe(UpstreamId upstream_id) override { record_unless_paused(decision::Probed{upstream_id}); }
    void close_idle_connections(UpstreamId upstream_id) override
    {
        ++idle_closed_count;
        record_unless_paused(decision::IdleConnectionsClosed{upstream_id});
    }
    void watch_endpoint_list() override { record_unless_paused(decision::ListWatched{}); }
    void broadcast(const std::string& message) override { peer_messages.push_back(message); }

    Decisions recorded_;
    std::map<InvocationId, uint32_t> forwards_;
    std::map<uint64_t, TimePoint> timers_;
};

}  // namespace firtide
