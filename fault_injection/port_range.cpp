#include "port_range.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/file.h>
#include <sys/socket.h>

#include <string>

namespace firtide::fault_injection
{
namespace
{

// The lock ends with the process that has taken it, however it ends.
Descriptor try_lock(const std::string& folder, size_t range)
{
    const std::string path = folder + "/firtide-ports-" + std::to_string(range) + ".lock";
    Descriptor file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (!file.valid()) throw PortsUnavailable("cannot open " + path);
    if (::flock(file.fd(), LOCK_EX | LOCK_NB) != 0) return Descriptor();
    return file;
}

bool is_free(uint16_t port)
{
    const Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return ::bind(socket.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
}

}  // namespace

PortRange::PortRange(size_t preferred, const std::string& lock_folder)
{
    for (size_t tried = 0; tried < ranges; ++tried) {
        const size_t range = (preferred + tried) % ranges;
        lock_ = try_lock(lock_folder, range);
        if (!lock_.valid()) continue;
        begin_ = next_ = static_cast<uint16_t>(first_port + range * ports);
        return;
    }
    throw PortsUnavailable("all " + std::to_string(ranges) + " ranges of ports are reserved by other runs");
}

uint16_t PortRange::next_free_port()
{
    while (next_ < begin_ + ports)
        if (const uint16_t port = next_++; is_free(port)) return port;
    throw PortsUnavailable("no port is free from " + std::to_string(begin_) + " on");
}

}  // namespace firtide::fault_injection
