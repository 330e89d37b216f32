// The ids of requests, and the table in which the processes of one balancer share them.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/mman.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <thread>

#include "src/net/request_id_registry.h"
#include "src/net/shared_request_ids.h"

namespace firtide::net
{
namespace
{

constexpr std::chrono::milliseconds no_patience{0};

std::string id_of(size_t number) { return "id-" + std::to_string(number); }

// Two processes of one balancer, without the processes.
class TwoProcesses : public testing::Test
{
  protected:
    TwoProcesses() { table_->initialize(1, 7); }

    std::unique_ptr<RequestIdTable> table_ = std::make_unique<RequestIdTable>();
    bool first_is_running_ = true;
    RequestIdRegistry first_{*table_, 1, [](RequestIdOwner) { return true; }};
    RequestIdRegistry second_{*table_, 2, [this](RequestIdOwner) { return first_is_running_; }};
};

using RequestIds = TwoProcesses;

// Guards against an id that runs at both processes of an upgrade.
TEST_F(RequestIds, OpenAtOneProcessAreOpenAtTheOther)
{
    for (const bool may_run_twice : {false, true}) {
        const auto id = id_of(may_run_twice);
        ASSERT_EQ(first_.claim(id, may_run_twice), IdClaim::claimed);
        EXPECT_EQ(second_.claim(id, may_run_twice), IdClaim::is_open);
        EXPECT_EQ(second_.open_count(), 0u);
        first_.close(id);
        EXPECT_EQ(second_.claim(id, may_run_twice), IdClaim::claimed) << "nothing was sent for the first";
        second_.close(id);
    }
}

TEST_F(RequestIds, ThatRanAtOneProcessAreUsedAtTheOther)
{
    ASSERT_EQ(first_.claim("x", false), IdClaim::claimed);
    ASSERT_TRUE(first_.record_run("x"));
    EXPECT_EQ(second_.claim("x", false), IdClaim::was_used);
    EXPECT_FALSE(second_.record_run("x"));
    first_.close("x");
    EXPECT_EQ(second_.claim("x", false), IdClaim::was_used);
    EXPECT_EQ(first_.claim("x", false), IdClaim::was_used);
}

TEST_F(RequestIds, ThatMayRunTwiceAreFreeOnceTheyAreClosed)
{
    for (int round = 0; round < 3; ++round) {
        ASSERT_EQ(first_.claim("x", true), IdClaim::claimed);
        first_.close("x");
        ASSERT_EQ(second_.claim("x", true), IdClaim::claimed);
        second_.close("x");
    }
}

// Guards against ids that stay open for good after SIGKILL, and against what ran being forgotten with it.
TEST_F(RequestIds, OfAKilledProcessAreFreeUnlessTheyMayHaveRun)
{
    ASSERT_EQ(first_.claim("not-sent", false), IdClaim::claimed);
    ASSERT_EQ(first_.claim("idempotent", true), IdClaim::claimed);
    ASSERT_EQ(first_.claim("sent", false), IdClaim::claimed);
    ASSERT_TRUE(first_.record_run("sent"));
    first_is_running_ = false;
    EXPECT_EQ(second_.claim("not-sent", false), IdClaim::claimed);
    EXPECT_EQ(second_.claim("idempotent", true), IdClaim::claimed);
    EXPECT_EQ(second_.claim("sent", false), IdClaim::was_used);
}

// As many as within one process count over an upgrade.
TEST_F(RequestIds, ThatRanAtEitherProcessAreKeptInTheirNumber)
{
    constexpr size_t added = 5 * min_recent_ids;
    for (size_t n = 0; n < added; ++n) ASSERT_TRUE((n % 2 ? first_ : second_).record_run(id_of(n))) << n;
    for (size_t n = added - min_recent_ids; n < added; ++n)
        ASSERT_EQ((n % 2 ? second_ : first_).claim(id_of(n), false), IdClaim::was_used) << n;
    EXPECT_LE(first_.may_have_run_count(), 2 * min_recent_ids);
}

// Guards against an open id that is forgotten because many others came after it.
TEST_F(RequestIds, StayOpenHoweverManyOthersCome)
{
    ASSERT_EQ(first_.claim("long", false), IdClaim::claimed);
    for (size_t n = 0; n < 5 * min_open_claims; ++n) {
        ASSERT_EQ(second_.claim(id_of(n), true), IdClaim::claimed);
        second_.close(id_of(n));
        if (n % (min_open_claims / 2) == 0) first_.renew_open_claims();
    }
    EXPECT_EQ(second_.claim("long", false), IdClaim::is_open);
}

// Ids that differ in nothing but their number fill the slots evenly, far beyond the numbers of generations.
TEST_F(RequestIds, AreClaimedAfterAnyNumberOfGenerations)
{
    GenerationalIdSet<16> set;
    const auto always = [](RequestIdState) { return true; };
    for (uint64_t n = 1; n < 16 * 10'000; ++n) {
        const uint64_t hash = n * 0x9e3779b97f4a7c15u;
        ASSERT_TRUE(set.claim(hash, 1, always)) << n;
        ASSERT_FALSE(set.claim(hash, 1, always)) << n;
        ASSERT_TRUE(set.contains(hash, 1)) << n;
        ASSERT_FALSE(set.contains(hash + 1, 1)) << n;
    }
}

// Guards against both processes running an id that both get in the same instant.
TEST_F(RequestIds, ThatBothGetInTheSameInstantAreRunByOne)
{
    constexpr size_t id_count = 200'000;
    std::vector<uint8_t> runs_of_first(id_count), runs_of_second(id_count);
    std::atomic<size_t> reached_by_first{0}, reached_by_second{0};
    const auto run = [&](RequestIdRegistry& ids, std::vector<uint8_t>& runs, std::atomic<size_t>& reached,
                         std::atomic<size_t>& other) {
        for (size_t n = 0; n < id_count; ++n) {
            reached = n;
            // Side by side, so that they meet at each id.
            while (other + 1 < n) std::this_thread::yield();
            const auto id = id_of(n);
            if (ids.claim(id, false) != IdClaim::claimed) continue;
            runs[n] = ids.record_run(id);
            ids.close(id);
        }
        reached = id_count;
    };
    std::thread other([&] { run(second_, runs_of_second, reached_by_second, reached_by_first); });
    run(first_, runs_of_first, reached_by_first, reached_by_second);
    other.join();
    size_t by_first = 0;
    for (size_t n = 0; n < id_count; ++n) {
        ASSERT_EQ(runs_of_first[n] + runs_of_second[n], 1) << n;
        by_first += runs_of_first[n];
    }
    RecordProperty("run_by_first", static_cast<int>(by_first));
}

// ---- the memory, and how a process finds it ----

class SharedIds : public testing::Test
{
  protected:
    SharedIds() : folder_((std::filesystem::temp_directory_path() / "firtide-test-XXXXXX").string())
    {
        if (!mkdtemp(folder_.data())) throw std::runtime_error("no folder");
    }
    ~SharedIds() override { std::filesystem::remove_all(folder_); }

