#include "decode_settings.h"

#include <algorithm>
#include <charconv>
#include <functional>

namespace firtide
{
namespace
{

constexpr size_t most_items = 4096;

class Decoder
{
  public:
    explicit Decoder(const FlatSettings& values) : values_(values) {}

    std::string_view text(const std::string& key) const
    {
        const auto at = values_.find(key);
        return at == values_.end() ? std::string_view() : std::string_view(at->second);
    }

    double number(const std::string& key, double absent) const
    {
        const auto value = text(key);
        if (value.empty()) return absent;
        double parsed = 0;
        const auto [end, failed] = std::from_chars(value.data(), value.data() + value.size(), parsed);
        if (failed != std::errc() || end != value.data() + value.size() || !(parsed >= 0 && parsed < 1e15))
            throw SettingError("unreadable setting " + key + "=" + std::string(value));
        return parsed;
    }

    // 1 or more, where given.
    uint32_t whole(const std::string& key, uint32_t absent) const
    {
        const double value = number(key, absent);
        const auto as = static_cast<uint32_t>(std::min(value, double{UINT32_MAX}));
        if (!text(key).empty() && (as < 1 || as != value))
            throw SettingError(key + ": a whole number of 1 or more is expected");
        return as;
    }

    Duration span(const std::string& key, Duration absent) const
    {
        return {static_cast<int64_t>(number(key, static_cast<double>(absent.us)))};
    }

    bool flag(const std::string& key) const
    {
        return choice<bool>(key, {{"true", true}, {"false", false}}, false);
    }

    template <class T>
    T choice(const std::string& key, const std::map<std::string_view, T>& known, T absent) const
    {
        const auto value = text(key);
        if (value.empty()) return absent;
        const auto at = known.find(value);
        if (at == known.end()) throw SettingError("unreadable setting " + key + "=" + std::string(value));
        return at->second;
    }

    size_t count(const std::string& list) const
    {
        const auto n = number(list + ".count", 0);
        if (n > most_items) throw SettingError("too many items in " + list);
        return static_cast<size_t>(n);
    }

    std::vector<std::string> names(const std::string& list) const
    {
        std::vector<std::string> all;
        auto rest = text(list);
        while (!rest.empty()) {
            all.emplace_back(rest.substr(0, rest.find(',')));
            rest.remove_prefix(std::min(rest.size(), all.back().size() + 1));
        }
        return all;
    }

