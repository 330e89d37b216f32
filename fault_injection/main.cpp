// firtide-fault-injection: runs fault injection scenarios on processes of the program, several in parallel.
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "scenario.h"

using namespace firtide;

namespace
{

struct Job {
    std::string file;
    pid_t pid = 0;
    int output_fd = -1;
    std::string output;
};

constexpr int exit_failed = 1, exit_invalid = 2;
constexpr int exit_not_run = 3;  // the test environment failed, which says nothing of the program

int report_not_run(const std::string& name, const std::string& why)
{
    std::printf("%s: not run: %s\n", name.c_str(), why.c_str());
    std::fflush(stdout);
    return exit_not_run;
}

// A failure of the program is reported before one of the test environment.
int worse_exit(int first, int second)
{
    if (first == 0 || first == exit_not_run) return second == 0 ? first : second;
    return second == exit_not_run ? first : std::max(first, second);
}

// Runs in a process of its own, so that all processes it started end with it.
int run_file(const std::string& path, const std::string& program, const std::string& interposer,
             size_t preferred_ports, size_t faults, bool gaps)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    const bool random = path.starts_with("seed:");
    std::variant<fault_injection::Scenario, ConfigError> decoded =
        random ? fault_injection::random_scenario(std::strtoull(path.c_str() + 5, nullptr, 10), faults)
               : fault_injection::parse_scenario(text.str());
    if (const auto* error = std::get_if<ConfigError>(&decoded)) {
        std::printf("%s:%u: %s: %s\n", path.c_str(), error->location.line, error->location.key.c_str(),
                    error->message.c_str());
        std::fflush(stdout);
        return exit_invalid;
    }
    const auto& scenario = std::get<fault_injection::Scenario>(decoded);
    fault_injection::ScenarioResult result;
    try {
        result = fault_injection::run_scenario(scenario, program, interposer, preferred_ports);
    } catch (const fault_injection::PortsUnavailable& e) {
        return report_not_run(scenario.name, e.what());
    }
    if (result.port_conflict) return report_not_run(scenario.name, *result.port_conflict);
    std::printf("%s: %s\n", scenario.name.c_str(), result.violations.empty() ? "passed" : "FAILED");
    for (const auto& violation : result.violations) std::printf("  %s\n", violation.c_str());
    std::fputs(result.logs.c_str(), stdout);
    if (gaps)
        for (const Duration g : result.gaps)
            std::printf("  without a holder for %.0f ms\n", g.seconds() * 1e3);
    std::fflush(stdout);
    return result.violations.empty() ? 0 : exit_failed;
}

}  // namespace

int main(int argc, char** argv)
{
    CLI::App app("firtide-fault-injection: runs several processes of firtide and injects faults");
    std::vector<std::string> files;
    std::string program = "build/firtide", interposer = "build/librig_shim.so";
    size_t first_ports = 0;
    size_t jobs = 4;
    bool gaps = false;
    app.add_option("scenario", files,
                   "scenario files (TOML), or seed:N for random faults drawn from the seed N")
        ->required();
    size_t faults = 40;
    app.add_option("--faults", faults, "number of faults of each seed:N");
    app.add_option("--program", program, "the program under test");
    app.add_option("--shim", interposer, "the library that injects faults of files and clocks");
    app.add_option("--slot", first_ports,
                   "first range of ports to try; one that another run has reserved is passed over")
        ->check(CLI::Range(size_t{0}, fault_injection::PortRange::ranges - 1));
    app.add_option("--jobs", jobs, "scenarios in parallel")->check(CLI::Range(1, 32));
    app.add_flag("--gaps", gaps, "print how long duties had no holder");
    CLI11_PARSE(app, argc, argv);
    std::vector<Job> all;
    for (const auto& f : files) all.push_back({f, 0, -1, {}});
    size_t next = 0, running = 0;
    int worst = 0;
    while (next < all.size() || running > 0) {
        while (running < jobs && next < all.size()) {
            Job& job = all[next++];
            int pipe_ends[2];
            if (pipe(pipe_ends) != 0) return report_not_run(job.file, "no pipe");
            std::fflush(stdout);
            job.pid = fork();
            if (job.pid == 0) {
                dup2(pipe_ends[1], 1);
                close(pipe_ends[0]);
                _exit(run_file(job.file, program, interposer,
                               static_cast<size_t>(&job - all.data()) + first_ports, faults, gaps));
            }
            close(pipe_ends[1]);
            job.output_fd = pipe_ends[0];
            ++running;
        }
        // Waits for the oldest job first, so that the output follows the order of the files.
        for (Job& job : all) {
            if (job.output_fd < 0) continue;
            char bytes[65536];
            for (ssize_t n; (n = read(job.output_fd, bytes, sizeof bytes)) > 0;)
                job.output.append(bytes, static_cast<size_t>(n));
            close(std::exchange(job.output_fd, -1));
            int status = 0;
            waitpid(job.pid, &status, 0);
            --running;
            std::fputs(job.output.c_str(), stdout);
            if (!WIFEXITED(status))
                std::printf("%s: the process that ran the scenario was ended by a signal\n",
                            job.file.c_str());
            worst = worse_exit(worst, WIFEXITED(status) ? WEXITSTATUS(status) : exit_invalid);
            break;
        }
    }
    return worst;
}
