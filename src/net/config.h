// The configuration: read, validated and given its defaults here only.
#pragma once

#include <string>

#include "reducer.h"

namespace firtide::net
{

// An invalid configuration. The text names the key.
struct ConfigException : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Address {
    std::string host;
    uint16_t port = 0;
};

struct Config {
    std::string name = "firtide";
    Address listen, discovery;
    std::optional<Address> management;  // for operators
    std::optional<int> passed_socket;   // the callers' listening socket, if the platform passes it in
    std::string shared_folder;          // shared with the other process of a hot restart on that socket
    uint64_t seed = 0;
    size_t max_descriptors = 1024;
    // For connections, messages and lists together: limits.memory_mb without the program itself.
    size_t memory_budget_bytes = 0;
    ServiceConfig service_config;
    // The values that cannot change while the program runs, by key, and the settings, which can, as JSON
    // text.
    std::vector<std::pair<std::string, std::string>> fixed_values;
    std::string settings_text;
    // Messages to other balancers are allowed; this program does not send any.
    bool allows_peer_messages = false;
    std::string known_list;  // the list as last known, in discovery's format; empty: none
};

// The environment (NODE_NAME, NODE_LISTEN, NODE_DISCOVERY, NODE_MGMT) supplies what the file omits.
Config read_config(const std::string& path);
Config decode_config(const std::string& text);

// Throws ConfigException with the key if a value differs that cannot change in a running program.
void check_reloadable(const Config& running, const Config& next);

std::string to_string(const Address& address);
// Throws ConfigException if the descriptor is not a listening TCP socket.
void check_passed_socket(const Config& config);
Address decode_address(const std::string& text, const std::string& key);

}  // namespace firtide::net
