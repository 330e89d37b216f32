// A fleet whose voters lose their disks, or the ends of their logs, while other members hold duties.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>

#include "simulation/simulated_cluster.h"

namespace firtide
{

using namespace fleet;
using simulation::SimulatedCluster;

inline constexpr size_t voters = 3, first_without_vote = voters;
inline constexpr Duration step = seconds(0.05), watched = seconds(30);
inline const std::vector<std::string> moved_duties = {"d1", "d2"};

class LostVoterDisks : public ::testing::TestWithParam<uint64_t>
{
  protected:
    LostVoterDisks() : cluster_({}, GetParam())
    {
        for (size_t member = 0; member < cluster_.size(); ++member) cluster_.start(member);
        cluster_.run(seconds(15));
        for (size_t i = 0; i < moved_duties.size(); ++i) move(moved_duties[i], first_without_vote + i);
    }

    void move(const std::string& duty, size_t to)
    {
        const auto leader = cluster_.leader();
        ASSERT_TRUE(leader);
        cluster_.send_admin_request(*leader, "hand-over", duty, "m" + std::to_string(to + 1));
        cluster_.run(seconds(3));
        ASSERT_EQ(cluster_.holders(duty), std::vector<size_t>{to});
    }
    void lose_disk(size_t voter)
    {
        cluster_.crash(voter, true);
        cluster_.disk(voter).wipe();
    }
    void expect_one_holder_at_most() const
    {
        for (const std::string& duty : moved_duties)
            ASSERT_LE(cluster_.holders(duty).size(), 1u) << duty << " at " << cluster_.now().us << " us";
    }
    Epoch highest_epoch(const std::string& duty)
    {
        Epoch highest = 0;
        for (size_t member = 0; member < cluster_.size(); ++member)
            if (cluster_.is_up(member))
                highest = std::max(highest, cluster_.fleet(member).lease_client().table().entry(duty).epoch);
        return highest;
    }
    void watch()
    {
        for (const TimePoint end = cluster_.now() + watched; cluster_.now() < end;) {
            cluster_.run(step);
            expect_one_holder_at_most();
        }
        for (const std::string& duty : moved_duties) EXPECT_EQ(cluster_.holders(duty).size(), 1u) << duty;
    }

    SimulatedCluster cluster_;
};

}  // namespace firtide
