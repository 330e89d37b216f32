#include "downstream_server.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

#include "src/io/log.h"

namespace firtide::net
{
namespace
{

// How long a connection may stay in each phase: reading a request, from its first byte or, on a new
// connection, from connecting (with extra time for the received part of the body); waiting for more of a
// large request; between requests; waiting for a response; taking the next part of one; closing after the
// last.
constexpr std::array<Duration, 6> phase_limits = {seconds(2.5),  seconds(2.5), seconds(60),
                                                  seconds(3600), seconds(10),  seconds(1)};
constexpr double min_body_bytes_per_second = 24 * 1024;
constexpr Duration idle_before_eviction = seconds(2);  // before it may be evicted
// The same for a new connection or an incomplete request.
constexpr Duration silent_before_eviction = seconds(0.2);
constexpr Duration lingering_before_eviction = seconds(0.1);  // the same for a connection in lingering close
constexpr size_t eviction_batch = 16;                         // connections
constexpr Duration half_close_window = seconds(0.03), disconnect_check_after = seconds(0.05);
constexpr Duration warning_interval = seconds(1);  // of the same problem, in the log
constexpr Duration check_interval = seconds(0.05), stall_threshold = seconds(0.2);
constexpr size_t read_watermark_bytes = 8 * 1024;        // unread input of one connection
constexpr size_t body_read_watermark_bytes = 64 * 1024;  // the same for a large body
// Unsent part of a response at which more of it is requested.
constexpr size_t write_watermark_bytes = 16 * 1024;
constexpr size_t stream_buffer_bytes = 128 * 1024;  // approximate buffer for a large message
constexpr size_t max_ignored_bytes = 128 * 1024;    // input read and discarded after a last response
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr uint32_t max_pipelined_requests = 16;  // requests sent before the response to the previous one

// Time since the last byte arrived. For requests that waited unread while this process stood still, time
// counts from when their callers sent them.
Duration time_since_last_byte(int fd)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
    return Duration{int64_t{info.tcpi_last_data_recv} * 1000};
}

// Whether poll() reports one of these events on the socket now.
bool has_poll_event(int fd, short events)
{
    pollfd polled{fd, events, 0};
    return poll(&polled, 1, 0) > 0;
}

}  // namespace

// One connection, from accept to close.
struct DownstreamServer::Connection {
    explicit Connection(const ServiceConfig& setup) : reader(setup) {}

    DownstreamServer* owner = nullptr;
    ConnectionIterator self;
    Phase phase = reading_request;
    TimePoint phase_since;
    BuffereventPtr stream;
    RequestReader reader;
    RequestId caller = 0;       // of the request that awaits its response
    size_t body_bytes_due = 0;  // bytes of the body still to come of a request that is already answered
    bool half_closed = false;   // the caller has shut its sending side
    bool close_after_response = false;  // the response being sent is the last on the connection
    bool streaming_response = false, chunked = false, ends_with_connection = false;  // of the response
    size_t body_memory = 0, ignored_bytes = 0;
    uint32_t pipelined_requests = 0;
};

DownstreamServer::DownstreamServer(event_base* base, const Config& config, ConnectionBudget budget,
                                   std::function<bool()> ready,
                                   std::function<void()> on_descriptors_exhausted,
                                   std::function<void(Event)> post_event)
    : base_(base),
      config_(config),
      budget_(std::move(budget)),
      max_body_memory_(config.max_body_memory),
      ready_(std::move(ready)),
      on_descriptors_exhausted_(std::move(on_descriptors_exhausted)),
      post_event_(std::move(post_event))
{
    check_passed_socket(config);
    if (config.passed_socket)
        adopt_listener(*config.passed_socket);
    else
        listen(config.listen);
    check_timer_.reset(event_new(
        base_, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<DownstreamServer*>(self)->check_connections(); },
        this));
    const auto every = to_timeval(check_interval);
    event_add(check_timer_.get(), &every);
}

DownstreamServer::~DownstreamServer() = default;

