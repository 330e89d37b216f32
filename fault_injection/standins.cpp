#include "standins.h"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

namespace firtide::fault_injection
{

constexpr Duration probe_takes = seconds(0.03), watch_lasts = seconds(2);
constexpr size_t most_reached = 20000;

Server::Server(event_base* base, std::function<void(evhttp_request*)> serve)
    : http_(evhttp_new(base)), serve_(std::move(serve))
{
    auto* bound = evhttp_bind_socket_with_handle(http_.get(), "127.0.0.1", 0);
    if (!bound) throw std::runtime_error("a stand-in cannot listen");
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
    evhttp_set_gencb(
        http_.get(), [](evhttp_request* r, void* self) { static_cast<Server*>(self)->serve_(r); }, this);
}

void answer(evhttp_request* request, int status, const std::string& body)
{
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

void answer_later(event_base* base, Duration after, std::function<void()> what)
{
    const auto wait = to_timeval(after);
    event_base_once(
        base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* arg) {
            const std::unique_ptr<std::function<void()>> run(static_cast<std::function<void()>*>(arg));
            (*run)();
        },
        new std::function<void()>(std::move(what)), &wait);
}

uint64_t number_of(evhttp_request* request, const char* header)
{
    const char* text = evhttp_find_header(evhttp_request_get_input_headers(request), header);
    return text ? std::strtoull(text, nullptr, 10) : 0;
}

Receiver::Receiver(event_base* base, Took took)
    : took_(std::move(took)), server_(base, [this](evhttp_request* r) { serve(r); })
{
}

void Receiver::serve(evhttp_request* request)
{
    const std::string path = evhttp_request_get_uri(request);
    const auto duty = path.substr(path.rfind('/') + 1);
    const auto epoch = number_of(request, "Duty-Epoch"), number = number_of(request, "Duty-Number");
    const char* by = evhttp_find_header(evhttp_request_get_input_headers(request), "Duty-Holder");
    uint64_t& newest = newest_[duty];
    if (epoch < newest) {
        ++refused_;
        return answer(request, 409, "a higher epoch has been met\n");
    }
    newest = epoch;
    took_(duty, epoch, number, by ? by : "");
    answer(request, 200, "taken\n");
}

Upstream::Upstream(event_base* base, std::string name, std::function<void(const std::string&, size_t)> probed)
    : base_(base),
      name_(std::move(name)),
      probed_(std::move(probed)),
      server_(base, [this](evhttp_request* r) { serve(r); })
{
}

void Upstream::serve(evhttp_request* request)
{
    const std::string path = evhttp_request_get_uri(request);
    if (!path.starts_with("/-/")) {
        ++served_;
        reached_.push_back(monotonic_now());
        if (reached_.size() > most_reached) reached_.pop_front();
        const char* id = evhttp_find_header(evhttp_request_get_input_headers(request), "Req-Id");
        if (!wrong_to_.empty() && id && std::string_view(id).starts_with(wrong_to_))
            return answer(request, 500, "");
        switch (mood_) {
            case Mood::well: return answer(request, 200, name_);
            case Mood::wrong: return answer(request, 500, "");
            case Mood::full: {
                evhttp_add_header(evhttp_request_get_output_headers(request), "Srv-Declined", "1");
                return answer(request, 503, "");
            }
            case Mood::frozen: break;
        }
        held_.push_back(request);
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request),
            [](evhttp_connection* gone, void* arg) {
                std::erase_if(static_cast<Upstream*>(arg)->held_,
                              [gone](evhttp_request* r) { return evhttp_request_get_connection(r) == gone; });
            },
            this);
        return;
    }
    ++probes_;
    probed_(name_, ++at_once_);
    answer_later(base_, probe_takes, [this, request] {
        --at_once_;
        answer(request, 200, "q=1");
    });
}

void Upstream::mood_is(Mood mood)
{
    mood_ = mood;
    if (mood == Mood::well)
        for (auto* request : std::exchange(held_, {})) answer(request, 200, name_);
}

DiscoveryStandIn::DiscoveryStandIn(event_base* base)
    : base_(base), server_(base, [this](evhttp_request* r) { serve(r); })
{
}

std::string DiscoveryStandIn::text() const
{
    std::string out = R"({"rev":)" + std::to_string(version_) + R"(,"all":true,"targets":[)";
    if (empty_) return out + "]}";
    for (const auto& [uid, t] : targets_)
        out += (out.back() == '[' ? "" : ",") + std::string(R"({"uid":")") + uid +
               R"(","endpoint":"127.0.0.1:)" + std::to_string(t.first) + R"(","state":")" + t.second + "\"" +
               (started_.count(uid) ? R"(,"boot_ms":)" + std::to_string(started_.at(uid)) : std::string()) +
               "}";
    return out + "]}";
}

void DiscoveryStandIn::tell_watchers()
{
    for (auto* request : std::exchange(watching_, {})) answer(request, 200, text());
}

void DiscoveryStandIn::list_is(std::map<std::string, std::pair<uint16_t, std::string>> targets)
{
    targets_ = std::move(targets);
    ++version_;
    tell_watchers();
}

void DiscoveryStandIn::state_is(const std::string& uid, const std::string& state)
{
    targets_[uid].second = state;
    ++version_;
    tell_watchers();
}

void DiscoveryStandIn::empty(bool on)
{
    empty_ = on;
    ++version_;
    tell_watchers();
}

void DiscoveryStandIn::started(const std::string& uid)
{
    using namespace std::chrono;
    started_[uid] = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    ++version_;
    tell_watchers();
}

void DiscoveryStandIn::serve(evhttp_request* request)
{
    ++calls_;
    if (silent_) return answer(request, 503, "");
    const std::string path = evhttp_request_get_uri(request);
    const auto after = path.find("after=");
    if (after == std::string::npos || std::strtoull(path.c_str() + after + 6, nullptr, 10) < version_)
        return answer(request, 200, text());
    watching_.push_back(request);
    // A caller that has gone gets nothing.
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* gone, void* arg) {
            std::erase_if(static_cast<DiscoveryStandIn*>(arg)->watching_,
                          [gone](evhttp_request* r) { return evhttp_request_get_connection(r) == gone; });
        },
        this);
    answer_later(base_, watch_lasts * 0.9, [this, request] {
        const auto at = std::find(watching_.begin(), watching_.end(), request);
        if (at == watching_.end()) return;
        watching_.erase(at);
        answer(request, 200, R"({"rev":)" + std::to_string(version_) + R"(,"all":false,"targets":[]})");
    });
}

}  // namespace firtide::fault_injection
