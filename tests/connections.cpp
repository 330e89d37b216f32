// Connections that died while idle.
#include "trace.h"

using namespace firtide;

static void play(const char* what, bool only_rested, AttemptResult broke = AttemptResult::timed_out)
{
    auto settings = Stage::settings(Stage::op(Idempotency::deduplicated));
    settings.may_overlap = false;
    Stage s(settings);
    s.say(what);
    s.list(3);
    s.many(60);
    s.closed = 0;
    for (int round = 0; round < 6; ++round) {
        s.wait(seconds(3));
        s.many(6, broke);
        if (only_rested)
            s.many(60, AttemptResult::succeeded, ~0u, seconds(0.001));
        else
            s.many(60, broke, ~0u, seconds(0.001));
    }
    std::printf("idle connections %s\n", s.closed ? "closed before use" : "left alone");
}

int main()
{
    play("forwards after a rest hang, others do not", true);
    play("forwards after a rest are reset, others are not", true, AttemptResult::reset);
    play("all hang alike: not the connections", false);
}