void DownstreamServer::listen(const Address& address)
{
    sockaddr_storage socket_address{};
    int length = sizeof socket_address;
    const auto text = to_string(address);
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&socket_address), &length) != 0)
        throw ConfigException("listen: '" + text + "' is not a numeric address");
    listener_.reset(evconnlistener_new_bind(base_, on_accept, this,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                            1024, reinterpret_cast<sockaddr*>(&socket_address), length));
    if (!listener_)
        throw ConfigException("listen: cannot listen on " + text + ": " +
                              evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    set_error_callback();
}

// The socket belongs to the platform and is shared with another process of the same balancer, which accepts
// connections until this one is ready.
void DownstreamServer::adopt_listener(int fd)
{
    evutil_make_socket_nonblocking(fd);
    listener_.reset(
        evconnlistener_new(base_, on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, fd));
    if (!listener_) throw ConfigException("NODE_PASSED_SOCKET: cannot listen on the passed socket");
    set_error_callback();
    evconnlistener_disable(listener_.get());
    waits_until_ready_ = true;
}

void DownstreamServer::on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self)
{
    static_cast<DownstreamServer*>(self)->add_connection(fd);
}

void DownstreamServer::set_error_callback()
{
    evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* arg) {
        auto* self = static_cast<DownstreamServer*>(arg);
        self->on_descriptors_exhausted_();
        self->pause_accepting();
    });
}

// Until the next check. Otherwise libevent would retry at once, in a busy loop.
void DownstreamServer::pause_accepting()
{
    accepting_paused_ = true;
    evconnlistener_disable(listener_.get());
}

size_t DownstreamServer::open_connections() const
{
    size_t all = 0;
    for (const auto& phase : connections_) all += phase.size();
    return all;
}

void DownstreamServer::add_connection(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto it =
        connections_[reading_request].emplace(connections_[reading_request].end(), config_.service_config);
    it->owner = this;
    it->self = it;
    it->phase_since = monotonic_now();
    it->stream.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_setcb(
        it->stream.get(),
        [](bufferevent*, void* arg) {
            auto* c = static_cast<Connection*>(arg);
            c->owner->on_readable(c->self);
        },
        [](bufferevent*, void* arg) {
            auto* c = static_cast<Connection*>(arg);
            c->owner->on_written(c->self);
        },
        [](bufferevent*, short what, void* arg) {
            auto* c = static_cast<Connection*>(arg);
            if ((what & BEV_EVENT_EOF) && c->owner->handle_half_close(c->self)) return;
            c->owner->on_disconnect(c->self);
        },
        &*it);
    bufferevent_setwatermark(it->stream.get(), EV_READ, 0, read_watermark_bytes);
    bufferevent_enable(it->stream.get(), EV_READ | EV_WRITE);
    if (budget_.is_exhausted(open_connections())) evict(1);
    if (budget_.is_exhausted(open_connections())) pause_accepting();
}

void DownstreamServer::enter_phase(ConnectionIterator it, Phase phase)
{
    connections_[phase].splice(connections_[phase].end(), connections_[it->phase], it);
    it->phase = phase;
    it->phase_since = monotonic_now();
}

// Sets how much of the memory for bodies the connection uses.
void DownstreamServer::reserve_body_memory(Connection& c, size_t bytes)
{
    body_memory_ = body_memory_ - c.body_memory + bytes;
    c.body_memory = bytes;
}

