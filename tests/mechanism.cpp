// Reductions of upstreams: what raises them, how they expire, and the choice, diversion and refusal they
// cause.
#include "trace.h"

using namespace firtide;

int main()
{
    const auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    TracingHost entry_host(settings);
    entry_host.set_endpoints(4);
    entry_host.print_heading("equal upstreams get equal shares");
    TracingHost::print_counts("no failures", entry_host.send_many(400));
    entry_host.print_heading(
        "declined forwards raise an entry: invocations drawn for the upstream are diverted");
    TracingHost::print_counts("u0 declines", entry_host.send_many(400, AttemptResult::declined, 0));
    entry_host.print_heading("the entry outlives its cause, then admits twice as much every half second");
    TracingHost::print_counts("1 s later", entry_host.send_many(100));
    entry_host.advance_clock(seconds(10));
    TracingHost::print_counts("10 s later", entry_host.send_many(400));

    TracingHost queue_host(settings);
    queue_host.set_endpoints(4);
    queue_host.print_heading(
        "an upstream that reports a queue well above the mean is drawn less and diverted from; nothing is "
        "refused");
    std::map<UpstreamId, int> forwards;
    queue_host.recording_paused = true;
    for (int i = 0; i < 400; ++i) {
        queue_host.accept(0);
        ++forwards[queue_host.last_upstream];
        LoadReport report;
        report.queue_length = queue_host.last_upstream == 0 ? 40 : 0;
        queue_host.end_attempt(0, AttemptResult::succeeded, seconds(0.1), report);
        queue_host.advance_clock(seconds(0.02));
    }
    queue_host.throttled_count = 0;
    TracingHost::print_counts("u0 has a queue", forwards);
    std::printf("throttled: %d\n", queue_host.throttled_count);

    TracingHost reset_host(settings);
    reset_host.set_endpoints(1);
    reset_host.print_heading(
        "a single reset raises nothing; pairs of resets do, and some invocations are refused");
    reset_host.send_many(1, AttemptResult::reset);
    reset_host.throttled_count = 0;
    reset_host.send_many(50);
    std::printf("throttled after one reset: %d of 50\n", reset_host.throttled_count);
    reset_host.send_many(6, AttemptResult::reset);
    reset_host.throttled_count = 0;
    reset_host.send_many(50);
    std::printf("throttled after pairs: %d of 50\n", reset_host.throttled_count);

    TracingHost declining_host(settings);
    declining_host.set_endpoints(3);
    declining_host.print_heading(
        "every entry raised by declined forwards: refused with a chance equal to the smallest reduction");
    declining_host.send_many(60, AttemptResult::declined);
    declining_host.throttled_count = 0;
    declining_host.send_many(100);
    std::printf("throttled: %s\n", declining_host.throttled_count > 50 ? "most" : "few");
    declining_host.set_endpoints(4);
    declining_host.throttled_count = 0;
    declining_host.send_many(100);
    std::printf("one more upstream without an entry: throttled %d\n", declining_host.throttled_count);

    TracingHost error_host(settings);
    error_host.set_endpoints(4);
    error_host.send_many(100);
    error_host.print_heading("quick errors, well above the other upstreams' share, divert");
    error_host.send_many(100, AttemptResult::errored, 2);
    TracingHost::print_counts("after", error_host.send_many(200));
    TracingHost unreachable_host(settings);
    unreachable_host.set_endpoints(4);
    unreachable_host.print_heading("an unreachable upstream is avoided after a few attempts");
    TracingHost::print_counts("u1 unreachable",
                              unreachable_host.send_many(200, AttemptResult::unreachable, 1));
}
