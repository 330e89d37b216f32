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

std::string target_text(const std::string& uid, int port = 1)
{
    return R"({"endpoint":"127.0.0.1:)" + std::to_string(port) + R"(","state":"ready","uid":")" + uid + "\"}";
}

EndpointMap make_endpoints(size_t count, int port = 1)
{
    EndpointMap endpoints;
    for (size_t i = 0; i < count; ++i) {
        const auto uid = "u" + std::to_string(i);
        endpoints[uid] = target_text(uid, port);
    }
    return endpoints;
}

std::vector<EndpointDelta> publish(EndpointReplica& replica, uint64_t number, const EndpointMap& endpoints,
                                   Epoch at = epoch)
{
    return replica.publish(at, version(number), replica.difference(endpoints));
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

TEST(EndpointReplica, DifferenceListsNewChangedAndRemovedEntries)
{
    EndpointReplica replica{EndpointDeltaConfig{}};
    publish(replica, 1, {{"a", "1"}, {"b", "1"}, {"d", "1"}});
    const EndpointChanges changes = replica.difference({{"a", "1"}, {"b", "2"}, {"c", "1"}});
    ASSERT_EQ(changes.changed.size(), 2u);
    EXPECT_EQ(changes.changed[0].uid, "b");
    EXPECT_EQ(changes.changed[1].uid, "c");
    EXPECT_EQ(changes.removed, std::vector<std::string>{"d"});
}

TEST(EndpointReplica, DifferenceLimitedToUidsEqualsTheFullDifference)
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
    apply_all(member, publish(holder, 1, make_endpoints(5)));
    apply_all(member, publish(holder, 2, make_endpoints(4, 2)));
    apply_all(member, publish(holder, 3, {}));
    expect_same(member, holder);
    EXPECT_EQ(member.revision(), (EndpointRevision{epoch, 3}));
    EXPECT_TRUE(member.endpoints().empty());
    EXPECT_EQ(member.digest(), 0u);
}

TEST(EndpointReplica, DeltaAfterAGapIsNotApplied)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    apply_all(member, publish(holder, 1, make_endpoints(5)));
    publish(holder, 2, make_endpoints(6));
    const auto third = publish(holder, 3, make_endpoints(7));
    EXPECT_EQ(member.apply(third[0]), Result::behind);
    EXPECT_EQ(member.revision(), (EndpointRevision{epoch, 1}));
    EXPECT_EQ(member.endpoints(), make_endpoints(5));
}

TEST(EndpointReplica, RepeatedDeltaIsStale)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    const auto deltas = publish(holder, 1, make_endpoints(5));
    apply_all(member, deltas);
    EXPECT_EQ(member.apply(deltas[0]), Result::stale);
}

TEST(EndpointReplica, OlderListOfTheSameSourceIsRejected)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}},
        behind{EndpointDeltaConfig{}};
    apply_all(member, publish(holder, 8, make_endpoints(5)));
    const auto older = behind.publish(epoch + 1, version(7), behind.difference(make_endpoints(6)));
    EXPECT_EQ(member.apply(older[0]), Result::older);
    EXPECT_EQ(member.version(), version(8));
    EXPECT_FALSE(version(7, "another").older_than(version(8)));
}

TEST(EndpointReplica, DeltaWithAnotherDigestIsNotApplied)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    apply_all(member, publish(holder, 1, make_endpoints(5)));
    member.corrupt("u1", target_text("u1", 9));
    EXPECT_FALSE(member.is_intact());
    EXPECT_EQ(member.apply(publish(holder, 2, make_endpoints(6))[0]), Result::diverged);
    EXPECT_EQ(member.revision(), (EndpointRevision{epoch, 1}));
}

