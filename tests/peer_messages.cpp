// What instances tell each other, where messages are allowed; and what waits at upstreams, where they report
// it.
#include "src/balance/peer_message.h"
#include "trace.h"

using namespace firtide;

static Settings one_of_two(uint32_t self)
{
    auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    settings.balancer_count = 2;
    settings.self_index = self;
    settings.may_message_peers = true;
    return settings;
}

// Hands on what one has told since the last time.
static void pass(TracingHost& from, TracingHost& to, uint32_t self)
{
    for (const auto& bytes : std::exchange(from.peer_messages, {}))
        to.balancer.on_peer_message(to.now, self, bytes);
}

static void wire()
{
    std::printf("-- on the wire\n");
    const PeerMessage all{true, {2.5, 1e9}, {{0x1234, 7}}};
    const auto bytes = encode_peer_message(all);
    for (const unsigned char c : bytes) std::printf("%02x ", c);
    std::printf("\n");
    for (size_t n = 0; n <= bytes.size(); ++n)
        std::printf("%zu bytes of it: %s\n", n, decode_peer_message(bytes.substr(0, n)) ? "read" : "nothing");
    std::printf("another kind: %s\n", decode_peer_message("\x02") ? "read" : "nothing");
    std::printf("too long: %s\n", decode_peer_message(std::string(257, '\0')) ? "read" : "nothing");
}

static void loads()
{
    TracingHost a(one_of_two(0)), b(one_of_two(1));
    a.set_endpoints(4), b.set_endpoints(5);
    a.print_heading(
        "another holds much at one upstream: less is sent there, and none to one that it alone knows");
    b.recording_paused = true;
    // Eight at u1, and one at u4, which the first instance does not know.
    std::map<UpstreamId, InvocationId> held;
    int at_one = 0, at_four = 0;
    for (InvocationId inv = 0; at_one < 4 || at_four < 1; ++inv) {
        b.accept(inv, seconds(60));
        int* count = b.last_upstream == 1 ? &at_one : b.last_upstream == 4 ? &at_four : nullptr;
        if (count && ++*count <= (count == &at_one ? 4 : 1)) continue;
        b.end_attempt(inv, AttemptResult::succeeded);
    }
    TracingHost::print_counts("before", a.send_many(200));
    b.wake();
    pass(b, a, 1);
    TracingHost::print_counts("told", a.send_many(200));
    a.print_heading("what cannot be read, or names nobody, changes nothing");
    for (const char* bytes : {"", "\x05", "\x01", "\x01\x40"}) a.balancer.on_peer_message(a.now, 1, bytes);
    a.balancer.on_peer_message(a.now, 7, encode_peer_message({true, {}, {{1, 200}, {2, 200}}}));
    a.balancer.on_peer_message(a.now, 0, encode_peer_message({true, {}, {{1, 200}, {2, 200}}}));
    TracingHost::print_counts("the same", a.send_many(200));
    a.print_heading("silent for long: what it told is forgotten");
    a.advance_clock(seconds(6));
    a.recording_paused = true, a.wake();
    TracingHost::print_counts("after", a.send_many(200));
}

static void lost()
{
    TracingHost a(one_of_two(0));
    a.set_endpoints(2);
    a.send_many(40);
    a.print_heading("twenty answers that are long overdue do not count as held: the next still goes out");
    a.recording_paused = true;
    int out = 0;
    for (InvocationId inv = 0; inv < 20; ++inv) {
        a.balancer.on_peer_message(a.now, 1, encode_peer_message({true, {}, {}}));
        a.accept(inv, seconds(60));
        out += a.is_in_flight(inv);
        a.advance_clock(seconds(0.5)), a.wake();
    }
    std::printf("%d of 20 went out\n", out);
}

// Of n invocations, `every` apart, of tenants in turn as `who` says, each answered after `took`: how many of
// each were not let in.
template <class Who>
static std::vector<int> crowd(TracingHost& a, int n, Duration every, Duration took, Who who)
{
    std::vector<int> away(4);
    std::vector<std::pair<TimePoint, InvocationId>> out;
    a.recording_paused = true;
    for (int i = 0; i < n; ++i) {
        a.advance_clock(every);
        while (!out.empty() && a.now - out.front().first >= took)
            a.end_attempt(out.front().second, AttemptResult::succeeded, took), out.erase(out.begin());
        const auto inv = static_cast<InvocationId>(i % 100);
        const uint32_t tenant = who(i);
        a.accept(inv, seconds(2), tenant);
        if (a.is_in_flight(inv))
            out.emplace_back(a.now, inv);
        else
            ++away[tenant];
    }
    a.advance_clock(took);
    for (const auto& [at, inv] : out) a.end_attempt(inv, AttemptResult::succeeded, took);
    return away;
}

