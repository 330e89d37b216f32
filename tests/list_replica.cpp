// Unit tests of the replicated endpoint list: the replica, its distribution between members, the encoded
// lists, the messages and the [deltas] table of the fleet file. Scripted calls, no clock.
#include <gtest/gtest.h>

#include "src/fleet/config.h"
#include "src/fleet/endpoints/endpoint_distribution.h"
#include "src/fleet/endpoints/endpoint_replica.h"
#include "src/net/discovery.h"

namespace firtide::fleet
{
namespace
{

using Result = EndpointReplica::ApplyResult;

constexpr MemberIndex first = 1, second = 2;
constexpr Epoch epoch = 3;
const TimePoint start{1'000'000'000};

EndpointListVersion version(uint64_t number, const std::string& source = "agent") { return {source, number}; }

std::string line(const std::string& uid, int port = 1)
{
    return R"({"endpoint":"127.0.0.1:)" + std::to_string(port) + R"(","state":"ready","uid":")" + uid + "\"}";
}

EndpointMap lines_of(size_t count, int port = 1)
{
    EndpointMap lines;
    for (size_t i = 0; i < count; ++i) {
        const auto uid = "u" + std::to_string(i);
        lines[uid] = line(uid, port);
    }
    return lines;
}

std::vector<EndpointDelta> publish(EndpointReplica& replica, uint64_t number, const EndpointMap& lines,
                                   Epoch at = epoch)
{
    return replica.publish(at, version(number), replica.difference(lines));
}

void apply_all(EndpointReplica& replica, const std::vector<EndpointDelta>& deltas)
{
    for (const EndpointDelta& delta : deltas) ASSERT_EQ(replica.apply(delta), Result::applied);
}

void expect_same(const EndpointReplica& replica, const EndpointReplica& other)
{
    EXPECT_EQ(replica.revision(), other.revision());
    EXPECT_EQ(replica.digest(), other.digest());
    EXPECT_EQ(replica.version(), other.version());
    EXPECT_EQ(replica.endpoints(), other.endpoints());
}

// ---- deltas ----

TEST(EndpointReplica, DifferenceNamesWhatIsNewChangedAndGone)
{
    EndpointReplica replica{EndpointDeltaConfig{}};
    publish(replica, 1, {{"a", "1"}, {"b", "1"}, {"d", "1"}});
    const EndpointChanges changes = replica.difference({{"a", "1"}, {"b", "2"}, {"c", "1"}});
    ASSERT_EQ(changes.changed.size(), 2u);
    EXPECT_EQ(changes.changed[0].uid, "b");
    EXPECT_EQ(changes.changed[1].uid, "c");
    EXPECT_EQ(changes.removed, std::vector<std::string>{"d"});
}

TEST(EndpointReplica, DifferenceOfNamedUidsIsThatOfTheWhole)
{
    EndpointReplica replica{EndpointDeltaConfig{}};
    publish(replica, 1, {{"a", "1"}, {"b", "1"}, {"d", "1"}});
    const EndpointChanges changes =
        replica.difference({{"a", "1"}, {"b", "2"}, {"c", "1"}}, {"a", "b", "c", "d", "unknown"});
    ASSERT_EQ(changes.changed.size(), 2u);
    EXPECT_EQ(changes.changed[0].text, "2");
    EXPECT_EQ(changes.changed[1].uid, "c");
    EXPECT_EQ(changes.removed, std::vector<std::string>{"d"});
}

TEST(EndpointReplica, DigestDoesNotDependOnTheOrderOfChanges)
{
    EndpointReplica one{EndpointDeltaConfig{}}, other{EndpointDeltaConfig{}};
    publish(one, 1, {{"a", "1"}});
    publish(one, 2, {{"a", "1"}, {"b", "1"}});
    publish(other, 1, {{"b", "1"}, {"c", "1"}});
    publish(other, 2, {{"a", "1"}, {"b", "1"}});
    EXPECT_EQ(one.digest(), other.digest());
    EXPECT_NE(one.digest(), digest_of({{"a", "1"}, {"b", "2"}}));
    EXPECT_NE(digest_of("a", "b"), digest_of("b", "a"));
}

TEST(EndpointReplica, DeltasInOrderAreApplied)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    apply_all(member, publish(holder, 1, lines_of(5)));
    apply_all(member, publish(holder, 2, lines_of(4, 2)));
    apply_all(member, publish(holder, 3, {}));
    expect_same(member, holder);
    EXPECT_EQ(member.revision(), (EndpointRevision{epoch, 3}));
    EXPECT_TRUE(member.endpoints().empty());
    EXPECT_EQ(member.digest(), 0u);
}

TEST(EndpointReplica, DeltaAfterAGapIsNotApplied)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    apply_all(member, publish(holder, 1, lines_of(5)));
    publish(holder, 2, lines_of(6));
    const auto third = publish(holder, 3, lines_of(7));
    EXPECT_EQ(member.apply(third[0]), Result::behind);
    EXPECT_EQ(member.revision(), (EndpointRevision{epoch, 1}));
    EXPECT_EQ(member.endpoints(), lines_of(5));
}

