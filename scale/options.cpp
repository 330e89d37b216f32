#include "options.h"

#include <algorithm>
#include <charconv>

#include "estimate.h"
#include "src/base/toml_table.h"

namespace firtide::scale
{
namespace
{

constexpr uint32_t max_members = 2000, max_upstreams = 40'000, max_duties = 400, max_zones = 64;
constexpr uint32_t max_hollow_per_process = 150;
constexpr uint32_t default_hollow_per_process = 100;
constexpr uint64_t max_hollow_descriptors = 19'000;  // limit of a process on the systems that this runs on
constexpr double max_changes_per_second = 100, max_restarts_per_second = 50, max_seconds = 3600;
constexpr uint32_t upstreams_per_service = 18;  // the plan has 37,000 upstreams in 2,000 services
constexpr double killed_fraction = 0.05;

struct CountOption {
    const char* name;
    const char* description;
    uint32_t Options::*value;
    uint32_t min, max;
};

constexpr CountOption count_options[] = {
    {"members", "members of the fleet", &Options::members, 1, max_members},
    {"real", "members that run the program under test; the others are hollow", &Options::real, 1, 250},
    {"voters", "voting members, among the real ones: 3, 5 or 7", &Options::voters, 3, 7},
    {"upstreams", "entries of the discovery list; 0: as many as members", &Options::upstreams, 0,
     max_upstreams},
    {"services", "services that the upstreams belong to; 0: one per 18 upstreams", &Options::services, 0,
     max_upstreams},
    {"duties", "duties besides the list duty", &Options::duties, 0, max_duties},
    {"zones", "zones that the members are spread over", &Options::zones, 1, max_zones},
    {"hollow-per-process", "hollow members per process; 0: as many as descriptors allow, at most 100",
     &Options::hollow_per_process, 0, max_hollow_per_process},
    {"seed", "seed of all random choices", &Options::seed, 0, UINT32_MAX},
};

struct NumberOption {
    const char* name;
    const char* description;
    double Options::*value;
    double min, max;
};

constexpr NumberOption number_options[] = {
    {"changes-per-second", "changes of the discovery list per second", &Options::changes_per_second, 0,
     max_changes_per_second},
    {"restarts-per-second", "members that leave and rejoin, per second", &Options::restarts_per_second, 0,
     max_restarts_per_second},
    {"seconds", "length of the measurement in seconds", &Options::seconds, 1, max_seconds},
};

struct TextOption {
    const char* name;
    const char* description;
    std::string Options::*value;
};

constexpr TextOption text_options[] = {
    {"program", "path of the program under test", &Options::program},
    {"json", "path of the result; by default standard output", &Options::json},
    {"commit", "commit of the program under test, for the result", &Options::commit},
};

constexpr const char* disruption_key = "trouble";
constexpr const char* lists_key = "lists";

constexpr std::pair<const char*, Disruption> disruption_names[] = {
    {"none", Disruption::none}, {"killed", Disruption::killed}, {"restart", Disruption::restart}};
constexpr std::pair<const char*, ListMechanism> list_names[] = {{"whole", ListMechanism::whole},
                                                                {"deltas", ListMechanism::deltas}};

template <class Choices, class Value>
void decode_choice(const Choices& choices, const std::string& key, uint32_t line, const std::string& text,
                   Value& value)
{
    std::string known;
    for (const auto& [name, meaning] : choices) {
        if (text == name) return void(value = meaning);
        known += (known.empty() ? "" : ", ") + std::string(name);
    }
    throw_config_error(key, line, "one of " + known + " is expected, not '" + text + "'");
}

// The line that set each option, for errors that concern several options.
class LineNumbers
{
  public:
    void record(const std::string& name, uint32_t line) { lines_.emplace_back(name, line); }
    uint32_t find(const std::string& name) const
    {
        for (auto entry = lines_.rbegin(); entry != lines_.rend(); ++entry)
            if (entry->first == name) return entry->second;
        return 0;
    }

