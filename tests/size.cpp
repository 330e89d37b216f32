// One of hundreds of instances: little own traffic, many upstreams.
#include "trace.h"

using namespace firtide;

static Settings one_of(uint32_t balancers, uint32_t self = 0)
{
    auto settings = Stage::settings(Stage::op(Idempotency::idempotent));
    settings.balancers = balancers;
    settings.self = self;
    return settings;
}

// Asks `each` times every half second, answers whatever is out after `took`; returns how many were not let
// in.
static int steady(Stage& s, int rounds, int each, Span took, AttemptResult result = AttemptResult::succeeded)
{
    int away = 0;
    s.quiet = true;
    for (int i = 0; i < rounds; ++i) {
        std::vector<InvocationId> in;
        for (InvocationId inv = 0; inv < static_cast<InvocationId>(each); ++inv) {
            s.last_tgt = ~0u;
            s.accept(inv);
            if (s.last_tgt == ~0u)
                ++away;
            else
                in.push_back(inv);
        }
        s.wait(took);
        for (const InvocationId inv : in) {
            s.end(inv, result, took);
            while (s.is_out(inv)) s.end(inv, result, seconds(0));
        }
        s.wait(seconds(0.5) - took);
    }
    s.quiet = false;
    return away;
}

// One invocation, each forward answered at once as `how` says; returns the first upstream, or ~0u.
template <class How>
static UpstreamId one(Stage& s, How how)
{
    s.quiet = true;
    s.last_tgt = ~0u;
    s.accept(0);
    const UpstreamId first = s.last_tgt;
    while (s.is_out(0)) {
        const auto [result, took] = how(s.last_tgt);
        s.end(0, result, seconds(took));
    }
    s.quiet = false;
    return first;
}

int main()
{
    std::map<UpstreamId, int> all;
    for (uint32_t self = 0; self < 40; ++self) {
        Stage s(one_of(40, self));
        s.list(100);
        const auto got = s.many(40, AttemptResult::succeeded, ~0u, seconds(0.5));
        if (self == 0) s.say("one instance of 40 uses few of 100 upstreams"), Stage::print("used", got);
        for (const auto& [t, n] : got) all[t] += n > 0;
    }
    int least = 40, most = 0;
    for (const auto& [t, n] : all) least = std::min(least, n), most = std::max(most, n);
    std::printf("all 40 together use %zu, each shared by %d to %d instances\n", all.size(), least, most);

    Stage d(one_of(40));
    d.list(100);
    d.say("those of the few that cannot be reached are replaced by the next in the order");
    int failed = 0;
    std::map<UpstreamId, int> got;
    for (int i = 0; i < 120; ++i) {
        d.wait(seconds(0.25));
        const UpstreamId first = one(d, [&](UpstreamId at) {
            failed += at % 3 == 0;
            return std::pair(at % 3 == 0 ? AttemptResult::unreachable : AttemptResult::succeeded, 0.1);
        });
        if (i >= 60) ++got[first];
    }
    Stage::print("a third cannot be reached", got);
    std::printf("failed connects: %d in 120 invocations\n", failed);

    Stage c(one_of(400));
    c.list(60);
    c.say("two invocations a second, quick answers: nobody is turned away for a calm that was never learnt");
    std::printf("not let in: %d of 120\n", steady(c, 120, 1, seconds(0.28)));
    c.say("a sudden burst finds a limit, though nothing was pressed before");
    std::printf("not let in: %d of 40 at once\n", steady(c, 1, 40, seconds(0.28)));

    Stage f(one_of(400));
    f.list(60);
    f.say("full answers cut the limit, however quick the others are");
    steady(f, 40, 2, seconds(0.1));
    const int before = steady(f, 10, 2, seconds(0.1));
    steady(f, 24, 2, seconds(0.01), AttemptResult::full);
    std::printf("not let in: %d of 20 before, %d of 20 after\n", before, steady(f, 10, 2, seconds(0.1)));

    Stage w(one_of(400));
    w.list(60);
    w.say("one of the few answers four times as slowly as its fellows and reports nothing");
    const UpstreamId slow = one(w, [](UpstreamId) { return std::pair(AttemptResult::succeeded, 0.1); });
    int slow_got = 0;
    for (int i = 0; i < 120; ++i) {
        w.wait(seconds(0.25));
        slow_got += one(w, [&](UpstreamId at) {
                        return std::pair(AttemptResult::succeeded, at == slow ? 0.4 : 0.1);
                    }) == slow;
    }
    std::printf("it got %d of 120\n", slow_got);

    // Guards against a kind of slow machines that each instance meets too seldom to know one by one.
    Stage k(one_of(400));
    std::vector<EndpointState> kinds;
    for (UpstreamId t = 0; t < 60; ++t) kinds.push_back({t, t, EndpointPhase::ready, 0, 0, 1, {}, t % 2});
    k.balancer.list_is(k.now, kinds);
    k.say("every second machine is of a kind that takes three times as long, one invocation in 2 s");
    int first = 0, last = 0;
    for (int i = 0; i < 200; ++i) {
        k.wait(seconds(2));
        const bool odd =
            one(k, [](UpstreamId at) { return std::pair(AttemptResult::succeeded, at % 2 ? 0.3 : 0.1); }) % 2;
        (i < 100 ? first : last) += odd;
    }
    std::printf("they got %d of the first 100, %d of the next\n", first, last);

    Stage r(one_of(400));
    r.list(60);
    r.say("one of the few restarts: within its budget it gets work while it warms up");
    const auto quick = [](UpstreamId) { return std::pair(AttemptResult::succeeded, 0.1); };
    UpstreamId again = 0;
    for (int i = 0; i < 80; ++i) r.wait(seconds(0.1)), again = one(r, quick);
    r.change(again, EndpointPhase::ready, r.now);
    int cold = 0;
    for (int i = 0; i < 240; ++i) r.wait(seconds(0.1)), cold += one(r, quick) == again;
    std::printf("it got %d of 240 in 24 s\n", cold);
}
