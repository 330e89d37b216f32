#include "callers.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <mutex>

#include "log.h"

namespace firtide::net
{
namespace
{

constexpr Span first_within = seconds(10);    // a new connection that asks nothing by then is closed
constexpr Span idle_for = seconds(60);        // the same between requests, and for one that takes no answer
constexpr Span listen_pause = seconds(0.02);  // where no descriptor is left

// The listener's error callback is given evhttp's own argument, not ours: who listens is found here.
std::mutex listeners_lock;
std::map<const evconnlistener*, Callers*> listeners;

const char* reason_of(int status)
{
    switch (status) {
        case 200: return "OK";
        case 400: return "Bad Request";
        case 404: return "Not Found";
        case 500: return "Internal Server Error";
        case 502: return "Bad Gateway";
        case 503: return "Service Unavailable";
        default: return "Answer";
    }
}

// How long ago the last byte came. Guards against requests that waited unread while this program stood still:
// their time counts from when their callers sent them.
Span unread_for(int fd)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
    return Span{int64_t{info.tcpi_last_data_recv} * 1000};
}

}  // namespace

// Lives from the first request on a connection until that ends.
struct Callers::Connection {
    Callers* owner = nullptr;
    evhttp_connection* of = nullptr;
    evhttp_request* request = nullptr;  // taken and not answered
    CallerId caller = 0;
    Timer leaving;
    bool reading = false;  // a request has begun to come
};

Callers::Callers(event_base* base, const Config& config, size_t most_open, std::function<bool()> ready,
                 std::function<void()> crowded, std::function<void(Event)> tell)
    : base_(base),
      config_(config),
      most_open_(most_open),
      ready_(std::move(ready)),
      crowded_(std::move(crowded)),
      tell_(std::move(tell)),
      server_(evhttp_new(base))
{
    evhttp_set_max_headers_size(server_.get(), most_head);
    evhttp_set_max_body_size(server_.get(), most_body);
    evhttp_set_default_content_type(server_.get(), nullptr);
    evhttp_set_allowed_methods(server_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST);
    const auto first = to_timeval(first_within);
    evhttp_set_timeout_tv(server_.get(), &first);
    evhttp_set_gencb(
        server_.get(),
        [](evhttp_request* request, void* self) { static_cast<Callers*>(self)->take(request); }, this);
    listen(config.listen);
}

Callers::~Callers()
{
    stop_listening();
    for (auto& [of, c] : connections_) evhttp_connection_set_closecb(of, nullptr, nullptr);
}

void Callers::listen(const Address& address)
{
    sockaddr_storage at{};
    int length = sizeof at;
    const auto text = address.host + ":" + std::to_string(address.port);
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&at), &length) != 0)
        throw BadConfig("listen: '" + text + "' is no numeric address");
    auto* listener = evconnlistener_new_bind(
        base_, nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, 1024,
        reinterpret_cast<sockaddr*>(&at), length);
    if (!listener)
        throw BadConfig("listen: cannot listen on " + text + ": " +
                        evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    bound_ = evhttp_bind_listener(server_.get(), listener);
    listen_again_.reset(evtimer_new(
        base_,
        [](evutil_socket_t, short, void* arg) {
            auto* self = static_cast<Callers*>(arg);
            if (self->bound_) evconnlistener_enable(evhttp_bound_socket_get_listener(self->bound_));
        },
        this));
    const std::lock_guard hold(listeners_lock);
    listeners[listener] = this;
    evconnlistener_set_error_cb(listener, [](evconnlistener* of, void*) {
        Callers* self = nullptr;
        {
            const std::lock_guard held(listeners_lock);
            self = listeners.at(of);
        }
        self->no_descriptor_left();
    });
}

// Guards against spinning: libevent would try again at once, without end.
void Callers::no_descriptor_left()
{
    evconnlistener_disable(evhttp_bound_socket_get_listener(bound_));
    const auto pause = to_timeval(listen_pause);
    event_add(listen_again_.get(), &pause);
    crowded_();
}

Callers::Connection& Callers::connection(evhttp_connection* of)
{
    auto& at = connections_[of];
    if (at) return *at;
    at = std::make_unique<Connection>();
    at->owner = this;
    at->of = of;
    evhttp_connection_set_closecb(
        of, [](evhttp_connection* which, void* self) { static_cast<Callers*>(self)->closed(which); }, this);
    const auto idle = to_timeval(idle_for);
    evhttp_connection_set_timeout_tv(of, &idle);
    auto* stream = evhttp_connection_get_bufferevent(of);
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    evbuffer_add_cb(
        bufferevent_get_input(stream),
        [](evbuffer*, const evbuffer_cb_info* what, void* c) {
            if (what->n_added > 0) static_cast<Connection*>(c)->reading = true;
        },
        at.get());
    return *at;
}

