// The protocol between the controller and a process of hollow members: a specification file that the process
// reads at startup, and lines over its standard input and output.
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
    uint32_t first_member = 0;              // index in the fleet file; the others follow
    std::vector<std::string> data_folders;  // one per member
    Duration start_interval;                // between the starts of members
};

std::string encode_spec(const HollowSpec& spec);
std::optional<HollowSpec> decode_spec(const std::string& text);

// Commands of the controller. Members are identified by their index in the fleet file.
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
struct TrafficSampled {  // sent after the traffic of all members
};
struct HollowView {
    uint32_t members = 0;      // running in this process
    uint32_t with_leader = 0;  // of them, that know a leader
    uint32_t min_alive = 0;    // lowest count of alive members that a member sees
    uint32_t duties_held = 0;  // lowest count that a member sees
};
using HollowReport = std::variant<Started, ListInForce, MemberTraffic, TrafficSampled, HollowView>;

// Lines have no line terminator. Decoding returns nothing for an invalid line.
std::string encode(const HollowCommand& command);
std::string encode(const HollowReport& report);
std::optional<HollowCommand> decode_command(std::string_view line);
std::optional<HollowReport> decode_report(std::string_view line);

}  // namespace firtide::scale