TEST(EndpointReplica, RepeatedDeltaIsStale)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    const auto deltas = publish(holder, 1, lines_of(5));
    apply_all(member, deltas);
    EXPECT_EQ(member.apply(deltas[0]), Result::stale);
}

TEST(EndpointReplica, OlderListOfTheSameSourceIsRefused)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}},
        behind{EndpointDeltaConfig{}};
    apply_all(member, publish(holder, 8, lines_of(5)));
    const auto older = behind.publish(epoch + 1, version(7), behind.difference(lines_of(6)));
    EXPECT_EQ(member.apply(older[0]), Result::older);
    EXPECT_EQ(member.version(), version(8));
    EXPECT_FALSE(version(7, "another").older_than(version(8)));
}

TEST(EndpointReplica, DeltaWithAnotherDigestIsNotApplied)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    apply_all(member, publish(holder, 1, lines_of(5)));
    member.corrupt("u1", line("u1", 9));
    EXPECT_FALSE(member.is_intact());
    EXPECT_EQ(member.apply(publish(holder, 2, lines_of(6))[0]), Result::diverged);
    EXPECT_EQ(member.revision(), (EndpointRevision{epoch, 1}));
}

TEST(EndpointReplica, StateThatIsHeldAlreadyIsAdoptedAtItsRevision)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}}, next{EndpointDeltaConfig{}};
    const auto once = publish(holder, 1, lines_of(5));
    apply_all(member, once);
    apply_all(next, once);
    apply_all(member, publish(holder, 2, lines_of(6)));
    // The next holder missed version 2 and gets it from discovery.
    const auto taken_over = publish(next, 2, lines_of(6), epoch + 1);
    EXPECT_EQ(member.apply(taken_over[0]), Result::adopted);
    expect_same(member, next);
    // The log still leads on from the earlier revision.
    EXPECT_TRUE(member.can_catch_up_from({epoch, 1}));
}

TEST(EndpointReplica, NewHolderPublishesAnEmptyDeltaOfItsEpoch)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, next{EndpointDeltaConfig{}};
    apply_all(next, publish(holder, 1, lines_of(500)));
    const auto taken_over = publish(next, 1, lines_of(500), epoch + 1);
    ASSERT_EQ(taken_over.size(), 1u);
    EXPECT_TRUE(taken_over[0].changed.empty() && taken_over[0].removed.empty());
    EXPECT_EQ(holder.apply(taken_over[0]), Result::applied);
    expect_same(holder, next);
}

TEST(EndpointReplica, LargeChangeIsSplitIntoChunks)
{
    const EndpointDeltaConfig rule{1000, seconds(1), 1024};
    EndpointReplica holder{rule}, member{rule};
    const auto deltas = publish(holder, 1, lines_of(200));
    ASSERT_GT(deltas.size(), 10u);
    for (const EndpointDelta& delta : deltas) {
        EXPECT_LE(encode_payload(delta).size(), 1024u + 200u);
        EXPECT_EQ(delta.partial, &delta != &deltas.back());
        EXPECT_EQ(delta.version.number, delta.partial ? 0u : 1u);
    }
    apply_all(member, deltas);
    expect_same(member, holder);
}

