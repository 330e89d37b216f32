// The operator file: what it says, what is refused, and where.
#include <cstdio>
#include <fstream>
#include <sstream>

#include "src/modbus/config.h"

using namespace firtide;
using namespace firtide::modbus;

namespace
{

void show(const char* what, const std::string& text)
{
    const auto got = decode_operator_file(text);
    if (const auto* fault = std::get_if<ConfigError>(&got)) {
        std::printf("%s: %s\n", what, to_string(*fault).c_str());
        return;
    }
    const auto& file = std::get<OperatorFile>(got);
    std::printf("%s: listens on %s, %u clients, writes for %.1f s\n", what, file.listen.c_str(),
                file.limits.clients, file.times.write.seconds());
    for (const Pool& pool : file.routes.pools())
        for (const Server& s : pool.servers)
            std::printf("  %s %s %s%s\n", pool.name.c_str(), s.name.c_str(), s.endpoint.c_str(),
                        s.draining ? " draining" : "");
}

}  // namespace

int main(int, char** argv)
{
    std::ostringstream kept;
    kept << std::ifstream(argv[2]).rdbuf();
    show("as deployed", kept.str());
    const std::string top = "listen = \"127.0.0.1:1502\"\n";
    const std::string pool =
        "[[pool]]\nname = \"a\"\n[[pool.server]]\nname = \"s\"\nendpoint = \"127.0.0.1:5020\"\n";
    const std::string route = "[[route]]\nunits = \"7\"\npool = \"a\"\n";
    show("the least", top + pool + route);
    show("no TOML", "listen = \n");
    show("nothing", "");
    show("no address", "listen = \"here\"\n" + pool + route);
    show("port 0", "listen = \"127.0.0.1:0\"\n" + pool + route);
    show("misspelt", top + "[limits]\nclient = 3\n" + pool + route);
    show("a limit of none", top + "[limits]\nclients = 0\n" + pool + route);
    show("a limit in words", top + "[limits]\nclients = \"many\"\n" + pool + route);
    show("a time below none", top + "[times]\nread_ms = -1\n" + pool + route);
    show("no routes", top + pool);
    show("a unit in words", top + pool + "[[route]]\nunits = \"one\"\npool = \"a\"\n");
    show("a range cut short", top + pool + "[[route]]\nunits = \"1-\"\npool = \"a\"\n");
    show("a unit too far", top + pool + "[[route]]\nunits = \"256\"\npool = \"a\"\n");
    show("no such pool", top + pool + "[[route]]\nunits = \"1\"\npool = \"b\"\n");
    show("units twice", top + pool + route + route);
    show("an empty pool", top + "[[pool]]\nname = \"a\"\n" + route);
    show("a state nobody knows", top + pool + "state = \"asleep\"\n" + route);
    show("a table for an array", top + "[pool]\nname = \"a\"\n" + route);
}