TEST(EndpointReplica, KnownStateIsAdoptedAtItsNewRevision)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}}, next{EndpointDeltaConfig{}};
    const auto once = publish(holder, 1, make_endpoints(5));
    apply_all(member, once);
    apply_all(next, once);
    apply_all(member, publish(holder, 2, make_endpoints(6)));
    // The next holder missed version 2 and gets it from discovery.
    const auto published = publish(next, 2, make_endpoints(6), epoch + 1);
    EXPECT_EQ(member.apply(published[0]), Result::adopted);
    expect_same(member, next);
    // The log still leads on from the earlier revision.
    EXPECT_TRUE(member.can_catch_up_from({epoch, 1}));
}

TEST(EndpointReplica, NewHolderPublishesAnEmptyDeltaOfItsEpoch)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, next{EndpointDeltaConfig{}};
    apply_all(next, publish(holder, 1, make_endpoints(500)));
    const auto published = publish(next, 1, make_endpoints(500), epoch + 1);
    ASSERT_EQ(published.size(), 1u);
    EXPECT_TRUE(published[0].changed.empty() && published[0].removed.empty());
    EXPECT_EQ(holder.apply(published[0]), Result::applied);
    expect_same(holder, next);
}

TEST(EndpointReplica, LargeChangeIsSplitIntoChunks)
{
    const EndpointDeltaConfig config{1000, seconds(1), 1024};
    EndpointReplica holder{config}, member{config};
    const auto deltas = publish(holder, 1, make_endpoints(200));
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
    const EndpointDeltaConfig config{1000, seconds(1), 1024};
    EndpointReplica holder{config}, member{config};
    apply_all(member, publish(holder, 1, make_endpoints(100)));
    EndpointMap others;
    for (size_t i = 0; i < 100; ++i) {
        const auto uid = "v" + std::to_string(i);
        others[uid] = target_text(uid);
    }
    for (const EndpointDelta& delta : publish(holder, 2, others)) {
        ASSERT_EQ(member.apply(delta), Result::applied);
        EXPECT_GE(member.endpoints().size(), 100u);
    }
    EXPECT_EQ(member.endpoints(), others);
}

// ---- the log and snapshots ----

TEST(EndpointReplica, LogReturnsDeltasSinceARevision)
{
    EndpointReplica holder{EndpointDeltaConfig{}};
    for (uint64_t number = 1; number <= 5; ++number) publish(holder, number, make_endpoints(number));
    const auto missing = holder.deltas_since({epoch, 3});
    ASSERT_EQ(missing.size(), 2u);
    EXPECT_EQ(missing[0].from, (EndpointRevision{epoch, 3}));
    EXPECT_EQ(missing[1].to, holder.revision());
    EXPECT_TRUE(holder.deltas_since(holder.revision()).empty());
    EXPECT_TRUE(holder.deltas_since({epoch - 1, 3}).empty()) << "of another epoch";
}

TEST(EndpointReplica, LogIsLimitedToItsHistory)
{
    EndpointReplica holder{EndpointDeltaConfig{3, seconds(1), 65536}};
    for (uint64_t number = 1; number <= 5; ++number) publish(holder, number, make_endpoints(number));
    EXPECT_TRUE(holder.deltas_since({epoch, 1}).empty());
    EXPECT_FALSE(holder.can_catch_up_from({epoch, 1}));
    EXPECT_EQ(holder.deltas_since({epoch, 2}).size(), 3u);
}

TEST(EndpointReplica, DeltasSinceARevisionAreLimitedToAboutOneChunk)
{
    EndpointReplica holder{EndpointDeltaConfig{1000, seconds(1), 1024}};
    for (uint64_t number = 1; number <= 100; ++number) publish(holder, number, make_endpoints(number));
    const auto missing = holder.deltas_since({epoch, 1});
    EXPECT_GT(missing.size(), 1u);
    EXPECT_LT(missing.size(), 20u);
}

EndpointSnapshot assemble(const std::vector<EndpointSnapshotChunk>& chunks)
{
    EndpointSnapshot snapshot{chunks[0].revision, chunks[0].version, chunks[0].digest, chunks[0].partial, {}};
    for (const EndpointSnapshotChunk& chunk : chunks)
        for (const EndpointEntry& entry : chunk.entries) snapshot.endpoints[entry.uid] = entry.text;
    return snapshot;
}

