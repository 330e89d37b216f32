// firtide-latency: measures the latency that a balancer adds to a call.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "latency.h"

namespace
{

constexpr int exit_invalid_options = 2;

std::string command_line(int argc, char** argv)
{
    std::string line = "firtide-latency";
    for (int i = 1; i < argc; ++i) line.append(" ").append(argv[i]);
    return line;
}

std::string first_line(const std::string& text) { return text.substr(0, text.find('\n')); }

}  // namespace

int main(int argc, char** argv)
{
    CLI::App app("measures the latency that a balancer adds to a call, on loopback");
    firtide::scale::LatencyOptions options;
    firtide::scale::add_latency_options(app, options);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        if (error.get_exit_code() == 0) return app.exit(error);
        std::fprintf(stderr, "firtide-latency: %s\n", first_line(error.what()).c_str());
        return exit_invalid_options;
    }
    if (options.warm_up >= options.seconds) {
        std::fputs("firtide-latency: --warm-up: must be shorter than --seconds\n", stderr);
        return exit_invalid_options;
    }
    options.command = command_line(argc, argv);
    return firtide::scale::measure_latency(options);
}
