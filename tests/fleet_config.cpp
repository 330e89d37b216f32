// Decodes fleet files: the resulting settings, rejected files, and the line and key that each error names.
#include <cstdio>

#include "src/fleet/config.h"

using namespace firtide;
using namespace firtide::fleet;

namespace
{

void print_decoded(const char* label, const std::string& text)
{
    const auto decoded = decode_fleet_config(text);
    if (const auto* error = std::get_if<ConfigError>(&decoded)) {
        std::printf("%s: %s\n", label, to_string(*error).c_str());
        return;
    }
    const auto& config = std::get<FleetConfig>(decoded);
    std::printf("%s: %s of %s, %zu members, %zu voters, lease %.2f s, drift %.3f, duties", label,
                config.id.c_str(), config.name.c_str(), config.members.size(), config.voters(),
                config.lease.duration.seconds(), config.lease.max_clock_drift);
    for (const Duty& duty : config.duties) std::printf(" %s", duty.name.c_str());
    std::printf("\n");
}

}  // namespace

int main()
{
    const std::string header =
        "[fleet]\nname = \"edge\"\nid = \"a\"\nlisten = \"127.0.0.1:1\"\ndata = \"d\"\n";
    const auto member = [](const std::string& id, int port, const char* settings = "voter = true\n") {
        return "[[member]]\nid = \"" + id + "\"\naddress = \"127.0.0.1:" + std::to_string(port) + "\"\n" +
               settings;
    };
    const std::string minimal = header + member("a", 1) + member("b", 2) + member("c", 3);
    print_decoded("minimal file", minimal);
    print_decoded("most settings",
                  minimal + member("d", 4, "zone = \"z\"\n") +
                      "[lease]\nlength = \"1500ms\"\ndrift = 0.05\n[[duty]]\nname = \"report\"\ntell = "
                      "\"127.0.0.1:9\"\nevery = \"250ms\"\n[list]\nstale = \"5s\"\n[probe]\nparts = 2\n"
                      "[drain]\nmost = 2\n");
    print_decoded("empty file", "");
    print_decoded("invalid TOML", "[fleet\n");
    print_decoded("unknown key", minimal + "[lease]\nlenght = \"3s\"\n");
    print_decoded("unknown table", minimal + "[leases]\n");
    print_decoded("duplicate id", minimal + member("b", 4));
    print_decoded("duplicate address", minimal + member("d", 3));
    print_decoded("own id is not a member", header + member("b", 1) + member("c", 2) + member("d", 3));
    print_decoded("missing name", "[fleet]\nid = \"a\"\n");
    print_decoded("id with a space", minimal + member("d e", 4));
    print_decoded("even number of voters", minimal + member("d", 4));
    print_decoded("one voter", header + member("a", 1));
    print_decoded("nine voters", minimal + member("d", 4) + member("e", 5) + member("f", 6) + member("g", 7) +
                                     member("h", 8) + member("i", 9));
    print_decoded("address without port", header + "[[member]]\nid = \"a\"\naddress = \"127.0.0.1\"\n");
    print_decoded("drift above the maximum", minimal + "[lease]\ndrift = 0.2\n");
    print_decoded("negative drift", minimal + "[lease]\ndrift = -0.1\n");
    print_decoded("lease below the minimum", minimal + "[lease]\nlength = \"200ms\"\n");
    print_decoded("length without unit", minimal + "[lease]\nlength = \"3\"\n");
    print_decoded("length as a number", minimal + "[lease]\nlength = 3\n");
    print_decoded("duplicate duty", minimal + "[[duty]]\nname = \"x\"\n[[duty]]\nname = \"x\"\n");
    print_decoded("duty with a reserved name", minimal + "[[duty]]\nname = \"probe.1\"\n");
    print_decoded("subset, signals and turns",
                  minimal +
                      "[subset]\nsize = 12\nzones = true\n[signals]\n[turns]\nretries = 50\n"
                      "[[turns.tenant]]\nname = \"gold\"\nrate = 20\n");
    print_decoded("subset below the minimum", minimal + "[subset]\nsize = 1\n");
    print_decoded("beyond without zones", minimal + "[subset]\nbeyond = 3\n");
    print_decoded("alone above the maximum", minimal + "[signals]\nalone = 1.0\n");
    print_decoded("turns without a budget", minimal + "[turns]\nlength = \"1s\"\n");
    print_decoded("sum of floors above the maximum", minimal + "[turns]\nfloor = 4\nretries = 50\n");
    print_decoded(
        "duplicate tenant",
        minimal + "[[turns.tenant]]\nname = \"x\"\nrate = 1\n[[turns.tenant]]\nname = \"x\"\nrate = 2\n");
    print_decoded("members that are not tables", header + "member = 3\n");
    print_decoded("voter as a string", header + member("a", 1, "voter = \"yes\"\n"));
}
