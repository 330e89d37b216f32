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

constexpr size_t own_mb = 10;             // memory of the program with nothing to do, and some room
constexpr size_t least_bodies = 1 << 20;  // bytes

std::string scalar(const json& value)
{
    if (value.is_string()) return value.get<std::string>();
    if (value.is_null()) return {};
    return value.dump();
}

// Nested JSON into the flat keys that the settings have elsewhere.
void flatten(const json& value, const std::string& at, FlatSettings& into)
{
    const auto under = [&](const std::string& key) {
        return at.empty() ? key : std::string(at).append(".").append(key);
    };
    if (value.is_object()) {
        for (const auto& [key, inner] : value.items()) flatten(inner, under(key), into);
    } else if (value.is_array() && !value.empty() && value.front().is_object()) {
        into[under("count")] = std::to_string(value.size());
        for (size_t i = 0; i < value.size(); ++i) flatten(value[i], under(std::to_string(i)), into);
    } else if (value.is_array()) {
        std::string joined;
        for (const auto& item : value) {
            if (!joined.empty()) joined.append(",");
            joined.append(scalar(item));
        }
        into[at] = joined;
    } else {
        into[at] = scalar(value);
    }
}

std::string text_at(const json& from, const char* key, const char* variable)
{
    const auto at = from.find(key);
    if (at == from.end()) {
        const char* told = variable ? std::getenv(variable) : nullptr;
        return told ? told : "";
    }
    if (!at->is_string()) throw ConfigException(std::string(key) + ": a text is expected");
    return at->get<std::string>();
}

size_t count_at(const json& limits, const char* key, size_t absent, size_t least)
{
    const auto at = limits.find(key);
    if (at == limits.end()) return absent;
    if (!at->is_number() || at->get<double>() < static_cast<double>(least) || at->get<double>() > 1e9)
        throw ConfigException(std::string("limits.") + key + ": a number of " + std::to_string(least) +
                              " or more is expected");
    return at->get<size_t>();
}

uint64_t decode_seed(const std::string& text)
{
    uint64_t seed = 0;
    const auto* end = text.data() + text.size();
    const auto [at, failed] = std::from_chars(text.data(), end, seed, 16);
    if (text.empty() || failed != std::errc() || at != end)
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
        const auto [at, failed] = std::from_chars(text.data() + colon + 1, end, a.port);
        if (failed == std::errc() && at == end && a.port > 0) return a;
    }
    throw ConfigException(key + ": address:port is expected, not '" + text + "'");
}

namespace
{

constexpr const char* passed_key = "NODE_PASSED_SOCKET";

std::optional<int> passed_socket()
{
    const char* text = std::getenv(passed_key);
    if (!text || !*text) return {};
    int fd = -1;
    const auto* end = text + std::char_traits<char>::length(text);
    const auto [at, failed] = std::from_chars(text, end, fd);
    if (failed != std::errc() || at != end || fd < 3)
        throw ConfigException(std::string(passed_key) + ": a descriptor of 3 or more is expected, not '" +
                              text + "'");
    return fd;
}

}  // namespace

void check_passed_socket(const Config& config)
{
    if (!config.passed_socket) return;
    const auto is = [fd = *config.passed_socket](int what, int expected) {
        int value = 0;
        socklen_t size = sizeof value;
        return getsockopt(fd, SOL_SOCKET, what, &value, &size) == 0 && value == expected;
    };
    if (!is(SO_TYPE, SOCK_STREAM) || !is(SO_ACCEPTCONN, 1))
        throw ConfigException(std::string(passed_key) + ": descriptor " +
                              std::to_string(*config.passed_socket) + " is no listening TCP socket");
}

Config decode_config(const std::string& text)
{
    const auto in = json::parse(text, nullptr, false);
    if (!in.is_object()) throw ConfigException("the configuration is not a JSON object");
    Config out;
    size_t memory_mb = 256;
    if (const auto name = text_at(in, "name", "NODE_NAME"); !name.empty()) out.name = name;
    out.listen = decode_address(text_at(in, "listen", "NODE_LISTEN"), "listen");
    out.discovery = decode_address(text_at(in, "discovery", "NODE_DISCOVERY"), "discovery");
    if (const auto address = text_at(in, "mgmt", "NODE_MGMT"); !address.empty())
        out.management = decode_address(address, "mgmt");
    out.passed_socket = passed_socket();
    if (const char* folder = std::getenv("TMPDIR"); folder && out.passed_socket) out.shared_folder = folder;
    out.seed = decode_seed(text_at(in, "seed", nullptr));
    if (const auto limits = in.find("limits"); limits != in.end()) {
        if (!limits->is_object()) throw ConfigException("limits: an object is expected");
        out.descriptors = count_at(*limits, "sockets", out.descriptors, 64);
        memory_mb = count_at(*limits, "memory_mb", memory_mb, 16);
    }
    // Half of what the program itself and one answer on each upstream's connection leave: a body stands here
    // twice for a moment, as it came and as it goes on.
    const size_t own = (own_mb << 20) + out.descriptors * 4 / 10 * max_buffered_body_bytes;
    out.bodies = std::max(least_bodies, ((memory_mb << 20) - std::min(memory_mb << 20, own)) / 2);
    const auto settings = in.find("settings");
    if (settings == in.end() || !settings->is_object())
        throw ConfigException("settings: an object is expected");
    out.settings = settings->dump();
    out.fixed = {{"listen", to_string(out.listen)},
                 {"name", out.name},
                 {"limits", in.value("limits", json::object()).dump()},
                 {"settings.tier", settings->value("tier", json()).dump()},
                 {"settings.registry_mode", settings->value("registry_mode", json()).dump()}};
    FlatSettings flat;
    flatten(*settings, "", flat);
    try {
        out.service_config = decode_settings(flat);
    } catch (const SettingError& bad) {
        throw ConfigException(std::string("settings: ") + bad.what());
    }
    if (out.service_config.operation_names.empty())
        throw ConfigException("settings.operations: at least one is expected");
    for (size_t i = 0; i < out.service_config.operation_names.size(); ++i)
        if (out.service_config.operation_names[i].empty())
            throw ConfigException("settings.operations." + std::to_string(i) + ".name: a name is expected");
    if (out.service_config.upstream_idle_timeout <= Duration{})
        throw ConfigException("settings.policy_limits.conn_idle_us: must be over 0");
    if (out.service_config.connect_timeout <= Duration{})
        throw ConfigException("settings.policy_limits.connect_timeout_us: must be over 0");
    if (!out.service_config.zone_names.empty() &&
        out.service_config.settings.zone >= out.service_config.zone_names.size())
        throw ConfigException("settings.zone: a place in settings.dcs is expected");
    out.peers = std::exchange(out.service_config.settings.may_message_peers, false);
    if (const auto known = in.find("known"); known != in.end() && !known->is_null())
        out.known = known->dump();
    return out;
}

void check_reloadable(const Config& running, const Config& next)
{
    for (size_t i = 0; i < running.fixed.size(); ++i)
        if (running.fixed[i].second != next.fixed[i].second)
            throw ConfigException(running.fixed[i].first + ": cannot change in a running program");
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
