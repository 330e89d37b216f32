#include "routes.h"

#include <map>
#include <utility>

namespace firtide::modbus
{

std::variant<Routes, ConfigError> Routes::make(std::vector<Pool> pools, const std::vector<Route>& routes)
{
    std::map<std::string, uint16_t> index;
    for (const Pool& pool : pools) {
        if (pool.servers.empty()) return ConfigError{pool.at, "pool '" + pool.name + "' has no servers"};
        if (!index.emplace(pool.name, static_cast<uint16_t>(index.size())).second)
            return ConfigError{pool.at, "pool '" + pool.name + "' is there twice"};
        // A server may be in several pools, which reach other units through it. Twice in one it would be
        // drawn twice as often, and sent a request again as if it were another.
        std::map<std::string, std::string> taken;  // endpoints, and whose
        for (const Server& s : pool.servers)
            if (const auto [at, fresh] = taken.emplace(s.endpoint, s.name); !fresh)
                return ConfigError{s.at, "'" + s.endpoint + "' is already server '" + at->second + "'"};
    }
    Routes made;
    std::array<const Route*, 256> whose{};
    for (const Route& route : routes) {
        if (route.last > 255) return ConfigError{route.at, "units are 0 to 255"};
        if (route.first > route.last) return ConfigError{route.at, "the range ends before it begins"};
        const auto pool = index.find(route.pool);
        if (pool == index.end()) return ConfigError{route.at, "no pool is called '" + route.pool + "'"};
        for (uint32_t unit = route.first; unit <= route.last; ++unit) {
            if (whose[unit])
                return ConfigError{route.at, "unit " + std::to_string(unit) + " is already routed by " +
                                                 whose[unit]->at.key + " in line " +
                                                 std::to_string(whose[unit]->at.line)};
            whose[unit] = &route;
            made.of_unit_[unit] = pool->second;
        }
    }
    made.pools_ = std::move(pools);
    return made;
}

}  // namespace firtide::modbus
