// New settings while running: their effect on open invocations and learnt state, and changing back.
#include "trace.h"

using namespace firtide;

static Settings initial_settings()
{
    auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    settings.operations.push_back(
        TracingHost::make_operation(Idempotency::deduplicated, DeduplicationScope::zone));
    settings.operations.push_back(TracingHost::make_operation(Idempotency::non_idempotent));
    return settings;
}

// Forwards one invocation of each operation, changes the settings, then resets all forwards.
static void run_change(const char* title, Settings changed_settings, const IndexMapping& new_indices)
{
    TracingHost host(initial_settings());
    host.set_endpoints(4);
    host.send_many(40);
    host.print_heading(title);
    for (uint32_t operation = 0; operation < 3; ++operation)
        host.balancer.accept(host.now, operation, {operation, 0, seconds(2)});
    host.balancer.update_settings(host.now, std::move(changed_settings), new_indices, {});
    for (InvocationId invocation = 0; invocation < 3; ++invocation)
        host.advance_clock(seconds(0.1)), host.end_attempt(invocation, AttemptResult::reset);
    for (InvocationId invocation = 0; invocation < 3; ++invocation)
        while (host.is_in_flight(invocation)) host.end_attempt(invocation, AttemptResult::succeeded);
}

int main()
{
    run_change(
        "no change: idempotent and deduplicated invocations are forwarded again, the other ends with an "
        "error",
        initial_settings(), {0, 1, 2});
    auto stricter = initial_settings();
    for (auto& operation : stricter.operations) operation.idempotency = Idempotency::non_idempotent;
    run_change("all become non-idempotent: no open invocation is forwarded twice", stricter, {0, 1, 2});
    auto looser = initial_settings();
    for (auto& operation : looser.operations) operation.idempotency = Idempotency::idempotent;
    run_change("all become idempotent: open invocations keep the operation they were accepted with", looser,
               {0, 1, 2});
    auto fewer = initial_settings();
    fewer.operations = {initial_settings().operations[2]};
    run_change("two operations are removed, the last becomes the first", fewer, {2});
    auto one_forward = initial_settings();
    one_forward.max_forwards = 1;
    run_change("at most one forward: applies to open invocations too", one_forward, {0, 1, 2});

    TracingHost host(initial_settings());
    host.set_endpoints(4);
    host.print_heading("five changes back and forth: signals of an upstream and its place in the order stay");
    TracingHost::print_counts("u0 declines", host.send_many(400, AttemptResult::declined, 0));
    for (int i = 0; i < 5; ++i)
        host.balancer.update_settings(host.now, i % 2 ? initial_settings() : fewer,
                                      i % 2 ? IndexMapping{{}, {}, 0} : IndexMapping{2}, {});
    TracingHost::print_counts("with its entry", host.send_many(100));

    auto zones = initial_settings();
    zones.cross_zone_price = 0.02;
    host.balancer.update_settings(host.now, initial_settings(), {{}, {}, 0}, {});
    host.advance_clock(seconds(10));
    host.print_heading("cross-zone forwards get a price and lose it again");
    host.balancer.update_settings(host.now, zones, {0, 1, 2}, {});
    TracingHost::print_counts("with a price", host.send_many(200));
    host.balancer.update_settings(host.now, initial_settings(), {0, 1, 2}, {});
    TracingHost::print_counts("without a price", host.send_many(200));

    auto probing = initial_settings();
    probing.load_reports_by_probe = true;
    host.print_heading("load reports by probe only, then with responses again");
    host.balancer.update_settings(host.now, probing, {0, 1, 2}, {});
    host.advance_clock(seconds(0.7)), host.send_many(8), host.wake();
    auto expensive_probes = probing;
    expensive_probes.probe_price = 0.05;
    host.print_heading(
        "a probe costs a twentieth of an invocation: one probe for each hundred of them, in turn");
    host.balancer.update_settings(host.now, expensive_probes, {0, 1, 2}, {});
    for (int i = 0; i < 6; ++i) host.send_many(60), host.wake(), std::printf("60 responses\n");
    host.balancer.update_settings(host.now, initial_settings(), {0, 1, 2}, {});
    host.send_many(8), host.wake(), host.advance_clock(seconds(0.7)), host.send_many(8), host.wake();
    std::printf("no more probes\n");
}
