#include "upstream_pool.h"

#include <event2/buffer.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>
#include <cerrno>

#include "src/base/replace.h"
#include "src/io/log.h"
#include "src/io/stream_buffers.h"
#include "src/io/unread_input.h"

namespace firtide::net
{
namespace
{

// An upstream closes idle connections after the configured time; ours are closed clearly earlier, so that
// no request crosses the close.
constexpr double idle_timeout_share = 0.75;

// A gap of this length within a response that has begun is reported, and then again at this interval.
constexpr Duration response_gap = seconds(0.5), stalled_report_interval = seconds(0.1);
// Longest gap where the caller already has part of the response, if its own time is over by then, and within
// a request that is being sent: giving up earlier would gain nothing.
constexpr Duration streaming_gap_timeout = seconds(4);
constexpr size_t body_read_watermark_bytes = 16 * 1024;
// Beyond it, a response is relayed rather than collected where memory is short.
constexpr size_t small_response_bytes = 8 * 1024;
constexpr Duration memory_pause = seconds(0.02);  // before reading goes on where memory was used up

// How long a connection stays unused after a response. Nothing in a response tells which request it answers,
// and a second copy of the last one may follow some milliseconds late: it has to come while no request is in
// flight.
constexpr Duration rest_after_response = seconds(0.03);

// A lack of resources on this machine is not the upstream's fault.
FailureCause cause_of(int error)
{
    switch (error) {
        case EMFILE:
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case EADDRNOTAVAIL: return FailureCause::no_descriptor;
        default: return FailureCause::connect_failed;
    }
}

}  // namespace

// One connection, from connecting to close; the fields from `attempt` on belong to one request.
struct UpstreamPool::Connection {
    Connection(const ServiceConfig& setup, MemoryBudget& memory)
        : reader(setup),
          connection_memory(memory, MemoryPurpose::connections, connection_memory_bytes),
          request_memory(memory, MemoryPurpose::requests_in_flight),
          response_memory(memory, MemoryPurpose::responses)
    {
    }

    UpstreamPool* owner = nullptr;
    ConnectionIterator self;
    UpstreamId upstream_id = 0;
    std::string endpoint;
    BuffereventPtr stream;
    EventPtr connect_timer;
    bool connected = false;

    AttemptId attempt = 0;  // 0: idle
    EventPtr response_timer;
    TimePoint deadline;
    bool rechecked = false;  // after the timeout, for data that the kernel has and the loop has not read
    bool response_begun = false;
    bool request_begun = false;       // the request, or part of it, was passed to the stream
    size_t request_bytes = 0;         // bytes of the request passed to the stream
    bool request_incomplete = false;  // more of the request is to follow
    bool streaming_response = false, reading_paused = false;  // the response is streamed; reading is paused
    bool paused_for_memory = false;
    TimePoint idle_since;
    std::optional<TimePoint> last_response_at;  // when its last byte was read
    ResponseReader reader;
    MemoryReservation connection_memory, request_memory, response_memory;

    // To be called whenever the connection may hold more or less than before.
    void update_memory()
    {
        request_memory.resize(unsent_bytes());
        response_memory.resize(reader.memory_bytes() +
                               evbuffer_get_length(bufferevent_get_input(stream.get())));
    }

    bool has_rested(TimePoint now) const
    {
        return !last_response_at || now - *last_response_at >= rest_after_response;
    }

    size_t unsent_bytes() const { return evbuffer_get_length(bufferevent_get_output(stream.get())); }

    // Whether no byte of a request has been accepted by the kernel, so that nothing can be its response.
    bool is_request_unsent() const { return !request_begun || unsent_bytes() == request_bytes; }

