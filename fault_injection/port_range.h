// Ranges of loopback ports for test clusters, so that clusters of different runs never share one.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "src/base/descriptor.h"

namespace firtide::fault_injection
{

// No range of ports, or no port of one, is left. A failure of the test environment, not of the program.
class PortsUnavailable : public std::runtime_error
{
  public:
    using std::runtime_error::runtime_error;
};

// Reserved for this process by a lock until it is destroyed; other processes pass over a reserved range.
class PortRange
{
  public:
    static constexpr uint16_t first_port = 11000;  // below the ephemeral ports of outgoing connections
    static constexpr uint16_t ports = 300;         // in each range
    static constexpr size_t ranges = 60;

    // Reserves the first free range, beginning at number `preferred` modulo `ranges`. Throws
    // PortsUnavailable.
    // lock_folder: holds a lock for each range; runs with different folders do not see each other.
    explicit PortRange(size_t preferred, const std::string& lock_folder = "/tmp");

    // Returns a port of the range on which nothing listens, each once. Throws PortsUnavailable.
    uint16_t next_free_port();

    [[nodiscard]] uint16_t begin() const { return begin_; }

  private:
    Descriptor lock_;
    uint16_t begin_ = 0;
    uint16_t next_ = 0;
};

}  // namespace firtide::fault_injection
