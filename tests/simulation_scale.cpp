// Scale runs in virtual time: one seed gives one result, and every trouble ends with each change of the list
// in force at each live member and one view of the members.
#include <gtest/gtest.h>

#include "simulation/scale.h"

using namespace firtide;
using namespace firtide::simulation;

namespace
{

ScalePlan small(ScaleTrouble trouble = ScaleTrouble::none)
{
    ScalePlan plan;
    plan.members = 60;
    plan.upstreams = 20;
    plan.seconds = 5;
    plan.trouble = trouble;
    return plan;
}

void ends_in_agreement(ScalePlan plan)
{
    ScaleRun run(plan);
    const ScaleResult result = run.run();
    EXPECT_EQ(result.changes_missing, 0u);
    EXPECT_GT(result.change_in_force.counted, plan.members);
    EXPECT_TRUE(result.broken.empty());
    ASSERT_TRUE(result.trouble);
    EXPECT_TRUE(result.trouble->seconds_until_agreed);
    for (size_t i = 0; i < plan.members; ++i) {
        ASSERT_TRUE(run.cluster().up(i));
        EXPECT_EQ(run.cluster().fleet(i).membership().alive_count(), plan.members);
        EXPECT_EQ(run.cluster().fleet(i).membership().view_digest(),
                  run.cluster().fleet(0).membership().view_digest());
    }
}

TEST(ScaleRun, GivesTheSameResultForTheSamePlan)
{
    const ScalePlan plan = small(ScaleTrouble::killed);
    const ScaleResult first = ScaleRun(plan).run(), second = ScaleRun(plan).run();
    EXPECT_EQ(scale_report(plan, first, {}), scale_report(plan, second, {}));
    EXPECT_EQ(first.messages, second.messages);
    EXPECT_EQ(first.bytes, second.bytes);
}

TEST(ScaleRun, AnotherSeedGivesAnotherRun)
{
    ScalePlan plan = small();
    const ScaleResult first = ScaleRun(plan).run();
    plan.seed = 2;
    EXPECT_NE(first.bytes, ScaleRun(plan).run().bytes);
}

TEST(ScaleRun, CountsEveryRoleAtRest)
{
    const ScaleResult result = ScaleRun(small()).run();
    size_t members = 0;
    for (const auto& [role, traffic] : result.roles) {
        members += traffic.members;
        EXPECT_GT(traffic.messages.median, 0) << role;
        EXPECT_GE(traffic.messages.greatest, traffic.messages.median) << role;
        EXPECT_GT(traffic.kilobytes_in.median, 0) << role;
        EXPECT_GT(traffic.kilobytes_out.median, 0) << role;
    }
    EXPECT_EQ(members, 60u);
    EXPECT_EQ(result.roles.at("leader").members, 1u);
    EXPECT_EQ(result.roles.at("holder.list").members, 1u);
    EXPECT_FALSE(result.trouble);
}

TEST(ScaleRun, WithoutChangesNothingIsCounted)
{
    ScalePlan plan = small();
    plan.changes_per_second = 0;
    const ScaleResult result = ScaleRun(plan).run();
    EXPECT_EQ(result.change_in_force.counted, 0u);
    EXPECT_EQ(result.changes_missing, 0u);
}

TEST(ScaleRun, KilledMembersComeBackToOneView) { ends_in_agreement(small(ScaleTrouble::killed)); }
TEST(ScaleRun, ALostZoneComesBackToOneView) { ends_in_agreement(small(ScaleTrouble::zone)); }
TEST(ScaleRun, JoinedRegionsComeToOneView) { ends_in_agreement(small(ScaleTrouble::regions)); }
TEST(ScaleRun, ARestartOfAllEndsInOneView) { ends_in_agreement(small(ScaleTrouble::restart)); }

TEST(ScaleRun, JoinedRegionsComeToOneViewWithDeltas)
{
    ScalePlan plan = small(ScaleTrouble::regions);
    plan.deltas = true;
    ends_in_agreement(plan);
}

TEST(ScalePlan, NamesWhatCannotBeRun)
{
    EXPECT_EQ(ScalePlan{}.fault(), "");
    ScalePlan plan;
    plan.voters = 4;
    EXPECT_EQ(plan.fault(), "voters: 3, 5 or 7 members vote, not 4");
    plan = {};
    plan.members = 2;
    EXPECT_EQ(plan.fault(), "members: from 3 to 20000 are possible, not 2");
    plan = {};
    plan.upstreams = 0;
    EXPECT_EQ(plan.fault(), "upstreams: from 1 to 50000 are possible, not 0");
    plan = {};
    plan.seconds = 0;
    EXPECT_EQ(plan.fault(), "seconds: from 1 to 3600 are possible, not 0");
    plan = {};
    plan.zones = 1;
    plan.trouble = ScaleTrouble::zone;
    EXPECT_EQ(plan.fault(), "zones: where one is lost, two are needed");
}

TEST(ScaleTrouble, IsKnownByItsName)
{
    for (const auto trouble : {ScaleTrouble::none, ScaleTrouble::killed, ScaleTrouble::zone,
                               ScaleTrouble::regions, ScaleTrouble::restart})
        EXPECT_EQ(scale_trouble_of(to_string(trouble)), trouble);
    EXPECT_FALSE(scale_trouble_of("flood"));
}

}  // namespace
