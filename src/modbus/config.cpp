#include "config.h"

#include <charconv>

#include "src/base/toml_table.h"

namespace firtide::modbus
{
namespace
{

std::pair<uint32_t, uint32_t> units(const TomlTable& table)
{
    const auto text = table.string("units");
    uint32_t first = 0, last = 0;
    const char *at = text.data(), *end = at + text.size();
    auto read = std::from_chars(at, end, first);
    bool well = read.ec == std::errc{};
    last = first;
    if (well && read.ptr != end && *read.ptr == '-') {
        read = std::from_chars(read.ptr + 1, end, last);
        well = read.ec == std::errc{};
    }
    if (!well || read.ptr != end)
        throw_config_error(table.full_key("units"), table.line("units"),
                           "a unit or a range as \"1-16\" is expected");
    return {first, last};
}

Pool pool(const toml::table& from, const std::string& path)
{
    const TomlTable table(from, path, {"name", "server"});
    Pool p{table.string("name"), {}, table.location()};
    table.for_each_table("server", [&](const toml::table& one, const std::string& where) {
        const TomlTable server(one, where, {"name", "endpoint", "state"});
        Server s{server.string("name"), server.endpoint("endpoint"), false, server.location()};
        const auto state = one.contains("state") ? server.string("state") : "ready";
        if (state != "ready" && state != "draining")
            throw_config_error(server.full_key("state"), server.line("state"),
                               "\"ready\" or \"draining\" is expected");
        s.draining = state == "draining";
        p.servers.push_back(std::move(s));
    });
    return p;
}

OperatorFile read(const toml::table& from)
{
    const TomlTable top(from, "", {"listen", "limits", "times", "pool", "route"});
    Limits limits;
    if (const auto* t = top.table("limits")) {
        const TomlTable table(*t, "limits",
                              {"clients", "in_flight", "in_flight_a_client", "in_flight_a_connection"});
        limits.clients = table.integer("clients", limits.clients, 1, 100'000);
        limits.in_flight = table.integer("in_flight", limits.in_flight, 1, 100'000);
        limits.in_flight_a_client = table.integer("in_flight_a_client", limits.in_flight_a_client, 1, 1000);
        limits.in_flight_a_connection =
            table.integer("in_flight_a_connection", limits.in_flight_a_connection, 1, 1000);
    }
    Times times;
    if (const auto* t = top.table("times")) {
        const TomlTable table(*t, "times",
                              {"read_ms", "write_ms", "connect_ms", "idle_client_ms", "idle_server_ms"});
        times.read = table.milliseconds("read_ms", times.read);
        times.write = table.milliseconds("write_ms", times.write);
        times.connect = table.milliseconds("connect_ms", times.connect);
        times.idle_client = table.milliseconds("idle_client_ms", times.idle_client);
        times.idle_server = table.milliseconds("idle_server_ms", times.idle_server);
    }
    auto listen = top.endpoint("listen");
    std::vector<Pool> pools;
    std::vector<Route> routes;
    top.for_each_table(
        "pool", [&](const toml::table& one, const std::string& where) { pools.push_back(pool(one, where)); });
    top.for_each_table("route", [&](const toml::table& one, const std::string& where) {
        const TomlTable table(one, where, {"units", "pool"});
        const auto [first, last] = units(table);
        routes.push_back({first, last, table.string("pool"), table.location()});
    });
    if (routes.empty()) throw_config_error("route", 1, "no unit is routed anywhere");
    auto made = Routes::make(std::move(pools), routes);
    if (auto* fault = std::get_if<ConfigError>(&made)) throw TomlConfigError{std::move(*fault)};
    return {std::move(listen), limits, times, std::move(std::get<Routes>(made))};
}

}  // namespace

std::variant<OperatorFile, ConfigError> decode_operator_file(std::string_view text)
{
    try {
        return read(toml::parse(text));
    } catch (const toml::parse_error& e) {
        return ConfigError{{"TOML", static_cast<uint32_t>(e.source().begin.line)},
                           std::string(e.description())};
    } catch (const TomlConfigError& w) {
        return w.error;
    }
}

}  // namespace firtide::modbus
