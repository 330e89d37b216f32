// One of hundreds of instances: little own traffic, many upstreams.
#include "trace.h"

using namespace firtide;

static Settings one_of(uint32_t balancers, uint32_t self = 0)
{
    auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    settings.balancer_count = balancers;
    settings.self_index = self;
    return settings;
}

// Asks `each` times every half second, answers whatever is out after `took`; returns how many were not let
// in.
static int steady(TracingHost& s, int rounds, int each, Duration took,
                  AttemptResult result = AttemptResult::succeeded)
{
    int away = 0;
    s.recording_paused = true;
    for (int i = 0; i < rounds; ++i) {
        std::vector<InvocationId> in;
        for (InvocationId inv = 0; inv < static_cast<InvocationId>(each); ++inv) {
            s.last_upstream = ~0u;
            s.accept(inv);
            if (s.last_upstream == ~0u)
                ++away;
            else
                in.push_back(inv);
        }
        s.advance_clock(took);
        for (const InvocationId inv : in) {
            s.end_attempt(inv, result, took);
            while (s.is_in_flight(inv)) s.end_attempt(inv, result, seconds(0));
        }
        s.advance_clock(seconds(0.5) - took);
    }
    s.recording_paused = false;
    return away;
}

// One invocation, each forward answered at once as `how` says; returns the first upstream, or ~0u.
template <class How>
static UpstreamId one(TracingHost& s, How how)
{
    s.recording_paused = true;
    s.last_upstream = ~0u;
    s.accept(0);
    const UpstreamId first = s.last_upstream;
    while (s.is_in_flight(0)) {
        const auto [result, took] = how(s.last_upstream);
        s.end_attempt(0, result, seconds(took));
    }
    s.recording_paused = false;
    return first;
}

int main()
{
    std::map<UpstreamId, int> all;
    for (uint32_t self = 0; self < 40; ++self) {
        TracingHost s(one_of(40, self));
        s.set_endpoints(100);
        const auto got = s.send_many(40, AttemptResult::succeeded, ~0u, seconds(0.5));
        if (self == 0)
            s.print_heading("one instance of 40 uses few of 100 upstreams"),
                TracingHost::print_counts("used", got);
        for (const auto& [t, n] : got) all[t] += n > 0;
    }
    int least = 40, most = 0;
    for (const auto& [t, n] : all) least = std::min(least, n), most = std::max(most, n);
    std::printf("all 40 together use %zu, each shared by %d to %d instances\n", all.size(), least, most);

    TracingHost d(one_of(40));
    d.set_endpoints(100);
    d.print_heading("those of the few that cannot be reached are replaced by the next in the order");
    int failed = 0;
    std::map<UpstreamId, int> got;
    for (int i = 0; i < 120; ++i) {
        d.advance_clock(seconds(0.25));
        const UpstreamId first = one(d, [&](UpstreamId at) {
            failed += at % 3 == 0;
            return std::pair(at % 3 == 0 ? AttemptResult::unreachable : AttemptResult::succeeded, 0.1);
        });
        if (i >= 60) ++got[first];
    }
    TracingHost::print_counts("a third cannot be reached", got);
    std::printf("failed connects: %d in 120 invocations\n", failed);

    TracingHost c(one_of(400));
    c.set_endpoints(60);
    c.print_heading(
        "two invocations a second, quick answers: nobody is turned away for a calm that was never learnt");
    std::printf("not let in: %d of 120\n", steady(c, 120, 1, seconds(0.28)));
    c.print_heading("a sudden burst finds a limit, though nothing was pressed before");
    std::printf("not let in: %d of 40 at once\n", steady(c, 1, 40, seconds(0.28)));

    TracingHost f(one_of(400));
    f.set_endpoints(60);
    f.print_heading("full answers cut the limit, however quick the others are");
    steady(f, 40, 2, seconds(0.1));
    const int before = steady(f, 10, 2, seconds(0.1));
    steady(f, 24, 2, seconds(0.01), AttemptResult::declined);
    std::printf("not let in: %d of 20 before, %d of 20 after\n", before, steady(f, 10, 2, seconds(0.1)));

    TracingHost w(one_of(400));
    w.set_endpoints(60);
    w.print_heading("one of the few answers four times as slowly as its fellows and reports nothing");
    const UpstreamId slow = one(w, [](UpstreamId) { return std::pair(AttemptResult::succeeded, 0.1); });
    int slow_got = 0;
    for (int i = 0; i < 120; ++i) {
        w.advance_clock(seconds(0.25));
        slow_got += one(w, [&](UpstreamId at) {
                        return std::pair(AttemptResult::succeeded, at == slow ? 0.4 : 0.1);
                    }) == slow;
    }
    std::printf("it got %d of 120\n", slow_got);

    // Guards against a kind of slow machines that each instance meets too seldom to know one by one.
    TracingHost k(one_of(400));
    std::vector<EndpointState> kinds;
    for (UpstreamId t = 0; t < 60; ++t) kinds.push_back({t, t, EndpointPhase::ready, 0, 0, 1, {}, t % 2});
    k.balancer.set_endpoints(k.now, kinds);
    k.print_heading(
        "every second machine is of a kind that takes three times as long, one invocation in 2 s");
    int first = 0, last = 0;
    for (int i = 0; i < 200; ++i) {
        k.advance_clock(seconds(2));
        const bool odd =
            one(k, [](UpstreamId at) { return std::pair(AttemptResult::succeeded, at % 2 ? 0.3 : 0.1); }) % 2;
        (i < 100 ? first : last) += odd;
    }
    std::printf("they got %d of the first 100, %d of the next\n", first, last);

    TracingHost r(one_of(400));
    r.set_endpoints(60);
    r.print_heading("one of the few restarts: within its budget it gets work while it warms up");
    const auto quick = [](UpstreamId) { return std::pair(AttemptResult::succeeded, 0.1); };
    UpstreamId again = 0;
    for (int i = 0; i < 80; ++i) r.advance_clock(seconds(0.1)), again = one(r, quick);
    r.change_endpoint(again, EndpointPhase::ready, r.now);
    int cold = 0;
    for (int i = 0; i < 240; ++i) r.advance_clock(seconds(0.1)), cold += one(r, quick) == again;
    std::printf("it got %d of 240 in 24 s\n", cold);
}