    // "Written" means accepted by the kernel. Data passed to the stream waits there until the loop has
    // checked once more for closed connections: after a stall, a request that meets a closed connection is
    // known not to have been sent.
    AttemptProgress progress() const
    {
        if (!connected) return AttemptProgress::not_connected;
        if (!request_begun || request_incomplete || unsent_bytes() > 0)
            return AttemptProgress::partly_written;
        return reader.has_started() ? AttemptProgress::receiving_response : AttemptProgress::written;
    }
};

UpstreamPool::UpstreamPool(event_base* base, const ServiceConfig& setup, ConnectionBudget budget,
                           MemoryBudget& memory, std::function<void(Event)> post_event)
    : base_(base),
      setup_(setup),
      budget_(std::move(budget)),
      memory_(memory),
      post_event_(std::move(post_event))
{
    memory_pause_timer_.reset(evtimer_new(
        base_,
        [](evutil_socket_t, short, void* self) {
            static_cast<UpstreamPool*>(self)->resume_after_memory_pause();
        },
        this));
}

UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::set_process_count(size_t process_count)
{
    budget_.set_process_count(process_count);
    if (connections_.size() > budget_.limit()) close_oldest_idle(connections_.size() - budget_.limit());
}

void UpstreamPool::start_attempt(const ConnectUpstream& connect)
{
    if (const auto idle = take_idle(connect.upstream_id, connect.endpoint); idle != connections_.end()) {
        bufferevent_set_timeouts(idle->stream.get(), nullptr, nullptr);
        assign(idle, connect.attempt, connect.timeout);
        return post_event_(UpstreamConnected{connect.attempt});
    }
    if (budget_.is_exhausted(open_connections())) close_oldest_idle(1);
    if (budget_.is_exhausted(open_connections())) {
        return post_event_(
            AttemptFailed{connect.attempt, {AttemptProgress::not_connected, FailureCause::no_descriptor}});
    }
    const auto it = open_connection(connect.upstream_id, connect.endpoint);
    if (it == connections_.end()) {
        const auto cause = cause_of(errno);
        if (cause == FailureCause::no_descriptor) close_oldest_idle(8);
        return post_event_(AttemptFailed{connect.attempt, {AttemptProgress::not_connected, cause}});
    }
    assign(it, connect.attempt, connect.timeout);
}

// Takes an idle connection that can carry a request now; the end of the connections if there is none. Closes
// those that it finds to be of no further use.
UpstreamPool::ConnectionIterator UpstreamPool::take_idle(UpstreamId upstream_id, const std::string& endpoint)
{
    for (;;) {
        const auto it = find_rested(upstream_id, endpoint);
        if (it == connections_.end()) return it;
        if (it->endpoint == endpoint && !has_unread_input(it->stream.get())) {
            remove_from_idle(it);
            return it;
        }
        close_connection(it);
    }
}

// The most recently used idle connection that has rested, or that leads to another endpoint.
UpstreamPool::ConnectionIterator UpstreamPool::find_rested(UpstreamId upstream_id,
                                                           const std::string& endpoint)
{
    const auto idle = idle_.find(upstream_id);
    if (idle == idle_.end()) return connections_.end();
    const TimePoint now = monotonic_now();
    const auto found = std::find_if(idle->second.rbegin(), idle->second.rend(), [&](ConnectionIterator it) {
        return it->endpoint != endpoint || it->has_rested(now);
    });
    return found == idle->second.rend() ? connections_.end() : *found;
}

UpstreamPool::ConnectionIterator UpstreamPool::open_connection(UpstreamId upstream_id,
                                                               const std::string& endpoint)
{
    sockaddr_storage address{};
    int length = sizeof address;
    errno = 0;
    if (evutil_parse_sockaddr_port(endpoint.c_str(), reinterpret_cast<sockaddr*>(&address), &length) != 0)
        return connections_.end();
    const int fd = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return connections_.end();
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    connections_.emplace_front(setup_, memory_);
    const auto it = connections_.begin();
    it->owner = this;
    it->self = it;
    it->upstream_id = upstream_id;
    it->endpoint = endpoint;
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
            c->owner->on_event(c->self, what);
        },
        &*it);
    bound_read_size(it->stream.get());
    bufferevent_setwatermark(it->stream.get(), EV_READ, 0, body_read_watermark_bytes);
    bufferevent_enable(it->stream.get(), EV_READ | EV_WRITE);
    it->connect_timer = make_timeout_timer(*it, setup_.connect_timeout);
    // An immediate refusal is also reported through the callback.
    bufferevent_socket_connect(it->stream.get(), reinterpret_cast<sockaddr*>(&address), length);
    return it;
}

