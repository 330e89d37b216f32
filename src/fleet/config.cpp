#include "config.h"

#include <set>

#include "src/base/toml_table.h"

namespace firtide::fleet
{
namespace
{

constexpr size_t most_members = 2000, most_duties = 500;
constexpr uint32_t least_chunk = 1024, most_chunk = max_frame_bytes / 4;

// Names stand in commands and in lines of words.
std::string word(const TomlTable& table, std::string_view key)
{
    auto said = table.string(key);
    if (said.size() > 40 || said == "none" ||
        said.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") !=
            std::string::npos)
        throw_config_error(table.full_key(key), table.line(key),
                           "up to 40 letters, digits, '-', '_' or '.' are expected, not '" + said + "'");
    return said;
}

void read_members(const TomlTable& top, FleetConfig& file)
{
    std::set<std::string> ids, addresses;
    std::set<MemberKey> keys;
    top.for_each_table("member", [&](const toml::table& one, const std::string& where) {
        const TomlTable table(one, where, {"id", "address", "zone", "voter"});
        MemberConfig m{word(table, "id"),    0, table.endpoint("address"), "", table.boolean("voter", false),
                       table.location().line};
        if (table.has("zone")) m.zone = word(table, "zone");
        m.key = key_of(m.id);
        if (!ids.insert(m.id).second)
            throw_config_error(table.full_key("id"), table.line("id"),
                               "'" + m.id + "' is another member's id too");
        if (!keys.insert(m.key).second)
            throw_config_error(table.full_key("id"), table.line("id"),
                               "'" + m.id + "' cannot be told from another id; choose another");
        if (!addresses.insert(m.address).second)
            throw_config_error(table.full_key("address"), table.line("address"),
                               "'" + m.address + "' is another member's address too");
        file.members.push_back(std::move(m));
    });
    if (file.members.empty()) throw_config_error("member", 1, "no member is named");
    if (file.members.size() > most_members)
        throw_config_error("member", file.members.back().line,
                           "more than " + std::to_string(most_members) + " members");
    const auto self = file.member_of(std::string_view(file.id));
    if (!self) throw_config_error("fleet.id", 1, "'" + file.id + "' is no member's id");
    file.self = *self;
    const auto voters = file.voters();
    if (voters != 3 && voters != 5 && voters != 7)
        throw_config_error("member.voter", file.members.back().line,
                           "3, 5 or 7 members vote, not " + std::to_string(voters));
}

void check_duty_name(const TomlTable& table, const std::string& name)
{
    for (const char* own : {"list", "probe", "drain", "parts"})
        if (name == own || name.starts_with(std::string(own) + "."))
            throw_config_error(table.full_key("name"), table.line("name"),
                               "'" + name + "' is a name of the balancer's own duties");
}

void read_named_duties(const TomlTable& top, FleetConfig& file)
{
    std::set<std::string> names;
    top.for_each_table("duty", [&](const toml::table& one, const std::string& where) {
        const TomlTable table(one, where, {"name", "tell", "every"});
        Duty duty{word(table, "name"), DutyKind::other, "",
                  table.duration("every", seconds(1), seconds(0.02), seconds(60)), table.location().line};
        if (table.has("tell")) duty.subscriber = table.endpoint("tell");
        if (!names.insert(duty.name).second)
            throw_config_error(table.full_key("name"), table.line("name"),
                               "'" + duty.name + "' is another duty's name too");
        check_duty_name(table, duty.name);
        file.duties.push_back(std::move(duty));
    });
    if (file.duties.size() > most_duties)
        throw_config_error("duty", file.duties.back().line,
                           "more than " + std::to_string(most_duties) + " duties");
}

void add_numbered_duties(FleetConfig& file, const std::string& family, DutyKind kind, uint32_t count,
                         uint32_t line)
{
    for (uint32_t i = 0; i < count; ++i)
        file.duties.push_back({family + "." + std::to_string(i), kind, "", {}, line});
}

void read_list(const toml::table& list, FleetConfig& file)
{
    const TomlTable table(list, "list", {"stale"});
    EndpointListConfig config;
    config.stale = table.duration("stale", config.stale, seconds(0.5), seconds(300));
    file.list = config;
    file.duties.push_back({"list", DutyKind::list, "", {}, table.location().line});
}

void read_deltas(const toml::table& deltas, FleetConfig& file)
{
    const TomlTable table(deltas, "deltas", {"history", "repair", "chunk"});
    if (!file.list) throw_config_error("deltas", table.location().line, "says nothing without [list]");
    EndpointDeltaConfig config;
    config.history = table.integer("history", config.history, 1, 1'000'000);
    config.repair = table.duration("repair", config.repair, seconds(0.05), seconds(60));
    config.chunk = table.byte_size("chunk", config.chunk, least_chunk, most_chunk);
    file.deltas = config;
}

void read_probe(const toml::table& probe, FleetConfig& file)
{
    const TomlTable table(probe, "probe", {"every", "parts"});
    ProbeConfig config;
    config.every = table.duration("every", config.every, seconds(0.05), seconds(60));
    config.parts = table.integer("parts", config.parts, 1, 64);
    add_numbered_duties(file, "probe", DutyKind::probe, config.parts, table.location().line);
    file.probe = config;
}

void read_drain(const toml::table& drain, FleetConfig& file)
{
    const TomlTable table(drain, "drain", {"most"});
    DrainConfig config;
    config.most = table.integer("most", config.most, 1, 64);
    add_numbered_duties(file, "drain", DutyKind::drain, config.most, table.location().line);
    file.drain = config;
}

void read_duties(const TomlTable& top, FleetConfig& file)
{
    read_named_duties(top, file);
    if (const auto* list = top.table("list")) read_list(*list, file);
    if (const auto* deltas = top.table("deltas")) read_deltas(*deltas, file);
    if (const auto* probe = top.table("probe")) read_probe(*probe, file);
    if (const auto* drain = top.table("drain")) read_drain(*drain, file);
}

// Guards against floors that are more than what is kept for them.
void check_floor(const TomlTable& turns, const QuotaConfig& rule, size_t members, const std::string& budget,
                 double whole)
{
    if (rule.floor && *rule.floor * static_cast<double>(members) > whole * guaranteed_share)
        throw_config_error("turns.floor", turns.line("floor"),
                           "for each of " + std::to_string(members) +
                               " members is more than the fifth of turns." + budget +
                               " that is kept for floors");
}

void read_turns(const toml::table& t, FleetConfig& file)
{
    const TomlTable table(t, "turns", {"length", "floor", "retries", "probes", "cold", "tenant"});
    QuotaConfig turns;
    turns.length = table.duration("length", turns.length, seconds(0.2), seconds(60));
    if (table.has("floor")) turns.floor = table.number("floor", 0, 0, 1e6);
    for (const char* budget : {"retries", "probes", "cold"}) {
        if (!table.has(budget)) continue;
        turns.whole[budget] = table.number(budget, 0, 0.01, 1e7);
        check_floor(table, turns, file.members.size(), budget, turns.whole[budget]);
    }
    table.for_each_table("tenant", [&](const toml::table& one, const std::string& where) {
        const TomlTable tenant(one, where, {"name", "rate"});
        const auto name = "tenant." + word(tenant, "name");
        if (!turns.whole.emplace(name, tenant.number("rate", 0, 0.01, 1e7)).second)
            throw_config_error(tenant.full_key("name"), tenant.line("name"),
                               "this tenant has a rate already");
        check_floor(table, turns, file.members.size(), name, turns.whole[name]);
    });
    if (turns.whole.empty()) throw_config_error("turns", table.location().line, "no budget is named");
    file.turns = std::move(turns);
    file.duties.push_back({"parts", DutyKind::parts, "", {}, table.location().line});
}

void read_choices(const TomlTable& top, FleetConfig& file)
{
    if (const auto* t = top.table("subset")) {
        const TomlTable table(*t, "subset", {"size", "zones", "beyond", "narrow"});
        SubsetConfig subset;
        subset.size = table.integer("size", subset.size, 2, 5000);
        subset.zones = table.boolean("zones", subset.zones);
        subset.beyond = table.integer("beyond", subset.beyond, 1, 5000);
        subset.narrow = table.duration("narrow", subset.narrow, seconds(1), seconds(3600));
        if (table.has("beyond") && !subset.zones)
            throw_config_error("subset.beyond", table.line("beyond"), "says nothing without subset.zones");
        file.subset = subset;
    }
    if (const auto* t = top.table("signals")) {
        const TomlTable table(*t, "signals", {"alone", "validity", "bytes"});
        OutlierGossipConfig signals;
        signals.alone = table.number("alone", signals.alone, 0, 0.9);
        signals.validity = table.duration("validity", signals.validity, seconds(0.2), seconds(60));
        signals.bytes = table.integer("bytes", signals.bytes, 200, 1'000'000);
        file.signals = signals;
    }
    if (const auto* t = top.table("turns")) read_turns(*t, file);
    if (const auto* t = top.table("recovery")) {
        const TomlTable table(*t, "recovery", {"every", "wait", "warm"});
        StartupConfig recovery;
        recovery.every = table.duration("every", recovery.every, seconds(0.1), seconds(600));
        recovery.wait = table.duration("wait", recovery.wait, seconds(0.5), seconds(600));
        recovery.warm = table.duration("warm", recovery.warm, seconds(1), seconds(3600));
        file.recovery = recovery;
    }
}

FleetConfig read(const toml::table& from)
{
    FleetConfig file;
    const TomlTable top(from, "",
                        {"fleet", "member", "lease", "duty", "list", "probe", "drain", "subset", "signals",
                         "turns", "recovery", "deltas"});
    const auto* own = top.table("fleet");
    if (!own) throw_config_error("fleet", 1, "is missing");
    const TomlTable fleet(*own, "fleet", {"name", "id", "listen", "data"});
    file.name = word(fleet, "name");
    file.id = word(fleet, "id");
    file.listen = fleet.endpoint("listen");
    file.data = fleet.string("data");
    try {
        read_members(top, file);
    } catch (TomlConfigError& w) {
        if (w.error.location.key == "fleet.id") w.error.location.line = fleet.line("id");
        throw;
    }
    if (const auto* t = top.table("lease")) {
        const TomlTable table(*t, "lease", {"length", "drift"});
        file.lease.length = table.duration("length", file.lease.length, seconds(1), seconds(300));
        file.lease.drift = table.number("drift", file.lease.drift, 0, 0.1);
    }
    read_duties(top, file);
    read_choices(top, file);
    return file;
}

}  // namespace

std::optional<DutyIndex> FleetConfig::duty_of(std::string_view named) const
{
    for (DutyIndex d = 0; d < duties.size(); ++d)
        if (duties[d].name == named) return d;
    return {};
}

std::variant<FleetConfig, ConfigError> decode_fleet_config(std::string_view text)
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

}  // namespace firtide::fleet
