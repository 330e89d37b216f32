// What a scale run is to do: read from the command line and from an experiment file, checked in this one
// place.
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

enum class Trouble : uint8_t {
    none,
    killed,   // a twentieth of the members at once, by SIGKILL
    restart,  // every process, one after the other, over some seconds
};

enum class ListMechanism : uint8_t {
    whole,   // each change goes to all members as the whole list
    deltas,  // the fleet file has [deltas]
};

struct Options {
    uint32_t members = 50;
    uint32_t real = 5;    // processes of the program under test; the other members are hollow
    uint32_t voters = 3;  // the first of the real ones
    uint32_t upstreams = 0;
    uint32_t services = 0;
    uint32_t duties = 3;
    uint32_t zones = 3;
    uint32_t hollow_per_process = 0;
    double changes_per_second = 1;
    double restarts_per_second = 0;
    double seconds = 20;
    uint32_t seed = 1;
    Trouble trouble = Trouble::none;
    ListMechanism lists = ListMechanism::whole;
    std::string program = "build/firtide";
    std::string json;    // the file of the result; empty: standard output
    std::string commit;  // of the program, for the result

    uint32_t hollow() const { return members - real; }
};

std::string to_string(Trouble trouble);
std::string to_string(ListMechanism lists);

// One option as it was written: its name without dashes before it, and its value.
using Word = std::pair<std::string, std::string>;

// The names of all options, in the order of the help, each with what it says.
struct OptionName {
    std::string name, description;
};
const std::vector<OptionName>& option_names();

// The values of an experiment file, a flat TOML table with the options' names as keys. `over`: what the
// command line says, which counts for more. The fault's line is zero where it is of the command line.
std::variant<Options, ConfigError> decode_options(std::string_view experiment, const std::vector<Word>& over);

// Each option with its value as it is in force, in the order of the help.
std::vector<Word> words_of(const Options& options);

}  // namespace firtide::scale
