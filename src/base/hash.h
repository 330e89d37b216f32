// Hashes that are the same in every process and in every version.
#pragma once

#include <cstdint>
#include <string_view>

namespace firtide
{

// FNV-1a with 64 bits.
inline constexpr uint64_t fnv1a(std::string_view text)
{
    uint64_t hash = 0xcbf29ce484222325u;
    for (const char character : text) hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3u;
    return hash;
}

}  // namespace firtide
