// The roster that members share, and each member's view of the others.
#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <set>

#include "src/fleet/membership/membership.h"

using namespace firtide;
using namespace firtide::fleet;

namespace
{

constexpr Duration period = seconds(0.4);
constexpr TimePoint start{1'000'000};

FleetConfig make_config(size_t members, MemberIndex self = 0)
{
    FleetConfig config;
    for (size_t i = 0; i < members; ++i) {
        MemberConfig member;
        member.id = "m" + std::to_string(i);
        member.is_voter = i < 3;
        config.members.push_back(std::move(member));
    }
    config.self = self;
    config.id = config.members[self].id;
    return config;
}

FleetConfig config_of_other(const FleetConfig& config, MemberIndex self)
{
    FleetConfig other = config;
    other.self = self;
    other.id = config.members[self].id;
    return other;
}

MembershipUpdate update(const FleetConfig& config, MemberIndex of, Health health, Incarnation incarnation)
{
    return {config.members[of].key, static_cast<uint8_t>(health), incarnation, 7, 0};
}

// The part of a view that its digest covers: health and incarnation of members that were ever heard of.
std::vector<std::tuple<MemberIndex, Incarnation, Health>> view_of(const Membership& members, size_t size)
{
    std::vector<std::tuple<MemberIndex, Incarnation, Health>> view;
    for (MemberIndex m = 0; m < size; ++m)
        if (const auto& one = members.state_of(m); one.incarnation)
            view.emplace_back(m, one.incarnation, one.health);
    return view;
}

size_t count_probe_requests(const std::vector<OutgoingMessage>& sends, std::set<MemberIndex>& of)
{
    size_t requests = 0;
    for (const OutgoingMessage& s : sends)
        if (std::get_if<fleet::IndirectProbeRequest>(&s.message)) ++requests, of.insert(s.to);
    return requests;
}

TEST(Roster, IsSharedByCopiesOfAFleetConfig)
{
    const FleetConfig config = make_config(100);
    const FleetConfig other = config_of_other(config, 42);
    EXPECT_TRUE(other.members.shares_data_with(config.members));
    EXPECT_EQ(&other.members[7], &config.members[7]);
    EXPECT_EQ(&other.members.rings(), &config.members.rings());
}

TEST(Roster, ChangedCopyDoesNotAffectOthers)
{
    const FleetConfig config = make_config(3);
    FleetConfig other = config;
    ASSERT_EQ(config.members.rings()[0].members.size(), 3u);
    other.members.push_back({"m3", 0, "", "", true, 0});
    EXPECT_FALSE(other.members.shares_data_with(config.members));
    EXPECT_EQ(config.members.size(), 3u);
    EXPECT_EQ(config.voters(), 3u);
    EXPECT_EQ(other.voters(), 4u);
    EXPECT_EQ(other.members.rings()[0].members.size(), 4u);
    EXPECT_FALSE(config.member_of(std::string_view("m3")));
    EXPECT_EQ(other.member_of(std::string_view("m3")), 3u);
}

TEST(Roster, FindsMembersByKeyAndId)
{
    const FleetConfig config = make_config(50);
    for (MemberIndex m = 0; m < 50; ++m) {
        EXPECT_EQ(config.members[m].key, key_of(config.members[m].id));
        EXPECT_EQ(config.member_of(config.members[m].key), m);
        EXPECT_EQ(config.member_of(std::string_view(config.members[m].id)), m);
    }
    EXPECT_FALSE(config.member_of(std::string_view("somebody")));
    EXPECT_FALSE(config.member_of(MemberKey{0}));
}

TEST(Roster, EachRingHasEachMemberOnce)
{
    const FleetConfig config = make_config(50);
    for (const auto& ring : config.members.rings()) {
        ASSERT_EQ(ring.members.size(), 50u);
        for (MemberIndex m = 0; m < 50; ++m) EXPECT_EQ(ring.members[ring.positions[m]], m);
    }
}

// Three members receive random updates in any order: their digests are equal exactly if their views are.
TEST(Membership, DigestsAreEqualExactlyIfViewsAre)
{
    constexpr size_t size = 8;
    const FleetConfig configs[] = {make_config(size), config_of_other(make_config(size), 1),
                                   config_of_other(make_config(size), 2)};
    std::vector<std::unique_ptr<Membership>> members;
    for (const FleetConfig& config : configs) {
        members.push_back(std::make_unique<Membership>(config, 7, 1, period, 1));
        members.back()->start(start);
    }
    std::mt19937 generator(1);
    size_t equal = 0, different = 0;
    for (int step = 0; step < 20000; ++step) {
        // Few incarnations, so that views become equal again; every 40 steps all members exchange everything.
        const MembershipUpdate received =
            update(configs[0], generator() % size, static_cast<Health>(generator() % 3),
                   1 + static_cast<Incarnation>(step) / 2000);
        members[generator() % 3]->on_updates(start, 3, MembershipUpdates{{received}, false});
        if (step % 40 == 0)
            for (const auto& from : members)
                for (const auto& to : members) {
                    MembershipUpdates all{{}, false};
                    for (const auto& [m, incarnation, health] : view_of(*from, size))
                        all.updates.push_back(update(configs[0], m, health, incarnation));
                    to->on_updates(start, 3, all);
                }
        for (size_t a = 0; a < 3; ++a)
            for (size_t b = 0; b < a; ++b) {
                const bool same = view_of(*members[a], size) == view_of(*members[b], size);
                ASSERT_EQ(same, members[a]->view_digest() == members[b]->view_digest()) << "step " << step;
                ++(same ? equal : different);
            }
    }
    EXPECT_GT(equal, 100u);
    EXPECT_GT(different, 100u);
}

TEST(Membership, CountsAliveMembers)
{
    const FleetConfig config = make_config(5);
    Membership members(config, 7, 1, period, 1);
    members.start(start);
    EXPECT_EQ(members.alive_count(), 1u);
    members.on_updates(start, 1, MembershipUpdates{{update(config, 1, Health::alive, 1)}, false});
    members.on_updates(start, 1, MembershipUpdates{{update(config, 2, Health::alive, 1)}, false});
    EXPECT_EQ(members.alive_count(), 3u);
    members.on_updates(start, 1, MembershipUpdates{{update(config, 2, Health::suspect, 1)}, false});
    members.on_updates(start, 1, MembershipUpdates{{update(config, 2, Health::gone, 1)}, false});
    EXPECT_EQ(members.alive_count(), 2u);
    const auto version = members.view_version();
    members.on_updates(start, 1, MembershipUpdates{{update(config, 2, Health::gone, 1)}, false});
    EXPECT_EQ(members.view_version(), version);
}

TEST(Membership, UnheardMembersAreGoneAfterATimeoutAndPingedInTurn)
{
    const FleetConfig config = make_config(5);
    Membership members(config, 7, 1, period, 1);
    members.start(start);
    TimePoint now = start;
    for (; now - start <= period * 4; now = now + seconds(0.05)) members.tick(now);
    EXPECT_EQ(members.state_of(4).health, Health::suspect);
    (void)members.take_sends();
    members.tick(now);
    std::set<MemberIndex> gone;
    for (const HealthChange& change : members.take_health_changes()) {
        EXPECT_EQ(change.health, Health::gone);
        gone.insert(change.member);
    }
    EXPECT_EQ(gone, (std::set<MemberIndex>{1, 2, 3, 4}));
    EXPECT_TRUE(members.monitored_peers().empty());
    (void)members.take_sends();
    std::vector<MemberIndex> tried;
    for (int i = 0; i < 8; ++i) {
        now = now + period;
        members.tick(now);
        for (const OutgoingMessage& s : members.take_sends()) tried.push_back(s.to);
    }
    EXPECT_EQ(tried, (std::vector<MemberIndex>{1, 2, 3, 4, 1, 2, 3, 4}));
}

TEST(Membership, SuspectIsGoneAfterItsOwnTimeout)
{
    const FleetConfig config = make_config(5);
    Membership members(config, 7, 1, period, 1);
    members.start(start);
    members.seed_members(std::vector<MemberState>(5, {1, 7, Health::alive, 0}));
    const TimePoint suspected = start + period;
    members.on_updates(suspected, 1, MembershipUpdates{{update(config, 2, Health::suspect, 1)}, false});
    members.tick(suspected + period * 4);
    EXPECT_EQ(members.state_of(2).health, Health::suspect);
    members.tick(suspected + period * 4 + Duration{1});
    EXPECT_EQ(members.state_of(2).health, Health::gone);
}

TEST(Membership, ThreeAliveMembersAreAskedToProbeASilentNeighbour)
{
    constexpr size_t size = 100;
    const FleetConfig config = make_config(size);
    Membership members(config, 7, 1, period, 1);
    members.start(start);
    std::vector<MemberState> all(size, {1, 7, Health::alive, 0});
    // Most members are gone, so that random draws hit them, and few enough are left to be listed.
    for (MemberIndex m = 20; m < size; ++m) all[m].health = Health::gone;
    members.seed_members(all);
    members.tick(start);
    (void)members.take_sends();
    std::set<MemberIndex> asked;
    for (TimePoint now = start; now - start <= period * 3; now = now + seconds(0.05)) members.tick(now);
    (void)members.take_sends();
    members.tick(start + period * 3 + seconds(0.05));
    const size_t requests = count_probe_requests(members.take_sends(), asked);
    EXPECT_EQ(requests, members.monitored_peers().size() * 3);
    for (const MemberIndex m : asked) EXPECT_LT(m, 20u);
    EXPECT_EQ(asked.count(0), 0u);
}

TEST(Membership, SeededMembersHaveOneView)
{
    const FleetConfig config = make_config(10), other = config_of_other(config, 4);
    Membership first(config, 7, 1, period, 1), second(other, 7, 1, period, 2);
    const std::vector<MemberState> all(10, {1, 7, Health::alive, 0});
    for (Membership* members : {&first, &second}) {
        members->start(start);
        members->seed_members(all);
        EXPECT_EQ(members->alive_count(), 10u);
        EXPECT_TRUE(members->take_sends().empty());
        EXPECT_TRUE(members->take_health_changes().empty());
    }
    EXPECT_EQ(first.view_digest(), second.view_digest());
}

}  // namespace
