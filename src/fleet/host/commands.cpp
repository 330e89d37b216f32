#include "commands.h"

#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace firtide::fleet
{

FleetConfig read_fleet_config(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) throw CannotStart(path + ": cannot be read");
    auto decoded = decode_fleet_config(text.str());
    if (const auto* fault = std::get_if<ConfigError>(&decoded))
        throw CannotStart(path + ":" + std::to_string(fault->location.line) + ": " + fault->location.key +
                          ": " + fault->message);
    FleetConfig config = std::move(std::get<FleetConfig>(decoded));
    return config;
}

int check_fleet_file(const std::string& path)
{
    const auto config = read_fleet_config(path);
    Host::check(config, path);
    std::printf("the fleet file is well-formed: %zu members, %zu of them vote, %zu duties\n",
                config.members.size(), config.voters(), config.duties.size());
    return 0;
}

int check_snapshot(const std::string& path, bool dump)
{
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) throw CannotStart(path + ": cannot be read");
    const auto decoded = decode_member_snapshot(text.str());
    if (const auto* error = std::get_if<SnapshotError>(&decoded))
        throw CannotStart(path + ": " + error->message);
    const auto& snapshot = std::get<MemberSnapshot>(decoded);
    std::printf("the snapshot is whole: member %s of fleet %s, incarnation %llu\n", snapshot.member.c_str(),
                snapshot.fleet.c_str(), static_cast<unsigned long long>(snapshot.incarnation));
    if (!dump) return 0;
    std::printf(
        "list version %llu, %zu bytes\naccepted %.1f requests/s, %u peers, total upstream capacity %.1f\n",
        static_cast<unsigned long long>(snapshot.list_version), snapshot.list_text.size(),
        snapshot.accepted_rate, snapshot.peer_count, snapshot.total_capacity);
    for (const auto& seen : snapshot.seen_epochs)
        std::printf("epoch %llu of %s\n", static_cast<unsigned long long>(seen.epoch), seen.duty.c_str());
    for (const auto& reduction : snapshot.reductions)
        std::printf("reduction %.2f of %016llx, %lld ms left\n", static_cast<double>(reduction.reduction),
                    static_cast<unsigned long long>(reduction.upstream_hash),
                    static_cast<long long>(reduction.remaining_us / 1000));
    for (const auto& id : snapshot.open_request_ids) std::printf("may have run: %s\n", id.c_str());
    if (!snapshot.list_text.empty()) std::printf("%s\n", snapshot.list_text.c_str());
    return 0;
}

int send_management_command(const std::string& address, const std::string& line)
{
    sockaddr_storage remote{};
    int length = sizeof remote;
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&remote), &length) != 0)
        throw CannotStart("'" + address + "' is not a numeric address with a port");
    const Descriptor socket(::socket(remote.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval timeout{5, 0};
    setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    const std::string request = line + "\n";
    if (connect(socket.fd(), reinterpret_cast<sockaddr*>(&remote), static_cast<socklen_t>(length)) != 0 ||
        send(socket.fd(), request.data(), request.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(request.size()))
        throw CannotStart(address + ": " + evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    std::string response;
    char bytes[4096];
    for (ssize_t size; (size = recv(socket.fd(), bytes, sizeof bytes, 0)) > 0;)
        response.append(bytes, static_cast<size_t>(size));
    std::fputs(response.c_str(), stdout);
    if (response.empty()) throw CannotStart(address + ": no response");
    return response.starts_with("FAILURE") ? 1 : 0;
}

}  // namespace firtide::fleet