TEST(EndpointReplica, NewEntriesComeBeforeRemovals)
{
    const EndpointDeltaConfig rule{1000, seconds(1), 1024};
    EndpointReplica holder{rule}, member{rule};
    apply_all(member, publish(holder, 1, lines_of(100)));
    EndpointMap others;
    for (size_t i = 0; i < 100; ++i) {
        const auto uid = "v" + std::to_string(i);
        others[uid] = line(uid);
    }
    for (const EndpointDelta& delta : publish(holder, 2, others)) {
        ASSERT_EQ(member.apply(delta), Result::applied);
        EXPECT_GE(member.endpoints().size(), 100u);
    }
    EXPECT_EQ(member.endpoints(), others);
}

// ---- the log and snapshots ----

TEST(EndpointReplica, LogHasWhatFollowsARevision)
{
    EndpointReplica holder{EndpointDeltaConfig{}};
    for (uint64_t number = 1; number <= 5; ++number) publish(holder, number, lines_of(number));
    const auto missing = holder.deltas_since({epoch, 3});
    ASSERT_EQ(missing.size(), 2u);
    EXPECT_EQ(missing[0].from, (EndpointRevision{epoch, 3}));
    EXPECT_EQ(missing[1].to, holder.revision());
    EXPECT_TRUE(holder.deltas_since(holder.revision()).empty());
    EXPECT_TRUE(holder.deltas_since({epoch - 1, 3}).empty()) << "of another line of revisions";
}

TEST(EndpointReplica, LogKeepsNoMoreThanItsHistory)
{
    EndpointReplica holder{EndpointDeltaConfig{3, seconds(1), 65536}};
    for (uint64_t number = 1; number <= 5; ++number) publish(holder, number, lines_of(number));
    EXPECT_TRUE(holder.deltas_since({epoch, 1}).empty());
    EXPECT_FALSE(holder.can_catch_up_from({epoch, 1}));
    EXPECT_EQ(holder.deltas_since({epoch, 2}).size(), 3u);
}

TEST(EndpointReplica, AnswerHoldsAboutOneChunkOfDeltas)
{
    EndpointReplica holder{EndpointDeltaConfig{1000, seconds(1), 1024}};
    for (uint64_t number = 1; number <= 100; ++number) publish(holder, number, lines_of(number));
    const auto missing = holder.deltas_since({epoch, 1});
    EXPECT_GT(missing.size(), 1u);
    EXPECT_LT(missing.size(), 20u);
}

EndpointSnapshot assembled(const std::vector<EndpointSnapshotChunk>& chunks)
{
    EndpointSnapshot whole{chunks[0].revision, chunks[0].version, chunks[0].digest, chunks[0].partial, {}};
    for (const EndpointSnapshotChunk& chunk : chunks)
        for (const EndpointEntry& entry : chunk.entries) whole.endpoints[entry.uid] = entry.text;
    return whole;
}

TEST(EndpointReplica, SnapshotInChunksMakesTheSameReplica)
{
    const EndpointDeltaConfig rule{1000, seconds(1), 1024};
    EndpointReplica holder{rule}, member{rule};
    publish(holder, 1, lines_of(200));
    const auto chunks = holder.snapshot();
    ASSERT_GT(chunks.size(), 10u);
    for (size_t i = 0; i < chunks.size(); ++i) {
        EXPECT_EQ(chunks[i].index, i);
        EXPECT_EQ(chunks[i].count, chunks.size());
        EXPECT_LE(encode_payload(chunks[i]).size(), 1024u + 200u);
    }
    const auto changes = member.replace(assembled(chunks));
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->changed.size(), 200u);
    expect_same(member, holder);
}

TEST(EndpointReplica, SnapshotTellsNothingButWhatDiffers)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    apply_all(member, publish(holder, 1, lines_of(200)));
    auto lines = lines_of(199);
    lines["u7"] = line("u7", 2);
    publish(holder, 2, lines);
    const auto changes = member.replace(assembled(holder.snapshot()));
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->changed.size(), 1u);
    EXPECT_EQ(changes->changed[0].uid, "u7");
    EXPECT_EQ(changes->removed, std::vector<std::string>{"u199"});
}

TEST(EndpointReplica, SnapshotThatIsWrongOrOlderIsRefused)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    apply_all(member, publish(holder, 2, lines_of(5)));
    auto wrong = assembled(holder.snapshot());
    wrong.endpoints.erase("u1");
    EXPECT_FALSE(member.replace(wrong));
    auto earlier = assembled(holder.snapshot());
    earlier.revision = {epoch - 1, 9};
    EXPECT_FALSE(member.replace(earlier));
    auto older = assembled(holder.snapshot());
    older.revision = {epoch, 9};
    older.version.number = 1;
    EXPECT_FALSE(member.replace(older));
    expect_same(member, holder);
}