static void shares()
{
    auto settings = one_of_two(0);
    settings.tenant_quotas = {80, 80};
    TracingHost a(settings);
    a.set_endpoints(8);
    a.print_heading("a tenant asks for half its share here, near the limit: how many of 400 are throttled");
    const auto ask = [&] { return crowd(a, 400, seconds(0.025), seconds(0.35), [](int) { return 0u; })[0]; };
    const auto tell = [&](double rate) {
        a.balancer.on_peer_message(a.now, 1, encode_peer_message({true, {rate, 0}, {}}));
    };
    tell(0);
    std::printf("nothing elsewhere: %d\n", ask());
    tell(20);
    std::printf("a quarter of it elsewhere: %d\n", ask());
    tell(120);
    std::printf("half as much again elsewhere: %s\n", ask() > 20 ? "some" : "next to none");

    // Guards against one tenant that crowds out the others, where the instances do not talk.
    settings.may_message_peers = false;
    settings.balancer_count = 10;
    settings.tenant_quotas = {40, 40, 40, 40};
    const auto five_in_eight = [](int i) { return i % 2 ? static_cast<uint32_t>(i / 2 % 4) : 0u; };
    for (const double rate : {8.0, 32.0}) {
        TracingHost b(settings);
        b.set_endpoints(20);
        for (int i = 0; i < 4; ++i) crowd(b, 100, seconds(1 / rate), seconds(0.29), five_in_eight);
        const auto away = crowd(b, 1000, seconds(1 / rate), seconds(0.29), five_in_eight);
        std::printf("%2.0f a second, five in eight of one tenant, not let in: %d, and of the others %d\n",
                    rate, away[0], away[1] + away[2] + away[3]);
    }
}

static void queues()
{
    TracingHost s(TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent)));
    s.set_endpoints(3);
    s.print_heading("answers take 0.3 s of an objective of 1 s: an upstream where three wait gets nothing");
    s.recording_paused = true;
    std::map<UpstreamId, int> got;
    for (int i = 0; i < 300; ++i) {
        s.advance_clock(seconds(0.02));
        s.last_upstream = ~0u;
        s.accept(0);
        if (s.last_upstream == ~0u) continue;
        ++got[s.last_upstream];
        LoadReport r;
        r.queue_length = s.last_upstream == 0 ? 3 : 0;
        s.end_attempt(0, AttemptResult::succeeded, seconds(0.3), r);
    }
    TracingHost::print_counts("got", got);
    TracingHost late(TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent)));
    late.set_endpoints(3);
    late.print_heading(
        "the first answer of all took long, and one waits at each: nobody is throttled for it");
    late.throttled_count = 0;
    late.recording_paused = true;
    for (int i = 0; i < 100; ++i) {
        late.advance_clock(seconds(0.5));
        late.accept(0);
        LoadReport r;
        r.queue_length = 0.5;
        if (late.is_in_flight(0)) late.end_attempt(0, AttemptResult::succeeded, seconds(i ? 0.3 : 0.95), r);
    }
    std::printf("throttled: %d of 100\n", late.throttled_count);
    s.print_heading("three wait at each: throttled now, not when it is too late");
    s.throttled_count = 0;
    s.recording_paused = true;
    for (int i = 0; i < 300; ++i) {
        s.advance_clock(seconds(0.02));
        s.last_upstream = ~0u;
        s.accept(0);
        if (s.last_upstream == ~0u) continue;
        LoadReport r;
        r.queue_length = 6;
        s.end_attempt(0, AttemptResult::succeeded, seconds(0.3), r);
    }
    std::printf("throttled: %s\n", s.throttled_count > 150 ? "most" : "few");
}

int main()
{
    wire();
    loads();
    lost();
    shares();
    queues();
}