    static RequestIdRegistry registry(SharedRequestIds& ids)
    {
        return {ids.table(), ids.self(), [&ids](RequestIdOwner owner) { return ids.is_running(owner); }};
    }

    std::string folder_;
};

TEST_F(SharedIds, AreThoseOfTheProcessThatIsThereAlready)
{
    HotRestart first_process(folder_), second_process(folder_);
    const auto first = join_request_ids(first_process, no_patience);
    const auto second = join_request_ids(second_process, no_patience);
    ASSERT_TRUE(first && second);
    EXPECT_NE(&first->table(), &second->table());
    EXPECT_EQ(first->table().table_id, second->table().table_id);
    EXPECT_NE(first->self(), second->self());
    auto first_ids = registry(*first), second_ids = registry(*second);
    EXPECT_EQ(first_ids.claim("x", false), IdClaim::claimed);
    EXPECT_EQ(second_ids.claim("x", false), IdClaim::is_open);
    EXPECT_FALSE(has_strangers(first_process, first->table().table_id));
}

// Guards against ids that are forgotten in the second or third upgrade.
TEST_F(SharedIds, OutliveEachOfTheirProcesses)
{
    auto old_process = std::make_unique<HotRestart>(folder_);
    auto old_ids = join_request_ids(*old_process, no_patience);
    ASSERT_TRUE(old_ids);
    registry(*old_ids).record_run("x");
    for (int upgrade = 0; upgrade < 40; ++upgrade) {
        auto new_process = std::make_unique<HotRestart>(folder_);
        auto new_ids = join_request_ids(*new_process, no_patience);
        ASSERT_TRUE(new_ids);
        old_ids = std::move(new_ids);
        old_process = std::move(new_process);
        ASSERT_EQ(registry(*old_ids).claim("x", false), IdClaim::was_used) << upgrade;
    }
}

TEST_F(SharedIds, OfAProcessThatEndedAreNotOpen)
{
    HotRestart first_process(folder_), second_process(folder_);
    auto first = join_request_ids(first_process, no_patience);
    const auto second = join_request_ids(second_process, no_patience);
    ASSERT_TRUE(first && second);
    auto second_ids = registry(*second);
    registry(*first).claim("x", true);
    ASSERT_EQ(second_ids.claim("x", true), IdClaim::is_open);
    const RequestIdOwner number = first->self();
    first.reset();
    EXPECT_FALSE(second->is_running(number));
    EXPECT_EQ(second_ids.claim("x", true), IdClaim::claimed);
    // The next process with that number does not own what the former left.
    registry(*second).claim("y", true);
    const auto third = join_request_ids(first_process, no_patience);
    ASSERT_TRUE(third);
    EXPECT_EQ(third->self(), number);
    EXPECT_EQ(registry(*third).claim("y", true), IdClaim::is_open);
}

TEST_F(SharedIds, AreSharedByNoMoreProcessesThanHaveNumbers)
{
    std::vector<std::unique_ptr<SharedRequestIds>> all;
    all.push_back(SharedRequestIds::create());
    ASSERT_TRUE(all[0]);
    for (RequestIdOwner n = 1; n < max_request_id_owners; ++n)
        all.push_back(SharedRequestIds::adopt(all[0]->publication()));
    for (RequestIdOwner n = 0; n < max_request_id_owners; ++n) {
        ASSERT_TRUE(all[n]) << n;
        EXPECT_EQ(all[n]->self(), n + 1);
    }
    EXPECT_FALSE(SharedRequestIds::adopt(all[0]->publication()));
}

// Guards against a process that ends by SIGBUS because its memory was made smaller.
TEST_F(SharedIds, LieInMemoryWhoseSizeNobodyCanChange)
{
    const auto ids = SharedRequestIds::create();
    ASSERT_TRUE(ids);
    const int descriptor = ids->publication().descriptor;
    EXPECT_EQ(ftruncate(descriptor, 0), -1);
    EXPECT_EQ(ftruncate(descriptor, sizeof(RequestIdTable) * 2), -1);
}

TEST_F(SharedIds, AreNotTakenFromOtherMemory)
{
    const auto publication_of = [](int descriptor, uint64_t table_id) {
        return RequestIdPublication{getpid(), descriptor, table_id};
    };
    const auto ids = SharedRequestIds::create();
    ASSERT_TRUE(ids);
    const auto real = ids->publication();
    EXPECT_FALSE(SharedRequestIds::adopt(publication_of(real.descriptor, real.table_id + 1)));
    EXPECT_FALSE(SharedRequestIds::adopt(publication_of(-1, real.table_id)));
    EXPECT_FALSE(SharedRequestIds::adopt(publication_of(STDIN_FILENO, real.table_id)));
    EXPECT_FALSE(SharedRequestIds::adopt({INT32_MAX, real.descriptor, real.table_id}));
    const auto with_memory = [&](off_t size, int seals, uint32_t version) {
        const Descriptor memory(memfd_create("test", MFD_CLOEXEC | MFD_ALLOW_SEALING));
        auto table = std::make_unique<RequestIdTable>();
        table->initialize(9, 9);
        table->version = version;
        EXPECT_EQ(write(memory.fd(), table.get(), sizeof *table), static_cast<ssize_t>(sizeof *table));
        EXPECT_EQ(ftruncate(memory.fd(), size), 0);
        EXPECT_EQ(fcntl(memory.fd(), F_ADD_SEALS, seals), 0);
        return SharedRequestIds::adopt(publication_of(memory.fd(), 9)) != nullptr;
    };
    constexpr int sealed = F_SEAL_SHRINK | F_SEAL_GROW | F_SEAL_SEAL;
    constexpr off_t size = sizeof(RequestIdTable);
    constexpr uint32_t version = RequestIdTable::expected_version;
    EXPECT_TRUE(with_memory(size, sealed, version));
    EXPECT_FALSE(with_memory(size, 0, version)) << "it could be cut short";
    EXPECT_FALSE(with_memory(size, F_SEAL_SHRINK, version)) << "somebody can still add seals";
    EXPECT_FALSE(with_memory(size / 2, sealed, version));
    EXPECT_FALSE(with_memory(size, sealed, version + 1)) << "another version of the program";
}

TEST_F(SharedIds, ArePublishedInOneFormOnly)
{
    const RequestIdPublication publication{4711, 12, 0xabc};
    const auto text = encode_publication(publication);
    EXPECT_EQ(text, "firtide-request-ids 1 4711 12 0000000000000abc\n");
    const auto decoded = decode_publication(text);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->process, 4711);
    EXPECT_EQ(decoded->descriptor, 12);
    EXPECT_EQ(decoded->table_id, 0xabcu);
    for (size_t bytes = 0; bytes < text.size(); ++bytes)
        EXPECT_FALSE(decode_publication(text.substr(0, bytes))) << bytes;
    for (const char* other :
         {"firtide-request-ids 2 4711 12 0000000000000abc\n", "firtide-request-ids 1 4711 12 abc\n",
          "firtide-request-ids 1 4711 12 0000000000000abc\nx",
          "firtide-request-ids 1 x 12 0000000000000abc\n",
          "firtide-request-ids 1 99999999999 12 0000000000000abc\n", "%s%n\n"})
        EXPECT_FALSE(decode_publication(other)) << other;
}

// Whatever lies in the folder, a process starts, and ids are shared with the next one.
TEST_F(SharedIds, IgnoreWhatElseLiesInTheFolder)
{
    const auto leave = [&](const char* name, const std::string& text) {
        std::ofstream(std::filesystem::path(folder_) / name) << text;
    };
    leave("start-crash.firtide", encode_publication({getpid(), 0, 1}));
    leave("empty.firtide", "");
    leave("long.firtide", std::string(1 << 20, 'x'));
    std::filesystem::create_directory(std::filesystem::path(folder_) / "folder.firtide");
    std::filesystem::create_symlink("/proc/self/mem", std::filesystem::path(folder_) / "link.firtide");
    HotRestart first_process(folder_), second_process(folder_);
    const auto first = join_request_ids(first_process, no_patience);
    const auto second = join_request_ids(second_process, no_patience);
    ASSERT_TRUE(first && second);
    EXPECT_EQ(first->table().table_id, second->table().table_id);
    EXPECT_EQ(first_process.publications_of_others().size(), 1u);
}

// A version that shares no ids, or shares them in another way, runs beside this one.
TEST_F(SharedIds, OfThisProcessAreItsOwnBesideAnotherVersion)
{
    HotRestart other_version(folder_);
    for (const char* published : {"", "firtide-request-ids 2 1 2 3\n"}) {
        ASSERT_TRUE(other_version.publish(published));
        HotRestart process(folder_), next_process(folder_);
        const auto ids = join_request_ids(process, no_patience);
        ASSERT_TRUE(ids);
        EXPECT_TRUE(has_strangers(process, ids->table().table_id));
        const auto next = join_request_ids(next_process, no_patience);
        ASSERT_TRUE(next);
        EXPECT_EQ(next->table().table_id, ids->table().table_id);
    }
}

// Guards against a table of its own, and ids that run twice, where only the folder's lock is not to be had.
TEST_F(SharedIds, AreSharedWithoutTheLockOfTheFolder)
{
    HotRestart first_process(folder_), second_process(folder_);
    const auto first = join_request_ids(first_process, no_patience);
    ASSERT_TRUE(first);
    const Descriptor held = first_process.lock_folder();
    ASSERT_TRUE(held.valid());
    const auto second = join_request_ids(second_process, std::chrono::milliseconds(50));
    ASSERT_TRUE(second);
    EXPECT_EQ(second->table().table_id, first->table().table_id);
}

// The folder's lock is held by a process that was stopped, or the folder is gone.
TEST_F(SharedIds, AreNoReasonNotToStart)
{
    HotRestart process(folder_);
    {
        const Descriptor held = process.lock_folder();
        ASSERT_TRUE(held.valid());
        HotRestart other(folder_);
        EXPECT_TRUE(join_request_ids(other, std::chrono::milliseconds(50)));
    }
    HotRestart nowhere(folder_ + "/none");
    EXPECT_FALSE(join_request_ids(nowhere, no_patience));
}

}  // namespace
}  // namespace firtide::net
