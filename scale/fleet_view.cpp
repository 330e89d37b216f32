#include "fleet_view.h"

#include <sstream>

namespace firtide::scale
{
namespace
{

std::vector<std::string> split_words(const std::string& line)
{
    std::istringstream in(line);
    std::vector<std::string> words;
    for (std::string word; in >> word;) words.push_back(word);
    return words;
}

// The word that follows `name`; empty if there is none.
std::string word_after(const std::vector<std::string>& words, std::string_view name)
{
    for (size_t i = 0; i + 1 < words.size(); ++i)
        if (words[i] == name) return words[i + 1];
    return {};
}

uint64_t number_after(const std::vector<std::string>& words, std::string_view name)
{
    return std::strtoull(word_after(words, name).c_str(), nullptr, 10);
}

fleet::TrafficCounts traffic_of(const std::vector<std::string>& words)
{
    fleet::TrafficCounts counts;
    counts.messages_in = number_after(words, "messages_in");
    counts.messages_out = number_after(words, "messages_out");
    counts.bytes_in = number_after(words, "bytes_in");
    counts.bytes_out = number_after(words, "bytes_out");
    counts.dropped = number_after(words, "dropped");
    return counts;
}

}  // namespace

std::optional<FleetView> decode_fleet_view(std::string_view answer)
{
    if (!answer.ends_with("EOT\n")) return {};
    FleetView view;
    std::istringstream lines{std::string(answer)};
    for (std::string line; std::getline(lines, line);) {
        const auto words = split_words(line);
        if (words.size() < 3) continue;
        if (words[0] == "me") {
            const auto leader = word_after(words, "leader");
            if (leader != "none") view.leader = leader;
        } else if (words[0] == "member") {
            view.alive += words[2] == "alive";
        } else if (words[0] == "duty") {
            ++view.duties;
            view.duties_held += word_after(words, "holder") != "none";
            if (words.back() == "mine") view.own_duties.push_back(words[1]);
        } else if (words[0] == "traffic") {
            view.traffic = traffic_of(words);
        }
    }
    return view;
}

}  // namespace firtide::scale