TEST(EndpointReplica, ReplicaFromSnapshotChunksEqualsItsSource)
{
    const EndpointDeltaConfig config{1000, seconds(1), 1024};
    EndpointReplica holder{config}, member{config};
    publish(holder, 1, make_endpoints(200));
    const auto chunks = holder.snapshot();
    ASSERT_GT(chunks.size(), 10u);
    for (size_t i = 0; i < chunks.size(); ++i) {
        EXPECT_EQ(chunks[i].index, i);
        EXPECT_EQ(chunks[i].count, chunks.size());
        EXPECT_LE(encode_payload(chunks[i]).size(), 1024u + 200u);
    }
    const auto changes = member.replace(assemble(chunks));
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->changed.size(), 200u);
    expect_same(member, holder);
}

TEST(EndpointReplica, SnapshotReportsOnlyDifferences)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    apply_all(member, publish(holder, 1, make_endpoints(200)));
    auto endpoints = make_endpoints(199);
    endpoints["u7"] = target_text("u7", 2);
    publish(holder, 2, endpoints);
    const auto changes = member.replace(assemble(holder.snapshot()));
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->changed.size(), 1u);
    EXPECT_EQ(changes->changed[0].uid, "u7");
    EXPECT_EQ(changes->removed, std::vector<std::string>{"u199"});
}

TEST(EndpointReplica, WrongOrOlderSnapshotIsRejected)
{
    EndpointReplica holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    apply_all(member, publish(holder, 2, make_endpoints(5)));
    auto wrong = assemble(holder.snapshot());
    wrong.endpoints.erase("u1");
    EXPECT_FALSE(member.replace(wrong));
    auto earlier = assemble(holder.snapshot());
    earlier.revision = {epoch - 1, 9};
    EXPECT_FALSE(member.replace(earlier));
    auto older = assemble(holder.snapshot());
    older.revision = {epoch, 9};
    older.version.number = 1;
    EXPECT_FALSE(member.replace(older));
    expect_same(member, holder);
}

// ---- repair between two members ----

// Delivers the messages of both members to each other until neither sends any.
struct Pair {
    explicit Pair(const EndpointDeltaConfig& config) : holder(config), member(config) {}

