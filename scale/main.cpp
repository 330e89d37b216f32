// firtide-scale: starts a fleet of many members on this machine, measures the resource usage of each, and
// stops it.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "hollow_process.h"
#include "options.h"
#include "run.h"

using namespace firtide;

namespace
{

constexpr int status_refused = 2;

int refuse(const std::string& why)
{
    std::fprintf(stderr, "firtide-scale: %s\n", why.c_str());
    return status_refused;
}

std::string command_of(int argc, char** argv)
{
    std::string command;
    for (int i = 0; i < argc; ++i) command += (i ? " " : "") + std::string(argv[i]);
    return command;
}

std::string to_string(const ConfigError& error, const std::string& experiment_path)
{
    if (error.location.line == 0) return "--" + error.location.key + ": " + error.message;
    return experiment_path + ":" + std::to_string(error.location.line) + ": " + error.location.key + ": " +
           error.message;
}

// Checked before anything starts, as a run takes minutes.
bool can_write(const std::string& path)
{
    if (path.empty()) return true;
    const auto folder = std::filesystem::absolute(path).parent_path().string();
    return access(folder.c_str(), W_OK) == 0 && !std::filesystem::is_directory(path);
}

int write_result(const scale::Result& result)
{
    const auto text = scale::encode_result(result);
    if (result.options.json.empty()) return std::fputs(text.c_str(), stdout) < 0;
    std::ofstream file(result.options.json);
    if (file << text && file.flush()) return 0;
    std::fprintf(stderr, "firtide-scale: --json: '%s' cannot be written\n", result.options.json.c_str());
    return 1;
}

int run(const std::string& experiment_path, const std::vector<scale::NamedValue>& values,
        const std::string& command)
{
    std::stringstream experiment;
    if (!experiment_path.empty()) {
        std::ifstream file(experiment_path);
        if (!file || !(experiment << file.rdbuf())) return refuse(experiment_path + ": cannot be read");
    }
    const auto decoded = scale::decode_options(experiment.str(), values);
    if (const auto* error = std::get_if<ConfigError>(&decoded))
        return refuse(to_string(*error, experiment_path));
    const auto& options = std::get<scale::Options>(decoded);
    if (!can_write(options.json)) return refuse("--json: '" + options.json + "' cannot be written");
    std::signal(SIGPIPE, SIG_IGN);
    const auto own_program = std::filesystem::read_symlink("/proc/self/exe").string();
    const auto outcome = scale::run_scale(options, command, own_program);
    if (const auto* failed = std::get_if<scale::RunFailure>(&outcome)) {
        std::fprintf(stderr, "firtide-scale: %s\n", failed->message.c_str());
        return failed->exit_status;
    }
    return write_result(std::get<scale::Result>(outcome));
}

}  // namespace

int main(int argc, char** argv)
{
    CLI::App app("measures fleets of many members on one machine");
    app.require_subcommand(1);
    auto* run_command = app.add_subcommand("run", "start a fleet, measure it and stop it");
    std::string experiment_path;
    std::vector<scale::NamedValue> values;
    run_command->add_option("--experiment", experiment_path,
                            "path of a TOML file with these options as keys");
    for (const auto& option : scale::option_help())
        run_command->add_option_function<std::string>(
            "--" + option.name,
            [&values, name = option.name](const std::string& value) { values.emplace_back(name, value); },
            option.description);
    // Internal: only the controller runs this command.
    auto* hollow_command = app.add_subcommand("hollow", "")->group("");
    std::string spec_path;
    hollow_command->add_option("spec", spec_path)->required();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        if (error.get_exit_code() == static_cast<int>(CLI::ExitCodes::Success)) return app.exit(error);
        return refuse(error.what());
    }
    try {
        if (hollow_command->parsed()) return scale::run_hollow_process(spec_path);
        return run(experiment_path, values, command_of(argc, argv));
    } catch (const std::exception& e) {
        std::fprintf(stderr, "firtide-scale: %s\n", e.what());
        return 1;
    }
}
