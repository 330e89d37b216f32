#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

#include "downstream_connection.h"
#include "src/base/replace.h"
#include "src/io/log.h"
#include "src/io/stream_buffers.h"

namespace firtide::net
{
namespace
{

constexpr Duration half_close_window = seconds(0.03), disconnect_check_after = seconds(0.05);
constexpr Duration check_interval = seconds(0.02);
constexpr size_t read_watermark_bytes = 4 * 1024;        // unread input of one connection
constexpr size_t body_read_watermark_bytes = 16 * 1024;  // the same for a large body
// Unsent part of a response at which more of it is requested.
constexpr size_t write_watermark_bytes = 16 * 1024;
constexpr size_t max_ignored_bytes = 128 * 1024;  // input read and discarded after a last response
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr uint32_t max_pipelined_requests = 16;  // requests sent before the response to the previous one

}  // namespace

DownstreamServer::DownstreamServer(event_base* base, const Config& config, ConnectionBudget budget,
                                   MemoryBudget& memory, std::function<bool()> ready,
                                   std::function<void()> on_descriptors_exhausted,
                                   std::function<void(Event)> post_event)
    : base_(base),
      config_(config),
      budget_(std::move(budget)),
      memory_(memory),
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
    auto& reading = connections_[reading_request];
    const auto it = reading.emplace(reading.end(), config_.service_config, memory_);
    it->owner = this;
    it->id = next_connection_id_++;
    it->self = it;
    it->phase_since = monotonic_now();
    // Without deferred callbacks: what is read is parsed and counted before the next connection is read.
    it->stream.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    bound_read_size(it->stream.get());
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
    if (!memory_.has_room()) evict_for_memory(it);
    if (budget_.is_exhausted(open_connections())) evict(1);
    if (budget_.is_exhausted(open_connections())) pause_accepting();
}

void DownstreamServer::enter_phase(ConnectionIterator it, Phase phase)
{
    connections_[phase].splice(connections_[phase].end(), connections_[it->phase], it);
    it->phase = phase;
    it->phase_since = monotonic_now();
}

void DownstreamServer::on_readable(ConnectionIterator it)
{
    auto* input = bufferevent_get_input(it->stream.get());
    const size_t size = evbuffer_get_length(input);
    const bool ends = it->phase == sending_response && it->close_after_response;
    if (it->phase == lingering || (ends && it->ignored_bytes <= max_ignored_bytes)) return discard_input(it);
    // Pipelined input stays unread, and bounded, until the response before it is written.
    if (size == 0 || it->phase == awaiting_response || it->phase == sending_response)
        return it->update_memory();
    if (it->phase == idle) enter_phase(it, reading_request);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const auto state = it->reader.parse({bytes, size});
    evbuffer_drain(input, it->reader.consumed_bytes());
    it->update_memory();
    if (state == RequestReader::State::malformed) {
        const auto [status, why] = it->reader.error();
        if (const auto caller = std::exchange(it->caller, 0)) {
            connection_of_.erase(caller);
            post_event_(DownstreamDisconnected{caller});
        }
        return reject(it, status, why);
    }
    if (it->phase == streaming_request) return on_body_chunk(it, state == RequestReader::State::complete);
    if (!has_memory_for(it)) return reject_for_memory(it);
    if (state == RequestReader::State::complete) return on_request(it, false);
    if (it->reader.exceeds_buffer()) {
        bufferevent_setwatermark(it->stream.get(), EV_READ, 0, body_read_watermark_bytes);
        if (fills_buffer(it)) return on_request(it, true);
    }
    if (it->reader.expects_continue() && it->reader.request().body.empty()) {
        bufferevent_write(it->stream.get(), continue_response.data(), continue_response.size());
        it->reader.mark_continue_sent();
    }
}

// Whether a body that is too large to buffer has come so far that its request is forwarded while it arrives.
bool DownstreamServer::fills_buffer(ConnectionIterator it) const
{
    return it->reader.exceeds_buffer() && it->reader.request().body.size() >= max_buffered_body_bytes;
}

// Reads and drops what comes after the last request on a connection.
void DownstreamServer::discard_input(ConnectionIterator it)
{
    const size_t size = it->unparsed_bytes();
    evbuffer_drain(bufferevent_get_input(it->stream.get()), size);
    it->ignored_bytes += size;
    it->update_memory();
    if (it->phase != lingering) return;
    if (it->ignored_bytes > max_ignored_bytes + it->body_bytes_due) return close_connection(it);
    if (it->body_bytes_due == 0) return;
    // A caller may read its response only after sending all of its request: it is not cut off while it sends.
    if (size > 0) enter_phase(it, lingering);
    if (it->ignored_bytes >= it->body_bytes_due) shutdown(bufferevent_getfd(it->stream.get()), SHUT_WR);
}

// Handles more of a request that is forwarded while it arrives.
void DownstreamServer::on_body_chunk(ConnectionIterator it, bool last)
{
    enter_phase(it, last ? awaiting_response : streaming_request);
    RequestChunkReceived chunk{it->caller, it->reader.take_body(), last, last ? unread_time(it) : Duration{}};
    it->update_memory();
    post_event_(std::move(chunk));
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
    it->update_memory();
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
    auto bytes = encode_body_chunk(std::move(chunk.bytes), it->chunked, chunk.is_last);
    if (chunk.is_last) {
        it->streaming_response = false;
        bufferevent_setwatermark(it->stream.get(), EV_WRITE, 0, 0);
    }
    const bool empty = bytes.empty();
    write_bytes(it->stream.get(), std::move(bytes));
    it->update_memory();
    // Writing an empty last piece would not trigger the stream's write callback.
    if (empty) bufferevent_trigger(it->stream.get(), EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
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
    auto bytes = encode_response(response, it->close_after_response, it->reader.is_http_1_0());
    replace_and_free(it->reader, RequestReader(config_.service_config));
    enter_phase(it, sending_response);
    write_bytes(it->stream.get(), std::move(bytes));
    it->update_memory();
}

void DownstreamServer::on_written(ConnectionIterator it)
{
    // libevent also calls this for a new connection, by when its first response may already be on its way.
    it->update_memory();
    const size_t left = it->unsent_bytes();
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
    if (it->ignored_bytes >= it->body_bytes_due) shutdown(bufferevent_getfd(it->stream.get()), SHUT_WR);
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
    connections_[it->phase].erase(it);
}

bool DownstreamServer::has_pending_connections() const
{
    if (!listener_ || budget_.is_exhausted(open_connections())) return false;
    return has_poll_event(evconnlistener_get_fd(listener_.get()), POLLIN);
}

void DownstreamServer::stop_listening() { listener_.reset(); }

void DownstreamServer::set_process_count(size_t process_count)
{
    budget_.set_process_count(process_count);
    if (open_connections() > budget_.limit()) evict(open_connections() - budget_.limit());
}

}  // namespace firtide::net
