#include "decode_settings.h"

#include <algorithm>
#include <charconv>
#include <functional>

namespace firtide
{
namespace
{

constexpr size_t max_list_items = 4096;

class Decoder
{
  public:
    explicit Decoder(const FlatSettings& values) : values_(values) {}

    std::string_view text(const std::string& key) const
    {
        const auto found = values_.find(key);
        return found == values_.end() ? std::string_view() : std::string_view(found->second);
    }

    double number(const std::string& key, double default_value) const
    {
        const auto value = text(key);
        if (value.empty()) return default_value;
        double parsed = 0;
        const auto [end, failed] = std::from_chars(value.data(), value.data() + value.size(), parsed);
        if (failed != std::errc() || end != value.data() + value.size() || !(parsed >= 0 && parsed < 1e15))
            throw SettingError("unreadable setting " + key + "=" + std::string(value));
        return parsed;
    }

    // A value that is given must be a whole number of 1 or more.
    uint32_t positive_integer(const std::string& key, uint32_t default_value) const
    {
        const double value = number(key, default_value);
        const auto integer = static_cast<uint32_t>(std::min(value, double{UINT32_MAX}));
        if (!text(key).empty() && (integer < 1 || integer != value))
            throw SettingError(key + ": a whole number of 1 or more is expected");
        return integer;
    }

    // Fractions are cut off.
    uint32_t integer(const std::string& key, uint32_t default_value) const
    {
        const double value = number(key, default_value);
        if (value > UINT32_MAX)
            throw SettingError(key + ": must be " + std::to_string(UINT32_MAX) + " at most");
        return static_cast<uint32_t>(value);
    }

    // Whole numbers, separated by commas; nullopt if there are none.
    std::optional<std::vector<uint32_t>> integers(const std::string& key) const
    {
        if (text(key).empty()) return {};
        std::vector<uint32_t> all;
        for (const std::string& item : names(key)) {
            uint32_t value = 0;
            const auto [end, failed] = std::from_chars(item.data(), item.data() + item.size(), value);
            if (failed != std::errc() || end != item.data() + item.size())
                throw SettingError("unreadable setting " + key + "=" + std::string(text(key)));
            all.push_back(value);
        }
        return all;
    }

    Duration duration(const std::string& key, Duration default_value) const
    {
        return {static_cast<int64_t>(number(key, static_cast<double>(default_value.us)))};
    }

    bool flag(const std::string& key) const
    {
        return choice<bool>(key, {{"true", true}, {"false", false}}, false);
    }

    template <class T>
    T choice(const std::string& key, const std::map<std::string_view, T>& known, T default_value) const
    {
        const auto value = text(key);
        if (value.empty()) return default_value;
        const auto found = known.find(value);
        if (found == known.end()) throw SettingError("unreadable setting " + key + "=" + std::string(value));
        return found->second;
    }

