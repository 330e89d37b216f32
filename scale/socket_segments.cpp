#include "socket_segments.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/rtnetlink.h>
#include <linux/sock_diag.h>
#include <linux/tcp.h>
#include <sys/socket.h>

#include <cstddef>
#include <cstring>
#include <vector>

#include "src/io/event.h"

namespace firtide::scale
{
namespace
{

constexpr uint32_t established_state = 1;
constexpr size_t answer_bytes = 1 << 16;

struct Request {
    nlmsghdr head;
    inet_diag_req_v2 body;
};

bool send_request(int socket)
{
    Request request{};
    request.head.nlmsg_len = sizeof request;
    request.head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.head.nlmsg_flags = NLM_F_REQUEST | NLM_F_DUMP;
    request.body.sdiag_family = AF_INET;
    request.body.sdiag_protocol = IPPROTO_TCP;
    request.body.idiag_ext = 1 << (INET_DIAG_INFO - 1);
    request.body.idiag_states = 1U << established_state;
    return send(socket, &request, sizeof request, 0) == sizeof request;
}

// Segments sent and received; nothing if the message does not contain them.
std::optional<uint64_t> segments_of(const inet_diag_msg& message, size_t length)
{
    const auto* attribute = reinterpret_cast<const rtattr*>(&message + 1);
    auto remaining = static_cast<int>(length - sizeof message);
    for (; RTA_OK(attribute, remaining); attribute = RTA_NEXT(attribute, remaining)) {
        if (attribute->rta_type != INET_DIAG_INFO) continue;
        if (RTA_PAYLOAD(attribute) < offsetof(tcp_info, tcpi_notsent_bytes)) return {};
        tcp_info info{};
        std::memcpy(&info, RTA_DATA(attribute), std::min<size_t>(sizeof info, RTA_PAYLOAD(attribute)));
        return uint64_t{info.tcpi_segs_out} + info.tcpi_segs_in;
    }
    return {};
}

uint64_t cookie_of(const inet_diag_sockid& id)
{
    return uint64_t{id.idiag_cookie[1]} << 32 | id.idiag_cookie[0];
}

}  // namespace

std::optional<SocketSegments> segments_at(uint16_t port)
{
    const Descriptor socket(::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG));
    if (socket.fd() < 0 || !send_request(socket.fd())) return {};
    SocketSegments found;
    std::vector<char> bytes(answer_bytes);
    for (;;) {
        const auto size = recv(socket.fd(), bytes.data(), bytes.size(), 0);
        if (size <= 0) return {};
        auto remaining = static_cast<unsigned>(size);
        const auto* head = reinterpret_cast<const nlmsghdr*>(bytes.data());
        for (; NLMSG_OK(head, remaining); head = NLMSG_NEXT(head, remaining)) {
            if (head->nlmsg_type == NLMSG_DONE) return found;
            if (head->nlmsg_type == NLMSG_ERROR) return {};
            const auto* message = static_cast<const inet_diag_msg*>(NLMSG_DATA(head));
            const auto& id = message->id;
            if (ntohs(id.idiag_sport) != port && ntohs(id.idiag_dport) != port) continue;
            if (const auto segments = segments_of(*message, head->nlmsg_len - NLMSG_HDRLEN))
                found[cookie_of(id)] = *segments;
        }
    }
}

uint64_t segments_between(const SocketSegments& before, const SocketSegments& after)
{
    uint64_t sum = 0;
    for (const auto& [socket, segments] : after) {
        const auto earlier = before.find(socket);
        sum += segments - (earlier == before.end() ? 0 : earlier->second);
    }
    return sum;
}

}  // namespace firtide::scale
