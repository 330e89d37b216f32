// firtide: the balancer on sockets.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "src/net/discovery.h"
#include "src/net/log.h"
#include "src/net/service.h"

int main(int argc, char** argv)
{
    CLI::App app("firtide, a load balancer for services that call services");
    app.require_subcommand(1);
    std::string path, level = "info";
    const auto with_config = [&path](CLI::App* command) {
        command->add_option("-c,--config,config", path, "the configuration file (JSON)")
            ->envname("NODE_CONFIG")
            ->required();
        return command;
    };
    auto* serve = with_config(app.add_subcommand("serve", "balance until SIGTERM"));
    serve->add_option("--log-level", level, "debug, info, warn or error")->envname("FIRTIDE_LOG_LEVEL");
    auto* check =
        with_config(app.add_subcommand("check-config", "read a configuration and say what is wrong with it"));
    auto* version = app.add_subcommand("version", "print the version");
    CLI11_PARSE(app, argc, argv);
    try {
        if (version->parsed()) return std::puts("firtide " FIRTIDE_VERSION) < 0;
        auto config = firtide::net::read_config(path);
        if (check->parsed()) {
            firtide::net::check_known(config);
            firtide::net::check_passed_socket(config);
            return std::puts("the configuration is well-formed") < 0;
        }
        if (!firtide::net::start_log(config.name, level))
            throw std::runtime_error("--log-level: no such level");
        firtide::net::Service(std::move(config), [&path] { return firtide::net::read_config(path); }).run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "firtide: %s\n", e.what());
        return 1;
    }
    return 0;
}
