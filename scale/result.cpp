#include "result.h"

#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>

namespace firtide::scale
{
namespace
{

using nlohmann::ordered_json;

constexpr double rounding = 1e4;

double rounded(double value) { return std::round(value * rounding) / rounding; }

ordered_json json_of(const Spread& spread)
{
    return {{"median", rounded(spread.median)}, {"greatest", rounded(spread.max)}};
}

ordered_json json_of(const RoleMetrics& role)
{
    return {{"members", role.members},
            {"cpu_percent", json_of(role.cpu_percent)},
            {"rss_mb", json_of(role.rss_mb)},
            {"kb_per_second", json_of(role.kb_per_second)},
            {"kb_in_per_second", json_of(role.kb_in_per_second)},
            {"kb_out_per_second", json_of(role.kb_out_per_second)},
            {"messages_per_second", json_of(role.messages_per_second)}};
}

ordered_json json_of(const fleet::TrafficCounts& counts)
{
    return {{"messages_in", counts.messages_in},
            {"messages_out", counts.messages_out},
            {"bytes_in", counts.bytes_in},
            {"bytes_out", counts.bytes_out},
            {"dropped", counts.dropped}};
}

ordered_json json_of(const MachineMetrics& machine)
{
    return {{"peak_memory_mb", rounded(machine.peak_memory_mb)},
            {"processes", machine.processes},
            {"cpu_cores", rounded(machine.cpu_cores)},
            {"cores", machine.cores},
            {"load_before", rounded(machine.load_before)},
            {"other_cpu_cores", rounded(machine.other_cpu_cores)}};
}

ordered_json json_of_run(const Result& result)
{
    ordered_json options;
    for (const auto& [name, value] : option_values(result.options)) options[name] = value;
    ordered_json run{{"command", result.command},
                     {"options", options},
                     {"seed", result.options.seed},
                     {"warm_up_seconds", rounded(result.warm_up_seconds)},
                     {"measured_seconds", rounded(result.measured_seconds)},
                     {"list_bytes", result.list_bytes},
                     {"restarts", result.restarts},
                     {"killed_members", result.killed_members},
                     {"estimated_memory_mb", rounded(result.estimated_memory_mb)}};
    if (!result.options.commit.empty()) run["commit"] = result.options.commit;
    return run;
}

Spread summarize(const std::vector<MemberMetrics>& members,
                 const std::function<double(const MemberMetrics&)>& figure)
{
    std::vector<double> values;
    for (const auto& member : members) values.push_back(figure(member));
    return spread_of(std::move(values));
}

}  // namespace

RoleMetrics summarize_role(const std::vector<MemberMetrics>& members)
{
    using Figures = MemberMetrics;
    RoleMetrics role;
    role.members = members.size();
    role.cpu_percent = summarize(members, [](const Figures& f) { return f.cpu_percent; });
    role.rss_mb = summarize(members, [](const Figures& f) { return f.rss_mb; });
    role.kb_in_per_second = summarize(members, [](const Figures& f) { return f.kb_in_per_second; });
    role.kb_out_per_second = summarize(members, [](const Figures& f) { return f.kb_out_per_second; });
    role.kb_per_second =
        summarize(members, [](const Figures& f) { return f.kb_in_per_second + f.kb_out_per_second; });
    role.messages_per_second = summarize(
        members, [](const Figures& f) { return f.messages_in_per_second + f.messages_out_per_second; });
    return role;
}

std::string encode_result(const Result& result)
{
    const auto& changes = result.changes;
    ordered_json out;
    out["run"] = json_of_run(result);
    out["balancer"] = json_of(result.balancer);
    out["leader"] = json_of(result.leader);
    out["voter"] = json_of(result.voter);
    out["list_holder"] = json_of(result.list_holder);
    out["member"] = json_of(result.member);
    out["hollow"] = json_of(result.hollow);
    out["overhead_kb_per_second"] = result.overhead_kb_per_second
                                        ? ordered_json(rounded(*result.overhead_kb_per_second))
                                        : ordered_json();
    out["totals"] = json_of(result.totals);
    out["change_in_force_seconds"] = {{"p50", rounded(changes.p50)},
                                      {"p99", rounded(changes.p99)},
                                      {"max", rounded(changes.max)},
                                      {"counted", changes.counted}};
    out["changes_made"] = changes.made;
    out["changes_missing"] = changes.missing;
    out["state"] = {{"leader", result.leader_id},
                    {"list_holder", result.list_holder_id},
                    {"leader_sees_alive", result.leader_sees_alive},
                    {"members_up", changes.members_up},
                    {"members_at_last_version", changes.members_at_last_version}};
    out["machine"] = json_of(result.machine);
    return out.dump(2) + "\n";
}

}  // namespace firtide::scale
