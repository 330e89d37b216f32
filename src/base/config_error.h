// An error in an operator's file, and its location.
#pragma once

#include <cstdint>
#include <string>

namespace firtide
{

struct ConfigLocation {
    std::string key;
    uint32_t line = 0;
};

struct ConfigError {
    ConfigLocation location;
    std::string message;
};

// "line 3: limits.clients: ..."
inline std::string to_string(const ConfigError& error)
{
    return "line " + std::to_string(error.location.line) + ": " + error.location.key + ": " + error.message;
}

}  // namespace firtide
