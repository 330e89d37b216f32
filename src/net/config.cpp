#include "config.h"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace firtide::net
{
namespace
{

using nlohmann::json;

constexpr size_t program_memory_mb = 7;  // of the idle program with its libraries
// What the allocator adds to the bytes that are asked for, as a share of the limit.
constexpr double allocator_share = 0.15;

std::string scalar_text(const json& value)
{
    if (value.is_string()) return value.get<std::string>();
    if (value.is_null()) return {};
    return value.dump();
}

// Flattens nested JSON into the dotted keys that decode_settings() reads.
void flatten(const json& value, const std::string& prefix, FlatSettings& into)
{
    const auto full_key = [&](const std::string& key) {
        return prefix.empty() ? key : std::string(prefix).append(".").append(key);
    };
    if (value.is_object()) {
        for (const auto& [key, inner] : value.items()) flatten(inner, full_key(key), into);
    } else if (value.is_array() && !value.empty() && value.front().is_object()) {
        into[full_key("count")] = std::to_string(value.size());
        for (size_t i = 0; i < value.size(); ++i) flatten(value[i], full_key(std::to_string(i)), into);
    } else if (value.is_array()) {
        std::string joined;
        for (const auto& item : value) {
            if (!joined.empty()) joined.append(",");
            joined.append(scalar_text(item));
        }
        into[prefix] = joined;
    } else {
        into[prefix] = scalar_text(value);
    }
}

std::string read_text(const json& from, const char* key, const char* variable)
{
    const auto found = from.find(key);
    if (found == from.end()) {
        const char* value = variable ? std::getenv(variable) : nullptr;
        return value ? value : "";
    }
    if (!found->is_string()) throw ConfigException(std::string(key) + ": a text is expected");
    return found->get<std::string>();
}

size_t read_count(const json& limits, const char* key, size_t absent, size_t least)
{
    const auto found = limits.find(key);
    if (found == limits.end()) return absent;
    if (!found->is_number() || found->get<double>() < static_cast<double>(least) ||
        found->get<double>() > 1e9)
        throw ConfigException(std::string("limits.") + key + ": a number of " + std::to_string(least) +
                              " or more is expected");
    return found->get<size_t>();
}

uint64_t decode_seed(const std::string& text)
{
    uint64_t seed = 0;
    const auto* end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, seed, 16);
    if (text.empty() || error != std::errc() || parsed_end != end)
        throw ConfigException("seed: a hexadecimal number of up to 16 digits is expected, not '" + text +
                              "'");
    return seed;
}

}  // namespace

std::string to_string(const Address& address) { return address.host + ":" + std::to_string(address.port); }

Address decode_address(const std::string& text, const std::string& key)
{
    const auto colon = text.rfind(':');
    Address a;
    if (colon != std::string::npos && colon > 0) {
        a.host = text.substr(0, colon);
        const auto* end = text.data() + text.size();
        const auto [parsed_end, error] = std::from_chars(text.data() + colon + 1, end, a.port);
        if (error == std::errc() && parsed_end == end && a.port > 0) return a;
    }
    throw ConfigException(key + ": address:port is expected, not '" + text + "'");
}

namespace
{

constexpr const char* passed_socket_variable = "NODE_PASSED_SOCKET";

std::optional<int> passed_socket()
{
    const char* text = std::getenv(passed_socket_variable);
    if (!text || !*text) return {};
    int fd = -1;
    const auto* end = text + std::char_traits<char>::length(text);
    const auto [parsed_end, error] = std::from_chars(text, end, fd);
    if (error != std::errc() || parsed_end != end || fd < 3)
        throw ConfigException(std::string(passed_socket_variable) +
                              ": a descriptor of 3 or more is expected, not '" + text + "'");
    return fd;
}

}  // namespace

