// Times told by other machines that are off, within the stated margins.
#include "trace.h"

using namespace firtide;

static Settings margins(Span left, Span ready, Repeat repeat = Repeat::non_idempotent)
{
    auto s = Stage::settings(Stage::op(repeat));
    s.left_margin = left;
    s.ready_margin = ready;
    s.cold = seconds(10);
    return s;
}

// Of 200 invocations, 0.01 s apart, those that went to an upstream just listed as started.
static void restarted(const char* what, Span margin, Span told_ago)
{
    Stage s(margins({}, margin, Repeat::idempotent));
    s.list(4);
    s.many(200);
    s.change(0, Presence::ready, s.now - told_ago);
    std::printf("%s: %d of 200 to u0\n", what, s.many(200)[0]);
}

int main()
{
    {
        // Guards against invocations given up at a time that only another machine's clock says has come.
        Stage s(margins({}, {}));
        s.list(2);
        s.say("no margin: nothing left by the clock, nothing is forwarded");
        s.accept(0, {});
    }
    for (const auto repeat : {Repeat::non_idempotent, Repeat::idempotent}) {
        Stage s(margins(seconds(1.5), {}, repeat));
        s.list(2);
        s.say("1.5 s either way: nothing left by the clock, forwarded");
        s.accept(0, {});
        s.say("1 s left: never longer than the client timeout");
        s.accept(1, seconds(1));
        s.wait(seconds(0.8));
        s.say("out of time by the clock: sent again where that is harmless, answered at once otherwise");
        s.end(0, Result::reset);
        s.say("the client was gone already: nothing ran");
        s.end(1, Result::not_sent);
        if (repeat == Repeat::idempotent) s.leave(0), s.end(0, Result::cancelled);
    }
    {
        Stage s(margins({}, {}));
        s.list(2);
        s.say("the margin comes with new settings, and goes");
        s.balancer.settings_are(s.now, margins(seconds(1.5), {}), {0}, {});
        s.accept(0, {}), s.end(0, Result::succeeded);
        s.balancer.settings_are(s.now, margins({}, {}), {0}, {});
        s.accept(0, {});
    }
    // Guards against pushing over an upstream that started later than it is told.
    restarted("started 10 s ago, no margin", {}, seconds(10));
    restarted("started 10 s ago, 5 s either way", seconds(5), seconds(10));
    restarted("started 15 s ago, 5 s either way", seconds(5), seconds(15));
    restarted("starts in 5 s, no margin", {}, seconds(-5));
}
