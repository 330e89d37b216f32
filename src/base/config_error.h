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
    ConfigLocation at;
    std::string what;
};

// "line 3: limits.clients: ..."
inline std::string text_of(const ConfigError& fault)
{
    return "line " + std::to_string(fault.at.line) + ": " + fault.at.key + ": " + fault.what;
}

}  // namespace firtide