  private:
    std::vector<std::pair<std::string, uint32_t>> lines_;
};

// Reads the only value of a table.
void read_value(const toml::table& from, const std::string& name, Options& options)
{
    const TomlTable table(from, "", {name});
    for (const auto& o : count_options)
        if (name == o.name) options.*o.value = table.integer(name, 0, o.min, o.max);
    for (const auto& o : number_options)
        if (name == o.name) options.*o.value = table.number(name, 0, o.min, o.max);
    for (const auto& o : text_options)
        if (name == o.name) options.*o.value = table.string(name);
    if (name == disruption_key)
        decode_choice(disruption_names, name, 0, table.string(name), options.disruption);
    if (name == lists_key) decode_choice(list_names, name, 0, table.string(name), options.lists);
}

bool is_known(std::string_view name)
{
    return std::any_of(option_help().begin(), option_help().end(),
                       [&](const OptionHelp& option) { return name == option.name; });
}

void read_values(const toml::table& from, Options& options, LineNumbers& lines, bool has_lines)
{
    for (const auto& [key, node] : from) {
        const std::string name(key.str());
        const uint32_t line = has_lines ? line_of(node) : 0;
        if (!is_known(name)) throw_config_error(name, line, "unknown key");
        lines.record(name, line);
        toml::table single_value;
        single_value.insert(name, node);
        try {
            read_value(single_value, name, options);
        } catch (TomlConfigError& error) {
            error.error.location.line = line;
            throw;
        }
    }
}

// Converts a command-line value to TOML, so that it is validated by the same code as the experiment file.
std::string toml_value(const NamedValue& option)
{
    for (const auto& o : text_options)
        if (option.first == o.name) return "'''" + option.second + "'''";
    if (option.first == disruption_key || option.first == lists_key) return "'''" + option.second + "'''";
    return option.second;
}

toml::table parse_command_line_value(const NamedValue& option)
{
    try {
        return toml::parse(option.first + " = " + toml_value(option));
    } catch (const toml::parse_error&) {
        throw_config_error(option.first, 0, "'" + option.second + "' cannot be read");
    }
}

void check_consistency(const Options& options, const LineNumbers& lines)
{
    const auto require = [&](bool holds, const char* key, const std::string& what) {
        if (!holds) throw_config_error(key, lines.find(key), what);
    };
    require(
        options.real <= options.members, "real",
        std::to_string(options.real) + " are more than the " + std::to_string(options.members) + " members");
    require(options.voters % 2 == 1, "voters", "3, 5 or 7 are expected");
    require(options.real >= options.voters, "real",
            std::to_string(options.real) + " are fewer than the " + std::to_string(options.voters) +
                " voters, who are all real");
    require(options.services <= options.upstreams, "services",
            std::to_string(options.services) + " are more than the " + std::to_string(options.upstreams) +
                " upstreams");
    const auto killed = static_cast<uint32_t>(killed_fraction * options.members);
    require(options.disruption != Disruption::killed || (killed > 0 && killed <= options.hollow()),
            disruption_key,
            "a twentieth of the members is killed: this must be at least one, and all of them hollow");
}

void apply_defaults(Options& options)
{
    if (options.upstreams == 0) options.upstreams = options.members;
    const auto members_that_fit = max_hollow_descriptors / descriptors_per_hollow_member(options.members);
    if (options.hollow_per_process == 0)
        options.hollow_per_process =
            std::min(default_hollow_per_process, static_cast<uint32_t>(members_that_fit));
    if (options.services == 0) options.services = std::max(1U, options.upstreams / upstreams_per_service);
}

std::vector<OptionHelp> make_option_help()
{
    std::vector<OptionHelp> help;
    for (const auto& o : count_options) help.push_back({o.name, o.description});
    for (const auto& o : number_options) help.push_back({o.name, o.description});
    help.push_back({disruption_key, "none, killed (a twentieth of the members) or restart (all processes)"});
    help.push_back({lists_key, "how list changes are sent to all members: whole or deltas"});
    for (const auto& o : text_options) help.push_back({o.name, o.description});
    return help;
}

Options read_options(std::string_view experiment, const std::vector<NamedValue>& overrides)
{
    Options options;
    LineNumbers lines;
    read_values(toml::parse(experiment), options, lines, true);
    for (const NamedValue& option : overrides)
        read_values(parse_command_line_value(option), options, lines, false);
    apply_defaults(options);
    check_consistency(options, lines);
    return options;
}

std::string number_text(double value)
{
    char bytes[32];
    return {bytes, std::to_chars(bytes, bytes + sizeof bytes, value).ptr};
}

}  // namespace

std::string to_string(Disruption disruption)
{
    for (const auto& [name, meaning] : disruption_names)
        if (meaning == disruption) return name;
    return "";
}

std::string to_string(ListMechanism lists)
{
    for (const auto& [name, meaning] : list_names)
        if (meaning == lists) return name;
    return "";
}

const std::vector<OptionHelp>& option_help()
{
    static const auto help = make_option_help();
    return help;
}

std::variant<Options, ConfigError> decode_options(std::string_view experiment,
                                                  const std::vector<NamedValue>& overrides)
{
    try {
        return read_options(experiment, overrides);
    } catch (const toml::parse_error& e) {
        return ConfigError{{"TOML", static_cast<uint32_t>(e.source().begin.line)},
                           std::string(e.description())};
    } catch (const TomlConfigError& error) {
        return error.error;
    }
}

std::vector<NamedValue> option_values(const Options& options)
{
    std::vector<NamedValue> values;
    for (const auto& o : count_options) values.emplace_back(o.name, std::to_string(options.*o.value));
    for (const auto& o : number_options) values.emplace_back(o.name, number_text(options.*o.value));
    values.emplace_back(disruption_key, to_string(options.disruption));
    values.emplace_back(lists_key, to_string(options.lists));
    for (const auto& o : text_options) values.emplace_back(o.name, options.*o.value);
    return values;
}

}  // namespace firtide::scale
