// Entries, the pick, diversion, refusal.
#include "trace.h"

using namespace firtide;

int main()
{
    const auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    TracingHost s(settings);
    s.set_endpoints(4);
    s.print_heading("equals share alike");
    TracingHost::print_counts("calm", s.send_many(400));
    s.print_heading("full answers raise an entry: what is drawn for it moves elsewhere");
    TracingHost::print_counts("u0 full", s.send_many(400, AttemptResult::declined, 0));
    s.print_heading("the entry outlives its cause, then lets twice as much through each second");
    TracingHost::print_counts("1 s later", s.send_many(100));
    s.advance_clock(seconds(10));
    TracingHost::print_counts("10 s later", s.send_many(400));

    TracingHost q(settings);
    q.set_endpoints(4);
    q.print_heading(
        "a report of a queue well above the others' mean draws less and diverts; it never refuses");
    std::map<UpstreamId, int> got;
    q.recording_paused = true;
    for (int i = 0; i < 400; ++i) {
        q.accept(0);
        ++got[q.last_upstream];
        LoadReport r;
        r.queue_length = q.last_upstream == 0 ? 40 : 0;
        q.end_attempt(0, AttemptResult::succeeded, seconds(0.1), r);
        q.advance_clock(seconds(0.02));
    }
    q.throttled_count = 0;
    TracingHost::print_counts("u0 has a queue", got);
    std::printf("throttled: %d\n", q.throttled_count);

    TracingHost t(settings);
    t.set_endpoints(1);
    t.print_heading("one reset alone raises nothing; pairs do, and then some are refused");
    t.send_many(1, AttemptResult::reset);
    t.throttled_count = 0;
    t.send_many(50);
    std::printf("throttled after one reset: %d of 50\n", t.throttled_count);
    t.send_many(6, AttemptResult::reset);
    t.throttled_count = 0;
    t.send_many(50);
    std::printf("throttled after pairs: %d of 50\n", t.throttled_count);

    TracingHost all(settings);
    all.set_endpoints(3);
    all.print_heading("every entry raised by full answers: refused with chance of the smallest reduction");
    all.send_many(60, AttemptResult::declined);
    all.throttled_count = 0;
    all.send_many(100);
    std::printf("throttled: %s\n", all.throttled_count > 50 ? "most" : "few");
    all.set_endpoints(4);
    all.throttled_count = 0;
    all.send_many(100);
    std::printf("one more server without an entry: throttled %d\n", all.throttled_count);

    TracingHost e(settings);
    e.set_endpoints(4);
    e.send_many(100);
    e.print_heading("quick errors well above the fellows' divert");
    e.send_many(100, AttemptResult::errored, 2);
    TracingHost::print_counts("after", e.send_many(200));
    TracingHost b(settings);
    b.set_endpoints(4);
    b.print_heading("an upstream that cannot be reached is left after a few tries");
    TracingHost::print_counts("dead u1", b.send_many(200, AttemptResult::unreachable, 1));
}
