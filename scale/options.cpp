#include "options.h"

#include <algorithm>
#include <charconv>

#include "estimate.h"
#include "src/base/toml_table.h"

namespace firtide::scale
{
namespace
{

constexpr uint32_t most_members = 2000, most_upstreams = 40'000, most_duties = 400, most_zones = 64;
constexpr uint32_t most_hollow_per_process = 150;
constexpr uint32_t usual_hollow_per_process = 100;
constexpr uint64_t most_hollow_descriptors =
    19'000;  // that a process may have, on the systems that this runs on
constexpr double most_changes_per_second = 100, most_restarts_per_second = 50, most_seconds = 3600;
constexpr uint32_t upstreams_per_service = 18;  // as planned: 37,000 upstreams in 2,000 services
constexpr double killed_part = 0.05;

struct CountOption {
    const char* name;
    const char* description;
    uint32_t Options::*value;
    uint32_t least, most;
};

constexpr CountOption count_options[] = {
    {"members", "members of the fleet", &Options::members, 1, most_members},
    {"real", "of them, processes of the program; the others are hollow", &Options::real, 1, 250},
    {"voters", "of the real ones: 3, 5 or 7", &Options::voters, 3, 7},
    {"upstreams", "entries of the discovery list; 0: as many as members", &Options::upstreams, 0,
     most_upstreams},
    {"services", "that the upstreams belong to; 0: one for 18 upstreams", &Options::services, 0,
     most_upstreams},
    {"duties", "beside the list", &Options::duties, 0, most_duties},
    {"zones", "that the members are spread over", &Options::zones, 1, most_zones},
    {"hollow-per-process", "hollow members that share a process; 0: by their descriptors",
     &Options::hollow_per_process, 0, most_hollow_per_process},
    {"seed", "of whatever is drawn", &Options::seed, 0, UINT32_MAX},
};

struct NumberOption {
    const char* name;
    const char* description;
    double Options::*value;
    double least, most;
};

constexpr NumberOption number_options[] = {
    {"changes-per-second", "of the discovery list", &Options::changes_per_second, 0, most_changes_per_second},
    {"restarts-per-second", "of members that leave and return", &Options::restarts_per_second, 0,
     most_restarts_per_second},
    {"seconds", "that are measured", &Options::seconds, 1, most_seconds},
};

struct TextOption {
    const char* name;
    const char* description;
    std::string Options::*value;
};

constexpr TextOption text_options[] = {
    {"program", "the program under test", &Options::program},
    {"json", "the file of the result; absent: standard output", &Options::json},
    {"commit", "of the program, for the result", &Options::commit},
};

constexpr const char* trouble_name = "trouble";
constexpr const char* lists_name = "lists";

constexpr std::pair<const char*, Trouble> trouble_names[] = {
    {"none", Trouble::none}, {"killed", Trouble::killed}, {"restart", Trouble::restart}};
constexpr std::pair<const char*, ListMechanism> list_names[] = {{"whole", ListMechanism::whole},
                                                                {"deltas", ListMechanism::deltas}};

template <class Choices, class Value>
void choose(const Choices& choices, const std::string& key, uint32_t line, const std::string& said,
            Value& value)
{
    std::string known;
    for (const auto& [name, meaning] : choices) {
        if (said == name) return void(value = meaning);
        known += (known.empty() ? "" : ", ") + std::string(name);
    }
    throw_config_error(key, line, "one of " + known + " is expected, not '" + said + "'");
}

// Where an option's value stands, for faults that only show among several.
class Lines
{
  public:
    void at(const std::string& name, uint32_t line) { lines_.emplace_back(name, line); }
    uint32_t of(const std::string& name) const
    {
        for (auto one = lines_.rbegin(); one != lines_.rend(); ++one)
            if (one->first == name) return one->second;
        return 0;
    }

