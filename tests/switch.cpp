// New settings in a running module: what is open, what is learnt, and the way back.
#include "trace.h"

using namespace firtide;

static Settings before()
{
    auto s = Stage::settings(Stage::op(Idempotency::idempotent));
    s.operations.push_back(Stage::op(Idempotency::deduplicated, DeduplicationScope::zone));
    s.operations.push_back(Stage::op(Idempotency::non_idempotent));
    return s;
}

// One invocation of each operation is out; then the settings change; then all forwards are reset.
static void switched(const char* what, Settings after, const IndexMapping& places)
{
    Stage s(before());
    s.list(4);
    s.many(40);
    s.say(what);
    for (uint32_t op = 0; op < 3; ++op) s.balancer.accept(s.now, op, {op, 0, seconds(2)});
    s.balancer.settings_are(s.now, std::move(after), places, {});
    for (InvocationId inv = 0; inv < 3; ++inv) s.wait(seconds(0.1)), s.end(inv, AttemptResult::reset);
    for (InvocationId inv = 0; inv < 3; ++inv)
        while (s.is_out(inv)) s.end(inv, AttemptResult::succeeded);
}

int main()
{
    switched("nothing changes: idempotent and deduplicated work goes out again, the rest is errored",
             before(), {0, 1, 2});
    auto strict = before();
    for (auto& op : strict.operations) op.repeat = Idempotency::non_idempotent;
    switched("all are non-idempotent from now on: nothing that is open goes out twice", strict, {0, 1, 2});
    auto loose = before();
    for (auto& op : loose.operations) op.repeat = Idempotency::idempotent;
    switched("all are idempotent from now on: what is open keeps what it was accepted with", loose,
             {0, 1, 2});
    auto fewer = before();
    fewer.operations = {before().operations[2]};
    switched("two operations are no more, the last is the first", fewer, {2});
    auto once = before();
    once.max_forwards = 1;
    switched("one forward at the most: open work keeps to it", once, {0, 1, 2});

    Stage s(before());
    s.list(4);
    s.say("forth and back, five times: what is learnt of an upstream stays, and so do its neighbours");
    Stage::print("u0 full", s.many(400, AttemptResult::full, 0));
    for (int i = 0; i < 5; ++i)
        s.balancer.settings_are(s.now, i % 2 ? before() : fewer,
                                i % 2 ? IndexMapping{{}, {}, 0} : IndexMapping{2}, {});
    Stage::print("its entry", s.many(100));

    auto zones = before();
    zones.crossing_price = 0.02;
    s.balancer.settings_are(s.now, before(), {{}, {}, 0}, {});
    s.wait(seconds(10));
    s.say("crossing zones gets a price, and loses it");
    s.balancer.settings_are(s.now, zones, {0, 1, 2}, {});
    Stage::print("dear", s.many(200));
    s.balancer.settings_are(s.now, before(), {0, 1, 2}, {});
    Stage::print("free", s.many(200));

    auto probing = before();
    probing.reports_by_probe = true;
    s.say("reports by probe alone, then with answers again");
    s.balancer.settings_are(s.now, probing, {0, 1, 2}, {});
    s.wait(seconds(0.7)), s.many(8), s.wake();
    auto dear = probing;
    dear.probe_price = 0.05;
    s.say("a probe costs a twentieth of an invocation: for a hundred of them one, in turn");
    s.balancer.settings_are(s.now, dear, {0, 1, 2}, {});
    for (int i = 0; i < 6; ++i) s.many(60), s.wake(), std::printf("60 answered\n");
    s.balancer.settings_are(s.now, before(), {0, 1, 2}, {});
    s.many(8), s.wake(), s.wait(seconds(0.7)), s.many(8), s.wake();
    std::printf("no more probes\n");
}
