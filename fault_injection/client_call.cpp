#include "client_call.h"

#include <event2/buffer.h>

namespace firtide::fault_injection
{

namespace
{

struct PendingCall {
    BuffereventPtr stream;
    std::string received;
    std::function<void(std::string)> on_done;

    static void on_event(bufferevent* stream, short events, void* arg)
    {
        if (events & BEV_EVENT_CONNECTED) return;
        auto* call = static_cast<PendingCall*>(arg);
        auto* input = bufferevent_get_input(stream);
        call->received.resize(evbuffer_get_length(input));
        evbuffer_remove(input, call->received.data(), call->received.size());
        const std::unique_ptr<PendingCall> owned(call);
        owned->on_done(owned->received);
    }
};

}  // namespace

void send_and_receive(event_base* base, sockaddr_in to, const std::string& bytes, Duration idle_timeout,
                      std::function<void(std::string)> on_done)
{
    auto* pending = new PendingCall{
        BuffereventPtr(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)), {}, std::move(on_done)};
    bufferevent_setcb(pending->stream.get(), nullptr, nullptr, PendingCall::on_event, pending);
    const auto timeout = to_timeval(idle_timeout);
    bufferevent_set_timeouts(pending->stream.get(), &timeout, &timeout);
    bufferevent_enable(pending->stream.get(), EV_READ | EV_WRITE);
    bufferevent_write(pending->stream.get(), bytes.data(), bytes.size());
    bufferevent_socket_connect(pending->stream.get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
}

}  // namespace firtide::fault_injection
