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

struct MalformedInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Reader
{
  public:
    explicit Reader(std::string_view bytes) : rest_(bytes) {}

    template <class T>
    T read()
    {
        static_assert(std::is_arithmetic_v<T>);
        T value;
        std::memcpy(&value, read_bytes(sizeof value).data(), sizeof value);
        return value;
    }

    std::string_view read_bytes(size_t n)
    {
        if (n > rest_.size()) throw MalformedInput("a record ends before its fields do");
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
        record_count_ = 0;
    }

    Writer& begin_record(uint8_t code)
    {
        ++record_count_;
        return put(code);
    }

    template <class T>
    Writer& put(T value)
    {
        static_assert(std::is_arithmetic_v<T>);
        bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
        return *this;
    }

    uint32_t record_count() const { return record_count_; }
    const std::string& bytes() const { return bytes_; }

  private:
    std::string bytes_;
    uint32_t record_count_ = 0;
};

}  // namespace firtide::simulator_adapter