    void settle(TimePoint now)
    {
        for (bool more = true; more;) {
            more = false;
            for (OutgoingMessage& send : member.take_sends())
                more = true, deliver(now, holder, second, send.message);
            for (OutgoingMessage& send : holder.take_sends())
                more = true, deliver(now, member, first, send.message);
        }
    }
    void deliver(TimePoint now, EndpointDistribution& by, MemberIndex from, Message& message)
    {
        if (const auto* request = std::get_if<EndpointDeltaRequest>(&message)) {
            ++request_count;
            return by.on_delta_request(now, from, *request, Duration{});
        }
        if (const auto* chunk = std::get_if<EndpointSnapshotChunk>(&message)) {
            ++chunk_count;
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
    size_t request_count = 0, chunk_count = 0;
};

TEST(EndpointDistribution, PingOfANewerRevisionIsRepairedByDeltas)
{
    Pair pair{EndpointDeltaConfig{}};
    pair.holder.publish(epoch, version(1), make_endpoints(5), {});
    pair.holder.publish(epoch, version(2), make_endpoints(6), {});
    pair.ping(start);
    expect_same(pair.member.replica(), pair.holder.replica());
    EXPECT_EQ(pair.request_count, 1u);
    EXPECT_EQ(pair.chunk_count, 0u);
    EXPECT_FALSE(pair.member.is_behind());
}

TEST(EndpointDistribution, LongRepairContinuesWithoutWaiting)
{
    Pair pair{EndpointDeltaConfig{1000, seconds(1), 1024}};
    for (uint64_t number = 1; number <= 100; ++number)
        pair.holder.publish(epoch, version(number), make_endpoints(number), {});
    pair.ping(start);
    expect_same(pair.member.replica(), pair.holder.replica());
    EXPECT_GT(pair.request_count, 3u);
    EXPECT_EQ(pair.chunk_count, 0u);
}

TEST(EndpointDistribution, RevisionOlderThanTheLogIsRepairedByASnapshot)
{
    Pair pair{EndpointDeltaConfig{3, seconds(1), 1024}};
    for (uint64_t number = 1; number <= 10; ++number)
        pair.holder.publish(epoch, version(number), make_endpoints(100 + number), {});
    pair.ping(start);
    expect_same(pair.member.replica(), pair.holder.replica());
    EXPECT_GT(pair.chunk_count, 5u);
}

TEST(EndpointDistribution, SnapshotBeingSentIsUnaffectedByNewRevisions)
{
    Pair pair{EndpointDeltaConfig{3, seconds(1), 1024}};
    for (uint64_t number = 1; number <= 10; ++number)
        pair.holder.publish(epoch, version(number), make_endpoints(100 + number), {});
    pair.member.on_peer_revision(start, first, pair.holder.replica().revision(),
                                 pair.holder.replica().digest());
    for (int chunk = 0; chunk < 2; ++chunk) {
        for (OutgoingMessage& send : pair.member.take_sends())
            pair.deliver(start, pair.holder, second, send.message);
        for (OutgoingMessage& send : pair.holder.take_sends())
            pair.deliver(start, pair.member, first, send.message);
    }
    pair.holder.publish(epoch, version(11), make_endpoints(50), {});
    pair.settle(start);
    EXPECT_EQ(pair.member.replica().version(), version(10));
    pair.ping(start + seconds(1));
    expect_same(pair.member.replica(), pair.holder.replica());
}

TEST(EndpointDistribution, EqualRevisionWithAnotherDigestIsRepairedAtTheCorruptReplica)
{
    Pair pair{EndpointDeltaConfig{}};
    pair.holder.publish(epoch, version(1), make_endpoints(5), {});
    pair.ping(start);
    pair.member.replica().corrupt("u1", target_text("u1", 9));
    pair.holder.on_peer_revision(start, second, pair.member.replica().revision(),
                                 pair.member.replica().digest());
    EXPECT_FALSE(pair.holder.is_behind());
    pair.ping(start + seconds(2));
    expect_same(pair.member.replica(), pair.holder.replica());
    EXPECT_TRUE(pair.member.replica().is_intact());
    EXPECT_EQ(pair.chunk_count, 1u);
}

TEST(EndpointDistribution, UnansweredRequestIsSentToAnotherMemberNext)
{
    const EndpointDeltaConfig config;
    EndpointDistribution member(config);
    member.on_peer_revision(start, first, {epoch, 5}, 7);
    member.on_peer_revision(start, second, {epoch, 5}, 7);
    auto sends = member.take_sends();
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].to, first);
    member.tick(start + config.repair_interval * 0.5);
    EXPECT_TRUE(member.take_sends().empty()) << "a request is outstanding";
    member.tick(start + config.repair_interval);
    sends = member.take_sends();
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].to, second);
}

TEST(EndpointDistribution, OlderListIsNotSentToAMemberWithANewerOne)
{
    EndpointDistribution behind{EndpointDeltaConfig{}};
    behind.publish(epoch, version(7), make_endpoints(5), {});
    behind.on_delta_request(start, second, EndpointDeltaRequest{{epoch - 1, 4}, version(8), 1, false, {}, 0},
                            Duration{});
    EXPECT_TRUE(behind.take_sends().empty());
}

// ---- what the balancer uses ----

TEST(EndpointDistribution, BalancerGetsTheFullListOnceAndThenChanges)
{
    EndpointDistribution holder{EndpointDeltaConfig{}};
    holder.publish(epoch, version(1), make_endpoints(50), {});
    auto update = holder.take_list_update();
    ASSERT_TRUE(update);
    EXPECT_TRUE(update->is_full);
    EndpointMap used;
    net::apply_list_update(used, update->text);
    EXPECT_EQ(used, make_endpoints(50));

    auto endpoints = make_endpoints(49);
    endpoints["u7"] = target_text("u7", 2);
    holder.publish(epoch, version(2), endpoints, std::vector<std::string>{"u7", "u49"});
    update = holder.take_list_update();
    ASSERT_TRUE(update);
    EXPECT_FALSE(update->is_full);
    EXPECT_EQ(update->version, 2u);
    EXPECT_LT(update->text.size(), 200u);
    net::apply_list_update(used, update->text);
    EXPECT_EQ(used, endpoints);
    EXPECT_FALSE(holder.take_list_update());
}

