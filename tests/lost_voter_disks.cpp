// All voters of a fleet lose their disks and found a new log, while other members hold duties of the log
// before.
#include "lost_voter_disks.h"

namespace firtide
{
namespace
{

INSTANTIATE_TEST_SUITE_P(Seeds, LostVoterDisks, ::testing::Range<uint64_t>(1, 21));

TEST_P(LostVoterDisks, AllAtOnceLeaveADutyOneHolder)
{
    const Epoch before = highest_epoch("d1");
    for (size_t voter = 0; voter < voters; ++voter) lose_disk(voter);
    for (size_t voter = 0; voter < voters; ++voter) cluster_.start(voter);
    watch();
    EXPECT_GT(highest_epoch("d1"), before);
}

TEST_P(LostVoterDisks, LeaveADutyOneHolderWhereThatOneHearsOfNothing)
{
    for (size_t i = 0; i < moved_duties.size(); ++i) cluster_.set_isolated(first_without_vote + i, true);
    for (size_t voter = 0; voter < voters; ++voter) lose_disk(voter);
    for (size_t voter = 0; voter < voters; ++voter) cluster_.start(voter);
    watch();
}

TEST_P(LostVoterDisks, OneAfterTheOtherLeaveADutyOneHolder)
{
    for (size_t voter = 0; voter < voters; ++voter) {
        lose_disk(voter);
        cluster_.run(seconds(0.4));
        cluster_.start(voter);
        cluster_.run(seconds(0.4));
        expect_one_holder_at_most();
    }
    watch();
}

}  // namespace
}  // namespace firtide
