#include "config.h"

#include <set>

#include "src/base/toml_table.h"

namespace firtide::fleet
{
namespace
{

constexpr size_t max_members = 2000, max_duties = 500;
constexpr uint32_t min_chunk_bytes = 1024, max_chunk_bytes = max_frame_bytes / 4;

// Reads a name. Names are arguments of commands and words in space-separated output.
std::string read_name(const TomlTable& table, std::string_view key)
{
    auto name = table.string(key);
    if (name.size() > 40 || name == "none" ||
        name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") !=
            std::string::npos)
        throw_config_error(table.full_key(key), table.line(key),
                           "up to 40 letters, digits, '-', '_' or '.' are expected, not '" + name + "'");
    return name;
}

void read_members(const TomlTable& top, FleetConfig& config)
{
    std::set<std::string> ids, addresses;
    std::set<MemberKey> keys;
    top.for_each_table("member", [&](const toml::table& entry, const std::string& where) {
        const TomlTable table(entry, where, {"id", "address", "zone", "voter"});
        MemberConfig member{read_name(table, "id"),        0,
                            table.endpoint("address"),     "",
                            table.boolean("voter", false), table.location().line};
        if (table.has("zone")) member.zone = read_name(table, "zone");
        member.key = key_of(member.id);
        if (!ids.insert(member.id).second)
            throw_config_error(table.full_key("id"), table.line("id"),
                               "'" + member.id + "' is another member's id too");
        if (!keys.insert(member.key).second)
            throw_config_error(
                table.full_key("id"), table.line("id"),
                "'" + member.id + "' has the same hash as another member's id; choose another id");
        if (!addresses.insert(member.address).second)
            throw_config_error(table.full_key("address"), table.line("address"),
                               "'" + member.address + "' is another member's address too");
        config.members.push_back(std::move(member));
    });
    if (config.members.empty()) throw_config_error("member", 1, "no member is named");
    if (config.members.size() > max_members)
        throw_config_error("member", config.members.back().line,
                           "more than " + std::to_string(max_members) + " members");
    const auto self = config.member_of(std::string_view(config.id));
    if (!self) throw_config_error("fleet.id", 1, "'" + config.id + "' is no member's id");
    config.self = *self;
    const auto voters = config.voters();
    if (voters != 3 && voters != 5 && voters != 7)
        throw_config_error("member.voter", config.members.back().line,
                           "3, 5 or 7 members vote, not " + std::to_string(voters));
}

void check_duty_name(const TomlTable& table, const std::string& name)
{
    for (const char* reserved : {"list", "probe", "drain", "parts"})
        if (name == reserved || name.starts_with(std::string(reserved) + "."))
            throw_config_error(table.full_key("name"), table.line("name"),
                               "'" + name + "' is a name of the balancer's own duties");
}

void read_named_duties(const TomlTable& top, FleetConfig& config)
{
    std::set<std::string> names;
    top.for_each_table("duty", [&](const toml::table& entry, const std::string& where) {
        const TomlTable table(entry, where, {"name", "tell", "every"});
        Duty duty{read_name(table, "name"), DutyKind::external, "",
                  table.duration("every", seconds(1), seconds(0.02), seconds(60)), table.location().line};
        if (table.has("tell")) duty.subscriber = table.endpoint("tell");
        if (!names.insert(duty.name).second)
            throw_config_error(table.full_key("name"), table.line("name"),
                               "'" + duty.name + "' is another duty's name too");
        check_duty_name(table, duty.name);
        config.duties.push_back(std::move(duty));
    });
    if (config.duties.size() > max_duties)
        throw_config_error("duty", config.duties.back().line,
                           "more than " + std::to_string(max_duties) + " duties");
}

void add_numbered_duties(FleetConfig& config, const std::string& prefix, DutyKind kind, uint32_t count,
                         uint32_t line)
{
    for (uint32_t i = 0; i < count; ++i)
        config.duties.push_back({prefix + "." + std::to_string(i), kind, "", {}, line});
}

void read_endpoint_list(const toml::table& toml, FleetConfig& config)
{
    const TomlTable table(toml, "list", {"stale"});
    EndpointListConfig list;
    list.stale_after = table.duration("stale", list.stale_after, seconds(0.5), seconds(300));
    config.endpoint_list = list;
    config.duties.push_back({"list", DutyKind::list, "", {}, table.location().line});
}

void read_endpoint_deltas(const toml::table& toml, FleetConfig& config)
{
    const TomlTable table(toml, "deltas", {"history", "repair", "chunk"});
    if (!config.endpoint_list)
        throw_config_error("deltas", table.location().line, "says nothing without [list]");
    EndpointDeltaConfig deltas;
    deltas.history_size = table.integer("history", deltas.history_size, 1, 1'000'000);
    deltas.repair_interval = table.duration("repair", deltas.repair_interval, seconds(0.05), seconds(60));
    deltas.chunk_bytes = table.byte_size("chunk", deltas.chunk_bytes, min_chunk_bytes, max_chunk_bytes);
    config.endpoint_deltas = deltas;
}

void read_probing(const toml::table& toml, FleetConfig& config)
{
    const TomlTable table(toml, "probe", {"every", "parts"});
    ProbeConfig probing;
    probing.interval = table.duration("every", probing.interval, seconds(0.05), seconds(60));
    probing.shards = table.integer("parts", probing.shards, 1, 64);
    add_numbered_duties(config, "probe", DutyKind::probe, probing.shards, table.location().line);
    config.probe = probing;
}

void read_drain_permits(const toml::table& toml, FleetConfig& config)
{
    const TomlTable table(toml, "drain", {"most"});
    DrainConfig permits;
    permits.max_concurrent = table.integer("most", permits.max_concurrent, 1, 64);
    add_numbered_duties(config, "drain", DutyKind::drain, permits.max_concurrent, table.location().line);
    config.drain = permits;
}

void read_duties(const TomlTable& top, FleetConfig& config)
{
    read_named_duties(top, config);
    if (const auto* list = top.table("list")) read_endpoint_list(*list, config);
    if (const auto* deltas = top.table("deltas")) read_endpoint_deltas(*deltas, config);
    if (const auto* probe = top.table("probe")) read_probing(*probe, config);
    if (const auto* drain = top.table("drain")) read_drain_permits(*drain, config);
}

// Rejects guaranteed rates whose sum over all members exceeds the guaranteed share of the budget.
void check_guaranteed_rate(const TomlTable& table, const QuotaConfig& quotas, size_t members,
                           const std::string& budget, double total)
{
    if (quotas.guaranteed_rate &&
        *quotas.guaranteed_rate * static_cast<double>(members) > total * guaranteed_share)
        throw_config_error("turns.floor", table.line("floor"),
                           "for each of " + std::to_string(members) +
                               " members is more than the fifth of turns." + budget +
                               " that is kept for floors");
}

void read_quotas(const toml::table& toml, FleetConfig& config)
{
    const TomlTable table(toml, "turns", {"length", "floor", "retries", "probes", "cold", "tenant"});
    QuotaConfig quotas;
    quotas.lease_duration = table.duration("length", quotas.lease_duration, seconds(0.2), seconds(60));
    if (table.has("floor")) quotas.guaranteed_rate = table.number("floor", 0, 0, 1e6);
    for (const char* budget : {"retries", "probes", "cold"}) {
        if (!table.has(budget)) continue;
        quotas.totals[budget] = table.number(budget, 0, 0.01, 1e7);
        check_guaranteed_rate(table, quotas, config.members.size(), budget, quotas.totals[budget]);
    }
    table.for_each_table("tenant", [&](const toml::table& entry, const std::string& where) {
        const TomlTable tenant(entry, where, {"name", "rate"});
        const auto name = "tenant." + read_name(tenant, "name");
        if (!quotas.totals.emplace(name, tenant.number("rate", 0, 0.01, 1e7)).second)
            throw_config_error(tenant.full_key("name"), tenant.line("name"),
                               "this tenant has a rate already");
        check_guaranteed_rate(table, quotas, config.members.size(), name, quotas.totals[name]);
    });
    if (quotas.totals.empty()) throw_config_error("turns", table.location().line, "no budget is named");
    config.quotas = std::move(quotas);
    config.duties.push_back({"parts", DutyKind::quota_allocation, "", {}, table.location().line});
}

void read_traffic_settings(const TomlTable& top, FleetConfig& config)
{
    if (const auto* toml = top.table("subset")) {
        const TomlTable table(*toml, "subset", {"size", "zones", "beyond", "narrow"});
        SubsetConfig subset;
        subset.size = table.integer("size", subset.size, 2, 5000);
        subset.zone_aware = table.boolean("zones", subset.zone_aware);
        subset.remote_size = table.integer("beyond", subset.remote_size, 1, 5000);
        subset.narrowing_interval =
            table.duration("narrow", subset.narrowing_interval, seconds(1), seconds(3600));
        if (table.has("beyond") && !subset.zone_aware)
            throw_config_error("subset.beyond", table.line("beyond"), "says nothing without subset.zones");
        config.subset = subset;
    }
    if (const auto* toml = top.table("signals")) {
        const TomlTable table(*toml, "signals", {"alone", "validity", "bytes"});
        OutlierGossipConfig gossip;
        gossip.single_reporter_limit = table.number("alone", gossip.single_reporter_limit, 0, 0.9);
        gossip.validity = table.duration("validity", gossip.validity, seconds(0.2), seconds(60));
        gossip.bytes_per_second = table.integer("bytes", gossip.bytes_per_second, 200, 1'000'000);
        config.outlier_gossip = gossip;
    }
    if (const auto* toml = top.table("turns")) read_quotas(*toml, config);
    if (const auto* toml = top.table("recovery")) {
        const TomlTable table(*toml, "recovery", {"every", "wait", "warm"});
        StartupConfig startup;
        startup.snapshot_interval =
            table.duration("every", startup.snapshot_interval, seconds(0.1), seconds(600));
        startup.stage_timeout = table.duration("wait", startup.stage_timeout, seconds(0.5), seconds(600));
        startup.warmup_timeout = table.duration("warm", startup.warmup_timeout, seconds(1), seconds(3600));
        config.startup = startup;
    }
}

FleetConfig read_config(const toml::table& root)
{
    FleetConfig config;
    const TomlTable top(root, "",
                        {"fleet", "member", "lease", "duty", "list", "probe", "drain", "subset", "signals",
                         "turns", "recovery", "deltas"});
    const auto* fleet_table = top.table("fleet");
    if (!fleet_table) throw_config_error("fleet", 1, "is missing");
    const TomlTable fleet(*fleet_table, "fleet", {"name", "id", "listen", "data"});
    config.name = read_name(fleet, "name");
    config.id = read_name(fleet, "id");
    config.listen = fleet.endpoint("listen");
    config.data_directory = fleet.string("data");
    try {
        read_members(top, config);
    } catch (TomlConfigError& e) {
        if (e.error.location.key == "fleet.id") e.error.location.line = fleet.line("id");
        throw;
    }
    if (const auto* toml = top.table("lease")) {
        const TomlTable table(*toml, "lease", {"length", "drift"});
        config.lease.duration = table.duration("length", config.lease.duration, seconds(1), seconds(300));
        config.lease.max_clock_drift = table.number("drift", config.lease.max_clock_drift, 0, 0.1);
    }
    read_duties(top, config);
    read_traffic_settings(top, config);
    return config;
}

}  // namespace

std::optional<DutyIndex> FleetConfig::duty_of(std::string_view wanted) const
{
    for (DutyIndex duty = 0; duty < duties.size(); ++duty)
        if (duties[duty].name == wanted) return duty;
    return {};
}

std::variant<FleetConfig, ConfigError> decode_fleet_config(std::string_view text)
{
    try {
        return read_config(toml::parse(text));
    } catch (const toml::parse_error& e) {
        return ConfigError{{"TOML", static_cast<uint32_t>(e.source().begin.line)},
                           std::string(e.description())};
    } catch (const TomlConfigError& e) {
        return e.error;
    }
}

}  // namespace firtide::fleet
