// The fleet file: what it says, what is refused, and where.
#include <cstdio>

#include "src/fleet/config.h"

using namespace firtide;
using namespace firtide::fleet;

namespace
{

void show(const char* what, const std::string& text)
{
    const auto got = decode_fleet_config(text);
    if (const auto* fault = std::get_if<ConfigError>(&got)) {
        std::printf("%s: %s\n", what, to_string(*fault).c_str());
        return;
    }
    const auto& f = std::get<FleetConfig>(got);
    std::printf("%s: %s of %s, %zu members, %zu voters, lease %.2f s, drift %.3f, duties", what, f.id.c_str(),
                f.name.c_str(), f.members.size(), f.voters(), f.lease.length.seconds(), f.lease.drift);
    for (const Duty& d : f.duties) std::printf(" %s", d.name.c_str());
    std::printf("\n");
}

}  // namespace

int main()
{
    const std::string own = "[fleet]\nname = \"edge\"\nid = \"a\"\nlisten = \"127.0.0.1:1\"\ndata = \"d\"\n";
    const auto member = [](const std::string& id, int port, const char* more = "voter = true\n") {
        return "[[member]]\nid = \"" + id + "\"\naddress = \"127.0.0.1:" + std::to_string(port) + "\"\n" +
               more;
    };
    const std::string three = own + member("a", 1) + member("b", 2) + member("c", 3);
    show("the least", three);
    show("all of it", three + member("d", 4, "zone = \"z\"\n") +
                          "[lease]\nlength = \"1500ms\"\ndrift = 0.05\n[[duty]]\nname = \"report\"\ntell = "
                          "\"127.0.0.1:9\"\nevery = \"250ms\"\n[list]\nstale = \"5s\"\n[probe]\nparts = 2\n"
                          "[drain]\nmost = 2\n");
    show("empty", "");
    show("no TOML", "[fleet\n");
    show("an unknown key", three + "[lease]\nlenght = \"3s\"\n");
    show("an unknown table", three + "[leases]\n");
    show("an id twice", three + member("b", 4));
    show("an address twice", three + member("d", 3));
    show("own id missing", own + member("b", 1) + member("c", 2) + member("d", 3));
    show("no name", "[fleet]\nid = \"a\"\n");
    show("an id of two words", three + member("d e", 4));
    show("an even number of voters", three + member("d", 4));
    show("one voter", own + member("a", 1));
    show("nine voters", three + member("d", 4) + member("e", 5) + member("f", 6) + member("g", 7) +
                            member("h", 8) + member("i", 9));
    show("no port", own + "[[member]]\nid = \"a\"\naddress = \"127.0.0.1\"\n");
    show("a drift that cannot be kept", three + "[lease]\ndrift = 0.2\n");
    show("a drift below nothing", three + "[lease]\ndrift = -0.1\n");
    show("a lease that cannot be kept", three + "[lease]\nlength = \"200ms\"\n");
    show("a length without a unit", three + "[lease]\nlength = \"3\"\n");
    show("a length that is a number", three + "[lease]\nlength = 3\n");
    show("a duty twice", three + "[[duty]]\nname = \"x\"\n[[duty]]\nname = \"x\"\n");
    show("a duty with one of the balancer's own names", three + "[[duty]]\nname = \"probe.1\"\n");
    show("choices that add up", three +
                                    "[subset]\nsize = 12\nzones = true\n[signals]\n[turns]\nretries = 50\n"
                                    "[[turns.tenant]]\nname = \"gold\"\nrate = 20\n");
    show("a subset of one", three + "[subset]\nsize = 1\n");
    show("beyond, without zones", three + "[subset]\nbeyond = 3\n");
    show("one balancer's word counting in full", three + "[signals]\nalone = 1.0\n");
    show("turns of nothing", three + "[turns]\nlength = \"1s\"\n");
    show("floors over the whole", three + "[turns]\nfloor = 4\nretries = 50\n");
    show("a tenant twice",
         three + "[[turns.tenant]]\nname = \"x\"\nrate = 1\n[[turns.tenant]]\nname = \"x\"\nrate = 2\n");
    show("members that are no tables", own + "member = 3\n");
    show("a voter that is a text", own + member("a", 1, "voter = \"yes\"\n"));
}
