// What the controller and a process of hollow members say to each other: a file that the process reads at its
// start, and lines over its standard input and output.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/base/time.h"
#include "src/fleet/transport/traffic.h"

namespace firtide::scale
{

struct HollowSpec {
    std::string fleet_path, config_path;
    uint32_t first = 0;  // place of the first member in the fleet file; the others follow it
    std::vector<std::string> data_folders;  // one for each member
    Duration start_every;                   // from the start of one member to that of the next
};

std::string encode_spec(const HollowSpec& spec);
std::optional<HollowSpec> decode_spec(const std::string& text);

// Commands of the controller. Members are named by their places in the fleet file.
struct SampleTraffic {
};
struct ShowView {
};
struct Leave {
    uint32_t member = 0;
};
struct Join {
    uint32_t member = 0;
};
using HollowCommand = std::variant<SampleTraffic, ShowView, Leave, Join>;

// Reports of a hollow process.
struct Started {
};
struct ListInForce {
    uint32_t member = 0;
    uint64_t version = 0;
    TimePoint since;  // by the boot clock
};
struct MemberTraffic {
    uint32_t member = 0;
    fleet::TrafficCounts counts;
};
struct TrafficSampled {  // after the traffic of all members
};
struct View {
    uint32_t members = 0;      // that are up in this process
    uint32_t with_leader = 0;  // of them, who know a leader
    uint32_t least_alive = 0;  // members of the fleet that are alive, where the fewest are seen
    uint32_t duties_held = 0;  // where the fewest are seen
};
using HollowReport = std::variant<Started, ListInForce, MemberTraffic, TrafficSampled, View>;

// Lines without their end; nothing: it is no such line.
std::string encode(const HollowCommand& command);
std::string encode(const HollowReport& report);
std::optional<HollowCommand> decode_command(std::string_view line);
std::optional<HollowReport> decode_report(std::string_view line);

}  // namespace firtide::scale
