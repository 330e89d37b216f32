// What is wrong in an operator file, and where.
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
inline std::string to_string(const ConfigError& fault)
{
    return "line " + std::to_string(fault.location.line) + ": " + fault.location.key + ": " + fault.message;
}

}  // namespace firtide
