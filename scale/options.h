// Options of a scale run. Decodes and validates both the command line and the experiment file.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "src/base/config_error.h"

namespace firtide::scale
{

enum class Disruption : uint8_t {
    none,
    killed,   // kills a twentieth of the members at once by SIGKILL
    restart,  // restarts all processes one after the other, over some seconds
};

enum class ListMechanism : uint8_t {
    whole,   // each change is sent to all members as the whole list
    deltas,  // changes are sent as deltas: the fleet file has [deltas]
};

struct Options {
    uint32_t members = 50;
    uint32_t real = 5;    // members that are processes of the program under test; the others are hollow
    uint32_t voters = 3;  // the first of the real members
    uint32_t upstreams = 0;
    uint32_t services = 0;
    uint32_t duties = 3;
    uint32_t zones = 3;
    uint32_t hollow_per_process = 0;
    double changes_per_second = 1;
    double restarts_per_second = 0;
    double seconds = 20;
    uint32_t seed = 1;
    Disruption disruption = Disruption::none;
    ListMechanism lists = ListMechanism::whole;
    std::string program = "build/firtide";
    std::string json;    // path of the result; empty: standard output
    std::string commit;  // of the program under test, for the result

    uint32_t hollow() const { return members - real; }
};

std::string to_string(Disruption disruption);
std::string to_string(ListMechanism lists);

// An option as text: its name without leading dashes, and its value.
using NamedValue = std::pair<std::string, std::string>;

// Names and descriptions of all options, in the order of the help text.
struct OptionHelp {
    std::string name, description;
};
const std::vector<OptionHelp>& option_help();

// Decodes an experiment file, a flat TOML table with the option names as keys. `overrides` holds the command
// line's options, which take precedence. The line of an error is 0 if it comes from the command line.
std::variant<Options, ConfigError> decode_options(std::string_view experiment,
                                                  const std::vector<NamedValue>& overrides);

// All options with their effective values, in the order of the help text.
std::vector<NamedValue> option_values(const Options& options);

}  // namespace firtide::scale
