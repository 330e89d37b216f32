// Opens a voter's log truncated at every byte and with every bit flipped. Each time, the store must restore
// everything that was acknowledged, refuse the file, or show by a lower write count that records are missing.
#include <cstdio>
#include <map>

#include "simulation/simulated_cluster.h"

using namespace firtide;
using namespace firtide::fleet;

namespace
{

constexpr const char* file_name = "voter.log";

// The file size and the state acknowledged by one sync.
struct SyncedState {
    size_t file_bytes;
    PersistentState state;
};

std::vector<SyncedState> write_sample(simulation::Disk& disk)
{
    std::vector<SyncedState> synced;
    Store store(disk);
    std::printf("first open: %s\n", to_string(store.open("edge", "a", 7)));
    const auto sync = [&] {
        if (!store.sync()) std::printf("SYNC FAILED\n");
        synced.push_back({store.file_bytes(), store.state()});
    };
    sync();
    store.set_term(1, 0), sync();
    store.append({{1, 1, "one"}, {1, 1, std::string(60, 'x')}}), sync();
    store.set_term(3, 9), sync();
    store.truncate(2);
    store.append({{3, 1, "two"}, {3, 2, ""}}), sync();
    return synced;
}

std::string bytes_of(simulation::Disk& disk)
{
    std::optional<std::string> text;
    (void)disk.read(file_name, text);
    return text.value_or("");
}

OpenResult open(const std::string& bytes, PersistentState& state, const char* member = "a")
{
    simulation::Disk disk;
    (void)disk.replace(file_name, bytes);
    Store store(disk);
    const auto opened = store.open("edge", member, 8);
    state = store.state();
    return opened;
}

void report_disk_errors()
{
    for (const char* fault : {"full", "broken"}) {
        simulation::Disk disk;
        Store store(disk);
        (void)store.open("edge", "a", 7);
        store.set_term(1, 0);
        (void)store.sync();
        (fault[0] == 'f' ? disk.full : disk.io_error) = true;
        store.set_term(2, 5);
        const bool succeeded = store.sync();
        disk.full = disk.io_error = false;
        std::printf("%s: sync %s, repeated sync %s: %s\n", fault, succeeded ? "succeeded" : "failed",
                    store.sync() ? "succeeded" : "failed", store.error()->text().c_str());
        Store reopened(disk);
        const auto opened = reopened.open("edge", "a", 8);
        std::printf("  reopened: %s, term %llu, disk %llu\n", to_string(opened),
                    static_cast<unsigned long long>(reopened.state().term),
                    static_cast<unsigned long long>(reopened.owner().disk));
    }
}

}  // namespace

int main()
{
    simulation::Disk disk;
    const auto synced = write_sample(disk);
    const auto complete = bytes_of(disk);
    std::map<std::string, size_t> results;
    size_t violations = 0;
    for (size_t cut = 0; cut <= complete.size(); ++cut) {
        PersistentState state;
        const auto opened = open(complete.substr(0, cut), state);
        ++results[to_string(opened)];
        if (opened != OpenResult::intact && opened != OpenResult::truncated) continue;
        // The state must include what was acknowledged at this size; the complete file must restore exactly
        // what was written.
        const SyncedState* last = nullptr;
        for (const SyncedState& each : synced)
            if (each.file_bytes <= cut) last = &each;
        violations += !last || state.writes < last->state.writes || state.term < last->state.term;
        if (cut == complete.size()) violations += !(state == synced.back().state);
    }
    std::printf("truncated at every byte: %zu violations\n", violations);
    for (const auto& [result, count] : results)
        std::printf("  %s%s\n", result.c_str(), count ? "" : " never");
    violations = 0;
    results.clear();
    for (size_t bit = 0; bit < complete.size() * 8; ++bit) {
        auto bytes = complete;
        bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ 1 << bit % 8);
        PersistentState state;
        const auto opened = open(bytes, state);
        ++results[to_string(opened)];
        // A flip that looks like an incomplete last record must lower the write count, so that other voters
        // detect the loss.
        if (opened == OpenResult::intact || opened == OpenResult::created) ++violations;
        if (opened == OpenResult::truncated && state.writes >= synced.back().state.writes) ++violations;
    }
    std::printf("every bit flipped: %zu violations\n", violations);
    for (const auto& [result, count] : results)
        std::printf("  %s%s\n", result.c_str(), count ? "" : " never");
    PersistentState state;
    std::printf("opened by another member: %s\n", to_string(open(complete, state, "b")));
    {
        simulation::Disk small;
        (void)small.replace(file_name, complete);
        Store store(small);
        (void)store.open("edge", "a", 8);
        const auto before = store.state().writes;
        const bool installed = store.install_snapshot({3, 3, "v", 1, "table"}, 1);
        std::printf("snapshot %s, entries %llu to %llu, write count continues: %s\n",
                    installed ? "installed" : "failed",
                    static_cast<unsigned long long>(store.state().first_index),
                    static_cast<unsigned long long>(store.state().last_index()),
                    store.state().writes > before ? "yes" : "no");
        const auto expected = store.state();
        std::printf("  reopened: %s\n",
                    open(bytes_of(small), state) == OpenResult::intact && state == expected
                        ? "same state"
                        : "DIFFERENT STATE");
    }
    report_disk_errors();
}
