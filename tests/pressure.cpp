// Work turned away for being busy, upstreams that stand still.
#include "trace.h"

using namespace firtide;

// Asks for n invocations at once, answers those that were let in after `took`; returns how many were not.
static int burst(Stage& s, int n, Span took)
{
    std::vector<InvocationId> in;
    s.quiet = true;
    for (int i = 0; i < n; ++i) {
        s.last_tgt = ~0u;
        s.accept(static_cast<InvocationId>(i));
        if (s.last_tgt != ~0u) in.push_back(static_cast<InvocationId>(i));
    }
    s.wait(took);
    for (const InvocationId inv : in) s.end(inv, AttemptResult::succeeded, took);
    s.quiet = false;
    return n - static_cast<int>(in.size());
}

static void busy(uint32_t tier)
{
    auto settings = Stage::settings(Stage::op(Idempotency::idempotent));
    settings.tier = tier;
    Stage s(settings);
    s.list(4);
    s.say(tier ? "a deeper tier never does: the work above would be lost"
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

    Stage r(Stage::settings(Stage::op(Idempotency::idempotent)));
    r.list(4);
    r.say("answers go from a tenth of the objective to not quite two: nobody is turned away, then or later");
    int refused = 0;
    for (int i = 0; i < 30; ++i) refused += burst(r, 12, seconds(0.1));
    for (int i = 0; i < 300; ++i) refused += burst(r, 12, seconds(i % 2 ? 0.18 : 0.15));
    std::printf("not let in: %d\n", refused);

    // Guards against a limit that is cut by chance: long work comes in runs.
    Stage c(Stage::settings(Stage::op(Idempotency::idempotent)));
    c.list(4);
    c.say("beside quick answers, now and then nine that take five times as long, and nothing is pressed");
    refused = 0;
    for (int i = 0; i < 100; ++i)
        refused += burst(c, 18, seconds(0.15)) + (i % 5 == 4 ? burst(c, 9, seconds(0.7)) : 0);
    std::printf("not let in: %d of 1980\n", refused);

    Stage s(Stage::settings(Stage::op(Idempotency::idempotent)));
    s.list(3);
    s.many(60);
    s.say("three wait at u0 for longer than is usual: the rest goes elsewhere until it answers");
    s.quiet = true;
    InvocationId inv = 0;
    std::vector<InvocationId> stuck;
    while (stuck.size() < 3) {
        s.accept(inv);
        if (s.last_tgt == 0)
            stuck.push_back(inv);
        else
            s.end(inv, AttemptResult::succeeded);
        ++inv;
    }
    s.wait(seconds(0.6));
    Stage::print("while it stands still", s.many(60));
    s.quiet = true;
    for (const InvocationId i : stuck) s.end(i, AttemptResult::succeeded, seconds(0.7));
    Stage::print("after", s.many(60));
}
