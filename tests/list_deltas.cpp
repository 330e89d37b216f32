// Fleets in virtual time that replicate their list as deltas, with lost, repeated and late messages, killed
// members and holders, partitions, discovery agents that are behind, and diverged replicas. The simulation
// checks throughout that no balancer uses an older list after a newer one or entries of another version, and
// that replicas at the same revision are equal.
#include <gtest/gtest.h>

#include "simulation/randomized_run.h"
#include "simulation/simulated_cluster.h"

namespace firtide::simulation
{
namespace
{

constexpr uint64_t seed = 7;

struct SentMessages {
    size_t deltas = 0, chunks = 0, requests = 0;
};

class ListCluster
{
  public:
    explicit ListCluster(SimulatedCluster::Options options) : cluster(std::move(options), seed)
    {
        cluster.on_effect = [this](size_t, FleetEffect& effect) { count(effect); };
        for (size_t i = 0; i < cluster.size(); ++i) cluster.start(i);
        cluster.run(seconds(12));
        sent = {};
    }

    void change(uint64_t times, Duration apart = seconds(0.8))
    {
        for (uint64_t i = 0; i < times; ++i) {
            cluster.set_discovery_list(++version);
            cluster.run(apart);
        }
    }
    size_t holder() const
    {
        const auto all = cluster.holders("list");
        return all.size() == 1 ? all[0] : SIZE_MAX;
    }
    size_t member_other_than(size_t node) const { return (node + 1) % cluster.size(); }
    const EndpointReplica& replica(size_t node) { return *cluster.fleet(node).replica(); }
    std::string show_fleet(size_t node) { return cluster.fleet_status(node); }

    // All running members have the holder's list, which is the newest one of discovery.
    void expect_convergence()
    {
        ASSERT_NE(holder(), SIZE_MAX) << "no member holds the duty list";
        const EndpointReplica& published = replica(holder());
        EXPECT_EQ(published.version().number, version);
        EXPECT_EQ(published.endpoints(), cluster.discovery_entries(version));
        for (size_t i = 0; i < cluster.size(); ++i) {
            if (!cluster.is_up(i)) continue;
            EXPECT_EQ(replica(i).revision(), published.revision()) << "m" << i + 1;
            EXPECT_EQ(replica(i).digest(), published.digest()) << "m" << i + 1;
            EXPECT_EQ(cluster.applied_list(i), published.endpoints()) << "m" << i + 1;
            EXPECT_EQ(cluster.list_version(i), version) << "m" << i + 1;
        }
        for (const Violation& broken : cluster.violations()) ADD_FAILURE() << broken.rule;
    }

    SimulatedCluster cluster;
    SentMessages sent;
    uint64_t version = 1;

