#include "hollow_protocol.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace firtide::scale
{
namespace
{

template <class... F>
struct Overloaded : F... {
    using F::operator()...;
};

template <class... Values>
std::string line_of(const char* name, const Values&... values)
{
    std::string line = name;
    ((line += " " + std::to_string(values)), ...);
    return line;
}

// Parses a name followed by whole numbers. Fails if anything follows them.
class LineParser
{
  public:
    explicit LineParser(std::string_view line) : from_(std::string(line)) { from_ >> name_; }
    const std::string& name() const { return name_; }

    template <class... Values>
    bool read(Values&... values)
    {
        (from_ >> ... >> values);
        if (from_.fail()) return false;
        std::string rest;
        return !(from_ >> rest);
    }

  private:
    std::istringstream from_;
    std::string name_;
};

}  // namespace

std::string encode_spec(const HollowSpec& spec)
{
    return nlohmann::json{{"fleet_path", spec.fleet_path},
                          {"config_path", spec.config_path},
                          {"first", spec.first_member},
                          {"data_folders", spec.data_folders},
                          {"start_every_us", spec.start_interval.us}}
        .dump();
}

std::optional<HollowSpec> decode_spec(const std::string& text)
{
    const auto in = nlohmann::json::parse(text, nullptr, false);
    if (!in.is_object()) return {};
    HollowSpec spec;
    try {
        spec.fleet_path = in.at("fleet_path").get<std::string>();
        spec.config_path = in.at("config_path").get<std::string>();
        spec.first_member = in.at("first").get<uint32_t>();
        spec.start_interval.us = in.at("start_every_us").get<int64_t>();
        spec.data_folders = in.at("data_folders").get<std::vector<std::string>>();
    } catch (const nlohmann::json::exception&) {
        return {};
    }
    return spec;
}

std::string encode(const HollowCommand& command)
{
    return std::visit(Overloaded{
                          [](const SampleTraffic&) { return std::string("sample"); },
                          [](const ShowView&) { return std::string("view"); },
                          [](const Leave& leave) { return line_of("leave", leave.member); },
                          [](const Join& join) { return line_of("join", join.member); },
                      },
                      command);
}

std::optional<HollowCommand> decode_command(std::string_view line)
{
    LineParser in(line);
    Leave leave;
    Join join;
    if (in.name() == "sample") return SampleTraffic{};
    if (in.name() == "view") return ShowView{};
    if (in.name() == "leave" && in.read(leave.member)) return leave;
    if (in.name() == "join" && in.read(join.member)) return join;
    return {};
}

std::string encode(const HollowReport& report)
{
    return std::visit(
        Overloaded{
            [](const Started&) { return std::string("started"); },
            [](const ListInForce& list) { return line_of("list", list.member, list.version, list.since.us); },
            [](const MemberTraffic& traffic) {
                const auto& counts = traffic.counts;
                return line_of("traffic", traffic.member, counts.messages_in, counts.messages_out,
                               counts.bytes_in, counts.bytes_out, counts.dropped);
            },
            [](const TrafficSampled&) { return std::string("sampled"); },
            [](const HollowView& view) {
                return line_of("view", view.members, view.with_leader, view.min_alive, view.duties_held);
            },
        },
        report);
}

std::optional<HollowReport> decode_report(std::string_view line)
{
    LineParser in(line);
    ListInForce list;
    MemberTraffic traffic;
    HollowView view;
    auto& counts = traffic.counts;
    if (in.name() == "started") return Started{};
    if (in.name() == "sampled") return TrafficSampled{};
    if (in.name() == "list" && in.read(list.member, list.version, list.since.us)) return list;
    if (in.name() == "traffic" && in.read(traffic.member, counts.messages_in, counts.messages_out,
                                          counts.bytes_in, counts.bytes_out, counts.dropped))
        return traffic;
    if (in.name() == "view" && in.read(view.members, view.with_leader, view.min_alive, view.duties_held))
        return view;
    return {};
}

}  // namespace firtide::scale
