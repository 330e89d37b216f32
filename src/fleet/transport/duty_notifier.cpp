#include "duty_notifier.h"

#include <event2/buffer.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>

namespace firtide::fleet
{
namespace
{

constexpr Span answers_within = seconds(1);

}  // namespace

// Lives as long as this process.
struct DutyNotifier::One {
    DutyNotifier* owner = nullptr;
    std::string address;
    Stream stream;
    bool connected = false;
    std::optional<What> out;  // told and not answered yet
    std::optional<ResponseReader> reader;

    void end() { stream.reset(), connected = false, out.reset(); }
    void connect();
    void readable();
};

void DutyNotifier::One::connect()
{
    sockaddr_storage at{};
    int length = sizeof at;
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&at), &length) != 0) return;
    stream.reset(bufferevent_socket_new(owner->base_, -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        stream.get(), [](bufferevent*, void* arg) { static_cast<One*>(arg)->readable(); }, nullptr,
        [](bufferevent*, short what, void* arg) {
            auto* one = static_cast<One*>(arg);
            if (!(what & BEV_EVENT_CONNECTED)) return one->end();
            one->connected = true;
            bufferevent_set_timeouts(one->stream.get(), nullptr, nullptr);
        },
        this);
    const auto wait = to_timeval(answers_within);
    bufferevent_set_timeouts(stream.get(), &wait, &wait);
    bufferevent_enable(stream.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(stream.get(), reinterpret_cast<sockaddr*>(&at), length);
}

void DutyNotifier::One::readable()
{
    auto* input = bufferevent_get_input(stream.get());
    const size_t size = evbuffer_get_length(input);
    if (!out || size == 0) return end();
    const auto state = reader->take({reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size});
    evbuffer_drain(input, size);
    if (state == ResponseReader::State::more) return;
    const bool well = state == ResponseReader::State::whole;
    const What told = *std::exchange(out, std::nullopt);
    const int status = well ? reader->response().status : 0;
    bufferevent_set_timeouts(stream.get(), nullptr, nullptr);
    if (!well || !reader->keeps_connection()) end();
    if (status == 409) owner->refused_(told.duty, told.epoch);
}

DutyNotifier::DutyNotifier(event_base* base, std::function<void(const std::string&, Epoch)> refused)
    : base_(base), refused_(std::move(refused))
{
}

DutyNotifier::~DutyNotifier() = default;

void DutyNotifier::tell(const std::string& address, const What& what, const std::function<bool()>& gate)
{
    // One connection for each duty at each address: none waits for another's answer.
    One& one = all_[address + " " + what.duty];
    one.owner = this;
    one.address = address;
    if (one.out) return;
    if (!one.stream) one.connect();
    if (!one.connected) return;
    const std::string bytes =
        "POST /duty/" + what.duty + " HTTP/1.1\r\nHost: " + address + "\r\nDuty-Holder: " + what.holder +
        "\r\nDuty-Epoch: " + std::to_string(what.epoch) + "\r\nDuty-Number: " + std::to_string(what.number) +
        "\r\nDuty-Left-Ms: " + std::to_string(what.left_ms) + "\r\nContent-Length: 0\r\n\r\n";
    one.reader.emplace(setup_);
    if (!gate()) return;
    const auto sent =
        send(bufferevent_getfd(one.stream.get()), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent != static_cast<ssize_t>(bytes.size())) return one.end();
    one.out = what;
    const auto wait = to_timeval(answers_within);
    bufferevent_set_timeouts(one.stream.get(), &wait, nullptr);
}

}  // namespace firtide::fleet
