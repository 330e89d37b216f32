// firtide: the load balancer's command line.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "src/fleet/host/commands.h"
#include "src/io/log.h"
#include "src/net/discovery.h"
#include "src/net/service.h"

int main(int argc, char** argv)
{
    CLI::App app("firtide, a load balancer for services that call services");
    app.require_subcommand(1);
    std::string path, level = "info", fleet_path, management;
    const auto with_config = [&path](CLI::App* command) {
        command->add_option("-c,--config,config", path, "the configuration file (JSON)")
            ->envname("NODE_CONFIG")
            ->required();
        return command;
    };
    auto* serve = with_config(app.add_subcommand("serve", "run the load balancer until SIGTERM"));
    serve->add_option("--log-level", level, "debug, info, warn or error")->envname("FIRTIDE_LOG_LEVEL");
    serve->add_option("--fleet", fleet_path, "the fleet file (TOML): this balancer is a member of a fleet");
    auto* fleet = app.add_subcommand("fleet", "commands for a fleet of balancers");
    fleet->require_subcommand(1);
    auto* fleet_check = fleet->add_subcommand("check", "validate a fleet file");
    fleet_check->add_option("file", fleet_path, "the fleet file (TOML)")->required();
    auto* fleet_status = fleet->add_subcommand("status", "show the state of a balancer's fleet");
    fleet_status->add_option("management", management, "address:port of the management address (mgmt)")
        ->required();
    auto* fleet_recovery =
        fleet->add_subcommand("recovery", "show the progress of a balancer's recovery after a restart");
    fleet_recovery->add_option("management", management, "address:port of the management address (mgmt)")
        ->required();
    auto* snapshot =
        app.add_subcommand("snapshot", "commands for the state that a member keeps over a restart");
    snapshot->require_subcommand(1);
    auto* snapshot_check = snapshot->add_subcommand("check", "validate a snapshot");
    auto* snapshot_dump = snapshot->add_subcommand("dump", "print the contents of a snapshot");
    for (auto* command : {snapshot_check, snapshot_dump})
        command->add_option("file", path, "the file 'snapshot' in a member's folder")->required();
    auto* check = with_config(app.add_subcommand("check-config", "validate a configuration"));
    auto* version = app.add_subcommand("version", "print the version");
    CLI11_PARSE(app, argc, argv);
    try {
        if (version->parsed()) return std::puts("firtide " FIRTIDE_VERSION) < 0;
        if (fleet_check->parsed()) return firtide::fleet::check_fleet_file(fleet_path);
        if (fleet_status->parsed()) return firtide::fleet::send_management_command(management, "show-fleet");
        if (fleet_recovery->parsed())
            return firtide::fleet::send_management_command(management, "show-recovery");
        if (snapshot->parsed()) return firtide::fleet::check_snapshot(path, snapshot_dump->parsed());
        auto config = firtide::net::read_config(path);
        if (check->parsed()) {
            firtide::net::check_known_list(config);
            firtide::net::check_passed_socket(config);
            return std::puts("the configuration is well-formed") < 0;
        }
        if (!firtide::init_logging(config.name, level))
            throw std::runtime_error("--log-level: unknown level '" + level +
                                     "'; debug, info, warn or error is expected");
        std::optional<std::pair<firtide::fleet::FleetConfig, std::string>> member;
        if (!fleet_path.empty()) member.emplace(firtide::fleet::read_fleet_config(fleet_path), fleet_path);
        firtide::net::Service(
            std::move(config), [&path] { return firtide::net::read_config(path); }, std::move(member))
            .run();
    } catch (const firtide::fleet::CannotStart& e) {
        std::fprintf(stderr, "firtide: %s\n", e.what());
        return 2;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "firtide: %s\n", e.what());
        return 1;
    }
    return 0;
}
