// Reads files and messages written by an earlier version, so that fleets with mixed versions interoperate and
// an upgrade keeps the stored data. tests/data/README.md describes the files.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "simulation/simulated_cluster.h"
#include "src/fleet/consensus/raft_wire.h"
#include "src/fleet/consensus/voter_agent.h"
#include "src/fleet/host/member_directory.h"
#include "src/fleet/startup/member_snapshot.h"

namespace firtide::fleet
{
namespace
{

std::string read_data(const std::string& name)
{
    std::ifstream file(FIRTIDE_TEST_DATA "/340428b/" + name, std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// The fleet whose voter wrote the recorded store.
FleetConfig recorded_fleet()
{
    FleetConfig config;
    config.name = "edge";
    config.id = "m-1";
    config.members.push_back({"m-1", 0, "127.0.0.1:7946", "a", true, 1});
    config.members.push_back({"m-2", 0, "127.0.0.1:7947", "b", false, 2});
    config.duties.push_back({"reports", DutyKind::external, "", seconds(1), 3});
    return config;
}

class StoredVoter : public ::testing::Test
{
  protected:
    void place(const std::string& name) { ASSERT_FALSE(disk_.replace("voter.log", read_data(name))); }

    simulation::Disk disk_;
};

TEST_F(StoredVoter, HasItsOwnerTermAndSnapshot)
{
    place("voter.log");
    Store store(disk_);
    ASSERT_EQ(store.open("edge", "m-1", 9), OpenResult::intact);
    EXPECT_EQ(store.owner(), (StoreOwner{"edge", "m-1", 12941553096165680594u}));
    EXPECT_EQ(store.state().term, 1u);
    EXPECT_EQ(store.state().vote, 0u);
    EXPECT_EQ(store.state().writes, 604u);
    EXPECT_EQ(store.synced_writes(), 604u);
    EXPECT_EQ(store.file_bytes(), 8235u);
    const LogSnapshot& snapshot = store.state().snapshot;
    EXPECT_EQ(snapshot.index, 512u);
    EXPECT_EQ(snapshot.term, 1u);
    EXPECT_EQ(snapshot.configuration_index, 1u);
    EXPECT_EQ(snapshot.configuration.size(), 37u);
}

TEST_F(StoredVoter, HasTheLeasesOfItsSnapshot)
{
    place("voter.log");
    Store store(disk_);
    ASSERT_EQ(store.open("edge", "m-1", 9), OpenResult::intact);
    LeaseTable table;
    ASSERT_TRUE(table.decode(store.state().snapshot.data));
    EXPECT_EQ(table.version(), 511u);
    ASSERT_EQ(table.entries().size(), 1u);
    EXPECT_EQ(table.entry("reports"), (LeaseTable::Entry{key_of("m-2"), 355, 256, "handed over", true}));
    EXPECT_EQ(key_of("m-2"), 11121217268466692007u);
}

TEST_F(StoredVoter, HasTheEntriesThatFollowIt)
{
    place("voter.log");
    Store store(disk_);
    ASSERT_EQ(store.open("edge", "m-1", 9), OpenResult::intact);
    const PersistentState& state = store.state();
    EXPECT_EQ(state.first_index, 449u);
    EXPECT_EQ(state.last_index(), 601u);
    ASSERT_EQ(state.entries.size(), 153u);
    for (const LogEntry& entry : state.entries) {
        EXPECT_EQ(entry.term, 1u);
        EXPECT_EQ(entry.kind, 1u);
    }
    const auto last = unpack<std::vector<LeaseCommand>>(state.entries.back().bytes);
    ASSERT_TRUE(last && last->size() == 1);
    const LeaseCommand& command = last->front();
    EXPECT_EQ(command.kind, LeaseCommand::grant);
    EXPECT_EQ(command.duty, "exports");
    EXPECT_EQ(command.epoch, 41u);
    EXPECT_EQ(command.holder, key_of("m-2"));
    EXPECT_EQ(command.instance, 77u);
    EXPECT_EQ(command.reason, "its turn");
    EXPECT_FALSE(command.pinned);
}

TEST_F(StoredVoter, VotesAgainWithAllThatWasCommitted)
{
    place("voter.log");
    const FleetConfig config = recorded_fleet();
    VoterAgent agent(config, disk_, VoterTiming{}, 3);
    TimePoint now{5'000'000};
    std::optional<VoterStatus> status;
    std::optional<LeaseTable> table;
    const auto take = [&](std::vector<VoterAgentEffect> effects) {
        for (VoterAgentEffect& effect : effects) {
            if (auto* changed = std::get_if<VoterStatus>(&effect)) status = std::move(*changed);
            if (auto* updated = std::get_if<LeaseTableUpdated>(&effect)) table = std::move(updated->table);
        }
    };
    take(agent.start(now));
    for (int tick = 0; tick < 200; ++tick) {
        now = now + seconds(0.02);
        take(agent.tick(now));
    }
    ASSERT_TRUE(status);
    EXPECT_EQ(status->stage, VoterStage::voting);
    EXPECT_EQ(status->raft.role, RaftRole::leader);
    EXPECT_EQ(status->disk, 12941553096165680594u);
    EXPECT_EQ(status->raft.voters, (std::vector<VoterConfig>{{12941553096165680594u, "m-1", true}}));
    ASSERT_TRUE(table);
    EXPECT_EQ(table->version(), 600u);
    EXPECT_EQ(table->entry("reports"), (LeaseTable::Entry{key_of("m-2"), 399, 300, "nobody held it", false}));
    EXPECT_EQ(table->entry("exports"), (LeaseTable::Entry{key_of("m-2"), 77, 42, "its turn", false}));
}

TEST_F(StoredVoter, HasRecordsOfEveryKind)
{
    place("voter-records.log");
    Store store(disk_);
    ASSERT_EQ(store.open("edge", "m-1", 8), OpenResult::intact);
    const PersistentState& state = store.state();
    EXPECT_EQ(store.owner().disk, 7u);
    EXPECT_EQ(state.term, 3u);
    EXPECT_EQ(state.vote, 9u);
    EXPECT_EQ(state.writes, 10u);
    EXPECT_EQ(state.snapshot, (LogSnapshot{2, 1, "voters", 1, "table"}));
    EXPECT_EQ(state.first_index, 2u);
    const std::deque<LogEntry> entries{{1, 1, std::string(60, 'x')}, {3, 1, "two"}, {3, 2, ""}};
    EXPECT_EQ(state.entries, entries);
}

TEST(StoredSnapshot, IsReadFieldByField)
{
    const auto decoded = decode_member_snapshot(read_data("snapshot"));
    ASSERT_TRUE(std::holds_alternative<MemberSnapshot>(decoded));
    const auto& snapshot = std::get<MemberSnapshot>(decoded);
    EXPECT_EQ(snapshot.fleet, "edge");
    EXPECT_EQ(snapshot.member, "m-1");
    EXPECT_EQ(snapshot.incarnation, 12u);
    EXPECT_EQ(snapshot.boot_id, "0b5f6f0e-5f4f-4a53-9a1c-1f6f5a3c2d10");
    EXPECT_EQ(snapshot.written_at_boot_us, 123456789);
    EXPECT_EQ(snapshot.list_version, 41u);
    EXPECT_EQ(snapshot.list_text, R"({"rev":41,"all":true,"targets":[]})");
    EXPECT_EQ(snapshot.accepted_rate, 153.25);
    EXPECT_EQ(snapshot.total_capacity, 12.5);
    EXPECT_EQ(snapshot.peer_count, 3u);
    ASSERT_EQ(snapshot.reductions.size(), 2u);
    EXPECT_EQ(snapshot.reductions[0].upstream_hash, 0x1122334455667788u);
    EXPECT_EQ(snapshot.reductions[0].reduction, 0.25f);
    EXPECT_EQ(snapshot.reductions[0].remaining_us, 1500000);
    EXPECT_EQ(snapshot.reductions[1].upstream_hash, 9u);
    EXPECT_EQ(snapshot.reductions[1].reduction, 1.0f);
    EXPECT_EQ(snapshot.reductions[1].remaining_us, 40);
    ASSERT_EQ(snapshot.seen_epochs.size(), 2u);
    EXPECT_EQ(snapshot.seen_epochs[0].duty, "list");
    EXPECT_EQ(snapshot.seen_epochs[0].epoch, 7u);
    EXPECT_EQ(snapshot.seen_epochs[1].duty, "reports");
    EXPECT_EQ(snapshot.seen_epochs[1].epoch, 9u);
    EXPECT_EQ(snapshot.open_request_ids, (std::vector<std::string>{"9b1f03aa5c7e2d41", "b-2"}));
    EXPECT_EQ(encode_member_snapshot(snapshot), read_data("snapshot"));
}

// One message of each type, with the field values it was recorded with.
std::vector<Message> recorded_messages()
{
    const auto raft = [](std::string bytes) { return RaftMessage{41, 42, 43, std::move(bytes)}; };
    std::vector<Message> messages;
    messages.push_back(Hello{"edge", 1, 11, 12, 13});
    messages.push_back(Ping{1, 2, 3, 4, 5, 1, 6, 7, 8, 9, 10, 120, 0xfedcba9876543210});
    messages.push_back(IndirectProbeRequest{21});
    messages.push_back(IndirectProbeAck{22, 23});
    messages.push_back(MembershipUpdates{{{31, 1, 32, 33, 34}, {35, 2, 36, 37, 0}}, true});
    messages.push_back(raft("\x92\x03\xa7\x96\x33\x34\x35\x36\xc3\xc3"));
    messages.push_back(DiskReport{61, 2, 62, {{63, 64}, {65, 66}}});
    messages.push_back(BootstrapConfig{{{"m-1", 71}, {"m-2", 72}}});
    messages.push_back(LeaseRenewRequest{81, 82, 83, {"drain"}, {{"list", 84}}, true, 85, {{"reports", 86}}});
    messages.push_back(LeaseRenewResponse{91, 92, 93, true, {{"list", 94, 95, 96}}});
    messages.push_back(LeaderRedirect{101, 102});
    messages.push_back(LeaseRevoke{"list", 111});
    messages.push_back(LeaseRelease{"list", 121, 122});
    messages.push_back(AdminCommand{131, "hand-over", "list", "m-2"});
    messages.push_back(AdminCommandResult{141, true, "done"});
    messages.push_back(Broadcast{"list", 151, 152, 153, 154,
                                 "\x93\xae"
                                 "127.0.0.1:8500"
                                 "\x29\xa2{}"});
    messages.push_back(BroadcastRequest{"list"});
    messages.push_back(OutlierDigest{{{161, 162, 163, 164, 165, 166, 167, 168}}});
    messages.push_back(QuotaRequest{171, 172, 173, 174, {{3, 175, 1.5f, 0.25f}}});
    messages.push_back(QuotaResponse{181, 182, 183, {{2, 184, 2.5f}}});
    messages.push_back(EndpointDelta{{191, 192},
                                     {191, 193},
                                     {"127.0.0.1:8500", 194},
                                     {{"s-1", "{1}"}},
                                     {"s-2"},
                                     195,
                                     true,
                                     true,
                                     true,
                                     196});
    messages.push_back(EndpointDeltaRequest{{201, 202}, {"127.0.0.1:8500", 203}, 204, true, {205, 206}, 207});
    messages.push_back(EndpointSnapshotChunk{
        {211, 212}, {"127.0.0.1:8500", 213}, 214, true, 1, 2, 215, {{"s-1", "{1}"}, {"s-2", "{2}"}}});
    return messages;
}

TEST(RecordedFrames, AreWhatThisVersionSends)
{
    const std::string recorded = read_data("frames.bin");
    std::string sent;
    uint32_t number = 0;
    for (const Message& message : recorded_messages()) sent += encode_frame(message, number++);
    ASSERT_EQ(number, std::variant_size_v<Message>);
    ASSERT_GT(recorded.size(), sent.size());
    EXPECT_EQ(recorded.substr(0, sent.size()), sent);
}

TEST(RecordedFrames, AreReadAndWrittenAgainTheSame)
{
    const std::string recorded = read_data("frames.bin");
    FrameReader reader;
    reader.append(recorded);
    std::string encoded;
    uint32_t number = 0;
    while (reader.next() == FrameReader::State::message) {
        const size_t kind = number < std::variant_size_v<Message> ? number : Message(RaftMessage{}).index();
        EXPECT_EQ(reader.message().index(), kind);
        encoded += encode_frame(reader.message(), number++);
    }
    EXPECT_STREQ(reader.error(), "");
    EXPECT_EQ(number, std::variant_size_v<Message> + 5);
    EXPECT_EQ(encoded, recorded);
}

// After one message of each type, the recording holds the remaining messages between voters.
TEST(RecordedFrames, HoldMessagesBetweenVoters)
{
    using namespace raft_wire;
    std::vector<std::string> recorded;
    FrameReader reader;
    reader.append(read_data("frames.bin"));
    while (reader.next() == FrameReader::State::message)
        if (const auto* message = std::get_if<RaftMessage>(&reader.message()))
            recorded.push_back(message->bytes);
    const auto encoded = [](uint16_t kind, const auto& body) { return pack(Envelope{kind, pack(body)}); };
    ASSERT_EQ(recorded.size(), 6u);
    EXPECT_EQ(recorded[0], encoded(3, VoteRequest{51, 52, 53, 54, true, true}));
    EXPECT_EQ(recorded[1], encoded(4, VoteResponse{221, true, 2}));
    EXPECT_EQ(recorded[2], encoded(1, AppendRequest{231, 232, 233, 234, {{235, 1, "entry"}, {236, 2, ""}}}));
    EXPECT_EQ(recorded[3], encoded(2, AppendResponse{241, 242, 243}));
    EXPECT_EQ(recorded[4], encoded(5, InstallSnapshot{251, 252, 253, {{254, "m-1/254", 1}}, 255, "table"}));
    EXPECT_EQ(recorded[5], encoded(6, TimeoutNow{261, 262, 263}));
}

// Uses a temporary directory of its own.
class StoredIncarnation : public ::testing::Test
{
  protected:
    void SetUp() override
    {
        std::string pattern = ::testing::TempDir() + "firtide-member-XXXXXX";
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        config_ = recorded_fleet();
        config_.data_directory = pattern;
        std::ofstream(pattern + "/member", std::ios::binary) << read_data("member");
    }
    void TearDown() override { std::filesystem::remove_all(config_.data_directory); }

    FleetConfig config_;
};

TEST_F(StoredIncarnation, IsFollowedByTheNextOne)
{
    EXPECT_EQ(MemberDirectory(config_, "fleet.toml").next_incarnation(), 13u);
}

TEST_F(StoredIncarnation, OfAnotherMemberIsRefused)
{
    config_.id = "m-2";
    EXPECT_THROW(MemberDirectory(config_, "fleet.toml"), CannotStart);
}

}  // namespace
}  // namespace firtide::fleet
