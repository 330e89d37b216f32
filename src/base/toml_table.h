// Reads operators' TOML files: a table refuses unknown keys, and each value is checked where it is read.
#pragma once

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <initializer_list>
#include <string>
#include <string_view>

#include "config_error.h"
#include "time.h"

namespace firtide
{

// An error in an operator's file. Thrown while the file is read; the function that began to read it catches
// it and returns the ConfigError.
struct TomlConfigError {
    ConfigError error;
};

inline uint32_t line_of(const toml::node& node) { return static_cast<uint32_t>(node.source().begin.line); }

[[noreturn]] inline void throw_config_error(const std::string& key, uint32_t line, const std::string& what)
{
    throw TomlConfigError{{{key, line}, what}};
}

class TomlTable
{
  public:
    // Throws for a key that is not in `known`: a misspelt key would otherwise silently leave the default.
    TomlTable(const toml::table& from, std::string path, std::initializer_list<std::string_view> known)
        : from_(from), path_(std::move(path))
    {
        for (const auto& [key, node] : from)
            if (std::find(known.begin(), known.end(), key.str()) == known.end())
                throw_config_error(full_key(key.str()), line_of(node), "unknown key");
    }

    std::string full_key(std::string_view key) const
    {
        return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
    }
    ConfigLocation location() const { return {path_, line_of(from_)}; }
    bool has(std::string_view key) const { return from_.get(key) != nullptr; }
    uint32_t line(std::string_view key) const
    {
        const auto* node = from_.get(key);
        return node ? line_of(*node) : line_of(from_);
    }
    std::string string(std::string_view key) const
    {
        const auto* node = from_.get(key);
        if (!node) throw_config_error(full_key(key), line_of(from_), "is missing");
        const auto* value = node->as_string();
        if (!value || value->get().empty())
            throw_config_error(full_key(key), line_of(*node), "a text is expected");
        return value->get();
    }
    bool boolean(std::string_view key, bool default_value) const
    {
        const auto* node = from_.get(key);
        if (!node) return default_value;
        if (!node->is_boolean())
            throw_config_error(full_key(key), line_of(*node), "true or false is expected");
        return node->as_boolean()->get();
    }
    uint32_t integer(std::string_view key, uint32_t default_value, uint32_t least, uint32_t most) const
    {
        const auto* node = from_.get(key);
        if (!node) return default_value;
        const auto* value = node->as_integer();
        if (!value || value->get() < least || value->get() > most)
            throw_config_error(full_key(key), line_of(*node),
                               "a whole number from " + std::to_string(least) + " to " +
                                   std::to_string(most) + " is expected");
        return static_cast<uint32_t>(value->get());
    }
    double number(std::string_view key, double default_value, double least, double most) const
    {
        const auto* node = from_.get(key);
        if (!node) return default_value;
        const auto value = node->value<double>();
        if (!node->is_number() || !value || !(*value >= least && *value <= most))
            throw_config_error(
                full_key(key), line_of(*node),
                "a number from " + short_text(least) + " to " + short_text(most) + " is expected");
        return *value;
    }
    Duration milliseconds(std::string_view key, Duration default_value) const
    {
        return Duration{int64_t{1000} *
                        integer(key, static_cast<uint32_t>(default_value.us / 1000), 1, 3'600'000)};
    }
    // A whole number of bytes, or a size such as "64KB" or "1MB".
    uint32_t byte_size(std::string_view key, uint32_t default_value, uint32_t least, uint32_t most) const
    {
        const auto* node = from_.get(key);
        if (!node) return default_value;
        int64_t value = 0, unit = 1;
        if (const auto* number = node->as_integer()) {
            value = number->get();
        } else {
            const auto text = string(key);
            const char* end = text.data() + text.size();
            const auto read = std::from_chars(text.data(), end, value);
            const std::string_view name_of_unit(read.ptr, static_cast<size_t>(end - read.ptr));
            unit = name_of_unit == "KB" ? 1024 : name_of_unit == "MB" ? 1024 * 1024 : 0;
            if (read.ec != std::errc{} || unit == 0)
                throw_config_error(full_key(key), line(key),
                                   "a size as 65536, \"64KB\" or \"1MB\" is expected, not '" + text + "'");
        }
        if (value < least / unit || value > most / unit || value * unit < least)
            throw_config_error(
                full_key(key), line(key),
                "must be from " + std::to_string(least) + " to " + std::to_string(most) + " bytes");
        return static_cast<uint32_t>(value * unit);
    }
    // A duration such as "250ms", "3s" or "2m".
    Duration duration(std::string_view key, Duration default_value, Duration least, Duration most) const
    {
        if (!has(key)) return default_value;
        const auto text = string(key);
        double value = 0;
        const char* end = text.data() + text.size();
        const auto read = std::from_chars(text.data(), end, value);
        const std::string_view unit(read.ptr, static_cast<size_t>(end - read.ptr));
        const double times = unit == "ms" ? 1e-3 : unit == "s" ? 1 : unit == "m" ? 60 : 0;
        if (read.ec != std::errc{} || times == 0)
            throw_config_error(full_key(key), line(key),
                               "a time as \"250ms\", \"3s\" or \"2m\" is expected, not '" + text + "'");
        const Duration result = firtide::seconds(value * times);
        if (result < least || result > most)
            throw_config_error(full_key(key), line(key),
                               "must be from " + short_text(seconds_of(least)) + " to " +
                                   short_text(seconds_of(most)) + " s");
        return result;
    }
    // An IPv4 address and a port, as written. Whether the address can be used shows only when it is used.
    std::string endpoint(std::string_view key) const
    {
        const auto text = string(key);
        const auto colon = text.rfind(':');
        uint32_t port = 0;
        const char* end = text.data() + text.size();
        if (colon == std::string::npos || colon == 0 ||
            std::from_chars(text.data() + colon + 1, end, port).ptr != end || port == 0 || port > 65535)
            throw_config_error(full_key(key), line(key), "address:port is expected, not '" + text + "'");
        return text;
    }
    // Calls `visit` for each table of an array of tables; for none if the key is absent.
    template <class Visit>
    void for_each_table(std::string_view key, Visit visit) const
    {
        const auto* node = from_.get(key);
        if (!node) return;
        const auto* all = node->as_array();
        if (!all)
            throw_config_error(full_key(key), line_of(*node),
                               "tables are expected, as in [[" + full_key(key) + "]]");
        for (size_t i = 0; i < all->size(); ++i) {
            const auto* table = all->get(i)->as_table();
            if (!table) throw_config_error(full_key(key), line_of(*all->get(i)), "a table is expected");
            visit(*table, full_key(key) + "[" + std::to_string(i) + "]");
        }
    }
    const toml::table* table(std::string_view key) const
    {
        const auto* node = from_.get(key);
        if (node && !node->is_table())
            throw_config_error(full_key(key), line_of(*node), "a table is expected");
        return node ? node->as_table() : nullptr;
    }

  private:
    // Divides, because a division rounds to the nearest value: 50 ms print as 0.05, as they were written.
    static double seconds_of(Duration value) { return static_cast<double>(value.us) / 1e6; }
    static std::string short_text(double value)
    {
        char bytes[32];
        const auto end = std::to_chars(bytes, bytes + sizeof bytes, value).ptr;
        return {bytes, end};
    }

    const toml::table& from_;
    std::string path_;
};

}  // namespace firtide
