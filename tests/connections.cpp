// Upstream connections that die while idle.
#include "trace.h"

using namespace firtide;

static void play(const char* what, bool only_after_idle, AttemptResult failure = AttemptResult::timed_out)
{
    auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::deduplicated));
    settings.may_overlap_forwards = false;
    TracingHost s(settings);
    s.print_heading(what);
    s.set_endpoints(3);
    s.send_many(60);
    s.idle_closed_count = 0;
    for (int round = 0; round < 6; ++round) {
        s.advance_clock(seconds(3));
        s.send_many(6, failure);
        if (only_after_idle)
            s.send_many(60, AttemptResult::succeeded, ~0u, seconds(0.001));
        else
            s.send_many(60, failure, ~0u, seconds(0.001));
    }
    std::printf("idle connections %s\n", s.idle_closed_count ? "closed before use" : "left alone");
}

int main()
{
    play("forwards after idle time hang, others do not", true);
    play("forwards after idle time are reset, others are not", true, AttemptResult::reset);
    play("all forwards hang: idle connections are not the cause", false);
}
