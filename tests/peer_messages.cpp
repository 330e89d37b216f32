// Load known from messages between balancers, and from queues that upstreams report.
#include "src/balance/peer_message.h"
#include "trace.h"

using namespace firtide;

static Settings settings_of_two(uint32_t self)
{
    auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    settings.balancer_count = 2;
    settings.self_index = self;
    settings.may_message_peers = true;
    return settings;
}

// Delivers the messages that one balancer has sent since the last call to the other.
static void deliver_messages(TracingHost& from, TracingHost& to, uint32_t self)
{
    for (const auto& bytes : std::exchange(from.peer_messages, {}))
        to.balancer.on_peer_message(to.now, self, bytes);
}

static void test_wire_format()
{
    std::printf("-- wire format\n");
    const PeerMessage all{true, {2.5, 1e9}, {{0x1234, 7}}};
    const auto bytes = encode_peer_message(all);
    for (const unsigned char c : bytes) std::printf("%02x ", c);
    std::printf("\n");
    for (size_t n = 0; n <= bytes.size(); ++n)
        std::printf("%zu bytes of it: %s\n", n, decode_peer_message(bytes.substr(0, n)) ? "read" : "nothing");
    std::printf("another message type: %s\n", decode_peer_message("\x02") ? "read" : "nothing");
    std::printf("too long: %s\n", decode_peer_message(std::string(257, '\0')) ? "read" : "nothing");
}

static void test_peer_load()
{
    TracingHost a(settings_of_two(0)), b(settings_of_two(1));
    a.set_endpoints(4), b.set_endpoints(5);
    a.print_heading(
        "a peer has many requests at one upstream: less is sent there, and none to one that only the peer "
        "knows");
    b.recording_paused = true;
    // Four requests at u1 and one at u4, which the first balancer does not know.
    std::map<UpstreamId, InvocationId> held_at_upstream;
    int at_one = 0, at_four = 0;
    for (InvocationId invocation = 0; at_one < 4 || at_four < 1; ++invocation) {
        b.accept(invocation, seconds(60));
        int* count = b.last_upstream == 1 ? &at_one : b.last_upstream == 4 ? &at_four : nullptr;
        if (count && ++*count <= (count == &at_one ? 4 : 1)) continue;
        b.end_attempt(invocation, AttemptResult::succeeded);
    }
    TracingHost::print_counts("before", a.send_many(200));
    b.wake();
    deliver_messages(b, a, 1);
    TracingHost::print_counts("after the message", a.send_many(200));
    a.print_heading("malformed messages and those of unknown peers change nothing");
    for (const char* bytes : {"", "\x05", "\x01", "\x01\x40"}) a.balancer.on_peer_message(a.now, 1, bytes);
    a.balancer.on_peer_message(a.now, 7, encode_peer_message({true, {}, {{1, 200}, {2, 200}}}));
    a.balancer.on_peer_message(a.now, 0, encode_peer_message({true, {}, {{1, 200}, {2, 200}}}));
    TracingHost::print_counts("unchanged", a.send_many(200));
    a.print_heading("a peer that is silent for long is forgotten");
    a.advance_clock(seconds(6));
    a.recording_paused = true, a.wake();
    TracingHost::print_counts("after", a.send_many(200));
}

static void test_lost_responses()
{
    TracingHost a(settings_of_two(0));
    a.set_endpoints(2);
    a.send_many(40);
    a.print_heading(
        "twenty responses are long overdue and do not count as in flight: the next invocation is still "
        "forwarded");
    a.recording_paused = true;
    int in_flight = 0;
    for (InvocationId invocation = 0; invocation < 20; ++invocation) {
        a.balancer.on_peer_message(a.now, 1, encode_peer_message({true, {}, {}}));
        a.accept(invocation, seconds(60));
        in_flight += a.is_in_flight(invocation);
        a.advance_clock(seconds(0.5)), a.wake();
    }
    std::printf("%d of 20 were forwarded\n", in_flight);
}

// Starts n invocations, `every` apart, for the tenants that tenant_of(i) gives, and ends each after
// `duration`. Returns by tenant how many were not forwarded.
template <class TenantOf>
static std::vector<int> run_load(TracingHost& a, int n, Duration every, Duration duration, TenantOf tenant_of)
{
    std::vector<int> not_forwarded(4);
    std::vector<std::pair<TimePoint, InvocationId>> in_flight;
    a.recording_paused = true;
    for (int i = 0; i < n; ++i) {
        a.advance_clock(every);
        while (!in_flight.empty() && a.now - in_flight.front().first >= duration)
            a.end_attempt(in_flight.front().second, AttemptResult::succeeded, duration),
                in_flight.erase(in_flight.begin());
        const auto invocation = static_cast<InvocationId>(i % 100);
        const uint32_t tenant = tenant_of(i);
        a.accept(invocation, seconds(2), tenant);
        if (a.is_in_flight(invocation))
            in_flight.emplace_back(a.now, invocation);
        else
            ++not_forwarded[tenant];
    }
    a.advance_clock(duration);
    for (const auto& [at, invocation] : in_flight)
        a.end_attempt(invocation, AttemptResult::succeeded, duration);
    return not_forwarded;
}

