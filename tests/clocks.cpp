// Clock differences between machines, within the configured margins.
#include <gtest/gtest.h>

#include "balancer_host.h"

namespace firtide
{
namespace
{

using namespace decision;

Settings settings_with_margins(Duration time_left, Duration start_time,
                               Idempotency repeat = Idempotency::non_idempotent)
{
    auto settings = BalancerHost::make_settings(BalancerHost::make_operation(repeat));
    settings.time_left_margin = time_left;
    settings.start_time_margin = start_time;
    settings.slow_start_duration = seconds(10);
    return settings;
}

// An invocation must not be given up at a time that only another machine's clock says has come.
TEST(TimeLeftMargin, NothingLeftWithoutMarginIsThrottled)
{
    BalancerHost host(settings_with_margins({}, {}));
    host.set_endpoints(2);
    host.accept(0, {});
    EXPECT_EQ(host.take_decisions(), Decisions({Throttled{0, true}, Released{0}}));
}

TEST(TimeLeftMargin, NonIdempotentIsAnsweredOnceOutOfTime)
{
    BalancerHost host(settings_with_margins(seconds(1.5), {}, Idempotency::non_idempotent));
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

TEST(TimeLeftMargin, IdempotentIsSentAgainOnceOutOfTime)
{
    BalancerHost host(settings_with_margins(seconds(1.5), {}, Idempotency::idempotent));
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

TEST(TimeLeftMargin, ComesAndGoesWithNewSettings)
{
    BalancerHost host(settings_with_margins({}, {}));
    host.set_endpoints(2);
    host.balancer.update_settings(host.now, settings_with_margins(seconds(1.5), {}), {0}, {});
    host.accept(0, {});
    host.end_attempt(0, AttemptResult::succeeded);
    EXPECT_EQ(host.take_decisions(), Decisions({Forwarded{0, 1, seconds(1.5)}, Released{0}}));
    host.balancer.update_settings(host.now, settings_with_margins({}, {}), {0}, {});
    host.accept(0, {});
    EXPECT_EQ(host.take_decisions(), Decisions({Throttled{0, true}, Released{0}}));
}

// Returns how many of 200 invocations, 0.01 s apart, go to an upstream that was just listed as restarted.
int forwards_to_restarted(Duration margin, Duration started_ago)
{
    BalancerHost host(settings_with_margins({}, margin, Idempotency::idempotent));
    host.set_endpoints(4);
    host.send_many(200);
    host.change_endpoint(0, EndpointPhase::ready, host.now - started_ago);
    return host.send_many(200)[0];
}

// An upstream that started later than listed must not be overloaded.
TEST(StartTimeMargin, WarmUpstreamGetsItsPartWithoutMargin)
{
    EXPECT_EQ(forwards_to_restarted({}, seconds(10)), 45);
}

TEST(StartTimeMargin, UpstreamThatMayBeColdGetsLess)
{
    EXPECT_EQ(forwards_to_restarted(seconds(5), seconds(10)), 22);
}

TEST(StartTimeMargin, UpstreamWarmBeyondTheMarginGetsItsPart)
{
    EXPECT_EQ(forwards_to_restarted(seconds(5), seconds(15)), 45);
}

TEST(StartTimeMargin, UpstreamThatStartsInTheFutureGetsAlmostNothing)
{
    EXPECT_EQ(forwards_to_restarted({}, seconds(-5)), 3);
}

}  // namespace
}  // namespace firtide
