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
    FleetConfig fleet_file = std::move(std::get<FleetConfig>(decoded));
    return fleet_file;
}

int check_file(const std::string& path)
{
    const auto file = read_fleet_config(path);
    Host::check(file, path);
    std::printf("the fleet file is well-formed: %zu members, %zu of them vote, %zu duties\n",
                file.members.size(), file.voters(), file.duties.size());
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
    const auto& m = std::get<MemberSnapshot>(decoded);
    std::printf("the snapshot is whole: member %s of fleet %s, incarnation %llu\n", m.member.c_str(),
                m.fleet.c_str(), static_cast<unsigned long long>(m.incarnation));
    if (!dump) return 0;
    std::printf("list version %llu, %zu bytes\naccepted %.1f a second, among %u, upstreams of size %.1f\n",
                static_cast<unsigned long long>(m.list_version), m.list_text.size(), m.accepted_rate,
                m.peer_count, m.total_capacity);
    for (const auto& e : m.seen_epochs)
        std::printf("epoch %llu of %s\n", static_cast<unsigned long long>(e.epoch), e.duty.c_str());
    for (const auto& r : m.reductions)
        std::printf("reduction %.2f of %016llx, %lld ms left\n", static_cast<double>(r.reduction),
                    static_cast<unsigned long long>(r.upstream_hash),
                    static_cast<long long>(r.remaining_us / 1000));
    for (const auto& id : m.open_request_ids) std::printf("may have run: %s\n", id.c_str());
    if (!m.list_text.empty()) std::printf("%s\n", m.list_text.c_str());
    return 0;
}

int ask_management(const std::string& address, const std::string& line)
{
    sockaddr_storage at{};
    int length = sizeof at;
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&at), &length) != 0)
        throw CannotStart("'" + address + "' is no numeric address with a port");
    const Descriptor socket(::socket(at.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval wait{5, 0};
    setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    setsockopt(socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    const std::string asked = line + "\n";
    if (connect(socket.fd(), reinterpret_cast<sockaddr*>(&at), static_cast<socklen_t>(length)) != 0 ||
        send(socket.fd(), asked.data(), asked.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(asked.size()))
        throw CannotStart(address + ": " + evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    std::string answer;
    char bytes[4096];
    for (ssize_t n; (n = recv(socket.fd(), bytes, sizeof bytes, 0)) > 0;)
        answer.append(bytes, static_cast<size_t>(n));
    std::fputs(answer.c_str(), stdout);
    if (answer.empty()) throw CannotStart(address + ": no answer came");
    return answer.starts_with("FAILURE") ? 1 : 0;
}

}  // namespace firtide::fleet
