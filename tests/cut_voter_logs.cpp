// The logs of all voters lose synced records at once: the voters keep the log's name and have forgotten its
// newest grants, or nearly all of it.
#include "lost_voter_disks.h"

namespace firtide
{
namespace
{

using CutVoterLogs = LostVoterDisks;

INSTANTIATE_TEST_SUITE_P(Seeds, CutVoterLogs, ::testing::Range<uint64_t>(1, 21));

TEST_P(CutVoterLogs, LeaveADutyOneHolder)
{
    const size_t lost_bytes = 1450 + 70 * GetParam();  // of about 2,500 to 2,900
    for (size_t voter = 0; voter < voters; ++voter) {
        cluster_.crash(voter, true);
        cluster_.disk(voter).lose_synced_bytes("voter.log", lost_bytes);
    }
    for (size_t voter = 0; voter < voters; ++voter) cluster_.start(voter);
    watch();
}

}  // namespace
}  // namespace firtide
