// Rules 1 and 2: one response in time, and no effect twice.
#include "trace.h"

using namespace firtide;

static void run_scenario(const char* title, Operation operation, AttemptResult first_result,
                         bool may_overlap = true, Duration duration = seconds(0.1))
{
    auto settings = TracingHost::make_settings(operation);
    settings.may_overlap_forwards = may_overlap;
    TracingHost host(settings);
    host.print_heading(title);
    host.set_endpoints(4);
    host.accept(0);
    host.advance_clock(duration);
    host.end_attempt(0, first_result, duration);
    if (first_result != AttemptResult::succeeded) host.disconnect_client(0);
}

int main()
{
    const auto idempotent = TracingHost::make_operation(Idempotency::idempotent),
               non_idempotent = TracingHost::make_operation(Idempotency::non_idempotent);
    const auto deduplicated = TracingHost::make_operation(Idempotency::deduplicated);
    run_scenario("a success is the response", idempotent, AttemptResult::succeeded);
    run_scenario("idempotent, errored: forwarded again to another upstream", idempotent,
                 AttemptResult::errored);
    run_scenario("non-idempotent, errored: may have run, so only an error is returned", non_idempotent,
                 AttemptResult::errored);
    run_scenario("non-idempotent, reset: may have run, so only an error is returned", non_idempotent,
                 AttemptResult::reset);
    run_scenario("non-idempotent, declined: proven not run, forwarded again", non_idempotent,
                 AttemptResult::declined);
    run_scenario("non-idempotent, unreachable: proven not run, forwarded again", non_idempotent,
                 AttemptResult::unreachable);
    run_scenario("deduplicated by all upstreams, errored: forwarded again within the window", deduplicated,
                 AttemptResult::errored);
    run_scenario("deduplicated within a zone, errored: forwarded again to the same zone only",
                 TracingHost::make_operation(Idempotency::deduplicated, DeduplicationScope::zone),
                 AttemptResult::errored);
    run_scenario("deduplicated within a pod group, errored: forwarded again to the same pod group only",
                 TracingHost::make_operation(Idempotency::deduplicated, DeduplicationScope::pod_group),
                 AttemptResult::errored);
    auto short_window = deduplicated;
    short_window.deduplication_window = seconds(0.05);
    run_scenario("deduplicated by all upstreams, past its window: throttled, as all would drop a repeat",
                 short_window, AttemptResult::errored);
    short_window.deduplication_scope = DeduplicationScope::zone;
    run_scenario(
        "deduplicated within a zone, past its window: an error, which promises nothing about what ran",
        short_window, AttemptResult::errored);
    run_scenario("timed out at the latency objective: given up at once", idempotent, AttemptResult::timed_out,
                 true, seconds(1));

    TracingHost host(TracingHost::make_settings(idempotent));
    host.print_heading("no upstream is listed: throttled at once");
    host.accept(0);
    host.print_heading("the client disconnects: the forward is cancelled and no reply is sent");
    host.set_endpoints(2);
    host.accept(0);
    host.disconnect_client(0);
    host.end_attempt(0, AttemptResult::cancelled);
    host.print_heading("no time left: nothing is forwarded");
    host.accept(0, Duration{});
}
