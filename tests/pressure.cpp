// Work turned away for being busy, upstreams that stand still.
#include "trace.h"

using namespace firtide;

// Asks for n invocations at once, answers those that were let in after `took`; returns how many were not.
static int burst(TracingHost& s, int n, Duration took)
{
    std::vector<InvocationId> in;
    s.recording_paused = true;
    for (int i = 0; i < n; ++i) {
        s.last_upstream = ~0u;
        s.accept(static_cast<InvocationId>(i));
        if (s.last_upstream != ~0u) in.push_back(static_cast<InvocationId>(i));
    }
    s.advance_clock(took);
    for (const InvocationId inv : in) s.end_attempt(inv, AttemptResult::succeeded, took);
    s.recording_paused = false;
    return n - static_cast<int>(in.size());
}

static void busy(uint32_t tier)
{
    auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    settings.tier = tier;
    TracingHost s(settings);
    s.set_endpoints(4);
    s.print_heading(tier ? "a deeper tier never does: the work above would be lost"
                         : "answers near the objective: 40 at once");
    for (int i = 0; i < 30; ++i) burst(s, 4, seconds(0.2));
    std::printf("not let in:");
    for (int i = 0; i < 6; ++i) std::printf(" %d", burst(s, 40, seconds(0.9)));
    std::printf("\nonce they are quick again:");
    for (int i = 0; i < 16; ++i) std::printf(" %d", burst(s, 40, seconds(0.15)));
    std::printf("\n");
}

int main()
{
    busy(0);
    busy(1);

    TracingHost r(TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent)));
    r.set_endpoints(4);
    r.print_heading(
        "answers go from a tenth of the objective to not quite two: nobody is turned away, then or later");
    int refused = 0;
    for (int i = 0; i < 30; ++i) refused += burst(r, 12, seconds(0.1));
    for (int i = 0; i < 300; ++i) refused += burst(r, 12, seconds(i % 2 ? 0.18 : 0.15));
    std::printf("not let in: %d\n", refused);

    // Guards against a limit that is cut by chance: long work comes in runs.
    TracingHost c(TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent)));
    c.set_endpoints(4);
    c.print_heading(
        "beside quick answers, now and then nine that take five times as long, and nothing is pressed");
    refused = 0;
    for (int i = 0; i < 100; ++i)
        refused += burst(c, 18, seconds(0.15)) + (i % 5 == 4 ? burst(c, 9, seconds(0.7)) : 0);
    std::printf("not let in: %d of 1980\n", refused);

    TracingHost s(TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent)));
    s.set_endpoints(3);
    s.send_many(60);
    s.print_heading("three wait at u0 for longer than is usual: the rest goes elsewhere until it answers");
    s.recording_paused = true;
    InvocationId inv = 0;
    std::vector<InvocationId> stuck;
    while (stuck.size() < 3) {
        s.accept(inv);
        if (s.last_upstream == 0)
            stuck.push_back(inv);
        else
            s.end_attempt(inv, AttemptResult::succeeded);
        ++inv;
    }
    s.advance_clock(seconds(0.6));
    TracingHost::print_counts("while it stands still", s.send_many(60));
    s.recording_paused = true;
    for (const InvocationId i : stuck) s.end_attempt(i, AttemptResult::succeeded, seconds(0.7));
    TracingHost::print_counts("after", s.send_many(60));
}