  private:
    void count(const FleetEffect& effect)
    {
        if (const auto* send = std::get_if<OutgoingMessage>(&effect)) return count(send->message);
        const auto* act = std::get_if<LeasedEffect>(&effect);
        const auto* publish = act ? std::get_if<Publish>(&act->action) : nullptr;
        if (!publish) return;
        for (const OutgoingMessage& send : publish->sends) count(send.message);
    }
    void count(const Message& message)
    {
        sent.deltas += std::get_if<EndpointDelta>(&message) != nullptr;
        sent.chunks += std::get_if<EndpointSnapshotChunk>(&message) != nullptr;
        sent.requests += std::get_if<EndpointDeltaRequest>(&message) != nullptr;
    }
};

SimulatedCluster::Options make_options(size_t members = 7, EndpointDeltaConfig deltas = {})
{
    SimulatedCluster::Options options;
    options.members = members;
    options.duties = 1;
    options.replicate_list = true;
    options.deltas = deltas;
    return options;
}

TEST(ListDeltas, ChangesReachAllMembers)
{
    ListCluster lists(make_options());
    lists.change(20);
    lists.expect_convergence();
    EXPECT_EQ(lists.sent.chunks, 0u);
    EXPECT_EQ(lists.sent.requests, 0u) << "nothing was lost, so nothing is repaired";
}

TEST(ListDeltas, OneMemberPollsDiscovery)
{
    ListCluster lists(make_options());
    const auto before = lists.cluster.count.discovery_calls;
    lists.change(10);
    const double calls = static_cast<double>(lists.cluster.count.discovery_calls - before);
    EXPECT_LE(calls / 8, 2.5) << "a second, of seven members";
}

uint64_t bytes_of_changes(size_t entries, uint64_t changes)
{
    auto options = make_options();
    options.list_entries = entries;
    ListCluster lists(options);
    const auto before = lists.cluster.count.list_bytes;
    lists.change(changes);
    lists.expect_convergence();
    return (lists.cluster.count.list_bytes - before) / changes;
}

TEST(ListDeltas, BytesOfAChangeDoNotGrowWithTheList)
{
    const uint64_t small = bytes_of_changes(20, 10), large = bytes_of_changes(4000, 10);
    RecordProperty("bytes_of_20", std::to_string(small));
    RecordProperty("bytes_of_4000", std::to_string(large));
    EXPECT_GT(small, 0u);
    EXPECT_LT(large, small + small / 10);
}

TEST(ListDeltas, LargeListComesInChunksAndDeltasOfBoundedSize)
{
    auto options = make_options(5, {1000, seconds(0.5), 2048});
    options.list_entries = 2000;
    ListCluster lists(options);
    lists.cluster.run(seconds(20));
    lists.expect_convergence();
    lists.change(3);
    lists.expect_convergence();
}

TEST(ListDeltas, LostRepeatedAndLateMessagesAreRepaired)
{
    ListCluster lists(make_options());
    for (size_t a = 0; a < lists.cluster.size(); ++a)
        for (size_t b = 0; b < lists.cluster.size(); ++b) {
            Link& link = lists.cluster.link(a, b);
            link.loss_probability = 0.25, link.duplicate_probability = 0.3, link.max_latency = seconds(0.4);
        }
    lists.change(60, seconds(0.3));
    EXPECT_GT(lists.sent.requests, 0u);
    lists.cluster.restore_links();
    lists.cluster.run(seconds(10));
    lists.expect_convergence();
}

TEST(ListDeltas, HolderKilledWhileItPublishes)
{
    ListCluster lists(make_options());
    const size_t holder = lists.holder();
    // Only one member receives its last delta.
    const size_t only = lists.member_other_than(holder);
    for (size_t i = 0; i < lists.cluster.size(); ++i)
        if (i != holder && i != only) lists.cluster.link(holder, i).blocked = true;
    lists.cluster.set_discovery_list(++lists.version);
    lists.cluster.run(seconds(0.6));
    lists.cluster.crash(holder);
    lists.change(1);
    lists.cluster.run(seconds(15));
    EXPECT_NE(lists.holder(), holder);
    lists.expect_convergence();
    lists.cluster.restore_links();
    lists.cluster.start(holder);
    lists.cluster.run(seconds(10));
    lists.expect_convergence();
}

TEST(ListDeltas, NewHolderContinuesFromItsReplicaWithoutSnapshots)
{
    auto options = make_options();
    options.list_entries = 500;
    ListCluster lists(options);
    const auto before = lists.cluster.count.list_bytes;
    lists.cluster.crash(lists.holder());
    lists.cluster.run(seconds(10));
    lists.change(2);
    lists.expect_convergence();
    EXPECT_EQ(lists.sent.chunks, 0u);
    EXPECT_LT(lists.cluster.count.list_bytes - before, 20'000u) << "the list itself is 20 KB";
}

TEST(ListDeltas, RestartedMemberGetsASnapshotFromANeighbour)
{
    auto options = make_options(7, {2, seconds(0.5), 1024});
    options.list_entries = 500;
    ListCluster lists(options);
    lists.change(10);
    const size_t member = lists.member_other_than(lists.holder());
    lists.cluster.crash(member);
    lists.change(3);
    lists.cluster.start(member);
    lists.cluster.run(seconds(5));
    lists.expect_convergence();
    EXPECT_GT(lists.sent.chunks, 10u);
}

TEST(ListDeltas, HolderThatHasJustStartedIsRepairedBeforeItPublishes)
{
    auto options = make_options();
    options.list_entries = 500;
    ListCluster lists(options);
    lists.change(5);
    const size_t next = lists.member_other_than(lists.holder());
    lists.cluster.crash(next);
    lists.cluster.run(seconds(1));
    const auto before = lists.cluster.count.list_bytes;
    lists.cluster.start(next);
    for (int tries = 0; tries < 100 && lists.holder() != next; ++tries) {
        if (lists.holder() != SIZE_MAX)
            lists.cluster.send_admin_request(lists.holder(), "hand-over", "list",
                                             "m" + std::to_string(next + 1));
        lists.cluster.run(seconds(0.05));
    }
    ASSERT_EQ(lists.holder(), next);
    lists.change(2);
    lists.cluster.run(seconds(5));
    lists.expect_convergence();
    EXPECT_LT(lists.cluster.count.list_bytes - before, 100'000u)
        << "the list is 20 KB: once for this member, and not three times for each of the others";
}

TEST(ListDeltas, MemberBehindIsRepairedByDeltasWithinTheHistory)
{
    ListCluster lists(make_options());
    const size_t member = lists.member_other_than(lists.holder());
    lists.cluster.set_isolated(member, true);
    lists.change(3, seconds(0.5));
    lists.cluster.set_isolated(member, false);
    lists.cluster.run(seconds(6));
    lists.expect_convergence();
    EXPECT_GT(lists.sent.requests, 0u);
    EXPECT_EQ(lists.sent.chunks, 0u);
}

TEST(ListDeltas, MemberBehindTheHistoryIsRepairedByASnapshot)
{
    ListCluster lists(make_options(7, {2, seconds(0.5), 1024}));
    const size_t member = lists.member_other_than(lists.holder());
    lists.cluster.set_isolated(member, true);
    lists.change(10);
    lists.cluster.set_isolated(member, false);
    lists.cluster.run(seconds(6));
    lists.expect_convergence();
    EXPECT_GT(lists.sent.chunks, 0u);
}

TEST(ListDeltas, PartitionsAgreeAfterHealing)
{
    ListCluster lists(make_options(6));
    const auto cut = [&](bool on) {
        for (size_t a = 0; a < 2; ++a)
            for (size_t b = 2; b < lists.cluster.size(); ++b)
                lists.cluster.link(a, b).blocked = lists.cluster.link(b, a).blocked = on;
    };
    cut(true);
    lists.change(15);
    // Members without a majority poll discovery themselves and use its answers.
    EXPECT_GE(lists.cluster.list_version(0) + 2, lists.version);
    cut(false);
    lists.cluster.run(seconds(15));
    lists.expect_convergence();
}

TEST(ListDeltas, OutdatedDiscoveryAgentOfANewHolderRestoresNothing)
{
    ListCluster lists(make_options());
    lists.change(10);
    const size_t next = lists.member_other_than(lists.holder());
    lists.cluster.set_agent_version(next, lists.version - 6);
    lists.cluster.send_admin_request(lists.holder(), "hand-over", "list", "m" + std::to_string(next + 1));
    lists.cluster.run(seconds(3));
    ASSERT_EQ(lists.holder(), next);
    for (size_t i = 0; i < lists.cluster.size(); ++i) EXPECT_EQ(lists.cluster.list_version(i), lists.version);
    lists.cluster.set_agent_version(next, std::nullopt);
    lists.cluster.run(seconds(5));
    lists.change(2);
    lists.cluster.run(seconds(3));
    lists.expect_convergence();
}

TEST(ListDeltas, DivergedReplicaIsReplaced)
{
    ListCluster lists(make_options());
    lists.change(3);
    const size_t member = lists.member_other_than(lists.holder());
    lists.cluster.corrupt_list(member, "u1", "{}");
    lists.cluster.run(seconds(5));
    EXPECT_GT(lists.sent.chunks, 0u);
    lists.expect_convergence();
}

TEST(ListDeltas, ShowFleetReportsRevisionEntriesAndWhetherItIsBehind)
{
    ListCluster lists(make_options());
    lists.change(3);
    const EndpointReplica& replica = lists.replica(0);
    const auto line = "list revision " + std::to_string(replica.revision().epoch) + "." +
                      std::to_string(replica.revision().number) + " entries " +
                      std::to_string(replica.endpoints().size()) + " behind no\n";
    EXPECT_NE(lists.show_fleet(0).find(line), std::string::npos) << lists.show_fleet(0);
}

TEST(ListDeltas, NoReplicaWithoutTheDeltasTable)
{
    auto options = make_options();
    options.deltas.reset();
    SimulatedCluster cluster(options, seed);
    for (size_t i = 0; i < cluster.size(); ++i) cluster.start(i);
    cluster.run(seconds(10));
    EXPECT_EQ(cluster.fleet(0).replica(), nullptr);
    EXPECT_EQ(cluster.count.list_bytes, 0u);
    EXPECT_EQ(cluster.fleet_status(0).find("list revision"), std::string::npos);
    EXPECT_TRUE(cluster.violations().empty());
}

TEST(ListDeltas, RandomizedRunsWithFaultsConverge)
{
    RandomizedRun run;
    run.options = make_options(5, {8, seconds(0.5), 256});
    for (uint64_t run_seed = 1; run_seed <= 12; ++run_seed) {
        const auto result = run_randomized(run, run_seed);
        for (const Violation& broken : result.broken)
            ADD_FAILURE() << "seed " << run_seed << ": " << broken.rule;
    }
}

}  // namespace
}  // namespace firtide::simulation
