#include "duty_notifier.h"

#include <event2/buffer.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>

#include "src/io/unread_input.h"

namespace firtide::fleet
{
namespace
{

constexpr Duration response_timeout = seconds(1);
constexpr int conflict_status = 409;  // the subscriber has seen a higher epoch

std::string encode(const std::string& address, const DutyNotification& notification)
{
    return "POST /duty/" + notification.duty + " HTTP/1.1\r\nHost: " + address +
           "\r\nDuty-Holder: " + notification.holder +
           "\r\nDuty-Epoch: " + std::to_string(notification.epoch) +
           "\r\nDuty-Number: " + std::to_string(notification.number) +
           "\r\nDuty-Left-Ms: " + std::to_string(notification.left_ms) + "\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

// One subscriber. It is never removed; its connection is reopened as needed.
struct DutyNotifier::Subscriber {
    DutyNotifier* owner = nullptr;
    std::string address;
    BuffereventPtr stream;
    bool connected = false;
    std::optional<DutyNotification> unanswered;
    std::optional<ResponseReader> reader;

    void close()
    {
        stream.reset();
        connected = false;
        unanswered.reset();
    }
    void connect();
    void on_connected();
    void on_readable();
    void send(const std::string& bytes, const DutyNotification& notification);
};

void DutyNotifier::Subscriber::connect()
{
    sockaddr_storage remote{};
    int length = sizeof remote;
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&remote), &length) != 0)
        return;
    stream.reset(bufferevent_socket_new(owner->base_, -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        stream.get(), [](bufferevent*, void* self) { static_cast<Subscriber*>(self)->on_readable(); },
        nullptr,
        [](bufferevent*, short what, void* arg) {
            auto* self = static_cast<Subscriber*>(arg);
            if (what & BEV_EVENT_CONNECTED)
                self->on_connected();
            else
                self->close();
        },
        this);
    const auto timeout = to_timeval(response_timeout);
    bufferevent_set_timeouts(stream.get(), &timeout, &timeout);
    bufferevent_enable(stream.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(stream.get(), reinterpret_cast<sockaddr*>(&remote), length);
}

void DutyNotifier::Subscriber::on_connected()
{
    connected = true;
    bufferevent_set_timeouts(stream.get(), nullptr, nullptr);
}

void DutyNotifier::Subscriber::on_readable()
{
    auto* input = bufferevent_get_input(stream.get());
    const size_t size = evbuffer_get_length(input);
    if (!unanswered || size == 0) return close();
    const auto state = reader->parse({reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size});
    const bool has_trailing_bytes = reader->consumed_bytes() < size;
    evbuffer_drain(input, size);
    if (state == ResponseReader::State::incomplete) return;
    const bool is_complete = state == ResponseReader::State::complete;
    const DutyNotification answered = *std::exchange(unanswered, std::nullopt);
    const int status = is_complete ? reader->response().status : 0;
    bufferevent_set_timeouts(stream.get(), nullptr, nullptr);
    if (!is_complete || has_trailing_bytes || !reader->keep_alive()) close();
    if (status == conflict_status) owner->on_refused_(answered.duty, answered.epoch);
}

void DutyNotifier::Subscriber::send(const std::string& bytes, const DutyNotification& notification)
{
    const auto sent =
        ::send(bufferevent_getfd(stream.get()), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent != static_cast<ssize_t>(bytes.size())) return close();
    unanswered = notification;
    const auto timeout = to_timeval(response_timeout);
    bufferevent_set_timeouts(stream.get(), &timeout, nullptr);
}

DutyNotifier::DutyNotifier(event_base* base, std::function<void(const std::string&, Epoch)> on_refused)
    : base_(base), on_refused_(std::move(on_refused))
{
}

DutyNotifier::~DutyNotifier() = default;

void DutyNotifier::notify(const std::string& address, const DutyNotification& notification,
                          const std::function<bool()>& authorize)
{
    Subscriber& subscriber = subscribers_[address + " " + notification.duty];
    subscriber.owner = this;
    subscriber.address = address;
    if (subscriber.unanswered) return;
    if (!subscriber.stream) subscriber.connect();
    if (!subscriber.connected) return;
    // A second copy of the last response would be taken for the response to this notification.
    if (has_unread_input(subscriber.stream.get())) return subscriber.close();
    const std::string bytes = encode(address, notification);
    subscriber.reader.emplace(response_config_);
    if (authorize()) subscriber.send(bytes, notification);
}

}  // namespace firtide::fleet
