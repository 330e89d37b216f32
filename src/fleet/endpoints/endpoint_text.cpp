#include "endpoint_text.h"

#include <cstdio>

namespace firtide::fleet
{
namespace
{

std::string json_string(const std::string& text)
{
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out += {'\\', c};
        } else if (static_cast<unsigned char>(c) < 0x20) {
            char code[8];
            std::snprintf(code, sizeof code, "\\u%04x", c);
            out += code;
        } else {
            out += c;
        }
    }
    return out + '"';
}

std::string begin_list(uint64_t version, bool is_full)
{
    return R"({"rev":)" + std::to_string(version) + R"(,"all":)" + (is_full ? "true" : "false") +
           R"(,"targets":[)";
}

void add_target(std::string& list, const std::string& target)
{
    if (list.back() != '[') list += ',';
    list += target;
}

}  // namespace

std::string encode_full_list(uint64_t version, const EndpointMap& endpoints)
{
    std::string list = begin_list(version, true);
    for (const auto& [uid, target] : endpoints) add_target(list, target);
    return list + "]}";
}

std::string encode_list_changes(uint64_t version, const std::set<std::string>& uids,
                                const EndpointMap& endpoints)
{
    std::string list = begin_list(version, false);
    for (const std::string& uid : uids) {
        const auto found = endpoints.find(uid);
        add_target(list, found != endpoints.end() ? found->second
                                                  : R"({"state":"gone","uid":)" + json_string(uid) + "}");
    }
    return list + "]}";
}

}  // namespace firtide::fleet
