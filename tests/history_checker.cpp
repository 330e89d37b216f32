// The history checker catches what it is there for; and what a process has with a fleet file and without.
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "fault_injection/test_cluster.h"
#include "trace.h"

using namespace firtide;
using namespace firtide::fault_injection;

namespace
{

void show(const char* what, const Checker& checker)
{
    const auto wrong = checker.wrong(TimePoint{} + seconds(100));
    std::printf("%s: %s\n", what, wrong.empty() ? "nothing" : wrong[0].c_str());
}

TimePoint at(double s) { return TimePoint{} + seconds(s); }

void checker()
{
    Checker well;
    well.gained(at(1), "a", "d", 1), well.lost(at(2), "a", "d", 1), well.gained(at(2.5), "b", "d", 2);
    well.took("r", "d", 1, 1), well.took("r", "d", 2, 1);
    show("one after the other", well);
    Checker two = well;
    two.gained(at(50), "c", "d", 3);
    show("a second holder while the first one still holds", two);
    Checker late = well;
    late.lost(at(10), "b", "d", 2), late.gained(at(9.999), "c", "d", 3);
    show("a second holder a millisecond too soon", late);
    Checker killed;
    killed.gained(at(1), "a", "d", 1), killed.ended(at(2), "a"), killed.gained(at(3), "b", "d", 2);
    show("one that was killed holds nothing", killed);
    Checker again = well;
    again.lost(at(3), "b", "d", 2), again.gained(at(4), "a", "d", 2);
    show("an epoch granted twice", again);
    Checker lower = well;
    lower.took("r", "d", 1, 2);
    show("an effect of a lower epoch", lower);
    Checker twice = well;
    twice.took("r", "d", 2, 1);
    show("an effect twice", twice);
    Checker probes;
    probes.probed("u", 1), probes.probed("u", 2);
    show("two probes at once", probes);
}

// Threads and descriptors of a process, by what they are.
std::string has(pid_t pid)
{
    namespace fs = std::filesystem;
    size_t threads = 0, listeners = 0, events = 0, folders = 0;
    const std::string proc = "/proc/" + std::to_string(pid);
    std::ifstream sockets(proc + "/net/tcp");
    const std::string known{std::istreambuf_iterator<char>(sockets), {}};
    for ([[maybe_unused]] const auto& t : fs::directory_iterator(proc + "/task")) ++threads;
    for (const auto& fd : fs::directory_iterator(proc + "/fd")) {
        std::error_code gone;
        const auto to = fs::read_symlink(fd.path(), gone).string();
        events += to.find("eventfd") != std::string::npos;
        folders += to.find("/data") != std::string::npos;
        if (!to.starts_with("socket:[")) continue;
        const auto inode = " " + to.substr(8, to.size() - 9) + " ";
        const auto line = known.rfind('\n', known.find(inode));
        listeners += known.find(inode) != std::string::npos &&
                     known.find(" 00000000:0000 0A ", line) < known.find('\n', line + 1);
    }
    return std::to_string(threads) + " threads, " + std::to_string(listeners) + " listeners, " +
           std::to_string(events) + " eventfds, " + std::to_string(folders) + " files of its folder";
}

void with_and_without()
{
    for (const bool fleet : {false, true}) {
        Plan plan;
        plan.members = 3, plan.duties = 1, plan.fleet = fleet;
        TestCluster fault_injection(plan, program_path, "", 59);
        fault_injection.start(0);
        fault_injection.until([&] { return fault_injection.request(0) == 200; }, seconds(5));
        fault_injection.run(seconds(1));
        std::printf("%s: %s; its folder is %s\n", fleet ? "with a fleet file" : "without",
                    has(fault_injection.process(0)).c_str(),
                    std::filesystem::exists(fault_injection.folder(0)) ? "there" : "not there");
        std::printf("  management: %s", fault_injection.ask(0, "show-fleet").substr(0, 12).c_str());
        std::printf("...\n");
    }
}

}  // namespace

int main(int, char** argv)
{
    program_path = argv[1];
    checker();
    with_and_without();
}