// ---- repair between two members ----

// Delivers the messages of both members to each other until neither sends any.
struct Pair {
    explicit Pair(const EndpointDeltaConfig& rule) : holder(rule), member(rule) {}

    void settle(TimePoint now)
    {
        for (bool more = true; more;) {
            more = false;
            for (Send& send : member.take_sends()) more = true, hear(now, holder, second, send.message);
            for (Send& send : holder.take_sends()) more = true, hear(now, member, first, send.message);
        }
    }
    void hear(TimePoint now, EndpointDistribution& by, MemberIndex from, Message& message)
    {
        if (const auto* want = std::get_if<EndpointDeltaRequest>(&message)) {
            ++wants;
            return by.on_delta_request(now, from, *want, Duration{});
        }
        if (const auto* chunk = std::get_if<EndpointSnapshotChunk>(&message)) {
            ++chunks;
            return (void)by.on_snapshot_chunk(now, from, *chunk);
        }
        by.on_delta(now, from, std::get<EndpointDelta>(message));
    }
    void ping(TimePoint now)
    {
        member.on_peer_revision(now, first, holder.replica().revision(), holder.replica().digest());
        settle(now);
    }

    EndpointDistribution holder, member;
    size_t wants = 0, chunks = 0;
};

TEST(EndpointDistribution, PingOfANewerRevisionIsRepairedByDeltas)
{
    Pair pair{EndpointDeltaConfig{}};
    pair.holder.publish(epoch, version(1), lines_of(5), {});
    pair.holder.publish(epoch, version(2), lines_of(6), {});
    pair.ping(start);
    expect_same(pair.member.replica(), pair.holder.replica());
    EXPECT_EQ(pair.wants, 1u);
    EXPECT_EQ(pair.chunks, 0u);
    EXPECT_FALSE(pair.member.is_behind());
}

TEST(EndpointDistribution, LongRepairGoesOnWithoutWaiting)
{
    Pair pair{EndpointDeltaConfig{1000, seconds(1), 1024}};
    for (uint64_t number = 1; number <= 100; ++number)
        pair.holder.publish(epoch, version(number), lines_of(number), {});
    pair.ping(start);
    expect_same(pair.member.replica(), pair.holder.replica());
    EXPECT_GT(pair.wants, 3u);
    EXPECT_EQ(pair.chunks, 0u);
}

TEST(EndpointDistribution, RevisionBeforeTheHistoryIsRepairedByASnapshot)
{
    Pair pair{EndpointDeltaConfig{3, seconds(1), 1024}};
    for (uint64_t number = 1; number <= 10; ++number)
        pair.holder.publish(epoch, version(number), lines_of(100 + number), {});
    pair.ping(start);
    expect_same(pair.member.replica(), pair.holder.replica());
    EXPECT_GT(pair.chunks, 5u);
}

TEST(EndpointDistribution, SnapshotThatIsBeingSentStaysWhileItsSenderGoesOn)
{
    Pair pair{EndpointDeltaConfig{3, seconds(1), 1024}};
    for (uint64_t number = 1; number <= 10; ++number)
        pair.holder.publish(epoch, version(number), lines_of(100 + number), {});
    pair.member.on_peer_revision(start, first, pair.holder.replica().revision(),
                                 pair.holder.replica().digest());
    for (int chunk = 0; chunk < 2; ++chunk) {
        for (Send& send : pair.member.take_sends()) pair.hear(start, pair.holder, second, send.message);
        for (Send& send : pair.holder.take_sends()) pair.hear(start, pair.member, first, send.message);
    }
    pair.holder.publish(epoch, version(11), lines_of(50), {});
    pair.settle(start);
    EXPECT_EQ(pair.member.replica().version(), version(10));
    pair.ping(start + seconds(1));
    expect_same(pair.member.replica(), pair.holder.replica());
}

