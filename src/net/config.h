// The configuration: read, checked and given its defaults in this one place.
#pragma once

#include <string>

#include "reducer.h"

namespace firtide::net
{

// What is wrong, with the key at fault in the text.
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
    std::optional<int> passed_socket;   // the callers' listening socket, where the platform holds it
    std::string shared_folder;          // with the other process of an upgrade, on that socket
    uint64_t seed = 0;
    size_t descriptors = 1024;
    size_t bodies = 0;  // bytes that callers may have here together, out of limits.memory_mb
    ServiceConfig service_config;
    // What holds from start to end, by key, and the settings that may change while serving, as text.
    std::vector<std::pair<std::string, std::string>> fixed;
    std::string settings;
    bool peers = false;  // messages to other balancers are allowed; they are not carried on sockets
    std::string known;   // the list as it was last had, in discovery's form; empty: none
};

// What the environment says (NODE_NAME, NODE_LISTEN, NODE_DISCOVERY) fills what the file leaves out.
Config read_config(const std::string& path);
Config decode_config(const std::string& text);

// Throws BadConfig with the key of what cannot change in a running program.
void check_reloadable(const Config& running, const Config& next);

std::string to_string(const Address& address);
// Throws BadConfig where the descriptor is no listening TCP socket.
void check_passed_socket(const Config& config);
Address decode_address(const std::string& text, const std::string& key);

}  // namespace firtide::net