void DownstreamServer::on_readable(ConnectionIterator it)
{
    auto* input = bufferevent_get_input(it->stream.get());
    const size_t size = evbuffer_get_length(input);
    if (it->phase == lingering) return discard_input(it);
    // Pipelined input stays unread, and bounded, until the response before it is written.
    if (size == 0 || it->phase == awaiting_response || it->phase == sending_response) return;
    if (it->phase == idle) enter_phase(it, reading_request);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const auto state = it->reader.parse({bytes, size});
    evbuffer_drain(input, it->reader.consumed_bytes());
    if (state == RequestReader::State::malformed) {
        const auto [status, why] = it->reader.error();
        if (const auto caller = std::exchange(it->caller, 0)) {
            connection_of_.erase(caller);
            post_event_(DownstreamDisconnected{caller});
        }
        return reject(it, status, why);
    }
    if (it->phase == streaming_request) return on_body_chunk(it, state == RequestReader::State::complete);
    if (!reserve_for_request(it)) {
        const auto& request = it->reader.request();
        post_event_(RequestRejected{request.operation, request.config_version});
        return send_response(it, plain_response(503, "no room for the body\n"), true);
    }
    if (state == RequestReader::State::complete) return on_request(it, false);
    if (it->reader.exceeds_buffer()) {
        bufferevent_setwatermark(it->stream.get(), EV_READ, 0, body_read_watermark_bytes);
        if (it->reader.request().body.size() >= max_buffered_body_bytes) return on_request(it, true);
    }
    if (it->reader.expects_continue() && it->reader.request().body.empty()) {
        bufferevent_write(it->stream.get(), continue_response.data(), continue_response.size());
        it->reader.mark_continue_sent();
    }
}

// Reads and drops what comes after the last response on a connection.
void DownstreamServer::discard_input(ConnectionIterator it)
{
    auto* input = bufferevent_get_input(it->stream.get());
    const size_t size = evbuffer_get_length(input);
    evbuffer_drain(input, size);
    it->ignored_bytes += size;
    if (it->ignored_bytes > max_ignored_bytes + it->body_bytes_due) return close_connection(it);
    if (it->body_bytes_due == 0) return;
    // A caller may read its response only after sending all of its request: it is not cut off while it sends.
    if (size > 0) enter_phase(it, lingering);
    if (it->ignored_bytes >= it->body_bytes_due) shutdown(bufferevent_getfd(it->stream.get()), SHUT_WR);
}

// Bounds memory: a body that would not fit is rejected before it arrives. Returns whether there is room.
bool DownstreamServer::reserve_for_request(ConnectionIterator it)
{
    const size_t most = it->reader.exceeds_buffer()
                            ? 2 * stream_buffer_bytes
                            : it->reader.request().body.size() + it->reader.body_bytes_to_buffer();
    if (most <= it->body_memory) return true;
    if (body_memory_ - it->body_memory + most > max_body_memory_) return false;
    reserve_body_memory(*it, most);
    return true;
}

// Handles more of a request that is forwarded while it arrives.
void DownstreamServer::on_body_chunk(ConnectionIterator it, bool last)
{
    enter_phase(it, last ? awaiting_response : streaming_request);
    post_event_(
        RequestChunkReceived{it->caller, it->reader.take_body(), last, last ? unread_time(it) : Duration{}});
}

// How long the last byte has been waiting.
Duration DownstreamServer::unread_time(ConnectionIterator it) const
{
    return time_since_last_byte(bufferevent_getfd(it->stream.get()));
}