TEST(EndpointDistribution, EqualRevisionWithAnotherDigestIsRepairedAtWhoIsWrong)
{
    Pair pair{EndpointDeltaConfig{}};
    pair.holder.publish(epoch, version(1), lines_of(5), {});
    pair.ping(start);
    pair.member.replica().corrupt("u1", line("u1", 9));
    pair.holder.on_peer_revision(start, second, pair.member.replica().revision(),
                                 pair.member.replica().digest());
    EXPECT_FALSE(pair.holder.is_behind());
    pair.ping(start + seconds(2));
    expect_same(pair.member.replica(), pair.holder.replica());
    EXPECT_TRUE(pair.member.replica().is_intact());
    EXPECT_EQ(pair.chunks, 1u);
}

TEST(EndpointDistribution, WhoDoesNotAnswerIsAskedAgainOnlyAfterAnother)
{
    const EndpointDeltaConfig rule;
    EndpointDistribution member(rule);
    member.on_peer_revision(start, first, {epoch, 5}, 7);
    member.on_peer_revision(start, second, {epoch, 5}, 7);
    auto sends = member.take_sends();
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].to, first);
    member.tick(start + rule.repair * 0.5);
    EXPECT_TRUE(member.take_sends().empty()) << "one is outstanding";
    member.tick(start + rule.repair);
    sends = member.take_sends();
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].to, second);
}

TEST(EndpointDistribution, OlderListIsNotSentToWhoHasANewerOne)
{
    EndpointDistribution behind{EndpointDeltaConfig{}};
    behind.publish(epoch, version(7), lines_of(5), {});
    behind.on_delta_request(start, second, EndpointDeltaRequest{{epoch - 1, 4}, version(8), 1, false, {}, 0},
                            Duration{});
    EXPECT_TRUE(behind.take_sends().empty());
}

// ---- what the balancer uses ----

TEST(EndpointDistribution, BalancerIsToldTheWholeListOnceAndThenChanges)
{
    EndpointDistribution holder{EndpointDeltaConfig{}};
    holder.publish(epoch, version(1), lines_of(50), {});
    auto use = holder.take_list_update();
    ASSERT_TRUE(use);
    EXPECT_TRUE(use->is_full);
    EndpointMap used;
    net::apply_list_update(used, use->text);
    EXPECT_EQ(used, lines_of(50));

    auto lines = lines_of(49);
    lines["u7"] = line("u7", 2);
    holder.publish(epoch, version(2), lines, std::vector<std::string>{"u7", "u49"});
    use = holder.take_list_update();
    ASSERT_TRUE(use);
    EXPECT_FALSE(use->is_full);
    EXPECT_EQ(use->version, 2u);
    EXPECT_LT(use->text.size(), 200u);
    net::apply_list_update(used, use->text);
    EXPECT_EQ(used, lines);
    EXPECT_FALSE(holder.take_list_update());
}

TEST(EndpointDistribution, NewVersionWithoutChangesIsTold)
{
    EndpointDistribution holder{EndpointDeltaConfig{}};
    holder.publish(epoch, version(1), lines_of(5), {});
    holder.take_list_update();
    EXPECT_EQ(holder.publish(epoch, version(2), lines_of(5), {}).size(), 1u);
    const auto use = holder.take_list_update();
    ASSERT_TRUE(use);
    EXPECT_EQ(use->version, 2u);
    EXPECT_TRUE(holder.publish(epoch, version(2), lines_of(5), {}).empty()) << "nothing is new";
}

TEST(EndpointDistribution, VersionThatHasComeInPartIsNotUsed)
{
    const EndpointDeltaConfig rule{1000, seconds(1), 1024};
    EndpointDistribution holder(rule), member(rule);
    const auto deltas = holder.publish(epoch, version(1), lines_of(50), {});
    ASSERT_GT(deltas.size(), 1u);
    for (const EndpointDelta& delta : deltas) {
        EXPECT_FALSE(member.take_list_update());
        member.on_delta(start, first, delta);
    }
    EXPECT_TRUE(member.take_list_update());
}

