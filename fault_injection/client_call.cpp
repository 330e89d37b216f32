#include "client_call.h"

#include <event2/buffer.h>

namespace firtide::fault_injection
{

namespace
{

struct Call {
    BuffereventPtr stream;
    std::string got;
    std::function<void(std::string)> then;

    static void ended(bufferevent* stream, short what, void* arg)
    {
        if (what & BEV_EVENT_CONNECTED) return;
        auto* call = static_cast<Call*>(arg);
        auto* input = bufferevent_get_input(stream);
        call->got.resize(evbuffer_get_length(input));
        evbuffer_remove(input, call->got.data(), call->got.size());
        const std::unique_ptr<Call> own(call);
        own->then(own->got);
    }
};

}  // namespace

void call(event_base* base, sockaddr_in to, const std::string& bytes, Duration wait,
          std::function<void(std::string)> then)
{
    auto* c = new Call{
        BuffereventPtr(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)), {}, std::move(then)};
    bufferevent_setcb(c->stream.get(), nullptr, nullptr, Call::ended, c);
    const auto most = to_timeval(wait);
    bufferevent_set_timeouts(c->stream.get(), &most, &most);
    bufferevent_enable(c->stream.get(), EV_READ | EV_WRITE);
    bufferevent_write(c->stream.get(), bytes.data(), bytes.size());
    bufferevent_socket_connect(c->stream.get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
}

}  // namespace firtide::fault_injection
