// New settings in a running module: what is open, what is learnt, and the way back.
#include "trace.h"

using namespace firtide;

static Settings before()
{
    auto s = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    s.operations.push_back(TracingHost::make_operation(Idempotency::deduplicated, DeduplicationScope::zone));
    s.operations.push_back(TracingHost::make_operation(Idempotency::non_idempotent));
    return s;
}

// One invocation of each operation is out; then the settings change; then all forwards are reset.
static void switched(const char* what, Settings after, const IndexMapping& places)
{
    TracingHost s(before());
    s.set_endpoints(4);
    s.send_many(40);
    s.print_heading(what);
    for (uint32_t op = 0; op < 3; ++op) s.balancer.accept(s.now, op, {op, 0, seconds(2)});
    s.balancer.update_settings(s.now, std::move(after), places, {});
    for (InvocationId inv = 0; inv < 3; ++inv)
        s.advance_clock(seconds(0.1)), s.end_attempt(inv, AttemptResult::reset);
    for (InvocationId inv = 0; inv < 3; ++inv)
        while (s.is_in_flight(inv)) s.end_attempt(inv, AttemptResult::succeeded);
}

int main()
{
    switched("nothing changes: idempotent and deduplicated work goes out again, the rest is errored",
             before(), {0, 1, 2});
    auto strict = before();
    for (auto& op : strict.operations) op.idempotency = Idempotency::non_idempotent;
    switched("all are non-idempotent from now on: nothing that is open goes out twice", strict, {0, 1, 2});
    auto loose = before();
    for (auto& op : loose.operations) op.idempotency = Idempotency::idempotent;
    switched("all are idempotent from now on: what is open keeps what it was accepted with", loose,
             {0, 1, 2});
    auto fewer = before();
    fewer.operations = {before().operations[2]};
    switched("two operations are no more, the last is the first", fewer, {2});
    auto once = before();
    once.max_forwards = 1;
    switched("one forward at the most: open work keeps to it", once, {0, 1, 2});

    TracingHost s(before());
    s.set_endpoints(4);
    s.print_heading(
        "forth and back, five times: what is learnt of an upstream stays, and so do its neighbours");
    TracingHost::print_counts("u0 full", s.send_many(400, AttemptResult::declined, 0));
    for (int i = 0; i < 5; ++i)
        s.balancer.update_settings(s.now, i % 2 ? before() : fewer,
                                   i % 2 ? IndexMapping{{}, {}, 0} : IndexMapping{2}, {});
    TracingHost::print_counts("its entry", s.send_many(100));

    auto zones = before();
    zones.cross_zone_price = 0.02;
    s.balancer.update_settings(s.now, before(), {{}, {}, 0}, {});
    s.advance_clock(seconds(10));
    s.print_heading("crossing zones gets a price, and loses it");
    s.balancer.update_settings(s.now, zones, {0, 1, 2}, {});
    TracingHost::print_counts("dear", s.send_many(200));
    s.balancer.update_settings(s.now, before(), {0, 1, 2}, {});
    TracingHost::print_counts("free", s.send_many(200));

    auto probing = before();
    probing.load_reports_by_probe = true;
    s.print_heading("reports by probe alone, then with answers again");
    s.balancer.update_settings(s.now, probing, {0, 1, 2}, {});
    s.advance_clock(seconds(0.7)), s.send_many(8), s.wake();
    auto dear = probing;
    dear.probe_price = 0.05;
    s.print_heading("a probe costs a twentieth of an invocation: for a hundred of them one, in turn");
    s.balancer.update_settings(s.now, dear, {0, 1, 2}, {});
    for (int i = 0; i < 6; ++i) s.send_many(60), s.wake(), std::printf("60 answered\n");
    s.balancer.update_settings(s.now, before(), {0, 1, 2}, {});
    s.send_many(8), s.wake(), s.advance_clock(seconds(0.7)), s.send_many(8), s.wake();
    std::printf("no more probes\n");
}
