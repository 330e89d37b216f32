// Helpers for the traces of Modbus/TCP.
#pragma once

#include <cstdio>
#include <string>
#include <string_view>

#include "src/modbus/frame.h"

namespace firtide::modbus
{

// "00 01" to two bytes.
inline std::string bytes(std::string_view hex)
{
    std::string out;
    for (size_t i = 0; i + 1 < hex.size(); i += 2) {
        while (hex[i] == ' ') ++i;
        out += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
    }
    return out;
}

inline std::string hex(std::string_view raw)
{
    std::string out;
    char two[4];
    for (const char c : raw) {
        std::snprintf(two, sizeof two, out.empty() ? "%02x" : " %02x", static_cast<uint8_t>(c));
        out += two;
    }
    return out;
}

}  // namespace firtide::modbus
