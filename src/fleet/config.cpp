#include "config.h"

#include <set>

#include "src/toml_table.h"

namespace firtide::fleet
{
namespace
{

constexpr size_t most_members = 2000, most_duties = 500;

// Names stand in commands and in lines of words.
std::string word(const TomlTable& table, std::string_view key)
{
    auto said = table.text(key);
    if (said.size() > 40 || said == "none" ||
        said.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") !=
            std::string::npos)
        wrong(table.name(key), table.line(key),
              "up to 40 letters, digits, '-', '_' or '.' are expected, not '" + said + "'");
    return said;
}

void read_members(const TomlTable& top, FleetFile& file)
{
    std::set<std::string> ids, addresses;
    std::set<Key> keys;
    top.each("member", [&](const toml::table& one, const std::string& where) {
        const TomlTable table(one, where, {"id", "address", "zone", "voter"});
        MemberLine m{word(table, "id"), 0, table.endpoint("address"), "", table.flag("voter", false),
                     table.place().line};
        if (table.has("zone")) m.zone = word(table, "zone");
        m.key = key_of(m.id);
        if (!ids.insert(m.id).second)
            wrong(table.name("id"), table.line("id"), "'" + m.id + "' is another member's id too");
        if (!keys.insert(m.key).second)
            wrong(table.name("id"), table.line("id"),
                  "'" + m.id + "' cannot be told from another id; choose another");
        if (!addresses.insert(m.address).second)
            wrong(table.name("address"), table.line("address"),
                  "'" + m.address + "' is another member's address too");
        file.members.push_back(std::move(m));
    });
    if (file.members.empty()) wrong("member", 1, "no member is named");
    if (file.members.size() > most_members)
        wrong("member", file.members.back().line, "more than " + std::to_string(most_members) + " members");
    const auto self = file.member_of(std::string_view(file.id));
    if (!self) wrong("fleet.id", 1, "'" + file.id + "' is no member's id");
    file.self = *self;
    const auto voters = file.voters();
    if (voters != 3 && voters != 5 && voters != 7)
        wrong("member.voter", file.members.back().line,
              "3, 5 or 7 members vote, not " + std::to_string(voters));
}

void read_duties(const TomlTable& top, FleetFile& file)
{
    std::set<std::string> names;
    top.each("duty", [&](const toml::table& one, const std::string& where) {
        const TomlTable table(one, where, {"name", "tell", "every"});
        Duty d{word(table, "name"), DutyKind::other, "",
               table.span("every", seconds(1), seconds(0.02), seconds(60)), table.place().line};
        if (table.has("tell")) d.tell = table.endpoint("tell");
        if (!names.insert(d.name).second)
            wrong(table.name("name"), table.line("name"), "'" + d.name + "' is another duty's name too");
        for (const char* own : {"list", "probe", "drain"})
            if (d.name == own || d.name.starts_with(std::string(own) + "."))
                wrong(table.name("name"), table.line("name"),
                      "'" + d.name + "' is a name of the balancer's own duties");
        file.duties.push_back(std::move(d));
    });
    if (file.duties.size() > most_duties)
        wrong("duty", file.duties.back().line, "more than " + std::to_string(most_duties) + " duties");
    if (const auto* t = top.table("list")) {
        const TomlTable table(*t, "list", {"stale"});
        ListDuty list;
        list.stale = table.span("stale", list.stale, seconds(0.5), seconds(300));
        file.list = list;
        file.duties.push_back({"list", DutyKind::list, "", {}, table.place().line});
    }
    if (const auto* t = top.table("probe")) {
        const TomlTable table(*t, "probe", {"every", "parts"});
        ProbeDuty probe;
        probe.every = table.span("every", probe.every, seconds(0.05), seconds(60));
        probe.parts = table.count("parts", probe.parts, 1, 64);
        for (uint32_t i = 0; i < probe.parts; ++i)
            file.duties.push_back(
                {"probe." + std::to_string(i), DutyKind::probe, "", {}, table.place().line});
        file.probe = probe;
    }
    if (const auto* t = top.table("drain")) {
        const TomlTable table(*t, "drain", {"most"});
        DrainDuty drain;
        drain.most = table.count("most", drain.most, 1, 64);
        for (uint32_t i = 0; i < drain.most; ++i)
            file.duties.push_back(
                {"drain." + std::to_string(i), DutyKind::drain, "", {}, table.place().line});
        file.drain = drain;
    }
}

FleetFile read(const toml::table& from)
{
    FleetFile file;
    const TomlTable top(from, "", {"fleet", "member", "lease", "duty", "list", "probe", "drain"});
    const auto* own = top.table("fleet");
    if (!own) wrong("fleet", 1, "is missing");
    const TomlTable fleet(*own, "fleet", {"name", "id", "listen", "data"});
    file.name = word(fleet, "name");
    file.id = word(fleet, "id");
    file.listen = fleet.endpoint("listen");
    file.data = fleet.text("data");
    try {
        read_members(top, file);
    } catch (WrongToml& w) {
        if (w.fault.at.key == "fleet.id") w.fault.at.line = fleet.line("id");
        throw;
    }
    if (const auto* t = top.table("lease")) {
        const TomlTable table(*t, "lease", {"length", "drift"});
        file.lease.length = table.span("length", file.lease.length, seconds(1), seconds(300));
        file.lease.drift = table.number("drift", file.lease.drift, 0, 0.1);
    }
    read_duties(top, file);
    return file;
}

}  // namespace

size_t FleetFile::voters() const
{
    size_t n = 0;
    for (const MemberLine& m : members) n += m.voter;
    return n;
}

std::optional<Member> FleetFile::member_of(Key key) const
{
    for (Member m = 0; m < members.size(); ++m)
        if (members[m].key == key) return m;
    return {};
}

std::optional<Member> FleetFile::member_of(std::string_view named) const
{
    for (Member m = 0; m < members.size(); ++m)
        if (members[m].id == named) return m;
    return {};
}

std::optional<DutyIndex> FleetFile::duty_of(std::string_view named) const
{
    for (DutyIndex d = 0; d < duties.size(); ++d)
        if (duties[d].name == named) return d;
    return {};
}

std::variant<FleetFile, Fault> decode_fleet_file(std::string_view text)
{
    try {
        return read(toml::parse(text));
    } catch (const toml::parse_error& e) {
        return Fault{{"TOML", static_cast<uint32_t>(e.source().begin.line)}, std::string(e.description())};
    } catch (const WrongToml& w) {
        return w.fault;
    }
}

}  // namespace firtide::fleet