  private:
    const FlatSettings& values_;
};

LoadReportField report_field(const std::string& name)
{
    static const std::map<std::string_view, LoadReportField> known = {
        {"depth", &LoadReport::queue_length},
        {"concurrent", &LoadReport::in_flight},
        {"load_share", &LoadReport::utilisation},
        {"mean_ms", &LoadReport::mean_latency_ms},
        {"err_ps", &LoadReport::errors_per_second}};
    const auto at = known.find(name);
    return at == known.end() ? nullptr : at->second;
}

}  // namespace

FlatSettings parse_flat_settings(std::string_view text)
{
    FlatSettings values;
    while (!text.empty()) {
        const auto line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        if (line.empty()) continue;
        const auto eq = line.find('=');
        if (eq == std::string_view::npos) throw SettingError("a setting without '=': " + std::string(line));
        values.insert_or_assign(std::string(line.substr(0, eq)), std::string(line.substr(eq + 1)));
    }
    return values;
}

ServiceConfig decode_settings(const FlatSettings& values)
{
    const Decoder in(values);
    ServiceConfig out;
    Settings& s = out.settings;
    for (size_t i = 0; i < in.count("operations"); ++i) {
        const auto at = "operations." + std::to_string(i) + ".";
        Operation op;
        op.idempotency = in.choice<Idempotency>(at + "repeat",
                                                {{"free", Idempotency::idempotent},
                                                 {"guarded", Idempotency::deduplicated},
                                                 {"single_shot", Idempotency::non_idempotent}},
                                                op.idempotency);
        op.deduplication_scope = in.choice<DeduplicationScope>(at + "group",
                                                               {{"all", DeduplicationScope::all},
                                                                {"zone", DeduplicationScope::zone},
                                                                {"cell", DeduplicationScope::cell}},
                                                               op.deduplication_scope);
        op.deduplication_window = in.span(at + "window_us", op.deduplication_window);
        op.latency_objective = in.span(at + "latency_objective_us", op.latency_objective);
        op.late_response_value = in.number(at + "late_billed_value", op.late_response_value);
        op.client_timeout = in.span(at + "client_timeout_us", op.client_timeout);
        s.operations.push_back(op);
        out.operation_names.emplace_back(in.text(at + "name"));
    }
    for (size_t i = 0; i < in.count("projects"); ++i) {
        const auto at = "projects." + std::to_string(i) + ".";
        s.tenant_quotas.push_back(in.number(at + "quota_per_s", 0));
        out.tenant_names.emplace_back(in.text(at + "name"));
    }
    out.zone_names = in.names("dcs");
    out.connect_timeout = in.span("policy_limits.connect_timeout_us", out.connect_timeout);
    out.upstream_idle_timeout = in.span("policy_limits.conn_idle_us", out.upstream_idle_timeout);
    s.balancer_count = static_cast<uint32_t>(in.number("balancers", s.balancer_count));
    s.self_index = static_cast<uint32_t>(in.number("self_index", s.self_index));
    s.tier = static_cast<uint32_t>(in.number("tier", s.tier));
    s.zone = static_cast<uint32_t>(in.number("zone", s.zone));
    s.cross_zone_price = in.number("prices.cross_zone", s.cross_zone_price);
    s.probe_price = in.number("prices.probe", s.probe_price);
    s.peer_message_price = in.number("prices.peer", s.peer_message_price);
    s.load_reports_by_probe =
        in.choice<bool>("telemetry.source", {{"piggyback", false}, {"pull", true}, {"silent", false}}, false);
    s.must_watch_endpoint_list =
        in.choice<bool>("registry_mode", {{"automatic", false}, {"subscribe", true}}, false);
    s.may_cancel = in.flag("policy_limits.cancel");
    s.may_overlap_forwards = in.flag("policy_limits.may_duplicate");
    s.may_probe = in.flag("policy_limits.may_probe");
    s.may_message_peers = in.flag("policy_limits.peers");
    s.max_forwards = static_cast<uint32_t>(in.number("policy_limits.max_forwards", s.max_forwards));
    if (in.flag("policy_limits.retry_after"))
        s.max_retry_after = in.span("policy_limits.max_retry_after_us", s.max_retry_after);
    s.max_watch_retry_interval = in.span("contract.ask_within_us", s.max_watch_retry_interval);
    s.slow_start_min_share = in.number("contract.cold_share", s.slow_start_min_share);
    if (s.slow_start_min_share > 1) throw SettingError("contract.cold_share: 1 at most is expected");
    if (s.balancer_count < 1) throw SettingError("balancers: 1 or more is expected");
    s.slow_start_duration = in.span("contract.cold_us", s.slow_start_duration);
    s.collapse_multiple = in.number("contract.fall_multiple", s.collapse_multiple);
    s.collapse_window = in.span("contract.fall_us", s.collapse_window);
    s.time_left_margin = in.span("contract.left_margin_us", s.time_left_margin);
    s.start_time_margin = in.span("contract.ready_margin_us", s.start_time_margin);
    s.reply_slots = in.whole("policy_limits.reply_slots", s.reply_slots);
    out.capacities_listed = in.choice<bool>(
        "weights", {{"silent", false}, {"nominal", true}, {"rough", true}, {"live", false}}, false);
    out.load_report_fields = in.names("telemetry.fields");
    for (const auto& name : out.load_report_fields) out.load_report_members.push_back(report_field(name));
    return out;
}

}  // namespace firtide
