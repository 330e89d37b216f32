// Rule 1 and 2: one answer in time, no effect twice.
#include "trace.h"

using namespace firtide;

static void play(const char* what, Operation op, AttemptResult first, bool may_overlap = true,
                 Duration after = seconds(0.1))
{
    auto settings = TracingHost::make_settings(op);
    settings.may_overlap_forwards = may_overlap;
    TracingHost s(settings);
    s.print_heading(what);
    s.set_endpoints(4);
    s.accept(0);
    s.advance_clock(after);
    s.end_attempt(0, first, after);
    if (first != AttemptResult::succeeded) s.disconnect_client(0);
}

int main()
{
    const auto idem = TracingHost::make_operation(Idempotency::idempotent),
               once = TracingHost::make_operation(Idempotency::non_idempotent);
    const auto dedup = TracingHost::make_operation(Idempotency::deduplicated);
    play("a success is the answer", idem, AttemptResult::succeeded);
    play("idempotent, errored: forwarded again elsewhere", idem, AttemptResult::errored);
    play("non-idempotent, errored: may have run, so an error and nothing more", once, AttemptResult::errored);
    play("non-idempotent, reset: likewise", once, AttemptResult::reset);
    play("non-idempotent, full: proven not run, forwarded again", once, AttemptResult::declined);
    play("non-idempotent, unreachable: likewise", once, AttemptResult::unreachable);
    play("deduplicated to all, errored: forwarded again within the window", dedup, AttemptResult::errored);
    play("deduplicated to a zone, errored: only to the same zone",
         TracingHost::make_operation(Idempotency::deduplicated, DeduplicationScope::zone),
         AttemptResult::errored);
    play("deduplicated to a cell, errored: only to the same cell",
         TracingHost::make_operation(Idempotency::deduplicated, DeduplicationScope::cell),
         AttemptResult::errored);
    auto brief = dedup;
    brief.deduplication_window = seconds(0.05);
    play("deduplicated, past its window: throttled, as all would drop a repeat", brief,
         AttemptResult::errored);
    brief.deduplication_scope = DeduplicationScope::zone;
    play("deduplicated to a zone, past its window: an error, which promises nothing", brief,
         AttemptResult::errored);
    play("timed out at the latency objective: given up at once", idem, AttemptResult::timed_out, true,
         seconds(1));

    TracingHost s(TracingHost::make_settings(idem));
    s.print_heading("nobody listed: throttled at once");
    s.accept(0);
    s.print_heading("the client leaves: the forward is cancelled, nothing is answered");
    s.set_endpoints(2);
    s.accept(0);
    s.disconnect_client(0);
    s.end_attempt(0, AttemptResult::cancelled);
    s.print_heading("no time left: nothing is sent");
    s.accept(0, Duration{});
}
