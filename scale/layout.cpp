#include "layout.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "hollow_protocol.h"

namespace firtide::scale
{
namespace
{

// Below the ephemeral port range of the kernel.
constexpr uint16_t first_port = 12'000, last_port = 32'000, ports_per_run = 4;
constexpr uint16_t serve_offset = 1, management_offset = 2, upstream_offset = 3;
constexpr uint32_t hosts_per_byte = 250;
constexpr int member_network = 1, upstream_network = 2;
// The news of each start is sent to all members over each link. The limit keeps this traffic within what the
// machine can handle: a member that falls behind is suspected, and that news is sent to all members again.
constexpr double start_messages_per_second = 16'000;
constexpr const char* reservation_host = "127.1.255.254";

// Every member and upstream has its own loopback address, so that all can use the same ports.
std::string host_of(int network, uint32_t index)
{
    return "127." + std::to_string(network) + "." + std::to_string(index / hosts_per_byte) + "." +
           std::to_string(index % hosts_per_byte + 1);
}

std::string address_of(int network, uint32_t index, int port)
{
    return host_of(network, index) + ":" + std::to_string(port);
}

sockaddr_in socket_address(const std::string& host, uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

}  // namespace

double starts_per_second(uint32_t members) { return start_messages_per_second / members; }

std::optional<PortReservation> PortReservation::reserve()
{
    for (uint16_t port = first_port; port < last_port; port = static_cast<uint16_t>(port + ports_per_run)) {
        Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const auto address = socket_address(reservation_host, port);
        if (bind(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return PortReservation(std::move(socket), port);
    }
    return {};
}

TemporaryFolder::TemporaryFolder() : path_(std::filesystem::temp_directory_path() / "firtide-scale-XXXXXX")
{
    if (!mkdtemp(path_.data())) throw std::runtime_error("cannot create a temporary directory at " + path_);
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

Layout::Layout(const Options& options, std::string folder, uint16_t port, uint16_t discovery_port)
    : options_(options), folder_(std::move(folder)), port_(port), discovery_port_(discovery_port)
{
    uint32_t next = options.real;
    if (options.disruption == Disruption::killed) {
        const uint32_t killed = options.members / 20;
        groups_.push_back({next, killed});
        next += killed;
    }
    while (next < options.members) {
        const uint32_t count = std::min(options.hollow_per_process, options.members - next);
        groups_.push_back({next, count});
        next += count;
    }
}

std::string Layout::fleet_address(uint32_t member) const { return address_of(member_network, member, port_); }

std::string Layout::serve_address(uint32_t member) const
{
    return address_of(member_network, member, port_ + serve_offset);
}

sockaddr_in Layout::management_address(uint32_t member) const
{
    return socket_address(host_of(member_network, member), static_cast<uint16_t>(port_ + management_offset));
}

std::string Layout::upstream_address(uint32_t upstream) const
{
    return address_of(upstream_network, upstream, port_ + upstream_offset);
}

std::string Layout::data_folder(uint32_t member) const { return folder_ + "/data-" + member_id(member); }
std::string Layout::config_path(uint32_t member) const { return folder_ + "/" + member_id(member) + ".json"; }
std::string Layout::fleet_path(uint32_t member) const { return folder_ + "/" + member_id(member) + ".toml"; }

std::string Layout::spec_path(size_t group) const
{
    return folder_ + "/hollow-" + std::to_string(group) + ".json";
}

std::string Layout::log_path(size_t group) const
{
    return folder_ + "/hollow-" + std::to_string(group) + ".log";
}

std::string Layout::fleet_file(uint32_t member) const
{
    std::string text = "[fleet]\nname = \"scale\"\nid = \"" + member_id(member) + "\"\nlisten = \"" +
                       fleet_address(member) + "\"\ndata = \"" + data_folder(member) + "\"\n";
    for (uint32_t other = 0; other < options_.members; ++other) {
        text += "[[member]]\nid = \"" + member_id(other) + "\"\naddress = \"" + fleet_address(other) +
                "\"\nzone = \"z" + std::to_string(other % options_.zones) + "\"\n";
        if (is_voter(other)) text += "voter = true\n";
    }
    for (uint32_t duty = 0; duty < options_.duties; ++duty)
        text += "[[duty]]\nname = \"d" + std::to_string(duty + 1) + "\"\n";
    text += "[list]\n";
    if (options_.lists == ListMechanism::deltas) text += "[deltas]\n";
    return text;
}

std::string Layout::config_file(uint32_t member) const
{
    using nlohmann::ordered_json;
    const ordered_json limits{{"max_forwards", 3},
                              {"cancel", true},
                              {"conn_idle_us", 400'000},
                              {"connect_timeout_us", 100'000},
                              {"may_probe", false}};
    const ordered_json operation{{"name", "safe"}, {"repeat", "free"}, {"client_timeout_us", 1'000'000}};
    const ordered_json settings{{"operations", ordered_json::array({operation})}, {"policy_limits", limits}};
    const auto management = host_of(member_network, member) + ":" + std::to_string(port_ + management_offset);
    return ordered_json{{"name", member_id(member)},
                        {"listen", serve_address(member)},
                        {"discovery", "127.0.0.1:" + std::to_string(discovery_port_)},
                        {"mgmt", management},
                        {"seed", std::to_string(options_.seed % 1000 + member)},
                        {"settings", settings}}
        .dump();
}

void Layout::write_files() const
{
    const auto write_member = [this](uint32_t member) {
        std::ofstream(fleet_path(member)) << fleet_file(member);
        std::ofstream(config_path(member)) << config_file(member);
    };
    for (uint32_t member = 0; member < options_.real; ++member) write_member(member);
    for (size_t group = 0; group < groups_.size(); ++group) {
        write_member(groups_[group].first_member);
        HollowSpec spec;
        spec.fleet_path = fleet_path(groups_[group].first_member);
        spec.config_path = config_path(groups_[group].first_member);
        spec.first_member = groups_[group].first_member;
        spec.start_interval =
            seconds(static_cast<double>(groups_.size()) / starts_per_second(options_.members));
        for (uint32_t index = 0; index < groups_[group].count; ++index)
            spec.data_folders.push_back(data_folder(groups_[group].first_member + index));
        std::ofstream(spec_path(group)) << encode_spec(spec);
    }
}

}  // namespace firtide::scale