TEST(EndpointDistribution, OwnNewerListStaysWhileTheFleetsChangesBelowIt)
{
    EndpointDistribution holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    EndpointMap used;
    const auto take = [&] {
        if (const auto use = member.take_list_update()) net::apply_list_update(used, use->text);
    };
    const auto hear = [&](const std::vector<EndpointDelta>& deltas) {
        for (const EndpointDelta& delta : deltas) member.on_delta(start, first, delta);
        take();
    };
    hear(holder.publish(epoch, version(1), {{"a", line("a", 1)}, {"b", line("b", 1)}}, {}));
    // `a` changes at version 2 and back at version 3, which this member knows from its own discovery.
    const EndpointMap newest{{"a", line("a", 1)}, {"b", line("b", 3)}};
    member.use_local_list(version(3), newest);
    take();
    EXPECT_EQ(used, newest);
    hear(holder.publish(epoch, version(2), {{"a", line("a", 2)}, {"b", line("b", 1)}}, {}));
    EXPECT_EQ(used, newest);
    EXPECT_EQ(member.version(), version(3));
    EXPECT_FALSE(member.on_unchanged(start, first, {epoch, 2}));
    hear(holder.publish(epoch, version(3), newest, {}));
    EXPECT_EQ(used, newest);
    EXPECT_FALSE(member.uses_local_list());
    EXPECT_TRUE(member.on_unchanged(start, first, {epoch, 3}));
}

TEST(EndpointDistribution, NewHolderWithoutAReplicaWaitsForRepair)
{
    const EndpointDeltaConfig rule;
    EndpointDistribution holder(rule);
    EXPECT_TRUE(holder.must_wait_to_publish(start, epoch, start));
    EXPECT_FALSE(holder.must_wait_to_publish(start + rule.repair, epoch, start)) << "nobody has a list";
    holder.on_peer_revision(start, first, {epoch - 1, 4}, 7);
    EXPECT_TRUE(holder.must_wait_to_publish(start + rule.repair, epoch, start)) << "another has one";
    EXPECT_FALSE(holder.must_wait_to_publish(start + rule.repair * 3, epoch, start)) << "and does not answer";
}

TEST(EndpointDistribution, ChangesThatDoNotFollowThePublishedAnswerAreNotTrusted)
{
    EndpointDistribution holder{EndpointDeltaConfig{}};
    holder.publish(epoch, version(1), lines_of(5), {});
    holder.on_answer_rejected();  // version 2, which added u5
    holder.publish(epoch, version(3), lines_of(7), std::vector<std::string>{"u6"});
    EXPECT_EQ(holder.replica().endpoints(), lines_of(7));
}

TEST(ListText, UidsAreQuoted)
{
    const std::string uid = "a\"b\\c\n";
    EndpointMap lines{{uid, "x"}};
    net::apply_list_update(lines, encode_list_changes(1, {uid}, {}));
    EXPECT_TRUE(lines.empty());
}

// ---- messages ----

template <class T>
std::optional<T> over_the_wire(const T& message)
{
    FrameReader reader;
    reader.take(encode_frame(message, 0));
    if (reader.next() != FrameReader::State::message) return {};
    const auto* got = std::get_if<T>(&reader.message());
    return got ? std::optional(*got) : std::nullopt;
}

TEST(ListMessages, ComeAsTheyWereSent)
{
    EndpointReplica holder{EndpointDeltaConfig{}};
    auto delta = publish(holder, 1, lines_of(3))[0];
    delta.answer = true, delta.more = true, delta.age_us = 5;
    const auto got = over_the_wire(delta);
    ASSERT_TRUE(got);
    EXPECT_EQ(pack(*got), pack(delta));
    const EndpointDeltaRequest want{{1, 2}, version(3), 4, true, {5, 6}, 7};
    const auto wanted = over_the_wire(want);
    ASSERT_TRUE(wanted);
    EXPECT_EQ(pack(*wanted), pack(want));
    const auto chunk = holder.snapshot()[0];
    const auto chunk_got = over_the_wire(chunk);
    ASSERT_TRUE(chunk_got);
    EXPECT_EQ(pack(*chunk_got), pack(chunk));
}

TEST(ListMessages, EarlierKindsKeepTheirNumbers)
{
    EXPECT_EQ(Message(QuotaResponse{}).index(), 19u);
    EXPECT_EQ(Message(EndpointDelta{}).index(), 20u);
    EXPECT_EQ(Message(EndpointDeltaRequest{}).index(), 21u);
    EXPECT_EQ(Message(EndpointSnapshotChunk{}).index(), 22u);
}