  private:
    std::vector<std::pair<std::string, uint32_t>> lines_;
};

// The one value that the table has.
void read_value(const toml::table& from, const std::string& name, Options& options)
{
    const TomlTable table(from, "", {name});
    for (const auto& o : count_options)
        if (name == o.name) options.*o.value = table.integer(name, 0, o.least, o.most);
    for (const auto& o : number_options)
        if (name == o.name) options.*o.value = table.number(name, 0, o.least, o.most);
    for (const auto& o : text_options)
        if (name == o.name) options.*o.value = table.string(name);
    if (name == trouble_name) choose(trouble_names, name, 0, table.string(name), options.trouble);
    if (name == lists_name) choose(list_names, name, 0, table.string(name), options.lists);
}

bool is_known(std::string_view name)
{
    return std::any_of(option_names().begin(), option_names().end(),
                       [&](const OptionName& option) { return name == option.name; });
}

void read_values(const toml::table& from, Options& options, Lines& lines, bool has_lines)
{
    for (const auto& [key, node] : from) {
        const std::string name(key.str());
        const uint32_t line = has_lines ? line_of(node) : 0;
        if (!is_known(name)) throw_config_error(name, line, "unknown key");
        lines.at(name, line);
        toml::table one;
        one.insert(name, node);
        try {
            read_value(one, name, options);
        } catch (TomlConfigError& fault) {
            fault.error.location.line = line;
            throw;
        }
    }
}

// A value of the command line as TOML, so that both are checked by the same code.
std::string toml_value(const Word& word)
{
    for (const auto& o : text_options)
        if (word.first == o.name) return "'''" + word.second + "'''";
    if (word.first == trouble_name || word.first == lists_name) return "'''" + word.second + "'''";
    return word.second;
}

toml::table parse_word(const Word& word)
{
    try {
        return toml::parse(word.first + " = " + toml_value(word));
    } catch (const toml::parse_error&) {
        throw_config_error(word.first, 0, "'" + word.second + "' cannot be read");
    }
}

void check_together(const Options& options, const Lines& lines)
{
    const auto require = [&](bool holds, const char* key, const std::string& what) {
        if (!holds) throw_config_error(key, lines.of(key), what);
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
    const auto killed = static_cast<uint32_t>(killed_part * options.members);
    require(options.trouble != Trouble::killed || (killed > 0 && killed <= options.hollow()), trouble_name,
            "a twentieth of the members is killed: that many, and one at least, have to be hollow");
}

void fill_in(Options& options)
{
    if (options.upstreams == 0) options.upstreams = options.members;
    const auto room = most_hollow_descriptors / descriptors_of_hollow_member(options.members);
    if (options.hollow_per_process == 0)
        options.hollow_per_process = std::min(usual_hollow_per_process, static_cast<uint32_t>(room));
    if (options.services == 0) options.services = std::max(1U, options.upstreams / upstreams_per_service);
}

std::vector<OptionName> make_names()
{
    std::vector<OptionName> names;
    for (const auto& o : count_options) names.push_back({o.name, o.description});
    for (const auto& o : number_options) names.push_back({o.name, o.description});
    names.push_back({trouble_name, "none, killed (a twentieth of the members) or restart (everything)"});
    names.push_back({lists_name, "whole or deltas: how changes of the list go to all"});
    for (const auto& o : text_options) names.push_back({o.name, o.description});
    return names;
}

Options read_options(std::string_view experiment, const std::vector<Word>& over)
{
    Options options;
    Lines lines;
    read_values(toml::parse(experiment), options, lines, true);
    for (const Word& word : over) read_values(parse_word(word), options, lines, false);
    fill_in(options);
    check_together(options, lines);
    return options;
}

std::string number_text(double value)
{
    char bytes[32];
    return {bytes, std::to_chars(bytes, bytes + sizeof bytes, value).ptr};
}

}  // namespace

std::string to_string(Trouble trouble)
{
    for (const auto& [name, meaning] : trouble_names)
        if (meaning == trouble) return name;
    return "";
}

std::string to_string(ListMechanism lists)
{
    for (const auto& [name, meaning] : list_names)
        if (meaning == lists) return name;
    return "";
}

const std::vector<OptionName>& option_names()
{
    static const auto names = make_names();
    return names;
}

std::variant<Options, ConfigError> decode_options(std::string_view experiment, const std::vector<Word>& over)
{
    try {
        return read_options(experiment, over);
    } catch (const toml::parse_error& e) {
        return ConfigError{{"TOML", static_cast<uint32_t>(e.source().begin.line)},
                           std::string(e.description())};
    } catch (const TomlConfigError& w) {
        return w.error;
    }
}

std::vector<Word> words_of(const Options& options)
{
    std::vector<Word> words;
    for (const auto& o : count_options) words.emplace_back(o.name, std::to_string(options.*o.value));
    for (const auto& o : number_options) words.emplace_back(o.name, number_text(options.*o.value));
    words.emplace_back(trouble_name, to_string(options.trouble));
    words.emplace_back(lists_name, to_string(options.lists));
    for (const auto& o : text_options) words.emplace_back(o.name, options.*o.value);
    return words;
}

}  // namespace firtide::scale