static void test_tenant_shares()
{
    auto settings = settings_of_two(0);
    settings.tenant_quotas = {80, 80};
    TracingHost a(settings);
    a.set_endpoints(8);
    a.print_heading("a tenant uses half its share here, near the limit: number throttled of 400");
    const auto run_tenant = [&] {
        return run_load(a, 400, seconds(0.025), seconds(0.35), [](int) { return 0u; })[0];
    };
    const auto report_rate = [&](double rate) {
        a.balancer.on_peer_message(a.now, 1, encode_peer_message({true, {rate, 0}, {}}));
    };
    report_rate(0);
    std::printf("nothing at the peer: %d\n", run_tenant());
    report_rate(20);
    std::printf("a quarter of it at the peer: %d\n", run_tenant());
    report_rate(120);
    std::printf("half as much again at the peer: %s\n", run_tenant() > 20 ? "some" : "next to none");

    // One tenant must not crowd out the others where balancers exchange no messages.
    settings.may_message_peers = false;
    settings.balancer_count = 10;
    settings.tenant_quotas = {40, 40, 40, 40};
    const auto five_in_eight = [](int i) { return i % 2 ? static_cast<uint32_t>(i / 2 % 4) : 0u; };
    for (const double rate : {8.0, 32.0}) {
        TracingHost b(settings);
        b.set_endpoints(20);
        for (int i = 0; i < 4; ++i) run_load(b, 100, seconds(1 / rate), seconds(0.29), five_in_eight);
        const auto not_forwarded = run_load(b, 1000, seconds(1 / rate), seconds(0.29), five_in_eight);
        std::printf(
            "%2.0f per second, five in eight of one tenant, not forwarded: %d, and of the others %d\n", rate,
            not_forwarded[0], not_forwarded[1] + not_forwarded[2] + not_forwarded[3]);
    }
}

static void test_reported_queues()
{
    TracingHost host(TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent)));
    host.set_endpoints(3);
    host.print_heading(
        "responses take 0.3 s of an objective of 1 s: an upstream where three wait gets nothing");
    host.recording_paused = true;
    std::map<UpstreamId, int> forwards;
    for (int i = 0; i < 300; ++i) {
        host.advance_clock(seconds(0.02));
        host.last_upstream = ~0u;
        host.accept(0);
        if (host.last_upstream == ~0u) continue;
        ++forwards[host.last_upstream];
        LoadReport report;
        report.queue_length = host.last_upstream == 0 ? 3 : 0;
        host.end_attempt(0, AttemptResult::succeeded, seconds(0.3), report);
    }
    TracingHost::print_counts("forwards", forwards);
    TracingHost first_slow_host(
        TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent)));
    first_slow_host.set_endpoints(3);
    first_slow_host.print_heading(
        "the very first response took long, and one waits at each: nothing is throttled");
    first_slow_host.throttled_count = 0;
    first_slow_host.recording_paused = true;
    for (int i = 0; i < 100; ++i) {
        first_slow_host.advance_clock(seconds(0.5));
        first_slow_host.accept(0);
        LoadReport report;
        report.queue_length = 0.5;
        if (first_slow_host.is_in_flight(0))
            first_slow_host.end_attempt(0, AttemptResult::succeeded, seconds(i ? 0.3 : 0.95), report);
    }
    std::printf("throttled: %d of 100\n", first_slow_host.throttled_count);
    host.print_heading("three wait at each: throttled at once, not when it is too late");
    host.throttled_count = 0;
    host.recording_paused = true;
    for (int i = 0; i < 300; ++i) {
        host.advance_clock(seconds(0.02));
        host.last_upstream = ~0u;
        host.accept(0);
        if (host.last_upstream == ~0u) continue;
        LoadReport report;
        report.queue_length = 6;
        host.end_attempt(0, AttemptResult::succeeded, seconds(0.3), report);
    }
    std::printf("throttled: %s\n", host.throttled_count > 150 ? "most" : "few");
}

int main()
{
    test_wire_format();
    test_peer_load();
    test_lost_responses();
    test_tenant_shares();
    test_reported_queues();
}
