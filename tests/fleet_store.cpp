// Opens a voter's log truncated at every byte and with every bit flipped. Each time, the store must either
// restore everything that was acknowledged or refuse the file.
#include <cstdio>
#include <map>

#include "simulation/simulated_cluster.h"

using namespace firtide;
using namespace firtide::fleet;

namespace
{

constexpr const char* file = "voter.log";

// The file size and the state acknowledged by one sync.
struct Said {
    size_t bytes;
    PersistentState kept;
};

std::vector<Said> write(simulation::Disk& disk)
{
    std::vector<Said> said;
    Store store(disk);
    std::printf("at first: %s\n", to_string(store.open("edge", "a", 7)));
    const auto sync = [&] {
        if (!store.sync()) std::printf("SYNC FAILED\n");
        said.push_back({store.file_bytes(), store.state()});
    };
    sync();
    store.set_term(1, 0), sync();
    store.append({{1, 1, "one"}, {1, 1, std::string(60, 'x')}}), sync();
    store.set_term(3, 9), sync();
    store.truncate(2);
    store.append({{3, 1, "two"}, {3, 2, ""}}), sync();
    return said;
}

std::string bytes_of(simulation::Disk& disk)
{
    std::optional<std::string> text;
    (void)disk.read(file, text);
    return text.value_or("");
}

OpenResult open(const std::string& bytes, PersistentState& kept, const char* member = "a")
{
    simulation::Disk disk;
    (void)disk.replace(file, bytes);
    Store store(disk);
    const auto opened = store.open("edge", member, 8);
    kept = store.state();
    return opened;
}

void errors()
{
    for (const char* what : {"full", "broken"}) {
        simulation::Disk disk;
        Store store(disk);
        (void)store.open("edge", "a", 7);
        store.set_term(1, 0);
        (void)store.sync();
        (what[0] == 'f' ? disk.full : disk.broken) = true;
        store.set_term(2, 5);
        const bool well = store.sync();
        disk.full = disk.broken = false;
        std::printf("%s: %s, and then %s: %s\n", what, well ? "well" : "failed",
                    store.sync() ? "well" : "still failed", store.error()->text().c_str());
        Store again(disk);
        const auto opened = again.open("edge", "a", 8);
        std::printf("  opened again: %s, term %llu, disk %llu\n", to_string(opened),
                    static_cast<unsigned long long>(again.state().term),
                    static_cast<unsigned long long>(again.owner().disk));
    }
}

}  // namespace

int main()
{
    simulation::Disk disk;
    const auto said = write(disk);
    const auto whole = bytes_of(disk);
    std::map<std::string, size_t> seen;
    size_t wrong = 0;
    for (size_t cut = 0; cut <= whole.size(); ++cut) {
        PersistentState kept;
        const auto opened = open(whole.substr(0, cut), kept);
        ++seen[to_string(opened)];
        if (opened != OpenResult::intact && opened != OpenResult::truncated) continue;
        // The state must not go beyond what was written or fall behind what was acknowledged at this size.
        const Said* last = nullptr;
        for (const Said& s : said)
            if (s.bytes <= cut) last = &s;
        wrong += !last || kept.writes < last->kept.writes || kept.term < last->kept.term;
        if (cut == whole.size()) wrong += !(kept == said.back().kept);
    }
    std::printf("cut at every byte of the file: %zu wrong\n", wrong);
    for (const auto& [what, n] : seen) std::printf("  %s%s\n", what.c_str(), n ? "" : " never");
    wrong = 0;
    seen.clear();
    for (size_t bit = 0; bit < whole.size() * 8; ++bit) {
        auto bytes = whole;
        bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ 1 << bit % 8);
        PersistentState kept;
        const auto opened = open(bytes, kept);
        ++seen[to_string(opened)];
        // A flip that looks like an incomplete last record must lower the write count, so that other voters
        // detect the loss.
        if (opened == OpenResult::intact || opened == OpenResult::created) ++wrong;
        if (opened == OpenResult::truncated && kept.writes >= said.back().kept.writes) ++wrong;
    }
    std::printf("each bit turned: %zu wrong\n", wrong);
    for (const auto& [what, n] : seen) std::printf("  %s%s\n", what.c_str(), n ? "" : " never");
    PersistentState kept;
    std::printf("another member's: %s\n", to_string(open(whole, kept, "b")));
    {
        simulation::Disk small;
        (void)small.replace(file, whole);
        Store store(small);
        (void)store.open("edge", "a", 8);
        const auto before = store.state().writes;
        const bool well = store.install_snapshot({3, 3, "v", 1, "table"}, 1);
        std::printf("a snapshot: %s, entries from %llu to %llu, the count goes on: %s\n",
                    well ? "well" : "failed", static_cast<unsigned long long>(store.state().first_index),
                    static_cast<unsigned long long>(store.state().last_index()),
                    store.state().writes > before ? "yes" : "no");
        const auto held = store.state();
        std::printf("  read again: %s\n", open(bytes_of(small), kept) == OpenResult::intact && kept == held
                                              ? "the same"
                                              : "OTHERWISE");
    }
    errors();
}
