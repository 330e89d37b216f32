#include "commands.h"

#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace firtide::fleet
{

FleetFile read_fleet_file(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) throw CannotStart(path + ": cannot be read");
    auto decoded = decode_fleet_file(text.str());
    if (const auto* fault = std::get_if<Fault>(&decoded))
        throw CannotStart(path + ":" + std::to_string(fault->at.line) + ": " + fault->at.key + ": " +
                          fault->what);
    return std::move(std::get<FleetFile>(decoded));
}

int check_file(const std::string& path)
{
    const auto file = read_fleet_file(path);
    Host::check(file, path);
    std::printf("the fleet file is well-formed: %zu members, %zu of them vote, %zu duties\n",
                file.members.size(), file.voters(), file.duties.size());
    return 0;
}

int ask_door(const std::string& door, const std::string& line)
{
    sockaddr_storage at{};
    int length = sizeof at;
    if (evutil_parse_sockaddr_port(door.c_str(), reinterpret_cast<sockaddr*>(&at), &length) != 0)
        throw CannotStart("'" + door + "' is no numeric address with a port");
    const net::Descriptor socket(::socket(at.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval wait{5, 0};
    setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    setsockopt(socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    const std::string asked = line + "\n";
    if (connect(socket.fd(), reinterpret_cast<sockaddr*>(&at), static_cast<socklen_t>(length)) != 0 ||
        send(socket.fd(), asked.data(), asked.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(asked.size()))
        throw CannotStart(door + ": " + evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    std::string answer;
    char bytes[4096];
    for (ssize_t n; (n = recv(socket.fd(), bytes, sizeof bytes, 0)) > 0;)
        answer.append(bytes, static_cast<size_t>(n));
    std::fputs(answer.c_str(), stdout);
    if (answer.empty()) throw CannotStart(door + ": no answer came");
    return answer.starts_with("FAILURE") ? 1 : 0;
}

}  // namespace firtide::fleet
