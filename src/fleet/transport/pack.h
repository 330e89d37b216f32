// Encoding of messages and records as MessagePack.
#pragma once

#ifndef MSGPACK_NO_BOOST
#define MSGPACK_NO_BOOST
#endif
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace firtide::fleet
{

template <class T>
std::string pack(const T& value)
{
    msgpack::sbuffer out;
    msgpack::pack(out, value);
    return {out.data(), out.size()};
}

// Returns nothing if the bytes are not exactly one value of this type. The limits keep hostile input from
// allocating more elements than it has bytes, or nesting deeper than 16 levels.
template <class T>
std::optional<T> unpack(std::string_view bytes)
{
    try {
        size_t offset = 0;
        const auto size = bytes.size();
        const msgpack::unpack_limit limits(size + 1, size + 1, size + 1, size + 1, size + 1, 16);
        // False positive: the caller's temporary lives until this returns, and msgpack copies from it.
        // cppcheck-suppress danglingTemporaryLifetime
        const auto handle = msgpack::unpack(bytes.data(), size, offset, nullptr, nullptr, limits);
        if (offset != size) return {};
        T value;
        handle.get().convert(value);
        return value;
    } catch (const std::exception&) {
        return {};
    }
}

}  // namespace firtide::fleet