void Callers::take(evhttp_request* request)
{
    Connection& c = connection(evhttp_request_get_connection(request));
    Request taken;
    taken.target = origin_form(evhttp_request_get_uri(request));
    taken.method = evhttp_request_get_command(request) == EVHTTP_REQ_POST ? "POST" : "GET";
    if (taken.target == "/-/ready") {
        const bool ready = ready_();
        return reply(request, {ready ? 200 : 503, false, {}, {}, ready ? "ready\n" : "not ready\n"}, !ready);
    }
    Headers headers;
    const auto* list = evhttp_request_get_input_headers(request);
    for (const auto* h = list->tqh_first; h; h = h->next.tqe_next) headers.emplace_back(h->key, h->value);
    if (const auto bad = decode_request(config_.setup, std::move(headers), taken))
        // What could not be read may have been framed otherwise than it was taken: nothing more is read
        // there.
        return reply(request, {bad->status, false, {}, {}, std::string(bad->why) + "\n"}, bad->status == 400);
    taken.time_left = std::max(
        Span{}, taken.time_left - unread_for(bufferevent_getfd(evhttp_connection_get_bufferevent(c.of))));
    auto* body = evhttp_request_get_input_buffer(request);
    taken.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, taken.body.data(), taken.body.size());
    c.request = request;
    c.caller = next_++;
    waiting_[c.caller] = &c;
    watch(c);
    tell_(Arrived{c.caller, std::move(taken)});
}

// evhttp stops reading while a request waits for its answer, so that it would not see its caller leave.
void Callers::watch(Connection& c)
{
    c.leaving.reset(event_new(
        base_, bufferevent_getfd(evhttp_connection_get_bufferevent(c.of)), EV_READ,
        [](evutil_socket_t, short, void* arg) {
            auto* connection = static_cast<Connection*>(arg);
            connection->owner->looked(*connection);
        },
        &c));
    event_add(c.leaving.get(), nullptr);
}

void Callers::looked(Connection& c)
{
    char byte;
    const auto fd = bufferevent_getfd(evhttp_connection_get_bufferevent(c.of));
    const auto got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // More bytes: the next request came early. It stays unread until this one is answered, and a caller who
    // does so and leaves is noticed only then.
    if (got > 0) return;
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        event_add(c.leaving.get(), nullptr);
        return;
    }
    evhttp_connection_free(c.of);  // and on to closed()
}

void Callers::closed(evhttp_connection* of)
{
    const auto at = connections_.find(of);
    if (at == connections_.end()) return;
    const auto caller = at->second->request ? at->second->caller : 0;
    waiting_.erase(caller);
    const auto kept = std::move(at->second);
    connections_.erase(at);
    if (caller) tell_(CallerLeft{caller});
}

void Callers::answer(const Answer& answer)
{
    const auto at = waiting_.find(answer.caller);
    if (at == waiting_.end()) return;  // it has left
    Connection& c = *at->second;
    waiting_.erase(at);
    auto* request = c.request;
    c.request = nullptr;
    c.leaving.reset();
    reply(request, answer.response, answer.last_on_connection || connections_.size() > most_open_);
}

void Callers::reply(evhttp_request* request, Response response, bool last)
{
    auto* of = evhttp_request_get_connection(request);
    auto* headers = evhttp_request_get_output_headers(request);
    for (const auto& [name, value] : response.passed_on)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    if (last) evhttp_add_header(headers, "Connection", "close");
    auto* body = evbuffer_new();
    evbuffer_add(body, response.body.data(), response.body.size());
    auto* stream = evhttp_connection_get_bufferevent(of);
    if (const auto at = connections_.find(of); at != connections_.end())
        at->second->reading = evbuffer_get_length(bufferevent_get_input(stream)) > 0;
    evhttp_send_reply(request, response.status, reason_of(response.status), body);
    evbuffer_free(body);
}

bool Callers::someone_waits() const
{
    if (!bound_) return false;
    pollfd at{evhttp_bound_socket_get_fd(bound_), POLLIN, 0};
    return poll(&at, 1, 0) > 0;
}

void Callers::stop_listening()
{
    if (!bound_) return;
    listen_again_.reset();
    {
        const std::lock_guard hold(listeners_lock);
        listeners.erase(evhttp_bound_socket_get_listener(bound_));
    }
    evhttp_del_accept_socket(server_.get(), bound_);
    bound_ = nullptr;
}

size_t Callers::close_idle()
{
    std::vector<evhttp_connection*> idle;
    for (const auto& [of, c] : connections_) {
        // Guards against closing on an answer that has not left yet.
        auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(of));
        if (!c->request && !c->reading && evbuffer_get_length(output) == 0) idle.push_back(of);
    }
    for (auto* of : idle) evhttp_connection_free(of);
    return idle.size();
}

}  // namespace firtide::net