EventPtr UpstreamPool::make_timeout_timer(Connection& c, Duration wait)
{
    EventPtr timer(evtimer_new(
        base_,
        [](evutil_socket_t, short, void* arg) {
            auto* connection = static_cast<Connection*>(arg);
            connection->owner->on_timeout(connection->self);
        },
        &c));
    const auto after = to_timeval(wait);
    event_add(timer.get(), &after);
    return timer;
}

void UpstreamPool::assign(ConnectionIterator it, AttemptId attempt, Duration limit)
{
    it->attempt = attempt;
    it->request_begun = it->request_incomplete = it->response_begun = it->streaming_response =
        it->reading_paused = it->rechecked = false;
    it->request_bytes = 0;
    it->deadline = monotonic_now() + limit;
    replace_and_free(it->reader, ResponseReader(setup_));
    it->update_memory();
    connection_of_[attempt] = it;
    it->response_timer = make_timeout_timer(*it, limit);
}

void UpstreamPool::write(WriteUpstream write)
{
    const auto it = connection_of_.find(write.attempt);
    if (it == connection_of_.end()) return;
    const ConnectionIterator connection = it->second;
    if (!connection->request_begun && has_unread_input(connection->stream.get()))
        return on_unsolicited_bytes(connection);
    connection->request_begun = true;
    connection->request_incomplete = write.request_incomplete;
    connection->request_bytes += write.bytes.size();
    write_bytes(connection->stream.get(), std::move(write.bytes));
    connection->update_memory();
    // Limits how long an upstream may leave the sent part of a request unread, even while its caller still
    // sends.
    if (write.request_incomplete) restart_timeout(connection, streaming_gap_timeout);
}

void UpstreamPool::restart_timeout(ConnectionIterator it, Duration wait)
{
    it->rechecked = false;
    it->response_timer = make_timeout_timer(*it, wait);
}

void UpstreamPool::restart_streaming_timeout(ConnectionIterator it)
{
    restart_timeout(it, std::max(streaming_gap_timeout, it->deadline - monotonic_now()));
}

void UpstreamPool::set_timeout(const SetAttemptTimeout& change)
{
    const auto it = connection_of_.find(change.attempt);
    if (it == connection_of_.end() || it->second->streaming_response) return;
    it->second->deadline = monotonic_now() + change.timeout;
    restart_timeout(it->second,
                    it->second->response_begun ? std::min(response_gap, change.timeout) : change.timeout);
}

