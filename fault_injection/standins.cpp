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

constexpr Duration probe_duration = seconds(0.03);
constexpr Duration watch_timeout = seconds(2);
constexpr size_t max_recent_requests = 20000;

StandInServer::StandInServer(event_base* base, std::function<void(evhttp_request*)> serve)
    : http_(evhttp_new(base)), serve_(std::move(serve))
{
    auto* bound = evhttp_bind_socket_with_handle(http_.get(), "127.0.0.1", 0);
    if (!bound) throw std::runtime_error("a stand-in server cannot listen on 127.0.0.1");
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    evhttp_set_gencb(
        http_.get(), [](evhttp_request* r, void* self) { static_cast<StandInServer*>(self)->serve_(r); },
        this);
}

void send_response(evhttp_request* request, int status, const std::string& body)
{
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

void run_after(event_base* base, Duration after, std::function<void()> task)
{
    const auto wait = to_timeval(after);
    event_base_once(
        base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* arg) {
            const std::unique_ptr<std::function<void()>> run(static_cast<std::function<void()>*>(arg));
            (*run)();
        },
        new std::function<void()>(std::move(task)), &wait);
}

uint64_t header_number(evhttp_request* request, const char* header)
{
    const char* text = evhttp_find_header(evhttp_request_get_input_headers(request), header);
    return text ? std::strtoull(text, nullptr, 10) : 0;
}

Receiver::Receiver(event_base* base, AcceptHandler on_accept)
    : on_accept_(std::move(on_accept)), server_(base, [this](evhttp_request* r) { serve(r); })
{
}

void Receiver::serve(evhttp_request* request)
{
    const std::string path = evhttp_request_get_uri(request);
    const auto duty = path.substr(path.rfind('/') + 1);
    const auto epoch = header_number(request, "Duty-Epoch"), number = header_number(request, "Duty-Number");
    const char* holder = evhttp_find_header(evhttp_request_get_input_headers(request), "Duty-Holder");
    uint64_t& highest = highest_epoch_[duty];
    if (epoch < highest) {
        ++rejected_count_;
        return send_response(request, 409, "a higher epoch has been met\n");
    }
    highest = epoch;
    on_accept_(duty, epoch, number, holder ? holder : "");
    send_response(request, 200, "taken\n");
}

Upstream::Upstream(event_base* base, std::string name,
                   std::function<void(const std::string& name, size_t concurrent_probes)> on_probe)
    : base_(base),
      name_(std::move(name)),
      on_probe_(std::move(on_probe)),
      server_(base, [this](evhttp_request* r) { serve(r); })
{
}

void Upstream::serve(evhttp_request* request)
{
    const std::string path = evhttp_request_get_uri(request);
    if (!path.starts_with("/-/")) {
        ++request_count_;
        recent_requests_.push_back(monotonic_now());
        if (recent_requests_.size() > max_recent_requests) recent_requests_.pop_front();
        const char* id = evhttp_find_header(evhttp_request_get_input_headers(request), "Req-Id");
        if (!failing_id_prefix_.empty() && id && std::string_view(id).starts_with(failing_id_prefix_))
            return send_response(request, 500, "");
        switch (mode_) {
            case Mode::healthy: return send_response(request, 200, name_);
            case Mode::failing: return send_response(request, 500, "");
            case Mode::overloaded: {
                evhttp_add_header(evhttp_request_get_output_headers(request), "Srv-Declined", "1");
                return send_response(request, 503, "");
            }
            case Mode::hanging: break;
        }
        unanswered_.push_back(request);
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request),
            [](evhttp_connection* closed, void* arg) {
                std::erase_if(static_cast<Upstream*>(arg)->unanswered_, [closed](evhttp_request* r) {
                    return evhttp_request_get_connection(r) == closed;
                });
            },
            this);
        return;
    }
    ++probe_count_;
    on_probe_(name_, ++concurrent_probes_);
    run_after(base_, probe_duration, [this, request] {
        --concurrent_probes_;
        send_response(request, 200, "q=1");
    });
}

void Upstream::set_mode(Mode mode)
{
    mode_ = mode;
    if (mode == Mode::healthy)
        for (auto* request : std::exchange(unanswered_, {})) send_response(request, 200, name_);
}

DiscoveryStandIn::DiscoveryStandIn(event_base* base)
    : base_(base), server_(base, [this](evhttp_request* r) { serve(r); })
{
}

std::string DiscoveryStandIn::target_list_json() const
{
    std::string json = R"({"rev":)" + std::to_string(version_) + R"(,"all":true,"targets":[)";
    if (empty_) return json + "]}";
    for (const auto& [uid, target] : targets_)
        json += (json.back() == '[' ? "" : ",") + std::string(R"({"uid":")") + uid +
                R"(","endpoint":"127.0.0.1:)" + std::to_string(target.first) + R"(","state":")" +
                target.second + "\"" +
                (started_at_ms_.count(uid) ? R"(,"boot_ms":)" + std::to_string(started_at_ms_.at(uid))
                                           : std::string()) +
                "}";
    return json + "]}";
}

void DiscoveryStandIn::notify_watchers()
{
    for (auto* request : std::exchange(watchers_, {})) send_response(request, 200, target_list_json());
}

void DiscoveryStandIn::set_targets(std::map<std::string, std::pair<uint16_t, std::string>> targets)
{
    targets_ = std::move(targets);
    ++version_;
    notify_watchers();
}

void DiscoveryStandIn::set_target_state(const std::string& uid, const std::string& state)
{
    targets_[uid].second = state;
    ++version_;
    notify_watchers();
}

void DiscoveryStandIn::set_empty(bool on)
{
    empty_ = on;
    ++version_;
    notify_watchers();
}

void DiscoveryStandIn::mark_restarted(const std::string& uid)
{
    using namespace std::chrono;
    started_at_ms_[uid] = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    ++version_;
    notify_watchers();
}

void DiscoveryStandIn::serve(evhttp_request* request)
{
    ++request_count_;
    if (unavailable_) return send_response(request, 503, "");
    const std::string path = evhttp_request_get_uri(request);
    const auto after = path.find("after=");
    if (after == std::string::npos || std::strtoull(path.c_str() + after + 6, nullptr, 10) < version_)
        return send_response(request, 200, target_list_json());
    watchers_.push_back(request);
    // Drops the watch when its client disconnects.
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* closed, void* arg) {
            std::erase_if(static_cast<DiscoveryStandIn*>(arg)->watchers_,
                          [closed](evhttp_request* r) { return evhttp_request_get_connection(r) == closed; });
        },
        this);
    run_after(base_, watch_timeout * 0.9, [this, request] {
        const auto watcher = std::find(watchers_.begin(), watchers_.end(), request);
        if (watcher == watchers_.end()) return;
        watchers_.erase(watcher);
        send_response(request, 200,
                      R"({"rev":)" + std::to_string(version_) + R"(,"all":false,"targets":[]})");
    });
}

}  // namespace firtide::fault_injection