TEST(EndpointDistribution, NewVersionWithoutChangesIsReported)
{
    EndpointDistribution holder{EndpointDeltaConfig{}};
    holder.publish(epoch, version(1), make_endpoints(5), {});
    holder.take_list_update();
    EXPECT_EQ(holder.publish(epoch, version(2), make_endpoints(5), {}).size(), 1u);
    const auto update = holder.take_list_update();
    ASSERT_TRUE(update);
    EXPECT_EQ(update->version, 2u);
    EXPECT_TRUE(holder.publish(epoch, version(2), make_endpoints(5), {}).empty()) << "nothing is new";
}

TEST(EndpointDistribution, PartiallyReceivedVersionIsNotUsed)
{
    const EndpointDeltaConfig config{1000, seconds(1), 1024};
    EndpointDistribution holder(config), member(config);
    const auto deltas = holder.publish(epoch, version(1), make_endpoints(50), {});
    ASSERT_GT(deltas.size(), 1u);
    for (const EndpointDelta& delta : deltas) {
        EXPECT_FALSE(member.take_list_update());
        member.on_delta(start, first, delta);
    }
    EXPECT_TRUE(member.take_list_update());
}

TEST(EndpointDistribution, NewerLocalListStaysInUseWhileTheFleetsListChanges)
{
    EndpointDistribution holder{EndpointDeltaConfig{}}, member{EndpointDeltaConfig{}};
    EndpointMap used;
    const auto take = [&] {
        if (const auto update = member.take_list_update()) net::apply_list_update(used, update->text);
    };
    const auto receive = [&](const std::vector<EndpointDelta>& deltas) {
        for (const EndpointDelta& delta : deltas) member.on_delta(start, first, delta);
        take();
    };
    receive(holder.publish(epoch, version(1), {{"a", target_text("a", 1)}, {"b", target_text("b", 1)}}, {}));
    // `a` changes at version 2 and back at version 3, which this member knows from its own discovery.
    const EndpointMap newest{{"a", target_text("a", 1)}, {"b", target_text("b", 3)}};
    member.use_local_list(version(3), newest);
    take();
    EXPECT_EQ(used, newest);
    receive(holder.publish(epoch, version(2), {{"a", target_text("a", 2)}, {"b", target_text("b", 1)}}, {}));
    EXPECT_EQ(used, newest);
    EXPECT_EQ(member.version(), version(3));
    EXPECT_FALSE(member.on_unchanged(start, first, {epoch, 2}));
    receive(holder.publish(epoch, version(3), newest, {}));
    EXPECT_EQ(used, newest);
    EXPECT_FALSE(member.uses_local_list());
    EXPECT_TRUE(member.on_unchanged(start, first, {epoch, 3}));
}

TEST(EndpointDistribution, NewHolderWithoutAReplicaWaitsForRepair)
{
    const EndpointDeltaConfig config;
    EndpointDistribution holder(config);
    EXPECT_TRUE(holder.must_wait_to_publish(start, epoch, start));
    EXPECT_FALSE(holder.must_wait_to_publish(start + config.repair_interval, epoch, start))
        << "nobody has a list";
    holder.on_peer_revision(start, first, {epoch - 1, 4}, 7);
    EXPECT_TRUE(holder.must_wait_to_publish(start + config.repair_interval, epoch, start))
        << "another member has one";
    EXPECT_FALSE(holder.must_wait_to_publish(start + config.repair_interval * 3, epoch, start))
        << "the other member does not answer";
}

