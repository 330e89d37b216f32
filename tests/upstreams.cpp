// Rules 3 and 4, and the list.
#include "trace.h"

using namespace firtide;

int main()
{
    auto settings = Stage::settings(Stage::op(Idempotency::idempotent));
    Stage s(settings);
    s.list(3);
    s.say("a draining or gone upstream gets nothing from the moment it is told");
    Stage::print("before", s.many(60));
    s.change(0, EndpointPhase::draining);
    s.change(1, EndpointPhase::gone);
    Stage::print("after", s.many(60));
    s.say("all draining: throttled at once");
    s.change(2, EndpointPhase::draining);
    s.accept(0);

    Stage c(settings);
    c.say("a cold upstream gets a part of its share, growing as it warms");
    c.list(4);
    c.many(400);
    c.change(3, EndpointPhase::ready, c.now);
    Stage::print("first second", c.many(100));
    c.wait(seconds(15));
    Stage::print("half warm", c.many(100));
    c.wait(seconds(16));
    Stage::print("warm", c.many(100));

    Stage fresh(settings);
    fresh.say("a fresh instance that knows only cold upstreams sends next to nothing");
    fresh.balancer.list_is(fresh.now, {{0, 0, EndpointPhase::ready, 0, 0, 1, fresh.now}});
    Stage::print("first second", fresh.many(100));
    for (int i = 0; i < 9; ++i) fresh.many(100);
    Stage::print("eleventh second", fresh.many(100));

    settings.list_must_be_asked = true;
    Stage asked(settings);
    asked.say("a list that must be asked: asked at the start, again after each failure");
    asked.wake();
    asked.balancer.list_answered(asked.now, false);
    asked.wake();
    asked.balancer.list_answered(asked.now, true);
    // A change counts as told 6 s after discovery could be reached again: no wait may come near to that.
    Span longest;
    asked.quiet = true;
    for (int i = 0; i < 40; ++i) {
        asked.balancer.list_answered(asked.now, false);
        const Point since = asked.now;
        asked.wake();
        longest = std::max(longest, asked.now - since);
    }
    asked.quiet = false;
    std::printf("after 40 failures it is asked for again %s\n",
                longest <= seconds(3) ? "within 3 s" : "later than 3 s");
    asked.wake();

    settings.list_must_be_asked = false;
    settings.reports_by_probe = true;
    Stage probing(settings);
    probing.say("reports come by probe alone: upstreams in use are probed, others are not");
    probing.list(40);
    probing.wake();
    Stage::print("in use", probing.many(6, AttemptResult::succeeded, ~0u, seconds(0.02)));
    probing.wake();
    probing.wake();
    probing.wake();
}
