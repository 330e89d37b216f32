#include "scale.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "src/fleet/endpoints/endpoint_text.h"

namespace firtide::simulation
{
namespace
{

constexpr size_t max_members = 20000, max_upstreams = 50000, max_duties = 500, max_zones = 64;
constexpr double max_seconds = 3600, max_changes_per_second = 1000;
constexpr Duration warm_up = seconds(10), bucket_length = seconds(1),
                   convergence_poll_interval = seconds(0.1);
constexpr Duration killed_downtime = seconds(10), zone_downtime = seconds(20), partition_length = seconds(60),
                   rolling_restart_length = seconds(10), restart_downtime = seconds(0.5);
constexpr Duration convergence_timeout = seconds(120);
constexpr size_t members_per_killed = 20;
constexpr uint32_t regions = 3;
constexpr uint64_t first_version = 1;

constexpr std::pair<ScaleFault, const char*> fault_names[] = {{ScaleFault::none, "none"},
                                                              {ScaleFault::killed, "killed"},
                                                              {ScaleFault::zone, "zone"},
                                                              {ScaleFault::regions, "regions"},
                                                              {ScaleFault::restart, "restart"}};

template <class T>
Spread spread_of(std::vector<T> values, double over)
{
    if (values.empty()) return {};
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    const auto greatest = *std::max_element(values.begin(), values.end());
    return {static_cast<double>(*middle) / over, static_cast<double>(greatest) / over};
}

SimulatedCluster::Traffic operator-(const SimulatedCluster::Traffic& a, const SimulatedCluster::Traffic& b)
{
    return {a.messages_out - b.messages_out, a.bytes_out - b.bytes_out, a.messages_in - b.messages_in,
            a.bytes_in - b.bytes_in};
}

RoleTraffic role_traffic(const std::vector<SimulatedCluster::Traffic>& of, double lasts)
{
    constexpr double kilo = 1000;
    const auto spread = [&](double over, auto&& value) {
        std::vector<uint64_t> values;
        for (const SimulatedCluster::Traffic& t : of) values.push_back(value(t));
        return spread_of(std::move(values), over);
    };
    RoleTraffic role;
    role.members = of.size();
    role.messages = spread(lasts, [](const auto& t) { return t.messages_in + t.messages_out; });
    role.messages_in = spread(lasts, [](const auto& t) { return t.messages_in; });
    role.messages_out = spread(lasts, [](const auto& t) { return t.messages_out; });
    role.kilobytes = spread(lasts * kilo, [](const auto& t) { return t.bytes_in + t.bytes_out; });
    role.kilobytes_in = spread(lasts * kilo, [](const auto& t) { return t.bytes_in; });
    role.kilobytes_out = spread(lasts * kilo, [](const auto& t) { return t.bytes_out; });
    return role;
}

// A majority of the voters is in region 0, so that duties can be granted there.
uint32_t region_of(size_t node, size_t voters)
{
    if (node >= voters) return static_cast<uint32_t>(node % regions);
    const size_t majority = voters / 2 + 1;
    return node < majority ? 0 : static_cast<uint32_t>(1 + (node - majority) % (regions - 1));
}

}  // namespace

const char* to_string(ScaleFault fault)
{
    for (const auto& [value, name] : fault_names)
        if (value == fault) return name;
    return "";
}

std::optional<ScaleFault> parse_scale_fault(std::string_view text)
{
    for (const auto& [value, name] : fault_names)
        if (text == name) return value;
    return {};
}

std::string ScalePlan::validation_error() const
{
    const auto between = [](const char* what, double value, double least, double most) -> std::string {
        if (value >= least && value <= most) return "";
        char text[128];
        std::snprintf(text, sizeof text, "%s: must be from %g to %g, not %g", what, least, most, value);
        return text;
    };
    if (voters != 3 && voters != 5 && voters != 7)
        return "voters: must be 3, 5 or 7, not " + std::to_string(voters);
    const std::string errors[] = {
        between("members", static_cast<double>(members), static_cast<double>(voters), max_members),
        between("duties", static_cast<double>(duties), 0, max_duties),
        between("zones", static_cast<double>(zones), 1, max_zones),
        between("upstreams", static_cast<double>(upstreams), 1, max_upstreams),
        between("changes-per-second", changes_per_second, 0, max_changes_per_second),
        between("seconds", seconds, 1, max_seconds)};
    for (const std::string& error : errors)
        if (!error.empty()) return error;
    if (fault == ScaleFault::zone && zones < 2) return "zones: must be at least 2 to lose one";
    return "";
}

SimulatedCluster::Options ScaleRun::cluster_options() const
{
    SimulatedCluster::Options options;
    options.members = plan_.members, options.voters = plan_.voters, options.duties = plan_.duties;
    options.zones = plan_.zones;
    options.replicate_list = true;
    options.list_entries = plan_.upstreams;
    if (plan_.deltas) options.deltas.emplace();
    options.tick = seconds(0.05);  // as in the production program
    return options;
}

ScaleRun::ScaleRun(const ScalePlan& plan)
    : plan_(plan),
      cluster_(cluster_options(), plan.seed),
      members_(plan.members),
      random_(static_cast<uint32_t>(plan.seed + 1))
{
    changed_at_.assign(first_version + 1, cluster_.now());
    cluster_.discovery_is(first_version,
                          encode_full_list(first_version, cluster_.discovery_entries(first_version)));
    cluster_.on_effect = [this](size_t node, FleetEffect& effect) {
        if (const auto* use = std::get_if<ApplyEndpointList>(&effect)) list_applied(node, use->version);
    };
}

void ScaleRun::list_applied(size_t node, uint64_t version)
{
    MemberState& member = members_[node];
    for (uint64_t v = std::max(member.list_version + 1, member.first_counted_version); v <= version; ++v)
        if (v > first_version)
            latencies_us_.push_back(static_cast<uint32_t>((cluster_.now() - changed_at_[v]).us));
    member.list_version = std::max(member.list_version, version);
}

void ScaleRun::change_list()
{
    const uint64_t version = changed_at_.size();
    changed_at_.push_back(cluster_.now());
    cluster_.discovery_is(version, plan_.deltas
                                       ? std::string()
                                       : encode_full_list(version, cluster_.discovery_entries(version)));
}

// Changes form a Poisson process, so that they aren't synchronized with the polling of discovery.
Duration ScaleRun::until_next_change()
{
    return seconds(exponential_random(random_, plan_.changes_per_second));
}

void ScaleRun::start_buckets()
{
    buckets_.clear();
    bucket_start_ = cluster_.now();
    count_at_bucket_start_ = cluster_.count;
}

void ScaleRun::advance(TimePoint until)
{
    while (cluster_.now() < until) {
        const bool change = changes_enabled_ && next_change_ <= until;
        const TimePoint second_ends = bucket_start_ + bucket_length;
        cluster_.run_until(std::min(second_ends, change ? next_change_ : until));
        if (change && cluster_.now() >= next_change_) {
            change_list();
            next_change_ = next_change_ + until_next_change();
        }
        if (cluster_.now() < second_ends) continue;
        buckets_.push_back({cluster_.count.messages - count_at_bucket_start_.messages,
                            cluster_.count.bytes - count_at_bucket_start_.bytes});
        bucket_start_ = cluster_.now();
        count_at_bucket_start_ = cluster_.count;
    }
}

void ScaleRun::run_for(Duration span) { advance(cluster_.now() + span); }

std::optional<size_t> ScaleRun::list_holder() const
{
    const auto holders = cluster_.holders("list");
    return holders.empty() ? std::nullopt : std::optional(holders.front());
}

std::string ScaleRun::role_of(size_t node, std::optional<size_t> leader, std::optional<size_t> holder) const
{
    if (node == leader) return "leader";
    if (node == holder) return "holder.list";
    return node < plan_.voters ? "voter" : "member";
}

// Counts a member's traffic under its role at the end of the measurement: roles don't move in a fault-free
// fleet.
void ScaleRun::measure_steady_state()
{
    const auto before = cluster_.traffic;
    run_for(seconds(plan_.seconds));
    const auto leader = cluster_.leader(), holder = list_holder();
    std::map<std::string, std::vector<SimulatedCluster::Traffic>> by_role;
    for (size_t i = 0; i < plan_.members; ++i)
        by_role[role_of(i, leader, holder)].push_back(cluster_.traffic[i] - before[i]);
    for (const auto& [role, traffic] : by_role) result_.roles[role] = role_traffic(traffic, plan_.seconds);
}

void ScaleRun::start(size_t node)
{
    members_[node] = {0, changed_at_.size()};
    cluster_.start(node);
}

void ScaleRun::crash(size_t node) { cluster_.crash(node); }

std::vector<size_t> ScaleRun::members_to_kill()
{
    std::vector<size_t> all(plan_.members);
    for (size_t i = 0; i < all.size(); ++i) all[i] = i;
    std::shuffle(all.begin(), all.end(), cluster_.random());
    all.resize(std::max<size_t>(1, all.size() / members_per_killed));
    return all;
}

void ScaleRun::crash_for(const std::vector<size_t>& nodes, Duration downtime)
{
    for (const size_t i : nodes) crash(i);
    run_for(downtime);
    for (const size_t i : nodes) start(i);
}

void ScaleRun::partition_regions()
{
    for (size_t i = 0; i < plan_.members; ++i) cluster_.set_region(i, region_of(i, plan_.voters));
    const auto holder = list_holder();
    const uint32_t known_in = holder ? region_of(*holder, plan_.voters) : 0;
    cluster_.discovery_answers = [this, known_in](size_t node) {
        return region_of(node, plan_.voters) == known_in;
    };
    run_for(partition_length);
    cluster_.discovery_answers = nullptr;
    cluster_.restore_links();
}

void ScaleRun::restart_all()
{
    const Duration step = rolling_restart_length * (1.0 / static_cast<double>(plan_.members));
    for (size_t i = 0; i < plan_.members; ++i) {
        cluster_.schedule(step * static_cast<double>(i), SIZE_MAX, [this, i] { crash(i); });
        cluster_.schedule(step * static_cast<double>(i) + restart_downtime, SIZE_MAX,
                          [this, i] { start(i); });
    }
    run_for(rolling_restart_length + restart_downtime);
}

void ScaleRun::inject_fault()
{
    double messages = 0, bytes = 0;
    for (const TrafficBucket& s : buckets_) {
        messages += static_cast<double>(s.messages) / static_cast<double>(buckets_.size());
        bytes += static_cast<double>(s.bytes) / static_cast<double>(buckets_.size());
    }
    start_buckets();
    switch (plan_.fault) {
        case ScaleFault::none: return;
        case ScaleFault::killed: crash_for(members_to_kill(), killed_downtime); break;
        case ScaleFault::zone: {
            std::vector<size_t> zone;
            for (size_t i = plan_.zones - 1; i < plan_.members; i += plan_.zones) zone.push_back(i);
            crash_for(zone, zone_downtime);
            break;
        }
        case ScaleFault::regions: partition_regions(); break;
        case ScaleFault::restart: restart_all(); break;
    }
    FaultOutcome outcome;
    const TimePoint ended = cluster_.now();
    if (wait_until_converged(changed_at_.size() - 1, convergence_timeout))
        outcome.seconds_until_agreed = (cluster_.now() - ended).seconds();
    run_for(bucket_length);  // completes the last one-second bucket
    for (const TrafficBucket& s : buckets_) {
        outcome.traffic_peak_over_rest =
            std::max(outcome.traffic_peak_over_rest, static_cast<double>(s.messages) / messages);
        outcome.bytes_peak_over_rest =
            std::max(outcome.bytes_peak_over_rest, static_cast<double>(s.bytes) / bytes);
    }
    result_.fault = outcome;
}

bool ScaleRun::converged(uint64_t version)
{
    std::optional<size_t> first;
    size_t up = 0;
    for (size_t i = 0; i < plan_.members; ++i) up += cluster_.is_up(i);
    for (size_t i = 0; i < plan_.members; ++i) {
        if (!cluster_.is_up(i)) continue;
        if (!first) first = i;
        const Membership& members = cluster_.fleet(i).membership();
        if (members.alive_count() != up || members_[i].list_version < version) return false;
        if (members.view_digest() != cluster_.fleet(*first).membership().view_digest()) return false;
    }
    return true;
}

bool ScaleRun::wait_until_converged(uint64_t version, Duration longest)
{
    const TimePoint end = cluster_.now() + longest;
    while (!converged(version)) {
        if (cluster_.now() >= end) return false;
        run_for(convergence_poll_interval);
    }
    return true;
}

// Stops the list changes, waits for convergence and counts the changes that are still missing.
void ScaleRun::finish()
{
    changes_enabled_ = false;
    const uint64_t newest = changed_at_.size() - 1;
    wait_until_converged(newest, convergence_timeout);
    for (size_t i = 0; i < plan_.members; ++i) {
        if (!cluster_.is_up(i)) continue;
        const uint64_t known = std::max(members_[i].list_version, members_[i].first_counted_version - 1);
        result_.changes_missing += newest - std::min(newest, known);
    }
    // A restarted member must have the newest list even if none of its changes is counted for it.
    for (size_t i = 0; i < plan_.members; ++i)
        result_.changes_missing += cluster_.is_up(i) && members_[i].list_version < newest &&
                                   members_[i].first_counted_version > newest;
    std::sort(latencies_us_.begin(), latencies_us_.end());
    ChangeLatency& times = result_.change_in_force;
    times.samples = latencies_us_.size();
    const auto at = [&](double part) {
        if (latencies_us_.empty()) return 0.0;
        const auto place = static_cast<size_t>(part * static_cast<double>(latencies_us_.size() - 1));
        return latencies_us_[place] / 1e6;
    };
    times.p50 = at(0.5), times.p99 = at(0.99), times.max = at(1);
    result_.messages = cluster_.count.messages, result_.bytes = cluster_.count.bytes;
    result_.violations = cluster_.violations();
}

ScaleResult ScaleRun::run()
{
    cluster_.start_all_with_known_members();
    cluster_.run(warm_up);
    changes_enabled_ = plan_.changes_per_second > 0;
    if (changes_enabled_) next_change_ = cluster_.now() + until_next_change();
    start_buckets();
    measure_steady_state();
    if (plan_.fault != ScaleFault::none) inject_fault();
    finish();
    return std::move(result_);
}

std::string scale_report(const ScalePlan& plan, const ScaleResult& result, const MachineUsage& machine)
{
    using Json = nlohmann::ordered_json;
    const auto rounded = [](double value) {
        char text[32];
        std::snprintf(text, sizeof text, "%.3f", value);
        return std::stod(text);
    };
    const auto number = [](double value) {
        char text[32];
        std::snprintf(text, sizeof text, "%g", value);
        return std::string(text);
    };
    const auto spread = [&](const Spread& s) {
        return Json{{"median", rounded(s.median)}, {"greatest", rounded(s.max)}};
    };
    const std::string command = "firtide-simulation scale --members " + std::to_string(plan.members) +
                                " --voters " + std::to_string(plan.voters) + " --duties " +
                                std::to_string(plan.duties) + " --zones " + std::to_string(plan.zones) +
                                " --upstreams " + std::to_string(plan.upstreams) + " --changes-per-second " +
                                number(plan.changes_per_second) + " --seconds " + number(plan.seconds) +
                                " --seed " + std::to_string(plan.seed) + " --trouble " +
                                to_string(plan.fault) + (plan.deltas ? " --deltas" : "");
    Json json;
    json["run"] = {{"command", command},
                   {"members", plan.members},
                   {"voters", plan.voters},
                   {"duties", plan.duties},
                   {"zones", plan.zones},
                   {"upstreams", plan.upstreams},
                   {"changes_per_second", plan.changes_per_second},
                   {"seconds", plan.seconds},
                   {"seed", plan.seed},
                   {"trouble", to_string(plan.fault)},
                   {"deltas", plan.deltas},
                   {"virtual", true}};
    json["roles"] = Json::object();
    for (const auto& [role, traffic] : result.roles)
        json["roles"][role] = {{"members", traffic.members},
                               {"messages_per_second", spread(traffic.messages)},
                               {"messages_in_per_second", spread(traffic.messages_in)},
                               {"messages_out_per_second", spread(traffic.messages_out)},
                               {"kb_per_second", spread(traffic.kilobytes)},
                               {"kb_in_per_second", spread(traffic.kilobytes_in)},
                               {"kb_out_per_second", spread(traffic.kilobytes_out)}};
    const ChangeLatency& times = result.change_in_force;
    json["change_in_force_seconds"] = {{"p50", rounded(times.p50)},
                                       {"p99", rounded(times.p99)},
                                       {"max", rounded(times.max)},
                                       {"counted", times.samples}};
    json["changes_missing"] = result.changes_missing;
    json["rules_broken"] = result.violations.size();
    json["trouble"] = nullptr;
    if (const auto& fault = result.fault) {
        json["trouble"] = {{"traffic_peak_over_rest", rounded(fault->traffic_peak_over_rest)},
                           {"bytes_peak_over_rest", rounded(fault->bytes_peak_over_rest)},
                           {"seconds_until_agreed", nullptr},
                           {"changes_missing", result.changes_missing}};
        if (fault->seconds_until_agreed)
            json["trouble"]["seconds_until_agreed"] = rounded(*fault->seconds_until_agreed);
    }
    json["machine"] = {{"wall_seconds", rounded(machine.wall_seconds)},
                       {"peak_memory_mb", rounded(machine.peak_memory_mb)}};
    return json.dump(2) + "\n";
}

}  // namespace firtide::simulation
