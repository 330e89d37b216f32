// Rule 1 and 2: one answer in time, no effect twice.
#include "trace.h"

using namespace firtide;

static void play(const char* what, Operation op, AttemptResult first, bool may_overlap = true,
                 Span after = seconds(0.1))
{
    auto settings = Stage::settings(op);
    settings.may_overlap = may_overlap;
    Stage s(settings);
    s.say(what);
    s.list(4);
    s.accept(0);
    s.wait(after);
    s.end(0, first, after);
    if (first != AttemptResult::succeeded) s.leave(0);
}

int main()
{
    const auto idem = Stage::op(Idempotency::idempotent), once = Stage::op(Idempotency::non_idempotent);
    const auto dedup = Stage::op(Idempotency::deduplicated);
    play("a success is the answer", idem, AttemptResult::succeeded);
    play("idempotent, errored: forwarded again elsewhere", idem, AttemptResult::errored);
    play("non-idempotent, errored: may have run, so an error and nothing more", once, AttemptResult::errored);
    play("non-idempotent, reset: likewise", once, AttemptResult::reset);
    play("non-idempotent, full: proven not run, forwarded again", once, AttemptResult::full);
    play("non-idempotent, unreachable: likewise", once, AttemptResult::unreachable);
    play("deduplicated to all, errored: forwarded again within the window", dedup, AttemptResult::errored);
    play("deduplicated to a zone, errored: only to the same zone",
         Stage::op(Idempotency::deduplicated, DeduplicationScope::zone), AttemptResult::errored);
    play("deduplicated to a cell, errored: only to the same cell",
         Stage::op(Idempotency::deduplicated, DeduplicationScope::cell), AttemptResult::errored);
    auto brief = dedup;
    brief.window = seconds(0.05);
    play("deduplicated, past its window: throttled, as all would drop a repeat", brief,
         AttemptResult::errored);
    brief.group = DeduplicationScope::zone;
    play("deduplicated to a zone, past its window: an error, which promises nothing", brief,
         AttemptResult::errored);
    play("timed out at the latency objective: given up at once", idem, AttemptResult::timed_out, true,
         seconds(1));

    Stage s(Stage::settings(idem));
    s.say("nobody listed: throttled at once");
    s.accept(0);
    s.say("the client leaves: the forward is cancelled, nothing is answered");
    s.list(2);
    s.accept(0);
    s.leave(0);
    s.end(0, AttemptResult::cancelled);
    s.say("no time left: nothing is sent");
    s.accept(0, Span{});
}