TEST(EndpointDistribution, ChangesNotBasedOnThePublishedAnswerAreIgnored)
{
    EndpointDistribution holder{EndpointDeltaConfig{}};
    holder.publish(epoch, version(1), make_endpoints(5), {});
    holder.on_answer_rejected();  // version 2, which added u5
    holder.publish(epoch, version(3), make_endpoints(7), std::vector<std::string>{"u6"});
    EXPECT_EQ(holder.replica().endpoints(), make_endpoints(7));
}

TEST(EndpointText, UidsAreQuoted)
{
    const std::string uid = "a\"b\\c\n";
    EndpointMap endpoints{{uid, "x"}};
    net::apply_list_update(endpoints, encode_list_changes(1, {uid}, {}));
    EXPECT_TRUE(endpoints.empty());
}

// ---- messages ----

template <class T>
std::optional<T> encode_and_decode(const T& message)
{
    FrameReader reader;
    reader.append(encode_frame(message, 0));
    if (reader.next() != FrameReader::State::message) return {};
    const auto* got = std::get_if<T>(&reader.message());
    return got ? std::optional(*got) : std::nullopt;
}

TEST(ListMessages, AreUnchangedByEncodingAndDecoding)
{
    EndpointReplica holder{EndpointDeltaConfig{}};
    auto delta = publish(holder, 1, make_endpoints(3))[0];
    delta.is_response = true, delta.has_more = true, delta.age_us = 5;
    const auto got = encode_and_decode(delta);
    ASSERT_TRUE(got);
    EXPECT_EQ(pack(*got), pack(delta));
    const EndpointDeltaRequest request{{1, 2}, version(3), 4, true, {5, 6}, 7};
    const auto decoded_request = encode_and_decode(request);
    ASSERT_TRUE(decoded_request);
    EXPECT_EQ(pack(*decoded_request), pack(request));
    const auto chunk = holder.snapshot()[0];
    const auto decoded_chunk = encode_and_decode(chunk);
    ASSERT_TRUE(decoded_chunk);
    EXPECT_EQ(pack(*decoded_chunk), pack(chunk));
}

TEST(ListMessages, KeepTheirWireNumbers)
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

TEST(ListMessages, PingsOfBuildsWithoutDigestsAreDecodedBothWays)
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

std::string error_of(const std::string& more)
{
    const auto got = decode_fleet_config(fleet_file(more));
    const auto* error = std::get_if<ConfigError>(&got);
    return error ? to_string(*error) : "none";
}

TEST(DeltasTable, IsOffWithoutItAndHasDefaults)
{
    const auto without = std::get<FleetConfig>(decode_fleet_config(fleet_file("[list]\n")));
    EXPECT_FALSE(without.endpoint_deltas);
    const auto with = std::get<FleetConfig>(decode_fleet_config(fleet_file("[list]\n[deltas]\n")));
    ASSERT_TRUE(with.endpoint_deltas);
    EXPECT_EQ(with.endpoint_deltas->history_size, 1000u);
    EXPECT_EQ(with.endpoint_deltas->repair_interval, seconds(1));
    EXPECT_EQ(with.endpoint_deltas->chunk_bytes, 65536u);
}

TEST(DeltasTable, TakesSizesWithAndWithoutAUnit)
{
    const auto chunk = [](const std::string& value) {
        const auto file = decode_fleet_config(fleet_file("[list]\n[deltas]\nchunk = " + value + "\n"));
        return std::get<FleetConfig>(file).endpoint_deltas->chunk_bytes;
    };
    EXPECT_EQ(chunk("2048"), 2048u);
    EXPECT_EQ(chunk("\"16KB\""), 16384u);
    EXPECT_EQ(chunk("\"1MB\""), 1048576u);
}

TEST(DeltasTable, ErrorsNameLineAndKey)
{
    EXPECT_EQ(error_of("[deltas]\n"), "line 18: deltas: says nothing without [list]");
    const auto with_list = [](const std::string& key) { return error_of("[list]\n[deltas]\n" + key + "\n"); };
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