struct PingWithoutDigest {
    uint64_t number = 0, answers = 0;
    Incarnation incarnation = 0;
    InstanceId instance = 0;
    uint64_t view = 0;
    uint8_t held = 0;
    Incarnation held_at = 0;
    MemberKey leader = 0;
    Term term = 0;
    uint64_t list = 0;
    Epoch list_epoch = 0;
    uint8_t weight = 0;
    MSGPACK_DEFINE(number, answers, incarnation, instance, view, held, held_at, leader, term, list,
                   list_epoch, weight)
};

TEST(ListMessages, PingsOfBuildsWithoutDigestsAreUnderstoodBothWays)
{
    PingWithoutDigest before;
    before.number = 9, before.weight = 4;
    const auto now = unpack<Ping>(pack(before));
    ASSERT_TRUE(now);
    EXPECT_EQ(now->weight, 4);
    EXPECT_EQ(now->list_digest, 0u);
    Ping ping;
    ping.number = 9, ping.list_digest = 77;
    const auto understood = unpack<PingWithoutDigest>(pack(ping));
    ASSERT_TRUE(understood);
    EXPECT_EQ(understood->number, 9u);
}

// ---- the fleet file ----

std::string fleet_file(const std::string& more)
{
    std::string text = "[fleet]\nname = \"edge\"\nid = \"a\"\nlisten = \"127.0.0.1:1\"\ndata = \"d\"\n";
    for (const char* id : {"a", "b", "c"})
        text += std::string("[[member]]\nid = \"") + id +
                "\"\naddress = \"127.0.0.1:" + std::to_string(id[0] - 'a' + 1) + "\"\nvoter = true\n";
    return text + more;
}

std::string fault_of(const std::string& more)
{
    const auto got = decode_fleet_config(fleet_file(more));
    const auto* fault = std::get_if<ConfigError>(&got);
    return fault ? to_string(*fault) : "none";
}

TEST(DeltasTable, IsOffWithoutItAndHasDefaults)
{
    const auto without = std::get<FleetConfig>(decode_fleet_config(fleet_file("[list]\n")));
    EXPECT_FALSE(without.deltas);
    const auto with = std::get<FleetConfig>(decode_fleet_config(fleet_file("[list]\n[deltas]\n")));
    ASSERT_TRUE(with.deltas);
    EXPECT_EQ(with.deltas->history, 1000u);
    EXPECT_EQ(with.deltas->repair, seconds(1));
    EXPECT_EQ(with.deltas->chunk, 65536u);
}

TEST(DeltasTable, TakesSizesWithAndWithoutAUnit)
{
    const auto chunk = [](const std::string& value) {
        const auto file = decode_fleet_config(fleet_file("[list]\n[deltas]\nchunk = " + value + "\n"));
        return std::get<FleetConfig>(file).deltas->chunk;
    };
    EXPECT_EQ(chunk("2048"), 2048u);
    EXPECT_EQ(chunk("\"16KB\""), 16384u);
    EXPECT_EQ(chunk("\"1MB\""), 1048576u);
}

TEST(DeltasTable, FaultsNameLineAndKey)
{
    EXPECT_EQ(fault_of("[deltas]\n"), "line 18: deltas: says nothing without [list]");
    const auto with_list = [](const std::string& key) { return fault_of("[list]\n[deltas]\n" + key + "\n"); };
    EXPECT_EQ(with_list("hystory = 5"), "line 20: deltas.hystory: unknown key");
    EXPECT_EQ(with_list("history = 0"),
              "line 20: deltas.history: a whole number from 1 to 1000000 is expected");
    EXPECT_EQ(with_list("chunk = 100"), "line 20: deltas.chunk: must be from 1024 to 1048576 bytes");
    EXPECT_EQ(with_list("chunk = \"5MB\""), "line 20: deltas.chunk: must be from 1024 to 1048576 bytes");
    EXPECT_EQ(with_list("chunk = -1"), "line 20: deltas.chunk: must be from 1024 to 1048576 bytes");
    EXPECT_EQ(with_list("chunk = \"64 apples\""),
              "line 20: deltas.chunk: a size as 65536, \"64KB\" or \"1MB\" is expected, not '64 apples'");
    EXPECT_EQ(with_list("repair = \"1ms\""), "line 20: deltas.repair: must be from 0.05 to 60 s");
}

}  // namespace
}  // namespace firtide::fleet