void check_passed_socket(const Config& config)
{
    if (!config.passed_socket) return;
    const auto has_option = [fd = *config.passed_socket](int what, int expected) {
        int value = 0;
        socklen_t size = sizeof value;
        return getsockopt(fd, SOL_SOCKET, what, &value, &size) == 0 && value == expected;
    };
    if (!has_option(SO_TYPE, SOCK_STREAM) || !has_option(SO_ACCEPTCONN, 1))
        throw ConfigException(std::string(passed_socket_variable) + ": descriptor " +
                              std::to_string(*config.passed_socket) + " is not a listening TCP socket");
}

Config decode_config(const std::string& text)
{
    const auto in = json::parse(text, nullptr, false);
    if (!in.is_object()) throw ConfigException("the configuration is not a JSON object");
    Config out;
    size_t memory_mb = 256;
    if (const auto name = read_text(in, "name", "NODE_NAME"); !name.empty()) out.name = name;
    out.listen = decode_address(read_text(in, "listen", "NODE_LISTEN"), "listen");
    out.discovery = decode_address(read_text(in, "discovery", "NODE_DISCOVERY"), "discovery");
    if (const auto address = read_text(in, "mgmt", "NODE_MGMT"); !address.empty())
        out.management = decode_address(address, "mgmt");
    out.passed_socket = passed_socket();
    if (const char* folder = std::getenv("TMPDIR"); folder && out.passed_socket) out.shared_folder = folder;
    out.seed = decode_seed(read_text(in, "seed", nullptr));
    if (const auto limits = in.find("limits"); limits != in.end()) {
        if (!limits->is_object()) throw ConfigException("limits: an object is expected");
        out.max_descriptors = read_count(*limits, "sockets", out.max_descriptors, 64);
        memory_mb = read_count(*limits, "memory_mb", memory_mb, 16);
    }
    out.memory_budget_bytes = static_cast<size_t>(static_cast<double>((memory_mb - program_memory_mb) << 20) *
                                                  (1 - allocator_share));
    const auto settings = in.find("settings");
    if (settings == in.end() || !settings->is_object())
        throw ConfigException("settings: an object is expected");
    out.settings_text = settings->dump();
    out.fixed_values = {{"listen", to_string(out.listen)},
                        {"name", out.name},
                        {"limits", in.value("limits", json::object()).dump()},
                        {"settings.tier", settings->value("tier", json()).dump()},
                        {"settings.registry_mode", settings->value("registry_mode", json()).dump()}};
    FlatSettings flat;
    flatten(*settings, "", flat);
    try {
        out.service_config = decode_settings(flat);
    } catch (const SettingError& error) {
        throw ConfigException(std::string("settings: ") + error.what());
    }
    if (out.service_config.operation_names.empty())
        throw ConfigException("settings.operations: at least one is expected");
    for (size_t i = 0; i < out.service_config.operation_names.size(); ++i)
        if (out.service_config.operation_names[i].empty())
            throw ConfigException("settings.operations." + std::to_string(i) + ".name: a name is expected");
    if (out.service_config.upstream_idle_timeout <= Duration{})
        throw ConfigException("settings.policy_limits.conn_idle_us: must be greater than 0");
    if (out.service_config.connect_timeout <= Duration{})
        throw ConfigException("settings.policy_limits.connect_timeout_us: must be greater than 0");
    if (!out.service_config.zone_names.empty() &&
        out.service_config.own_zone_index >= out.service_config.zone_names.size())
        throw ConfigException("settings.zone: an index into settings.dcs is expected");
    out.allows_peer_messages = std::exchange(out.service_config.settings.may_message_peers, false);
    if (const auto known = in.find("known"); known != in.end() && !known->is_null())
        out.known_list = known->dump();
    return out;
}

void check_reloadable(const Config& running, const Config& next)
{
    for (size_t i = 0; i < running.fixed_values.size(); ++i)
        if (running.fixed_values[i].second != next.fixed_values[i].second)
            throw ConfigException(running.fixed_values[i].first + ": cannot change in a running program");
}

Config read_config(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    if (!file || !(text << file.rdbuf()))
        throw ConfigException("cannot read the configuration '" + path + "'");
    return decode_config(text.str());
}

}  // namespace firtide::net
