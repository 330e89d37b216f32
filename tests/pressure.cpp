// Throttling by the concurrency limit, and stalled upstreams.
#include "trace.h"

using namespace firtide;

// Starts n invocations at once and ends those that were forwarded after `duration`; returns how many were
// not.
static int run_burst(TracingHost& host, int n, Duration duration)
{
    std::vector<InvocationId> forwarded;
    host.recording_paused = true;
    for (int i = 0; i < n; ++i) {
        host.last_upstream = ~0u;
        host.accept(static_cast<InvocationId>(i));
        if (host.last_upstream != ~0u) forwarded.push_back(static_cast<InvocationId>(i));
    }
    host.advance_clock(duration);
    for (const InvocationId invocation : forwarded)
        host.end_attempt(invocation, AttemptResult::succeeded, duration);
    host.recording_paused = false;
    return n - static_cast<int>(forwarded.size());
}

static void run_overload(uint32_t tier)
{
    auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    settings.tier = tier;
    TracingHost host(settings);
    host.set_endpoints(4);
    host.print_heading(tier ? "a deeper tier never throttles for load: the work above would be lost"
                            : "responses near the latency objective, 40 invocations at once");
    for (int i = 0; i < 30; ++i) run_burst(host, 4, seconds(0.2));
    std::printf("not forwarded:");
    for (int i = 0; i < 6; ++i) std::printf(" %d", run_burst(host, 40, seconds(0.9)));
    std::printf("\nonce responses are quick again:");
    for (int i = 0; i < 16; ++i) std::printf(" %d", run_burst(host, 40, seconds(0.15)));
    std::printf("\n");
}

int main()
{
    run_overload(0);
    run_overload(1);

    TracingHost rising_host(TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent)));
    rising_host.set_endpoints(4);
    rising_host.print_heading(
        "responses go from a tenth of the objective to just under two tenths: nothing is throttled, then or "
        "later");
    int not_forwarded = 0;
    for (int i = 0; i < 30; ++i) not_forwarded += run_burst(rising_host, 12, seconds(0.1));
    for (int i = 0; i < 300; ++i) not_forwarded += run_burst(rising_host, 12, seconds(i % 2 ? 0.18 : 0.15));
    std::printf("not forwarded: %d\n", not_forwarded);

    // Long invocations come in runs, which must not cut the limit by chance.
    TracingHost scattered_host(
        TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent)));
    scattered_host.set_endpoints(4);
    scattered_host.print_heading(
        "among quick responses, now and then nine that take five times as long: nothing is throttled");
    not_forwarded = 0;
    for (int i = 0; i < 100; ++i)
        not_forwarded += run_burst(scattered_host, 18, seconds(0.15)) +
                         (i % 5 == 4 ? run_burst(scattered_host, 9, seconds(0.7)) : 0);
    std::printf("not forwarded: %d of 1980\n", not_forwarded);

    TracingHost host(TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent)));
    host.set_endpoints(3);
    host.send_many(60);
    host.print_heading("three requests wait at u0 for longer than usual: others avoid it until it responds");
    host.recording_paused = true;
    InvocationId invocation = 0;
    std::vector<InvocationId> stalled;
    while (stalled.size() < 3) {
        host.accept(invocation);
        if (host.last_upstream == 0)
            stalled.push_back(invocation);
        else
            host.end_attempt(invocation, AttemptResult::succeeded);
        ++invocation;
    }
    host.advance_clock(seconds(0.6));
    TracingHost::print_counts("while u0 is stalled", host.send_many(60));
    host.recording_paused = true;
    for (const InvocationId i : stalled) host.end_attempt(i, AttemptResult::succeeded, seconds(0.7));
    TracingHost::print_counts("after", host.send_many(60));
}