void DownstreamServer::on_request(ConnectionIterator it, bool more)
{
    const auto input = evbuffer_get_length(bufferevent_get_input(it->stream.get()));
    it->pipelined_requests = input > 0 ? it->pipelined_requests + 1 : 0;
    it->close_after_response = !it->reader.keep_alive() || it->pipelined_requests >= max_pipelined_requests;
    if (it->reader.is_readiness_check()) {
        const bool ready = ready_();
        return send_response(it, plain_response(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"),
                             !ready);
    }
    Request request = std::move(it->reader.request());
    request.body_incomplete = more;
    bool disconnected = false;
    if (more) {
        request.content_length = it->reader.content_length();
        it->reader.take_body();
    } else {
        const Duration waited = unread_time(it);
        request.time_left = std::max(Duration{}, request.time_left - waited);
        // No work for a caller that sent its request and disconnected while this process was not reading.
        disconnected =
            waited > disconnect_check_after && has_poll_event(bufferevent_getfd(it->stream.get()), POLLRDHUP);
    }
    enter_phase(it, awaiting_response);
    it->caller = next_request_id_++;
    connection_of_[it->caller] = it;
    post_event_(RequestReceived{it->caller, std::move(request), disconnected});
}

// An unreadable request may have been framed differently than it was read, and one that took too long may
// never end: no further request is read on the connection, and the rest of this one is not waited for.
void DownstreamServer::reject(ConnectionIterator it, int status, const char* why)
{
    spdlog::debug("request rejected with {}, {}, {} ms after it began, {} bytes of its body received", status,
                  why, (monotonic_now() - it->phase_since).us / 1000, it->reader.body_bytes_received());
    send_response(it, plain_response(status, std::string(why) + "\n"), true);
    it->body_bytes_due = 0;
}

void DownstreamServer::answer(const SendResponse& answer)
{
    const auto found = connection_of_.find(answer.caller);
    if (found == connection_of_.end()) return;  // the caller has disconnected
    const ConnectionIterator it = found->second;
    if (answer.response.body_incomplete) {
        it->streaming_response = true;
        it->chunked = !answer.response.content_length && !it->reader.is_http_1_0();
        it->ends_with_connection = !answer.response.content_length && it->reader.is_http_1_0();
        bufferevent_setwatermark(it->stream.get(), EV_WRITE, write_watermark_bytes, 0);
    } else {
        connection_of_.erase(found);
        it->caller = 0;
    }
    send_response(it, answer.response, answer.close_connection);
}

void DownstreamServer::send_chunk(SendResponseChunk& chunk)
{
    const auto found = connection_of_.find(chunk.caller);
    if (found == connection_of_.end()) return;
    const ConnectionIterator it = found->second;
    const auto bytes = encode_body_chunk(std::move(chunk.bytes), it->chunked, chunk.is_last);
    if (chunk.is_last) {
        it->streaming_response = false;
        bufferevent_setwatermark(it->stream.get(), EV_WRITE, 0, 0);
    }
    bufferevent_write(it->stream.get(), bytes.data(), bytes.size());
    // Writing an empty last piece would not trigger the stream's write callback.
    if (bytes.empty()) bufferevent_trigger(it->stream.get(), EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
}

// Resets the connection: the caller can tell that the response is incomplete, even one that ends with the
// connection.
void DownstreamServer::abort_response(RequestId caller)
{
    const auto found = connection_of_.find(caller);
    if (found == connection_of_.end()) return;
    const linger reset_on_close{1, 0};
    setsockopt(bufferevent_getfd(found->second->stream.get()), SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof reset_on_close);
    close_connection(found->second);
}

void DownstreamServer::set_request_reading(const SetRequestReading& reading)
{
    const auto found = connection_of_.find(reading.caller);
    if (found == connection_of_.end() || found->second->reader.is_complete()) return;
    const ConnectionIterator it = found->second;
    if (it->phase != awaiting_response && it->phase != streaming_request) return;
    enter_phase(it, reading.enabled ? streaming_request : awaiting_response);
    if (reading.enabled)
        bufferevent_trigger(it->stream.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void DownstreamServer::send_response(ConnectionIterator it, const Response& response, bool last)
{
    // With most of the budget in use, the connection closes after this response: idle connections may not
    // be closed at once, and hundreds of callers that ask once and stay would use up the budget.
    const bool nearly_full = open_connections() > budget_.limit() / 4 * 3;
    it->close_after_response = it->close_after_response || last || nearly_full;
    it->close_after_response = it->close_after_response || it->ends_with_connection;
    // After an early response the rest of the request is only read and discarded: it must not be taken for
    // further requests.
    it->close_after_response = it->close_after_response || !it->reader.is_complete();
    it->body_bytes_due = it->reader.max_remaining_body_bytes();
    const auto bytes = encode_response(response, it->close_after_response, it->reader.is_http_1_0());
    it->reader = RequestReader(config_.service_config);
    reserve_body_memory(*it, response.body_incomplete ? stream_buffer_bytes : bytes.size());
    enter_phase(it, sending_response);
    bufferevent_write(it->stream.get(), bytes.data(), bytes.size());
}

void DownstreamServer::on_written(ConnectionIterator it)
{
    // libevent also calls this for a new connection, by when its first response may already be on its way.
    const size_t left = evbuffer_get_length(bufferevent_get_output(it->stream.get()));
    if (it->phase != sending_response || left > (it->streaming_response ? write_watermark_bytes : 0)) return;
    if (it->streaming_response) {
        enter_phase(it, sending_response);
        return post_event_(ResponseDrained{it->caller});
    }
    if (const auto caller = std::exchange(it->caller, 0)) {
        connection_of_.erase(caller);
        post_event_(ResponseDrained{caller});
    }
    it->ends_with_connection = it->chunked = false;
    bufferevent_setwatermark(it->stream.get(), EV_READ, 0, read_watermark_bytes);
    reserve_body_memory(*it, 0);
    if (it->half_closed) return close_connection(it);
    if (it->close_after_response)
        close_lingering(it);
    else
        enter_phase(it, idle);
    // Pipelined input is handled after that of all other connections, because a caller may send hundreds of
    // requests at once.
    bufferevent_trigger(it->stream.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

// Closes every connection that has no response outstanding (lingering close): the sending side is shut once
// the rest of the request has come, and input is read until the caller closes or the time is up. Closing
// with unread input would reset the connection, and the response or the end itself could be lost. Nothing
// read from here on is forwarded: the caller sees the end and sends its request elsewhere.
void DownstreamServer::close_lingering(ConnectionIterator it)
{
    enter_phase(it, lingering);
    if (it->body_bytes_due == 0) shutdown(bufferevent_getfd(it->stream.get()), SHUT_WR);
}

// Whether bytes of a request have arrived, read or not.
bool DownstreamServer::has_request_bytes(ConnectionIterator it) const
{
    return it->reader.has_started() || evbuffer_get_length(bufferevent_get_input(it->stream.get())) > 0 ||
           has_poll_event(bufferevent_getfd(it->stream.get()), POLLIN);
}

// Returns whether a caller that has closed its sending side is assumed to still read its response. A
// half-close comes along with the request, whereas a caller that leaves has waited for a while; a caller that
// is being sent a response shows it by taking the bytes or not.
bool DownstreamServer::handle_half_close(ConnectionIterator it)
{
    const bool with_request = it->phase == awaiting_response && it->reader.is_complete() &&
                              monotonic_now() - it->phase_since < half_close_window;
    if (!with_request && it->phase != sending_response) return false;
    it->close_after_response = it->half_closed = true;
    if (with_request) post_event_(DownstreamHalfClosed{it->caller});
    return true;
}

void DownstreamServer::on_disconnect(ConnectionIterator it)
{
    const auto caller = it->caller;
    close_connection(it);
    if (caller) post_event_(DownstreamDisconnected{caller});
}

void DownstreamServer::close_connection(ConnectionIterator it)
{
    connection_of_.erase(it->caller);
    reserve_body_memory(*it, 0);
    connections_[it->phase].erase(it);
}

// Ends connections whose time is up, and accepts connections again.
void DownstreamServer::check_connections()
{
    const TimePoint now = monotonic_now();
    // After a stall of this process, input that came meanwhile is read before any caller is timed out. Only
    // one check is skipped, because the process may be this slow all the time.
    skipped_check_ = now - std::exchange(last_check_, now) > stall_threshold && !skipped_check_;
    if (skipped_check_) return;
    for (size_t phase = 0; phase < phase_count; ++phase)
        for (ConnectionIterator it = connections_[phase].begin(), next; it != connections_[phase].end();
             it = next) {
            next = std::next(it);
            if (now - it->phase_since <= phase_limits[phase]) break;
            const bool begun = phase == reading_request && it->reader.has_started();
            if (begun && now - it->phase_since <=
                             phase_limits[phase] +
                                 seconds(it->reader.body_bytes_received() / min_body_bytes_per_second))
                continue;
            if (begun) {
                reject(it, 408, "the request took too long");
                continue;
            }
            spdlog::debug("caller's connection timed out in phase {}, {} ms after entering it", phase,
                          (now - it->phase_since).us / 1000);
            if (phase == reading_request || phase == idle)
                close_lingering(it);
            else
                on_disconnect(it);
        }
    detect_closed_callers();
    if (waits_until_ready_ && listener_ && ready_())
        waits_until_ready_ = false, evconnlistener_enable(listener_.get());
    if (!accepting_paused_ || !listener_) return;
    if (now - warned_at_ > warning_interval) {
        warned_at_ = now;
        spdlog::warn("no room for more callers: {} asking, {} at rest, {} waiting, {} being told, {} leaving",
                     connections_[reading_request].size(), connections_[idle].size(),
                     connections_[awaiting_response].size(), connections_[sending_response].size(),
                     connections_[lingering].size());
    }
    if (budget_.is_exhausted(open_connections()))
        evict(eviction_batch + open_connections() - std::min(open_connections(), budget_.limit()));
    if (budget_.is_exhausted(open_connections())) return;
    accepting_paused_ = false;
    evconnlistener_enable(listener_.get());
}

// Detects a caller that has sent more after its request and closed: the end of its stream is behind bytes
// that are not read before the response is sent.
void DownstreamServer::detect_closed_callers()
{
    for (ConnectionIterator it = connections_[awaiting_response].begin(), next;
         it != connections_[awaiting_response].end(); it = next) {
        next = std::next(it);
        if (evbuffer_get_length(bufferevent_get_input(it->stream.get())) == 0) continue;
        if (has_poll_event(bufferevent_getfd(it->stream.get()), POLLRDHUP)) on_disconnect(it);
    }
}

bool DownstreamServer::has_pending_connections() const
{
    if (!listener_ || budget_.is_exhausted(open_connections())) return false;
    return has_poll_event(evconnlistener_get_fd(listener_.get()), POLLIN);
}

void DownstreamServer::stop_listening() { listener_.reset(); }

void DownstreamServer::close_idle(Duration idle_for, Duration silent_for)
{
    const TimePoint now = monotonic_now();
    for (const auto phase : {idle, reading_request})
        for (ConnectionIterator it = connections_[phase].begin(), next; it != connections_[phase].end();
             it = next) {
            next = std::next(it);
            if (now - it->phase_since < (phase == idle ? idle_for : silent_for)) break;
            if (!has_request_bytes(it)) close_lingering(it);
        }
}

void DownstreamServer::reject_incomplete_requests()
{
    for (ConnectionIterator it = connections_[reading_request].begin(), next;
         it != connections_[reading_request].end(); it = next) {
        next = std::next(it);
        if (it->reader.has_started()) reject(it, 408, "the request took too long");
    }
}

void DownstreamServer::set_process_count(size_t process_count)
{
    budget_.set_process_count(process_count);
    max_body_memory_ = config_.max_body_memory / process_count;
    if (open_connections() > budget_.limit()) evict(open_connections() - budget_.limit());
}

size_t DownstreamServer::evict(size_t count)
{
    const TimePoint now = monotonic_now();
    size_t evicted = 0;
    const auto evict_from = [&](Phase phase, Duration rested, auto&& end) {
        for (ConnectionIterator it = connections_[phase].begin(), next;
             it != connections_[phase].end() && evicted < count; it = next) {
            next = std::next(it);
            if (now - it->phase_since < rested) break;
            evicted += end(it);
        }
    };
    // Connections that will end by themselves within a moment count as well.
    evict_from(lingering, Duration{}, [&](ConnectionIterator it) {
        if (now - it->phase_since >= lingering_before_eviction) close_connection(it);
        return true;
    });
    // A connection that has never sent anything is closed at once: nothing was sent to it that a reset
    // could lose.
    evict_from(reading_request, silent_before_eviction, [&](ConnectionIterator it) {
        if (has_request_bytes(it)) return false;
        close_connection(it);
        return true;
    });
    evict_from(idle, idle_before_eviction, [&](ConnectionIterator it) {
        if (has_request_bytes(it)) return false;
        close_lingering(it);
        return true;
    });
    // Incomplete requests too: hundreds of them would keep all other callers out.
    evict_from(reading_request, silent_before_eviction, [&](ConnectionIterator it) {
        if (!it->reader.has_started() || has_poll_event(bufferevent_getfd(it->stream.get()), POLLIN))
            return false;
        reject(it, 408, "the request took too long");
        return true;
    });
    return evicted;
}

}  // namespace firtide::net
