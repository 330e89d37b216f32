// firtide-fault-injection: plays scenarios on processes of the program, several side by side.
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
    int out = -1;
    std::string text;
};

// In a process of its own: what it started ends with it.
int play_one(const std::string& path, const std::string& program, const std::string& shim, size_t slot,
             size_t faults, bool gaps)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    const bool drawn = path.starts_with("seed:");
    std::variant<fault_injection::Scenario, ConfigError> decoded =
        drawn ? fault_injection::draw_scenario(std::strtoull(path.c_str() + 5, nullptr, 10), faults)
              : fault_injection::decode_scenario(text.str());
    if (const auto* fault = std::get_if<ConfigError>(&decoded)) {
        std::printf("%s:%u: %s: %s\n", path.c_str(), fault->location.line, fault->location.key.c_str(),
                    fault->message.c_str());
        std::fflush(stdout);
        return 2;
    }
    const auto& scenario = std::get<fault_injection::Scenario>(decoded);
    const auto verdict = fault_injection::play(scenario, program, shim, slot);
    std::printf("%s: %s\n", scenario.name.c_str(), verdict.wrong.empty() ? "safe, and as expected" : "WRONG");
    for (const auto& w : verdict.wrong) std::printf("  %s\n", w.c_str());
    std::fputs(verdict.logs.c_str(), stdout);
    if (gaps)
        for (const Duration g : verdict.gaps)
            std::printf("  without a holder for %.0f ms\n", g.seconds() * 1e3);
    std::fflush(stdout);
    return verdict.wrong.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv)
{
    CLI::App app("firtide-fault-injection, several processes of firtide with faults between them");
    std::vector<std::string> files;
    std::string program = "build/firtide", shim = "build/librig_shim.so";
    size_t first_slot = 0;
    size_t jobs = 4;
    bool gaps = false;
    app.add_option("scenario", files, "scenarios (TOML), or seed:N for troubles drawn from a seed")
        ->required();
    size_t faults = 40;
    app.add_option("--faults", faults, "of those that are drawn");
    app.add_option("--program", program, "the program under test");
    app.add_option("--shim", shim, "the layer under files and clocks");
    app.add_option("--slot", first_slot, "of ports: rigs that run at once need others")
        ->check(CLI::Range(0, 59));
    app.add_option("--jobs", jobs, "scenarios side by side")->check(CLI::Range(1, 32));
    app.add_flag("--gaps", gaps, "print the times that duties were held by nobody");
    CLI11_PARSE(app, argc, argv);
    std::vector<Job> all;
    for (const auto& f : files) all.push_back({f, 0, -1, {}});
    size_t next = 0, running = 0;
    int worst = 0;
    while (next < all.size() || running > 0) {
        while (running < jobs && next < all.size()) {
            Job& job = all[next++];
            int ends[2];
            if (pipe(ends) != 0) return 2;
            std::fflush(stdout);
            job.pid = fork();
            if (job.pid == 0) {
                dup2(ends[1], 1);
                close(ends[0]);
                _exit(play_one(job.file, program, shim, static_cast<size_t>(&job - all.data()) + first_slot,
                               faults, gaps));
            }
            close(ends[1]);
            job.out = ends[0];
            ++running;
        }
        // The oldest first, so that what is printed is in the order of the files.
        for (Job& job : all) {
            if (job.out < 0) continue;
            char bytes[65536];
            for (ssize_t n; (n = read(job.out, bytes, sizeof bytes)) > 0;)
                job.text.append(bytes, static_cast<size_t>(n));
            close(std::exchange(job.out, -1));
            int status = 0;
            waitpid(job.pid, &status, 0);
            --running;
            std::fputs(job.text.c_str(), stdout);
            if (!WIFEXITED(status)) std::printf("%s: the test cluster itself failed\n", job.file.c_str());
            worst = std::max(worst, WIFEXITED(status) ? WEXITSTATUS(status) : 2);
            break;
        }
    }
    return worst;
}