    size_t count(const std::string& list) const
    {
        const auto n = number(list + ".count", 0);
        if (n > max_list_items) throw SettingError("too many items in " + list);
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
    const auto found = known.find(name);
    return found == known.end() ? nullptr : found->second;
}

Operation decode_operation(const Decoder& decoder, const std::string& prefix)
{
    Operation operation;
    operation.idempotency = decoder.choice<Idempotency>(prefix + "repeat",
                                                        {{"free", Idempotency::idempotent},
                                                         {"guarded", Idempotency::deduplicated},
                                                         {"single_shot", Idempotency::non_idempotent}},
                                                        operation.idempotency);
    operation.deduplication_scope =
        decoder.choice<DeduplicationScope>(prefix + "group",
                                           {{"all", DeduplicationScope::all},
                                            {"zone", DeduplicationScope::zone},
                                            {"cell", DeduplicationScope::pod_group}},
                                           operation.deduplication_scope);
    operation.deduplication_window = decoder.duration(prefix + "window_us", operation.deduplication_window);
    operation.latency_objective =
        decoder.duration(prefix + "latency_objective_us", operation.latency_objective);
    operation.late_response_value =
        decoder.number(prefix + "late_billed_value", operation.late_response_value);
    operation.client_timeout = decoder.duration(prefix + "client_timeout_us", operation.client_timeout);
    return operation;
}

// The zone or kind of machine with this number; nullopt if the settings have no name for it.
template <class Place>
std::optional<Place> place_at(uint32_t index, const std::vector<std::string>& names, PlaceIdentity identity,
                              Place (*place_of)(std::string_view))
{
    if (identity == PlaceIdentity::number) return Place{index};
    return index < names.size() ? std::optional(place_of(names[index])) : std::nullopt;
}

template <class Place>
std::optional<std::vector<Place>> decode_places(const Decoder& decoder, const std::string& key,
                                                const std::vector<std::string>& names, PlaceIdentity identity,
                                                Place (*place_of)(std::string_view))
{
    const auto indices = decoder.integers(key);
    if (!indices) return {};
    std::vector<Place> places;
    for (const uint32_t index : *indices) {
        const auto place = place_at(index, names, identity, place_of);
        if (!place) throw SettingError(key + ": " + std::to_string(index) + " has no name in the settings");
        places.push_back(*place);
    }
    return places;
}

void decode_operations(const Decoder& decoder, ServiceConfig& config, PlaceIdentity identity)
{
    for (size_t i = 0; i < decoder.count("operations"); ++i) {
        const auto prefix = "operations." + std::to_string(i) + ".";
        Operation operation = decode_operation(decoder, prefix);
        operation.allowed_zones =
            decode_places(decoder, prefix + "allowed_in", config.zone_names, identity, zone_id);
        operation.allowed_machine_kinds =
            decode_places(decoder, prefix + "runs_on", config.machine_kind_names, identity, machine_kind);
        config.settings.operations.push_back(std::move(operation));
        config.operation_names.emplace_back(decoder.text(prefix + "name"));
    }
}

void decode_tenants(const Decoder& decoder, ServiceConfig& config)
{
    for (size_t i = 0; i < decoder.count("projects"); ++i) {
        const auto prefix = "projects." + std::to_string(i) + ".";
        config.settings.tenant_quotas.push_back(decoder.number(prefix + "quota_per_s", 0));
        config.tenant_names.emplace_back(decoder.text(prefix + "name"));
    }
}

void decode_place_and_prices(const Decoder& decoder, Settings& settings)
{
    settings.balancer_count = decoder.integer("balancers", settings.balancer_count);
    if (settings.balancer_count < 1) throw SettingError("balancers: 1 or more is expected");
    settings.self_index = decoder.integer("self_index", settings.self_index);
    settings.tier = decoder.integer("tier", settings.tier);
    settings.cross_zone_price = decoder.number("prices.cross_zone", settings.cross_zone_price);
    settings.probe_price = decoder.number("prices.probe", settings.probe_price);
    settings.peer_message_price = decoder.number("prices.peer", settings.peer_message_price);
    settings.load_reports_by_probe = decoder.choice<bool>(
        "telemetry.source", {{"piggyback", false}, {"pull", true}, {"silent", false}}, false);
    settings.must_watch_endpoint_list =
        decoder.choice<bool>("registry_mode", {{"automatic", false}, {"subscribe", true}}, false);
}

void decode_policy_limits(const Decoder& decoder, Settings& settings)
{
    settings.may_cancel = decoder.flag("policy_limits.cancel");
    settings.may_overlap_forwards = decoder.flag("policy_limits.may_duplicate");
    settings.may_probe = decoder.flag("policy_limits.may_probe");
    settings.may_message_peers = decoder.flag("policy_limits.peers");
    settings.max_forwards = decoder.integer("policy_limits.max_forwards", settings.max_forwards);
    if (decoder.flag("policy_limits.retry_after"))
        settings.max_retry_after =
            decoder.duration("policy_limits.max_retry_after_us", settings.max_retry_after);
    settings.reply_slots = decoder.positive_integer("policy_limits.reply_slots", settings.reply_slots);
}

void decode_contract(const Decoder& decoder, Settings& settings)
{
    settings.max_watch_retry_interval =
        decoder.duration("contract.ask_within_us", settings.max_watch_retry_interval);
    settings.slow_start_min_share = decoder.number("contract.cold_share", settings.slow_start_min_share);
    if (settings.slow_start_min_share > 1) throw SettingError("contract.cold_share: 1 at most is expected");
    settings.slow_start_duration = decoder.duration("contract.cold_us", settings.slow_start_duration);
    settings.collapse_multiple = decoder.number("contract.fall_multiple", settings.collapse_multiple);
    settings.collapse_window = decoder.duration("contract.fall_us", settings.collapse_window);
    settings.time_left_margin = decoder.duration("contract.left_margin_us", settings.time_left_margin);
    settings.start_time_margin = decoder.duration("contract.ready_margin_us", settings.start_time_margin);
}

}  // namespace

bool ServiceConfig::knows_machine_kind(MachineKind kind) const
{
    return std::any_of(machine_kind_names.begin(), machine_kind_names.end(),
                       [kind](const std::string& name) { return machine_kind(name) == kind; });
}

bool ServiceConfig::knows_zone(ZoneId zone) const
{
    return std::any_of(zone_names.begin(), zone_names.end(),
                       [zone](const std::string& name) { return zone_id(name) == zone; });
}

FlatSettings parse_flat_settings(std::string_view text)
{
    FlatSettings values;
    while (!text.empty()) {
        const auto line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        if (line.empty()) continue;
        const auto separator = line.find('=');
        if (separator == std::string_view::npos)
            throw SettingError("a setting without '=': " + std::string(line));
        values.insert_or_assign(std::string(line.substr(0, separator)),
                                std::string(line.substr(separator + 1)));
    }
    return values;
}

ServiceConfig decode_settings(const FlatSettings& values, PlaceIdentity identity)
{
    const Decoder decoder(values);
    ServiceConfig config;
    config.zone_names = decoder.names("dcs");
    config.machine_kind_names = decoder.names("kinds");
    config.own_zone_index = decoder.integer("zone", config.own_zone_index);
    config.settings.own_zone = place_at(config.own_zone_index, config.zone_names, identity, zone_id);
    decode_operations(decoder, config, identity);
    decode_tenants(decoder, config);
    config.connect_timeout = decoder.duration("policy_limits.connect_timeout_us", config.connect_timeout);
    config.upstream_idle_timeout =
        decoder.duration("policy_limits.conn_idle_us", config.upstream_idle_timeout);
    decode_place_and_prices(decoder, config.settings);
    decode_policy_limits(decoder, config.settings);
    decode_contract(decoder, config.settings);
    config.capacities_listed = decoder.choice<bool>(
        "weights", {{"silent", false}, {"nominal", true}, {"rough", true}, {"live", false}}, false);
    config.load_report_fields = decoder.names("telemetry.fields");
    for (const auto& name : config.load_report_fields)
        config.load_report_members.push_back(report_field(name));
    return config;
}

}  // namespace firtide
