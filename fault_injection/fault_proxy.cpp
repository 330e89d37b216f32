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

sockaddr_in loopback(uint16_t port)
{
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
}

struct FaultProxy::Pipe {
    FaultProxy* owner = nullptr;
    Place self;
    BuffereventPtr from, to;
    std::deque<Chunk> chunks;
    TimePoint free;       // when the last bytes at the stated rate have passed
    bool spoilt = false;  // something of it never arrived: it ends when the road is whole again
    bool ending = false;  // its sender has ended it
    EventPtr timer;
};

FaultProxy::FaultProxy(event_base* base, uint16_t to)
    : base_(base), to_(to), listener_(nullptr, evconnlistener_free)
{
    auto at = loopback(0);
    listener_.reset(evconnlistener_new_bind(
        base,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
            static_cast<FaultProxy*>(self)->accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 64, reinterpret_cast<sockaddr*>(&at),
        sizeof at));
    if (!listener_) throw std::runtime_error("a relay cannot listen");
    socklen_t size = sizeof at;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::end(Place at, bool reset)
{
    if (reset) {
        const linger none{1, 0};
        setsockopt(bufferevent_getfd(at->from.get()), SOL_SOCKET, SO_LINGER, &none, sizeof none);
    }
    pipes_.erase(at);
}

void FaultProxy::road_is(const Road& road)
{
    road_ = road;
    for (Place at = pipes_.begin(); at != pipes_.end();) {
        const Place next = std::next(at);
        if (road.refused || (at->spoilt && !road.cut))
            end(at, true);
        else
            move(at);
        at = next;
    }
}

void FaultProxy::accept(evutil_socket_t fd)
{
    evutil_make_socket_nonblocking(fd);
    pipes_.emplace_back();
    const Place at = std::prev(pipes_.end());
    at->owner = this;
    at->self = at;
    at->from.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    at->timer.reset(evtimer_new(
        base_,
        [](evutil_socket_t, short, void* arg) {
            auto* p = static_cast<Pipe*>(arg);
            p->owner->move(p->self);
        },
        &*at));
    bufferevent_setcb(
        at->from.get(),
        [](bufferevent*, void* arg) {
            auto* p = static_cast<Pipe*>(arg);
            p->owner->came(p->self);
        },
        nullptr,
        [](bufferevent*, short, void* arg) {
            auto* p = static_cast<Pipe*>(arg);
            p->ending = true;
            p->owner->move(p->self);
        },
        &*at);
    bufferevent_enable(at->from.get(), EV_READ);
    if (road_.refused) return end(at, true);
    at->to.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        at->to.get(), nullptr, nullptr,
        [](bufferevent*, short what, void* arg) {
            auto* p = static_cast<Pipe*>(arg);
            if (!(what & BEV_EVENT_CONNECTED)) p->owner->end(p->self, true);
        },
        &*at);
    bufferevent_enable(at->to.get(), EV_READ | EV_WRITE);
    auto target = loopback(to_);
    // A road that is cut leads nowhere from the first.
    if (road_.cut)
        at->spoilt = true, at->to.reset();
    else
        bufferevent_socket_connect(at->to.get(), reinterpret_cast<sockaddr*>(&target), sizeof target);
}

void FaultProxy::came(Place at)
{
    auto* input = bufferevent_get_input(at->from.get());
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    if (road_.cut || at->spoilt) {
        at->spoilt = true;
        return;
    }
    if (std::exchange(change_, false))
        bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 4);
    if (std::exchange(repeat_, false)) bytes += bytes;
    if (const size_t most = std::exchange(cut_within_, 0)) {
        bytes.resize(std::min(bytes.size() - 1, most));
        bufferevent_write(at->to.get(), bytes.data(), bytes.size());
        // What was written has to arrive before the end does.
        bufferevent_flush(at->to.get(), EV_WRITE, BEV_FLUSH);
        at->ending = true;
        at->chunks.clear();
        const auto soon = to_timeval(seconds(0.02));
        event_add(at->timer.get(), &soon);
        return;
    }
    const TimePoint now = monotonic_now();
    TimePoint due = now + road_.delay;
    if (road_.rate > 0) {
        at->free = std::max(at->free, now) + seconds(static_cast<double>(bytes.size()) / road_.rate);
        due = std::max(due, at->free);
    }
    if (!at->chunks.empty()) due = std::max(due, at->chunks.back().due);
    at->chunks.push_back({due, std::move(bytes)});
    move(at);
}

void FaultProxy::move(Place at)
{
    const TimePoint now = monotonic_now();
    if (road_.held) return;
    while (!at->chunks.empty() && at->chunks.front().due <= now) {
        if (road_.cut)
            at->spoilt = true;
        else if (at->to)
            passed_ += at->chunks.front().bytes.size(),
                bufferevent_write(at->to.get(), at->chunks.front().bytes.data(),
                                  at->chunks.front().bytes.size());
        at->chunks.pop_front();
    }
    if (!at->chunks.empty()) {
        const auto wait = to_timeval(at->chunks.front().due - now);
        event_add(at->timer.get(), &wait);
        return;
    }
    if (!at->ending) return;
    // Its last bytes first.
    if (at->to && evbuffer_get_length(bufferevent_get_output(at->to.get())) > 0) {
        const auto soon = to_timeval(seconds(0.01));
        event_add(at->timer.get(), &soon);
        return;
    }
    end(at, false);
}

}  // namespace firtide::fault_injection
