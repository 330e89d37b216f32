// Which servers reach the registers of a unit, without I/O. Made once from what the operator wrote, checked.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/base/config_error.h"

namespace firtide::modbus
{

struct Server {
    std::string name, endpoint;
    bool draining = false;
    ConfigLocation at;
};

struct Pool {
    std::string name;
    std::vector<Server> servers;
    ConfigLocation at;
};

// Units first to last, both included.
struct Route {
    uint32_t first = 0, last = 0;
    std::string pool;
    ConfigLocation at;
};

class Routes
{
  public:
    // A fault is the first in the order of the file: pools, then routes.
    static std::variant<Routes, ConfigError> make(std::vector<Pool> pools, const std::vector<Route>& routes);

    // Nullopt where no route names the unit.
    std::optional<size_t> pool_of(uint8_t unit) const
    {
        const uint16_t pool = of_unit_[unit];
        if (pool == none) return {};
        return pool;
    }
    const std::vector<Pool>& pools() const { return pools_; }

  private:
    static constexpr uint16_t none = UINT16_MAX;
    Routes() { of_unit_.fill(none); }

    std::vector<Pool> pools_;
    std::array<uint16_t, 256> of_unit_{};
};

}  // namespace firtide::modbus
