// Reads and writes the simulator's little-endian records. Every read is checked against the end of the input.
#pragma once

#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

namespace firtide::simulator_adapter
{

struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Reader
{
  public:
    explicit Reader(std::string_view bytes) : rest_(bytes) {}

    template <class T>
    T get()
    {
        static_assert(std::is_arithmetic_v<T>);
        T value;
        std::memcpy(&value, take(sizeof value).data(), sizeof value);
        return value;
    }

    std::string_view take(size_t n)
    {
        if (n > rest_.size()) throw Malformed("a record ends before its fields do");
        const auto part = rest_.substr(0, n);
        rest_.remove_prefix(n);
        return part;
    }

    bool at_end() const { return rest_.empty(); }

  private:
    std::string_view rest_;
};

class Writer
{
  public:
    void clear()
    {
        bytes_.clear();
        records_ = 0;
    }

    Writer& record(uint8_t code)
    {
        ++records_;
        return put(code);
    }

    template <class T>
    Writer& put(T value)
    {
        static_assert(std::is_arithmetic_v<T>);
        bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
        return *this;
    }

    uint32_t records() const { return records_; }
    const std::string& bytes() const { return bytes_; }

  private:
    std::string bytes_;
    uint32_t records_ = 0;
};

}  // namespace firtide::simulator_adapter
