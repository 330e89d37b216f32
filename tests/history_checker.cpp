// The history checker reports each kind of violation; and a process opens the threads, sockets and files of a
// fleet only if it has a fleet file.
#include <cstdio>
#include <filesystem>
#include <fstream>

#include "fault_injection/test_cluster.h"
#include "trace.h"

using namespace firtide;
using namespace firtide::fault_injection;

namespace
{

void print_violations(const char* history, const HistoryChecker& checker)
{
    const auto violations = checker.violations(TimePoint{} + seconds(100));
    std::printf("%s: %s\n", history, violations.empty() ? "no violation" : violations[0].c_str());
}

TimePoint at(double s) { return TimePoint{} + seconds(s); }

void print_checked_histories()
{
    HistoryChecker valid;
    valid.record_acquired(at(1), "a", "d", 1), valid.record_lost(at(2), "a", "d", 1),
        valid.record_acquired(at(2.5), "b", "d", 2);
    valid.record_accepted("r", "d", 1, 1), valid.record_accepted("r", "d", 2, 1);
    print_violations("consecutive holders", valid);
    HistoryChecker overlapping = valid;
    overlapping.record_acquired(at(50), "c", "d", 3);
    print_violations("a second holder while the first still holds", overlapping);
    HistoryChecker too_early = valid;
    too_early.record_lost(at(10), "b", "d", 2), too_early.record_acquired(at(9.999), "c", "d", 3);
    print_violations("a second holder one millisecond too early", too_early);
    HistoryChecker killed;
    killed.record_acquired(at(1), "a", "d", 1), killed.record_process_end(at(2), "a"),
        killed.record_acquired(at(3), "b", "d", 2);
    print_violations("the holder is killed before the next one", killed);
    HistoryChecker repeated_epoch = valid;
    repeated_epoch.record_lost(at(3), "b", "d", 2), repeated_epoch.record_acquired(at(4), "a", "d", 2);
    print_violations("an epoch granted twice", repeated_epoch);
    HistoryChecker lower_epoch = valid;
    lower_epoch.record_accepted("r", "d", 1, 2);
    print_violations("an effect of a lower epoch", lower_epoch);
    HistoryChecker repeated_effect = valid;
    repeated_effect.record_accepted("r", "d", 2, 1);
    print_violations("a repeated effect", repeated_effect);
    HistoryChecker probes;
    probes.record_probe("u", 1), probes.record_probe("u", 2);
    print_violations("two concurrent probes", probes);
}

// Counts the threads, listening sockets, eventfds and open files of its data folder that a process has.
std::string resources_of(pid_t pid)
{
    namespace fs = std::filesystem;
    size_t threads = 0, listeners = 0, eventfds = 0, data_files = 0;
    const std::string proc = "/proc/" + std::to_string(pid);
    std::ifstream sockets(proc + "/net/tcp");
    const std::string tcp_table{std::istreambuf_iterator<char>(sockets), {}};
    for ([[maybe_unused]] const auto& thread : fs::directory_iterator(proc + "/task")) ++threads;
    for (const auto& fd : fs::directory_iterator(proc + "/fd")) {
        std::error_code closed;  // since it was listed
        const auto target = fs::read_symlink(fd.path(), closed).string();
        eventfds += target.find("eventfd") != std::string::npos;
        data_files += target.find("/data") != std::string::npos;
        if (!target.starts_with("socket:[")) continue;
        const auto inode = " " + target.substr(8, target.size() - 9) + " ";
        const auto line = tcp_table.rfind('\n', tcp_table.find(inode));
        listeners += tcp_table.find(inode) != std::string::npos &&
                     tcp_table.find(" 00000000:0000 0A ", line) < tcp_table.find('\n', line + 1);
    }
    return std::to_string(threads) + " threads, " + std::to_string(listeners) + " listeners, " +
           std::to_string(eventfds) + " eventfds, " + std::to_string(data_files) +
           " open files of its data folder";
}

void print_resources()
{
    for (const bool fleet_file : {false, true}) {
        ClusterConfig config;
        config.members = 3, config.duties = 1, config.use_fleet_file = fleet_file;
        TestCluster cluster(config, program_path, "", 59);
        cluster.start(0);
        cluster.run_until([&] { return cluster.request(0) == 200; }, seconds(5));
        cluster.run_for(seconds(1));
        std::printf("%s: %s; its data folder %s\n", fleet_file ? "with a fleet file" : "without a fleet file",
                    resources_of(cluster.pid_of(0)).c_str(),
                    std::filesystem::exists(cluster.folder(0)) ? "exists" : "does not exist");
        std::printf("  management: %s", cluster.management_command(0, "show-fleet").substr(0, 12).c_str());
        std::printf("...\n");
    }
}

}  // namespace

int main(int, char** argv)
{
    program_path = argv[1];
    print_checked_histories();
    print_resources();
}
