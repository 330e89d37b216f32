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
constexpr TimePoint began{1'000'000};

FleetConfig file_of(size_t members, MemberIndex self = 0)
{
    FleetConfig file;
    for (size_t i = 0; i < members; ++i) {
        MemberConfig line;
        line.id = "m" + std::to_string(i);
        line.is_voter = i < 3;
        file.members.push_back(std::move(line));
    }
    file.self = self;
    file.id = file.members[self].id;
    return file;
}

FleetConfig for_another(const FleetConfig& file, MemberIndex self)
{
    FleetConfig other = file;
    other.self = self;
    other.id = file.members[self].id;
    return other;
}

MembershipUpdate update(const FleetConfig& file, MemberIndex of, Health health, Incarnation incarnation)
{
    return {file.members[of].key, static_cast<uint8_t>(health), incarnation, 7, 0};
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

size_t asks_in(const std::vector<Send>& sends, std::set<MemberIndex>& of)
{
    size_t asks = 0;
    for (const Send& s : sends)
        if (std::get_if<fleet::IndirectProbeRequest>(&s.message)) ++asks, of.insert(s.to);
    return asks;
}

TEST(Roster, IsHeldOnceByCopiesOfAFleetFile)
{
    const FleetConfig file = file_of(100);
    const FleetConfig other = for_another(file, 42);
    EXPECT_TRUE(other.members.shares_data_with(file.members));
    EXPECT_EQ(&other.members[7], &file.members[7]);
    EXPECT_EQ(&other.members.rings(), &file.members.rings());
}

TEST(Roster, ACopyThatIsChangedLeavesTheOthersAlone)
{
    const FleetConfig file = file_of(3);
    FleetConfig other = file;
    ASSERT_EQ(file.members.rings()[0].members.size(), 3u);
    other.members.push_back({"m3", 0, "", "", true, 0});
    EXPECT_FALSE(other.members.shares_data_with(file.members));
    EXPECT_EQ(file.members.size(), 3u);
    EXPECT_EQ(file.voters(), 3u);
    EXPECT_EQ(other.voters(), 4u);
    EXPECT_EQ(other.members.rings()[0].members.size(), 4u);
    EXPECT_FALSE(file.member_of(std::string_view("m3")));
    EXPECT_EQ(other.member_of(std::string_view("m3")), 3u);
}

TEST(Roster, FindsMembersByKeyAndId)
{
    const FleetConfig file = file_of(50);
    for (MemberIndex m = 0; m < 50; ++m) {
        EXPECT_EQ(file.members[m].key, key_of(file.members[m].id));
        EXPECT_EQ(file.member_of(file.members[m].key), m);
        EXPECT_EQ(file.member_of(std::string_view(file.members[m].id)), m);
    }
    EXPECT_FALSE(file.member_of(std::string_view("somebody")));
    EXPECT_FALSE(file.member_of(MemberKey{0}));
}

TEST(Roster, EachRingHasEachMemberOnce)
{
    const FleetConfig file = file_of(50);
    for (const auto& ring : file.members.rings()) {
        ASSERT_EQ(ring.members.size(), 50u);
        for (MemberIndex m = 0; m < 50; ++m) EXPECT_EQ(ring.members[ring.positions[m]], m);
    }
}

// Three members receive random updates in any order: their digests are equal exactly if their views are.
TEST(Membership, DigestsAreEqualExactlyIfViewsAre)
{
    constexpr size_t size = 8;
    const FleetConfig files[] = {file_of(size), for_another(file_of(size), 1), for_another(file_of(size), 2)};
    std::vector<std::unique_ptr<Membership>> members;
    for (const FleetConfig& file : files) {
        members.push_back(std::make_unique<Membership>(file, 7, 1, period, 1));
        members.back()->start(began);
    }
    std::mt19937 chance(1);
    size_t equal = 0, different = 0;
    for (int step = 0; step < 20000; ++step) {
        // Few incarnations, so that views become equal again; every 40 steps all members exchange everything.
        const MembershipUpdate told = update(files[0], chance() % size, static_cast<Health>(chance() % 3),
                                             1 + static_cast<Incarnation>(step) / 2000);
        members[chance() % 3]->on_updates(began, 3, MembershipUpdates{{told}, false});
        if (step % 40 == 0)
            for (const auto& from : members)
                for (const auto& to : members) {
                    MembershipUpdates all{{}, false};
                    for (const auto& [m, incarnation, health] : view_of(*from, size))
                        all.updates.push_back(update(files[0], m, health, incarnation));
                    to->on_updates(began, 3, all);
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

TEST(Membership, CountsThoseThatAreAlive)
{
    const FleetConfig file = file_of(5);
    Membership members(file, 7, 1, period, 1);
    members.start(began);
    EXPECT_EQ(members.alive_count(), 1u);
    members.on_updates(began, 1, MembershipUpdates{{update(file, 1, Health::alive, 1)}, false});
    members.on_updates(began, 1, MembershipUpdates{{update(file, 2, Health::alive, 1)}, false});
    EXPECT_EQ(members.alive_count(), 3u);
    members.on_updates(began, 1, MembershipUpdates{{update(file, 2, Health::suspect, 1)}, false});
    members.on_updates(began, 1, MembershipUpdates{{update(file, 2, Health::gone, 1)}, false});
    EXPECT_EQ(members.alive_count(), 2u);
    const auto version = members.view_version();
    members.on_updates(began, 1, MembershipUpdates{{update(file, 2, Health::gone, 1)}, false});
    EXPECT_EQ(members.view_version(), version);
}

TEST(Membership, WhoWasNeverHeardOfIsGoneAfterAWhileAndTriedInTurn)
{
    const FleetConfig file = file_of(5);
    Membership members(file, 7, 1, period, 1);
    members.start(began);
    TimePoint now = began;
    for (; now - began <= period * 4; now = now + seconds(0.05)) members.tick(now);
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
        for (const Send& s : members.take_sends()) tried.push_back(s.to);
    }
    EXPECT_EQ(tried, (std::vector<MemberIndex>{1, 2, 3, 4, 1, 2, 3, 4}));
}

TEST(Membership, ASuspectIsGoneAfterItsOwnWhile)
{
    const FleetConfig file = file_of(5);
    Membership members(file, 7, 1, period, 1);
    members.start(began);
    members.seed_members(std::vector<MemberState>(5, {1, 7, Health::alive, 0}));
    const TimePoint suspected = began + period;
    members.on_updates(suspected, 1, MembershipUpdates{{update(file, 2, Health::suspect, 1)}, false});
    members.tick(suspected + period * 4);
    EXPECT_EQ(members.state_of(2).health, Health::suspect);
    members.tick(suspected + period * 4 + Duration{1});
    EXPECT_EQ(members.state_of(2).health, Health::gone);
}

TEST(Membership, ThreeOthersThatAreAliveAreAskedAboutASilentNeighbour)
{
    constexpr size_t size = 100;
    const FleetConfig file = file_of(size);
    Membership members(file, 7, 1, period, 1);
    members.start(began);
    std::vector<MemberState> all(size, {1, 7, Health::alive, 0});
    // Most members are gone, so that random draws hit them, and few enough are left to be listed.
    for (MemberIndex m = 20; m < size; ++m) all[m].health = Health::gone;
    members.seed_members(all);
    members.tick(began);
    (void)members.take_sends();
    std::set<MemberIndex> asked;
    for (TimePoint now = began; now - began <= period * 3; now = now + seconds(0.05)) members.tick(now);
    (void)members.take_sends();
    members.tick(began + period * 3 + seconds(0.05));
    const size_t asks = asks_in(members.take_sends(), asked);
    EXPECT_EQ(asks, members.monitored_peers().size() * 3);
    for (const MemberIndex m : asked) EXPECT_LT(m, 20u);
    EXPECT_EQ(asked.count(0), 0u);
}

TEST(Membership, AcquaintedOnesHoldOneView)
{
    const FleetConfig file = file_of(10), other = for_another(file, 4);
    Membership first(file, 7, 1, period, 1), second(other, 7, 1, period, 2);
    const std::vector<MemberState> all(10, {1, 7, Health::alive, 0});
    for (Membership* members : {&first, &second}) {
        members->start(began);
        members->seed_members(all);
        EXPECT_EQ(members->alive_count(), 10u);
        EXPECT_TRUE(members->take_sends().empty());
        EXPECT_TRUE(members->take_health_changes().empty());
    }
    EXPECT_EQ(first.view_digest(), second.view_digest());
}

}  // namespace
