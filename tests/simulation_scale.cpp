// Scalability runs in virtual time: a seed determines the result, and after every fault each change of the
// list is in force on each live member and all have the same view of the membership.
#include <gtest/gtest.h>

#include "simulation/scale.h"

using namespace firtide;
using namespace firtide::simulation;

namespace
{

ScalePlan small_plan(ScaleFault fault = ScaleFault::none)
{
    ScalePlan plan;
    plan.members = 60;
    plan.upstreams = 20;
    plan.seconds = 5;
    plan.fault = fault;
    return plan;
}

void expect_convergence(ScalePlan plan)
{
    ScaleRun run(plan);
    const ScaleResult result = run.run();
    EXPECT_EQ(result.changes_missing, 0u);
    EXPECT_GT(result.change_in_force.samples, plan.members);
    EXPECT_TRUE(result.violations.empty());
    ASSERT_TRUE(result.fault);
    EXPECT_TRUE(result.fault->seconds_until_agreed);
    for (size_t i = 0; i < plan.members; ++i) {
        ASSERT_TRUE(run.cluster().is_up(i));
        EXPECT_EQ(run.cluster().fleet(i).membership().alive_count(), plan.members);
        EXPECT_EQ(run.cluster().fleet(i).membership().view_digest(),
                  run.cluster().fleet(0).membership().view_digest());
    }
}

TEST(ScaleRun, GivesTheSameResultForTheSamePlan)
{
    const ScalePlan plan = small_plan(ScaleFault::killed);
    const ScaleResult first = ScaleRun(plan).run(), second = ScaleRun(plan).run();
    EXPECT_EQ(scale_report(plan, first, {}), scale_report(plan, second, {}));
    EXPECT_EQ(first.messages, second.messages);
    EXPECT_EQ(first.bytes, second.bytes);
}

TEST(ScaleRun, AnotherSeedGivesAnotherRun)
{
    ScalePlan plan = small_plan();
    const ScaleResult first = ScaleRun(plan).run();
    plan.seed = 2;
    EXPECT_NE(first.bytes, ScaleRun(plan).run().bytes);
}

TEST(ScaleRun, CountsEveryRoleAtRest)
{
    const ScaleResult result = ScaleRun(small_plan()).run();
    size_t members = 0;
    for (const auto& [role, traffic] : result.roles) {
        members += traffic.members;
        EXPECT_GT(traffic.messages.median, 0) << role;
        EXPECT_GE(traffic.messages.max, traffic.messages.median) << role;
        EXPECT_GT(traffic.kilobytes_in.median, 0) << role;
        EXPECT_GT(traffic.kilobytes_out.median, 0) << role;
    }
    EXPECT_EQ(members, 60u);
    EXPECT_EQ(result.roles.at("leader").members, 1u);
    EXPECT_EQ(result.roles.at("holder.list").members, 1u);
    EXPECT_FALSE(result.fault);
}

TEST(ScaleRun, WithoutChangesNothingIsCounted)
{
    ScalePlan plan = small_plan();
    plan.changes_per_second = 0;
    const ScaleResult result = ScaleRun(plan).run();
    EXPECT_EQ(result.change_in_force.samples, 0u);
    EXPECT_EQ(result.changes_missing, 0u);
}

TEST(ScaleRun, KilledMembersComeBackToOneView) { expect_convergence(small_plan(ScaleFault::killed)); }
TEST(ScaleRun, ALostZoneComesBackToOneView) { expect_convergence(small_plan(ScaleFault::zone)); }
TEST(ScaleRun, JoinedRegionsComeToOneView) { expect_convergence(small_plan(ScaleFault::regions)); }
TEST(ScaleRun, ARestartOfAllEndsInOneView) { expect_convergence(small_plan(ScaleFault::restart)); }

TEST(ScaleRun, JoinedRegionsComeToOneViewWithDeltas)
{
    ScalePlan plan = small_plan(ScaleFault::regions);
    plan.deltas = true;
    expect_convergence(plan);
}

TEST(ScalePlan, NamesWhatCannotBeRun)
{
    EXPECT_EQ(ScalePlan{}.validation_error(), "");
    ScalePlan plan;
    plan.voters = 4;
    EXPECT_EQ(plan.validation_error(), "voters: must be 3, 5 or 7, not 4");
    plan = {};
    plan.members = 2;
    EXPECT_EQ(plan.validation_error(), "members: must be from 3 to 20000, not 2");
    plan = {};
    plan.upstreams = 0;
    EXPECT_EQ(plan.validation_error(), "upstreams: must be from 1 to 50000, not 0");
    plan = {};
    plan.seconds = 0;
    EXPECT_EQ(plan.validation_error(), "seconds: must be from 1 to 3600, not 0");
    plan = {};
    plan.zones = 1;
    plan.fault = ScaleFault::zone;
    EXPECT_EQ(plan.validation_error(), "zones: must be at least 2 to lose one");
}

TEST(ScaleFault, IsKnownByItsName)
{
    for (const auto fault :
         {ScaleFault::none, ScaleFault::killed, ScaleFault::zone, ScaleFault::regions, ScaleFault::restart})
        EXPECT_EQ(parse_scale_fault(to_string(fault)), fault);
    EXPECT_FALSE(parse_scale_fault("flood"));
}

}  // namespace
