// Entries, the pick, diversion, refusal.
#include "trace.h"

using namespace firtide;

int main()
{
    const auto settings = Stage::settings(Stage::op(Idempotency::idempotent));
    Stage s(settings);
    s.list(4);
    s.say("equals share alike");
    Stage::print("calm", s.many(400));
    s.say("full answers raise an entry: what is drawn for it moves elsewhere");
    Stage::print("u0 full", s.many(400, AttemptResult::full, 0));
    s.say("the entry outlives its cause, then lets twice as much through each second");
    Stage::print("1 s later", s.many(100));
    s.wait(seconds(10));
    Stage::print("10 s later", s.many(400));

    Stage q(settings);
    q.list(4);
    q.say("a report of a queue well above the others' mean draws less and diverts; it never refuses");
    std::map<UpstreamId, int> got;
    q.quiet = true;
    for (int i = 0; i < 400; ++i) {
        q.accept(0);
        ++got[q.last_tgt];
        LoadReport r;
        r.queue = q.last_tgt == 0 ? 40 : 0;
        q.end(0, AttemptResult::succeeded, seconds(0.1), r);
        q.wait(seconds(0.02));
    }
    q.throttled = 0;
    Stage::print("u0 has a queue", got);
    std::printf("throttled: %d\n", q.throttled);

    Stage t(settings);
    t.list(1);
    t.say("one reset alone raises nothing; pairs do, and then some are refused");
    t.many(1, AttemptResult::reset);
    t.throttled = 0;
    t.many(50);
    std::printf("throttled after one reset: %d of 50\n", t.throttled);
    t.many(6, AttemptResult::reset);
    t.throttled = 0;
    t.many(50);
    std::printf("throttled after pairs: %d of 50\n", t.throttled);

    Stage all(settings);
    all.list(3);
    all.say("every entry raised by full answers: refused with chance of the smallest reduction");
    all.many(60, AttemptResult::full);
    all.throttled = 0;
    all.many(100);
    std::printf("throttled: %s\n", all.throttled > 50 ? "most" : "few");
    all.list(4);
    all.throttled = 0;
    all.many(100);
    std::printf("one more server without an entry: throttled %d\n", all.throttled);

    Stage e(settings);
    e.list(4);
    e.many(100);
    e.say("quick errors well above the fellows' divert");
    e.many(100, AttemptResult::errored, 2);
    Stage::print("after", e.many(200));
    Stage b(settings);
    b.list(4);
    b.say("an upstream that cannot be reached is left after a few tries");
    Stage::print("dead u1", b.many(200, AttemptResult::unreachable, 1));
}
