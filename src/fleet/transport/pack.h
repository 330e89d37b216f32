// Encoding of messages and records, by MessagePack.
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

// Nothing where the bytes are no such value, or more than that. Bounds what hostile bytes can make grow.
template <class T>
std::optional<T> unpack(std::string_view bytes)
{
    try {
        size_t at = 0;
        const auto size = bytes.size();
        const msgpack::unpack_limit limit(size + 1, size + 1, size + 1, size + 1, size + 1, 16);
        // False positive: a caller's temporary lives until this returns, and msgpack copies out of it.
        // cppcheck-suppress danglingTemporaryLifetime
        const auto handle = msgpack::unpack(bytes.data(), size, at, nullptr, nullptr, limit);
        if (at != size) return {};
        T value;
        handle.get().convert(value);
        return value;
    } catch (const std::exception&) {
        return {};
    }
}

}  // namespace firtide::fleet
