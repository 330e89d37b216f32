// Times told by other machines that are off, within the stated margins.
#include <gtest/gtest.h>

#include "balancer_host.h"

namespace firtide
{
namespace
{

using namespace decision;

Settings margins(Duration left, Duration ready, Idempotency repeat = Idempotency::non_idempotent)
{
    auto settings = BalancerHost::make_settings(BalancerHost::make_operation(repeat));
    settings.time_left_margin = left;
    settings.start_time_margin = ready;
    settings.slow_start_duration = seconds(10);
    return settings;
}

// Guards against invocations given up at a time that only another machine's clock says has come.
TEST(LeftMargin, NothingLeftWithoutMarginIsThrottled)
{
    BalancerHost host(margins({}, {}));
    host.set_endpoints(2);
    host.accept(0, {});
    EXPECT_EQ(host.take_decisions(), Decisions({Throttled{0, true}, Released{0}}));
}

TEST(LeftMargin, NonIdempotentIsAnsweredOnceOutOfTime)
{
    BalancerHost host(margins(seconds(1.5), {}, Idempotency::non_idempotent));
    host.set_endpoints(2);
    // Nothing left by the clock: forwarded within the margin.
    host.accept(0, {});
    EXPECT_EQ(host.take_decisions(), Decisions({Forwarded{0, 1, seconds(1.5)}}));
    // 1 s left and the margin: never longer than the client timeout.
    host.accept(1, seconds(1));
    EXPECT_EQ(host.take_decisions(), Decisions({Forwarded{1, 0, seconds(2)}}));
    host.advance_clock(seconds(0.8));
    // Out of time by the clock: another attempt could have a second effect.
    host.end_attempt(0, AttemptResult::reset);
    EXPECT_EQ(host.take_decisions(), Decisions({Errored{0}, Released{0}}));
    // The client was gone already: nothing ran.
    host.end_attempt(1, AttemptResult::not_sent);
    EXPECT_EQ(host.take_decisions(), Decisions({Throttled{1, true}, Released{1}}));
}

TEST(LeftMargin, IdempotentIsSentAgainOnceOutOfTime)
{
    BalancerHost host(margins(seconds(1.5), {}, Idempotency::idempotent));
    host.set_endpoints(2);
    // Nothing left by the clock: forwarded within the margin.
    host.accept(0, {});
    EXPECT_EQ(host.take_decisions(), Decisions({Forwarded{0, 1, seconds(1)}}));
    // 1 s left and the margin: never longer than the client timeout.
    host.accept(1, seconds(1));
    EXPECT_EQ(host.take_decisions(), Decisions({Forwarded{1, 0, seconds(1)}}));
    host.advance_clock(seconds(0.8));
    // Out of time by the clock: another attempt is harmless.
    host.end_attempt(0, AttemptResult::reset);
    EXPECT_EQ(host.take_decisions(), Decisions({Forwarded{0, 0, seconds(0.2)}}));
    // The client was gone already: nothing ran.
    host.end_attempt(1, AttemptResult::not_sent);
    EXPECT_EQ(host.take_decisions(), Decisions({Throttled{1, true}, Released{1}}));
    host.disconnect_client(0);
    host.end_attempt(0, AttemptResult::cancelled);
    EXPECT_EQ(host.take_decisions(), Decisions({Cancelled{0, 1}, Released{0}}));
}

TEST(LeftMargin, ComesAndGoesWithNewSettings)
{
    BalancerHost host(margins({}, {}));
    host.set_endpoints(2);
    host.balancer.update_settings(host.now, margins(seconds(1.5), {}), {0}, {});
    host.accept(0, {});
    host.end_attempt(0, AttemptResult::succeeded);
    EXPECT_EQ(host.take_decisions(), Decisions({Forwarded{0, 1, seconds(1.5)}, Released{0}}));
    host.balancer.update_settings(host.now, margins({}, {}), {0}, {});
    host.accept(0, {});
    EXPECT_EQ(host.take_decisions(), Decisions({Throttled{0, true}, Released{0}}));
}

// Of 200 invocations, 0.01 s apart, those that went to an upstream just listed as started.
int sent_to_restarted(Duration margin, Duration started_ago)
{
    BalancerHost host(margins({}, margin, Idempotency::idempotent));
    host.set_endpoints(4);
    host.send_many(200);
    host.change_endpoint(0, EndpointPhase::ready, host.now - started_ago);
    return host.send_many(200)[0];
}

// These guard against pushing over an upstream that started later than it is told.
TEST(ReadyMargin, WarmUpstreamGetsItsPartWithoutMargin) { EXPECT_EQ(sent_to_restarted({}, seconds(10)), 45); }

TEST(ReadyMargin, UpstreamThatMayBeColdGetsLess)
{
    EXPECT_EQ(sent_to_restarted(seconds(5), seconds(10)), 22);
}

TEST(ReadyMargin, UpstreamWarmBeyondTheMarginGetsItsPart)
{
    EXPECT_EQ(sent_to_restarted(seconds(5), seconds(15)), 45);
}

TEST(ReadyMargin, UpstreamThatStartsInTheFutureGetsAlmostNothing)
{
    EXPECT_EQ(sent_to_restarted({}, seconds(-5)), 3);
}

}  // namespace
}  // namespace firtide
