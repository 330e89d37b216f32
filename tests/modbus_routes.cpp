// Units to pools: what is refused, with its place, and where a unit goes.
#include "modbus.h"
#include "src/modbus/routes.h"

using namespace firtide;
using namespace firtide::modbus;

namespace
{

Pool pool(const char* name, std::initializer_list<const char*> endpoints, uint32_t line)
{
    Pool p{name, {}, {std::string("pool.") + name, line}};
    for (const char* e : endpoints) {
        ++line;
        p.servers.push_back({std::string(name) + std::to_string(line), e, false, {"server", line}});
    }
    return p;
}

Route route(uint32_t first, uint32_t last, const char* to, uint32_t line)
{
    return {first, last, to, {"route[" + std::to_string(line) + "]", line}};
}

void show(const char* what, std::vector<Pool> pools, const std::vector<Route>& routes)
{
    const auto made = Routes::make(std::move(pools), routes);
    if (const auto* fault = std::get_if<ConfigError>(&made)) {
        std::printf("%s: line %u, %s: %s\n", what, fault->location.line, fault->location.key.c_str(),
                    fault->message.c_str());
        return;
    }
    const auto& r = std::get<Routes>(made);
    std::printf("%s:", what);
    for (const int unit : {0, 1, 16, 17, 247, 255}) {
        const auto to = r.pool_of(static_cast<uint8_t>(unit));
        std::printf(" %d %s", unit, to ? r.pools()[*to].name.c_str() : "nowhere");
    }
    std::printf("\n");
}

}  // namespace

int main()
{
    const std::vector<Pool> two = {pool("north", {"127.0.0.1:1", "127.0.0.1:2"}, 10),
                                   pool("south", {"127.0.0.1:3"}, 20)};
    show("ranges and one unit", two, {route(1, 16, "north", 1), route(17, 17, "south", 2)});
    show("all units", two, {route(0, 255, "south", 1)});
    show("no routes", two, {});
    show("overlap", two, {route(1, 16, "north", 1), route(16, 20, "south", 2)});
    show("overlap within one pool", two, {route(1, 16, "north", 1), route(3, 3, "north", 2)});
    show("past the last unit", two, {route(1, 256, "north", 1)});
    show("backwards", two, {route(16, 1, "north", 1)});
    show("unknown pool", two, {route(1, 2, "west", 1)});
    show("empty pool", {pool("north", {}, 10)}, {});
    show("pool twice", {two[0], pool("north", {"127.0.0.1:9"}, 30)}, {});
    show("server twice in a pool", {pool("south", {"127.0.0.1:2", "127.0.0.1:2"}, 20)}, {});
    show("server in two pools", {two[0], pool("south", {"127.0.0.1:2"}, 20)}, {route(1, 1, "north", 1)});
}