// Pauses reading when the caller is slower than the upstream, and resumes once it has caught up.
void UpstreamPool::set_response_reading(const SetResponseReading& reading)
{
    const auto found = connection_of_.find(reading.attempt);
    if (found == connection_of_.end()) return;
    const ConnectionIterator it = found->second;
    it->reading_paused = !reading.enabled;
    if (it->reading_paused) {
        it->response_timer.reset();
        bufferevent_disable(it->stream.get(), EV_READ);
        return;
    }
    restart_streaming_timeout(it);
    if (!it->paused_for_memory) bufferevent_enable(it->stream.get(), EV_READ);
    bufferevent_trigger(it->stream.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

// Abandons an attempt. A request that has begun can only be taken back by closing the connection.
void UpstreamPool::abandon(AttemptId attempt)
{
    const auto it = connection_of_.find(attempt);
    if (it == connection_of_.end()) return;
    const ConnectionIterator connection = it->second;
    if (!connection->connected || connection->request_begun) return close_connection(connection);
    connection_of_.erase(it);
    release_to_idle(connection);
}

void UpstreamPool::cancel_write(AttemptId attempt)
{
    const auto it = connection_of_.find(attempt);
    if (it == connection_of_.end() || !it->second->request_begun)
        return;  // the reducer checks again before it writes
    if (it->second->unsent_bytes() == it->second->request_bytes)
        fail(it->second, FailureCause::write_cancelled);
}

void UpstreamPool::release_to_idle(ConnectionIterator it)
{
    it->attempt = 0;
    it->response_timer.reset();
    it->request_begun = it->request_incomplete = it->streaming_response = it->reading_paused =
        it->paused_for_memory = false;
    bufferevent_enable(it->stream.get(), EV_READ);
    replace_and_free(it->reader, ResponseReader(setup_));
    it->update_memory();
    it->idle_since = monotonic_now();
    const auto wait = to_timeval(setup_.upstream_idle_timeout * idle_timeout_share);
    bufferevent_set_timeouts(it->stream.get(), &wait, nullptr);
    idle_[it->upstream_id].push_back(it);
}

void UpstreamPool::close_idle(UpstreamId upstream_id)
{
    for (auto it = idle_.find(upstream_id); it != idle_.end(); it = idle_.find(upstream_id))
        close_connection(it->second.back());
}

size_t UpstreamPool::close_oldest_idle(size_t count)
{
    std::vector<ConnectionIterator> resting;
    for (auto it = connections_.begin(); it != connections_.end(); ++it)
        if (it->attempt == 0) resting.push_back(it);
    count = std::min(count, resting.size());
    std::partial_sort(
        resting.begin(), resting.begin() + static_cast<ptrdiff_t>(count), resting.end(),
        [](ConnectionIterator a, ConnectionIterator b) { return a->idle_since < b->idle_since; });
    for (size_t i = 0; i < count; ++i) close_connection(resting[i]);
    return count;
}

void UpstreamPool::fail(ConnectionIterator it, FailureCause cause)
{
    const auto attempt = it->attempt;
    const ConnectionError error{it->progress(), cause};
    close_connection(it);
    if (attempt) post_event_(AttemptFailed{attempt, error});
}

void UpstreamPool::close_connection(ConnectionIterator it)
{
    if (it->attempt) {
        connection_of_.erase(it->attempt);
    } else {
        remove_from_idle(it);
    }
    connections_.erase(it);
}

// Erases the entry of an upstream without idle connections, so that the map does not grow with every
// upstream ever seen.
void UpstreamPool::remove_from_idle(ConnectionIterator it)
{
    const auto resting = idle_.find(it->upstream_id);
    if (resting == idle_.end()) return;
    std::erase(resting->second, it);
    if (resting->second.empty()) idle_.erase(resting);
}

// Handles a timeout. After a stall of this process, what has come meanwhile is read before the upstream is
// blamed.
void UpstreamPool::on_timeout(ConnectionIterator it)
{
    pollfd seen{bufferevent_getfd(it->stream.get()),
                static_cast<short>(it->connected ? POLLIN : POLLIN | POLLOUT), 0};
    if (!it->rechecked && poll(&seen, 1, 0) > 0) {
        it->rechecked = true;
        auto& timer = it->connected ? it->response_timer : it->connect_timer;
        const auto soon = to_timeval(seconds(0.001));
        event_add(timer.get(), &soon);
        return;
    }
    const Duration left = it->deadline - monotonic_now();
    if (!it->response_begun || it->streaming_response || left <= Duration{})
        return fail(it, it->response_begun ? FailureCause::invalid_response : FailureCause::timed_out);
    restart_timeout(it, std::min(stalled_report_interval, left));
    post_event_(ResponseStalled{it->attempt});
}

void UpstreamPool::on_readable(ConnectionIterator it)
{
    auto* input = bufferevent_get_input(it->stream.get());
    const size_t size = evbuffer_get_length(input);
    if (size == 0) return;
    if (!it->attempt || it->is_request_unsent()) return on_unsolicited_bytes(it);
    if (it->reading_paused) return;
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const auto state = it->reader.parse({bytes, size});
    const bool trailing_bytes = it->reader.consumed_bytes() < size;  // after the end of the response
    evbuffer_drain(input, size);
    it->update_memory();
    if (state == ResponseReader::State::malformed) return fail(it, FailureCause::invalid_response);
    if (state == ResponseReader::State::complete) return on_response_complete(it, trailing_bytes);
    if (!memory_.has_room()) pause_for_memory(it);
    if (it->reader.has_started()) on_response_progress(it);
}

// Handles more of a response that is not complete: passes it on, begins to, or waits for its rest.
void UpstreamPool::on_response_progress(ConnectionIterator it)
{
    const bool is_first = !std::exchange(it->response_begun, true);
    if (it->streaming_response) {
        restart_streaming_timeout(it);
        auto piece = it->reader.take_body();
        it->update_memory();
        if (!piece.empty()) post_event_(ResponseChunkReceived{it->attempt, std::move(piece), false});
        return;
    }
    if (!should_stream(it)) {
        restart_timeout(it, std::min(response_gap, it->deadline - monotonic_now()));
        if (is_first) post_event_(ResponseBegun{it->attempt});
        return;
    }
    it->streaming_response = true;
    restart_streaming_timeout(it);
    auto first = std::exchange(it->reader.response(), {});
    it->update_memory();
    first.body_incomplete = true;
    first.content_length = it->reader.content_length();
    post_event_(ResponseReceived{it->attempt, std::move(first)});
}

// A response without a stated length is streamed too, rather than collected piece by piece until its timeout;
// and where memory is short, any that is not small.
bool UpstreamPool::should_stream(ConnectionIterator it) const
{
    const size_t received = it->reader.body_bytes_received();
    if (received > small_response_bytes && !memory_.has_room_for_large()) return true;
    return it->reader.content_length() ? it->reader.exceeds_buffer() && received > 0
                                       : received > max_buffered_unsized_bytes;
}

// What comes next waits in the kernel's buffers. The attempt's time goes on.
void UpstreamPool::pause_for_memory(ConnectionIterator it)
{
    it->paused_for_memory = true;
    bufferevent_disable(it->stream.get(), EV_READ);
    const auto wait = to_timeval(memory_pause);
    if (!evtimer_pending(memory_pause_timer_.get(), nullptr)) event_add(memory_pause_timer_.get(), &wait);
}

void UpstreamPool::resume_after_memory_pause()
{
    bool still_paused = false;
    for (Connection& connection : connections_) {
        if (!connection.paused_for_memory) continue;
        if (!memory_.has_room()) {
            still_paused = true;
            break;
        }
        connection.paused_for_memory = false;
        if (connection.reading_paused) continue;
        bufferevent_enable(connection.stream.get(), EV_READ);
    }
    const auto wait = to_timeval(memory_pause);
    if (still_paused) event_add(memory_pause_timer_.get(), &wait);
}

// Bytes that cannot be the response to a request: a second copy of the last response, for instance. Others
// may follow them, so the connection is of no further use.
void UpstreamPool::on_unsolicited_bytes(ConnectionIterator it)
{
    const auto since_response = it->last_response_at ? (monotonic_now() - *it->last_response_at).us : -1;
    spdlog::debug("upstream {}: unsolicited bytes, or the end, {} us after the last response",
                  it->upstream_id, since_response);
    fail(it, FailureCause::invalid_response);
}

void UpstreamPool::on_response_complete(ConnectionIterator it, bool trailing_bytes)
{
    const auto attempt = it->attempt;
    const bool request_unwritten = it->request_incomplete || it->unsent_bytes() > 0;
    const bool streamed = it->streaming_response;
    auto response = std::move(it->reader.response());
    const bool keep = it->reader.keep_alive() && !request_unwritten && !trailing_bytes;
    connection_of_.erase(attempt);
    it->last_response_at = monotonic_now();
    if (keep)
        release_to_idle(it);
    else
        it->attempt = 0, close_connection(it);
    if (streamed)
        post_event_(ResponseChunkReceived{attempt, std::move(response.body), true});
    else
        post_event_(ResponseReceived{attempt, std::move(response)});
}

// libevent also calls this for a new connection, and after a write that left another one pending.
void UpstreamPool::on_written(ConnectionIterator it)
{
    it->update_memory();
    if (!it->attempt || !it->request_begun || it->unsent_bytes() > 0) return;
    if (it->request_incomplete) it->response_timer.reset();  // now the caller is the one to wait for
    post_event_(RequestWritten{it->attempt});
}

void UpstreamPool::on_event(ConnectionIterator it, short what)
{
    if (what & BEV_EVENT_CONNECTED) {
        it->connected = true;
        it->connect_timer.reset();
        if (it->attempt) post_event_(UpstreamConnected{it->attempt});
        return;
    }
    if (!it->attempt) return close_connection(it);  // idle timeout, or closed by the upstream
    if (!it->connected) return fail(it, cause_of(EVUTIL_SOCKET_ERROR()));
    if ((what & BEV_EVENT_EOF) && it->request_begun && it->reader.ends_at_close())
        return on_response_complete(it, false);
    fail(it, FailureCause::connection_lost);
}

}  // namespace firtide::net
