// firtide-fault-injection: runs fault injection scenarios on processes of the program, several in parallel.
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
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

// Runs in a process of its own, so that all processes it started end with it.
int run_file(const std::string& path, const std::string& program, const std::string& interposer, size_t slot,
             size_t faults, bool gaps)
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
        return 2;
    }
    const auto& scenario = std::get<fault_injection::Scenario>(decoded);
    const auto result = fault_injection::run_scenario(scenario, program, interposer, slot);
    std::printf("%s: %s\n", scenario.name.c_str(), result.violations.empty() ? "passed" : "FAILED");
    for (const auto& violation : result.violations) std::printf("  %s\n", violation.c_str());
    std::fputs(result.logs.c_str(), stdout);
    if (gaps)
        for (const Duration g : result.gaps)
            std::printf("  without a holder for %.0f ms\n", g.seconds() * 1e3);
    std::fflush(stdout);
    return result.violations.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv)
{
    CLI::App app("firtide-fault-injection: runs several processes of firtide and injects faults");
    std::vector<std::string> files;
    std::string program = "build/firtide", interposer = "build/librig_shim.so";
    size_t first_slot = 0;
    size_t jobs = 4;
    bool gaps = false;
    app.add_option("scenario", files,
                   "scenario files (TOML), or seed:N for random faults drawn from the seed N")
        ->required();
    size_t faults = 40;
    app.add_option("--faults", faults, "number of faults of each seed:N");
    app.add_option("--program", program, "the program under test");
    app.add_option("--shim", interposer, "the library that injects faults of files and clocks");
    app.add_option("--slot", first_slot, "port range; runs at the same time need different ones")
        ->check(CLI::Range(0, 59));
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
            if (pipe(pipe_ends) != 0) return 2;
            std::fflush(stdout);
            job.pid = fork();
            if (job.pid == 0) {
                dup2(pipe_ends[1], 1);
                close(pipe_ends[0]);
                _exit(run_file(job.file, program, interposer,
                               static_cast<size_t>(&job - all.data()) + first_slot, faults, gaps));
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
            worst = std::max(worst, WIFEXITED(status) ? WEXITSTATUS(status) : 2);
            break;
        }
    }
    return worst;
}
