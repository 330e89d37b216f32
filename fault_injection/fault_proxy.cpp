#include "fault_proxy.h"

#include <event2/buffer.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

namespace firtide::fault_injection
{

sockaddr_in loopback_address(uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

struct FaultProxy::Connection {
    FaultProxy* owner = nullptr;
    ConnectionIterator self;
    BuffereventPtr from, to;
    std::deque<Chunk> chunks;
    TimePoint rate_limited_until;  // when the queued bytes will have been sent at the limited rate
    bool lost_data = false;        // bytes were dropped: it is reset once the link is no longer blackholed
    bool sender_closed = false;    // close it once the queue is empty
    EventPtr timer;
};

FaultProxy::FaultProxy(event_base* base, uint16_t target_port)
    : base_(base), target_port_(target_port), listener_(nullptr, evconnlistener_free)
{
    auto address = loopback_address(0);
    listener_.reset(evconnlistener_new_bind(
        base,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
            static_cast<FaultProxy*>(self)->accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 64, reinterpret_cast<sockaddr*>(&address),
        sizeof address));
    if (!listener_) throw std::runtime_error("a fault proxy cannot listen on a loopback port");
    socklen_t size = sizeof address;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::close(ConnectionIterator connection, bool reset)
{
    if (reset) {
        const linger reset_on_close{1, 0};
        setsockopt(bufferevent_getfd(connection->from.get()), SOL_SOCKET, SO_LINGER, &reset_on_close,
                   sizeof reset_on_close);
    }
    connections_.erase(connection);
}

void FaultProxy::set_conditions(const LinkConditions& conditions)
{
    conditions_ = conditions;
    for (ConnectionIterator connection = connections_.begin(); connection != connections_.end();) {
        const ConnectionIterator next = std::next(connection);
        if (conditions.reset || (connection->lost_data && !conditions.blackholed))
            close(connection, true);
        else
            forward_due_chunks(connection);
        connection = next;
    }
}

void FaultProxy::accept(evutil_socket_t fd)
{
    evutil_make_socket_nonblocking(fd);
    connections_.emplace_back();
    const ConnectionIterator connection = std::prev(connections_.end());
    connection->owner = this;
    connection->self = connection;
    connection->from.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    connection->timer.reset(evtimer_new(
        base_,
        [](evutil_socket_t, short, void* arg) {
            auto* c = static_cast<Connection*>(arg);
            c->owner->forward_due_chunks(c->self);
        },
        &*connection));
    bufferevent_setcb(
        connection->from.get(),
        [](bufferevent*, void* arg) {
            auto* c = static_cast<Connection*>(arg);
            c->owner->read_input(c->self);
        },
        nullptr,
        [](bufferevent*, short, void* arg) {
            auto* c = static_cast<Connection*>(arg);
            c->sender_closed = true;
            c->owner->forward_due_chunks(c->self);
        },
        &*connection);
    bufferevent_enable(connection->from.get(), EV_READ);
    if (conditions_.reset) return close(connection, true);
    connection->to.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        connection->to.get(), nullptr, nullptr,
        [](bufferevent*, short events, void* arg) {
            auto* c = static_cast<Connection*>(arg);
            if (!(events & BEV_EVENT_CONNECTED)) c->owner->close(c->self, true);
        },
        &*connection);
    bufferevent_enable(connection->to.get(), EV_READ | EV_WRITE);
    auto target = loopback_address(target_port_);
    // A blackholed link never connects to the target.
    if (conditions_.blackholed)
        connection->lost_data = true, connection->to.reset();
    else
        bufferevent_socket_connect(connection->to.get(), reinterpret_cast<sockaddr*>(&target), sizeof target);
}

void FaultProxy::read_input(ConnectionIterator connection)
{
    auto* input = bufferevent_get_input(connection->from.get());
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    if (conditions_.blackholed || connection->lost_data) {
        connection->lost_data = true;
        return;
    }
    if (std::exchange(corrupt_next_, false))
        bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 4);
    if (std::exchange(duplicate_next_, false)) bytes += bytes;
    if (const size_t length = std::exchange(truncate_next_to_, 0)) {
        bytes.resize(std::min(bytes.size() - 1, length));
        bufferevent_write(connection->to.get(), bytes.data(), bytes.size());
        // The bytes must arrive before the connection is closed.
        bufferevent_flush(connection->to.get(), EV_WRITE, BEV_FLUSH);
        connection->sender_closed = true;
        connection->chunks.clear();
        const auto retry_delay = to_timeval(seconds(0.02));
        event_add(connection->timer.get(), &retry_delay);
        return;
    }
    const TimePoint now = monotonic_now();
    TimePoint due = now + conditions_.delay;
    if (conditions_.bytes_per_second > 0) {
        connection->rate_limited_until =
            std::max(connection->rate_limited_until, now) +
            seconds(static_cast<double>(bytes.size()) / conditions_.bytes_per_second);
        due = std::max(due, connection->rate_limited_until);
    }
    if (!connection->chunks.empty()) due = std::max(due, connection->chunks.back().due);
    connection->chunks.push_back({due, std::move(bytes)});
    forward_due_chunks(connection);
}

void FaultProxy::forward_due_chunks(ConnectionIterator connection)
{
    const TimePoint now = monotonic_now();
    if (conditions_.paused) return;
    while (!connection->chunks.empty() && connection->chunks.front().due <= now) {
        if (conditions_.blackholed)
            connection->lost_data = true;
        else if (connection->to)
            forwarded_bytes_ += connection->chunks.front().bytes.size(),
                bufferevent_write(connection->to.get(), connection->chunks.front().bytes.data(),
                                  connection->chunks.front().bytes.size());
        connection->chunks.pop_front();
    }
    if (!connection->chunks.empty()) {
        const auto wait = to_timeval(connection->chunks.front().due - now);
        event_add(connection->timer.get(), &wait);
        return;
    }
    if (!connection->sender_closed) return;
    // Wait until the last bytes are written out.
    if (connection->to && evbuffer_get_length(bufferevent_get_output(connection->to.get())) > 0) {
        const auto retry_delay = to_timeval(seconds(0.01));
        event_add(connection->timer.get(), &retry_delay);
        return;
    }
    close(connection, false);
}

}  // namespace firtide::fault_injection
