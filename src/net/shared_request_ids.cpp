#include "shared_request_ids.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <new>
#include <thread>
#include <utility>

#include "src/io/log.h"

namespace firtide::net
{
namespace
{

constexpr const char* memory_name = "firtide-request-ids";
// Nobody can change the size of the memory any more, nor take this seal back.
constexpr int size_seals = F_SEAL_SHRINK | F_SEAL_GROW | F_SEAL_SEAL;
constexpr off_t table_bytes = sizeof(RequestIdTable);
constexpr std::chrono::milliseconds retry_interval{20};

// The lock that a process holds on a byte of the memory, at the offset of its number, for as long as it runs.
struct flock owner_lock(RequestIdOwner owner)
{
    struct flock lock = {};
    lock.l_type = F_WRLCK;
    lock.l_whence = SEEK_SET;
    lock.l_start = static_cast<off_t>(owner);
    lock.l_len = 1;
    return lock;
}

std::optional<uint64_t> random_number()
{
    uint64_t number = 0;
    if (getrandom(&number, sizeof number, GRND_NONBLOCK) != sizeof number) return {};
    return number;
}

RequestIdTable* map_table(int descriptor)
{
    void* memory = mmap(nullptr, sizeof(RequestIdTable), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    return memory == MAP_FAILED ? nullptr : static_cast<RequestIdTable*>(memory);
}

Descriptor create_memory()
{
    Descriptor descriptor(memfd_create(memory_name, MFD_CLOEXEC | MFD_ALLOW_SEALING));
    if (!descriptor.valid()) return descriptor;
    // All of it is taken now: it cannot be missing later.
    const bool is_ready = fallocate(descriptor.fd(), 0, 0, table_bytes) == 0 &&
                          fcntl(descriptor.fd(), F_ADD_SEALS, size_seals) == 0;
    return is_ready ? std::move(descriptor) : Descriptor();
}

// A line in the folder may name anything: what it leads to has to be memory whose size cannot change.
Descriptor open_memory(const RequestIdPublication& publication)
{
    const std::string path =
        "/proc/" + std::to_string(publication.process) + "/fd/" + std::to_string(publication.descriptor);
    Descriptor descriptor(open(path.c_str(), O_RDWR | O_CLOEXEC | O_NONBLOCK | O_NOCTTY));
    if (!descriptor.valid()) return descriptor;
    const int seals = fcntl(descriptor.fd(), F_GET_SEALS);
    struct stat status = {};
    const bool is_sealed = seals >= 0 && (seals & size_seals) == size_seals;
    const bool has_size = fstat(descriptor.fd(), &status) == 0 && status.st_size == table_bytes;
    return is_sealed && has_size ? std::move(descriptor) : Descriptor();
}

enum class JoinResult { joined, not_registered, folder_busy, unreachable, no_memory, not_published };

const char* description_of(JoinResult result)
{
    switch (result) {
        case JoinResult::joined: return "joined";
        case JoinResult::not_registered: return "no file can be made in the shared folder";
        case JoinResult::folder_busy: return "the shared folder cannot be locked";
        case JoinResult::unreachable: return "the table of another process cannot be opened";
        case JoinResult::no_memory: return "there is no memory for the table";
        case JoinResult::not_published: return "the shared folder takes no data";
    }
    return "";
}

JoinResult create_and_publish(HotRestart& hot_restart, std::unique_ptr<SharedRequestIds>& ids)
{
    if (!ids) ids = SharedRequestIds::create();
    if (!ids) return JoinResult::no_memory;
    return hot_restart.publish(encode_publication(ids->publication())) ? JoinResult::joined
                                                                       : JoinResult::not_published;
}

// Returns false if other processes have tables and none of them can be opened.
bool adopt_any(const HotRestart& hot_restart, std::unique_ptr<SharedRequestIds>& ids)
{
    bool has_table = false;
    for (const std::string& text : hot_restart.publications_of_others()) {
        const auto publication = decode_publication(text);
        if (ids || !publication) continue;
        has_table = true;
        ids = SharedRequestIds::adopt(*publication);
    }
    return ids || !has_table;
}

// One attempt. While it lasts, no other process joins.
JoinResult try_join(HotRestart& hot_restart, std::unique_ptr<SharedRequestIds>& ids)
{
    if (!hot_restart.register_process()) return JoinResult::not_registered;
    const Descriptor folder_lock = hot_restart.lock_folder();
    if (!folder_lock.valid()) return JoinResult::folder_busy;
    if (!ids && !adopt_any(hot_restart, ids)) return JoinResult::unreachable;
    return create_and_publish(hot_restart, ids);
}

}  // namespace

std::string encode_publication(const RequestIdPublication& publication)
{
    char text[96];
    const int length = std::snprintf(text, sizeof text, "firtide-request-ids %u %d %d %016" PRIx64 "\n",
                                     RequestIdTable::expected_version, static_cast<int>(publication.process),
                                     publication.descriptor, publication.table_id);
    return {text, static_cast<size_t>(length)};
}

std::optional<RequestIdPublication> decode_publication(std::string_view text)
{
    const std::string copy(text);
    RequestIdPublication publication;
    uint32_t version = 0;
    const int fields = std::sscanf(copy.c_str(), "firtide-request-ids %" SCNu32 " %d %d %" SCNx64, &version,
                                   &publication.process, &publication.descriptor, &publication.table_id);
    if (fields != 4 || version != RequestIdTable::expected_version) return {};
    // The scan is lenient; this is not.
    if (encode_publication(publication) != text) return {};
    return publication;
}

SharedRequestIds::SharedRequestIds(Descriptor descriptor, RequestIdTable* table)
    : descriptor_(std::move(descriptor)), table_(table)
{
}

SharedRequestIds::~SharedRequestIds() { munmap(table_, sizeof(RequestIdTable)); }

std::unique_ptr<SharedRequestIds> SharedRequestIds::create()
{
    const auto table_id = random_number(), hash_key = random_number();
    if (!table_id || !hash_key) return {};
    Descriptor descriptor = create_memory();
    RequestIdTable* table = descriptor.valid() ? map_table(descriptor.fd()) : nullptr;
    if (!table) return {};
    new (table) RequestIdTable{};
    table->initialize(*table_id, *hash_key);
    std::unique_ptr<SharedRequestIds> ids(new SharedRequestIds(std::move(descriptor), table));
    return ids->take_owner_number() ? std::move(ids) : nullptr;
}

std::unique_ptr<SharedRequestIds> SharedRequestIds::adopt(const RequestIdPublication& publication)
{
    Descriptor descriptor = open_memory(publication);
    RequestIdTable* table = descriptor.valid() ? map_table(descriptor.fd()) : nullptr;
    if (!table) return {};
    std::unique_ptr<SharedRequestIds> ids(new SharedRequestIds(std::move(descriptor), table));
    const bool is_named = table->has_known_layout() && table->table_id == publication.table_id;
    return is_named && ids->take_owner_number() ? std::move(ids) : nullptr;
}

// Claims that a process with the same number has left open have ended with it.
bool SharedRequestIds::take_owner_number()
{
    for (RequestIdOwner owner = 1; owner <= max_request_id_owners; ++owner) {
        struct flock lock = owner_lock(owner);
        if (fcntl(descriptor_.fd(), F_OFD_SETLK, &lock) != 0) continue;
        self_ = owner;
        table_->open.release_all(owner);
        return true;
    }
    return false;
}

bool SharedRequestIds::is_running(RequestIdOwner owner) const
{
    if (owner == self_) return true;
    struct flock lock = owner_lock(owner);
    return fcntl(descriptor_.fd(), F_OFD_GETLK, &lock) != 0 || lock.l_type != F_UNLCK;
}

RequestIdPublication SharedRequestIds::publication() const
{
    return {getpid(), descriptor_.fd(), table_->table_id};
}

// A process that cannot join starts a table of its own, for those that come after it.
std::unique_ptr<SharedRequestIds> join_request_ids(HotRestart& hot_restart,
                                                   std::chrono::milliseconds patience)
{
    const auto give_up_at = std::chrono::steady_clock::now() + patience;
    std::unique_ptr<SharedRequestIds> ids;
    JoinResult result = try_join(hot_restart, ids);
    while (result != JoinResult::joined && std::chrono::steady_clock::now() < give_up_at) {
        std::this_thread::sleep_for(retry_interval);
        result = try_join(hot_restart, ids);
    }
    if (result == JoinResult::joined) return ids;
    spdlog::warn("request ids may not be shared with other processes of this balancer: {}",
                 description_of(result));
    if (result == JoinResult::not_registered) return ids;
    // Without the lock of the folder two processes that start at once may miss each other, and no more.
    if (!ids) adopt_any(hot_restart, ids);
    create_and_publish(hot_restart, ids);
    return ids;
}

bool has_strangers(const HotRestart& hot_restart, uint64_t table_id)
{
    const auto texts = hot_restart.publications_of_others();
    return std::any_of(texts.begin(), texts.end(), [table_id](const std::string& text) {
        const auto publication = decode_publication(text);
        return !publication || publication->table_id != table_id;
    });
}

}  // namespace firtide::net
