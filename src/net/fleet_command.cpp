#include "fleet_command.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace firtide::net
{
namespace
{

// A command's name, its former name, which still works, the name that members use among themselves, and how
// many arguments it takes.
struct Command {
    std::string_view name, alias, request;
    size_t min_arguments = 0, max_arguments = 0;
};

constexpr std::array<Command, 5> commands{{
    {"show-fleet", "show-fleet", "show-fleet", 0, 0},
    {"show-recovery", "show-recovery", "show-recovery", 0, 0},
    {"transfer-duty", "hand-over", "hand-over", 1, 2},
    {"add-voter", "let-in", "let-in", 1, 1},
    {"remove-voter", "put-out", "put-out", 1, 1},
}};

bool asks_for_drain_permit(const std::vector<std::string>& words)
{
    return words.size() == 2 && words[0] == "drain" && (words[1] == "permit" || words[1] == "turn");
}

}  // namespace

std::optional<fleet::AdminRequest> decode_fleet_command(uint64_t caller,
                                                        const std::vector<std::string>& words)
{
    if (words.empty()) return {};
    if (asks_for_drain_permit(words)) return fleet::AdminRequest{caller, fleet::request_drain_permit, "", ""};
    const auto command = std::find_if(commands.begin(), commands.end(), [&](const Command& each) {
        return words[0] == each.name || words[0] == each.alias;
    });
    const size_t arguments = words.size() - 1;
    if (command == commands.end() || arguments < command->min_arguments || arguments > command->max_arguments)
        return {};
    const auto argument = [&](size_t i) { return i < words.size() ? words[i] : std::string(); };
    return fleet::AdminRequest{caller, std::string(command->request), argument(1), argument(2)};
}

}  // namespace firtide::net
