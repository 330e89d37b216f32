#include "upstream_pool.h"

#include <event2/buffer.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>

#include <algorithm>
#include <cerrno>

#include "src/io/log.h"

namespace firtide::net
{
namespace
{

// An upstream closes idle connections at the settings' time; ours go clearly earlier, so that no request
// crosses the close.
constexpr double idle_part = 0.75;

// An answer that has begun goes on within this. Guards against one whose head or body never ends: waiting for
// more would use up the time that another forward needs.
constexpr Duration goes_on_within = seconds(0.5);
// The same where its caller has a part of it already, and for a request that is being sent: nothing is won by
// haste.
constexpr Duration moves_within = seconds(4);
constexpr size_t read_at_once = 64 * 1024;

// Guards against blaming an upstream for what this machine lacks.
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

// Lives as long as the connection; what belongs to one request is in the attempt's part.
struct UpstreamPool::Connection {
    explicit Connection(const ServiceConfig& setup) : reader(setup) {}

    UpstreamPool* owner = nullptr;
    Place self;
    UpstreamId upstream_id = 0;
    std::string endpoint;
    BuffereventPtr stream;
    EventPtr connecting_until;
    bool connected = false;

    AttemptId attempt = 0;  // 0: idle
    EventPtr waits_until;
    TimePoint until;
    bool looked_again = false;  // past its time, for what the kernel has and the loop has not seen
    bool answering = false;
    bool asked = false;                    // the request, or a part of it, was handed to the stream
    size_t handed = 0;                     // bytes of the request, to the stream
    bool more = false;                     // of the request is still to be handed over
    bool passed_on = false, held = false;  // its answer, in pieces; and nobody takes them now
    TimePoint rests_since;
    ResponseReader reader;

    // "Written" is what the kernel took. What is handed to the stream waits there until the loop has looked
    // for ends once more: after a stall, a request that meets one is known not to have left.
    AttemptProgress progress() const
    {
        if (!connected) return AttemptProgress::not_connected;
        if (!asked || more || evbuffer_get_length(bufferevent_get_output(stream.get())) > 0)
            return AttemptProgress::partly_written;
        return reader.has_started() ? AttemptProgress::receiving_response : AttemptProgress::written;
    }
};

UpstreamPool::UpstreamPool(event_base* base, const ServiceConfig& setup, ConnectionBudget room,
                           std::function<void(Event)> tell)
    : base_(base), setup_(setup), room_(std::move(room)), tell_(std::move(tell))
{
}

UpstreamPool::~UpstreamPool() = default;

void UpstreamPool::share(size_t processes)
{
    room_.share(processes);
    if (all_.size() > room_.own()) close_oldest_idle(all_.size() - room_.own());
}

void UpstreamPool::dial(const ConnectUpstream& dial)
{
    for (auto found = idle_.find(dial.upstream_id); found != idle_.end();
         found = idle_.find(dial.upstream_id)) {
        const Place at = found->second.back();
        if (at->endpoint != dial.endpoint || !quiet(*at)) {
            close(at);
            continue;
        }
        take_from_rest(at);
        bufferevent_set_timeouts(at->stream.get(), nullptr, nullptr);
        serve(at, dial.attempt, dial.timeout);
        return tell_(UpstreamConnected{dial.attempt});
    }
    if (room_.full(open())) close_oldest_idle(1);
    if (room_.full(open())) {
        return tell_(
            AttemptFailed{dial.attempt, {AttemptProgress::not_connected, FailureCause::no_descriptor}});
    }
    const Place at = connect(dial.upstream_id, dial.endpoint);
    if (at == all_.end()) {
        const auto cause = cause_of(errno);
        if (cause == FailureCause::no_descriptor) close_oldest_idle(8);
        return tell_(AttemptFailed{dial.attempt, {AttemptProgress::not_connected, cause}});
    }
    serve(at, dial.attempt, dial.timeout);
}

UpstreamPool::Place UpstreamPool::connect(UpstreamId upstream_id, const std::string& endpoint)
{
    sockaddr_storage address{};
    int length = sizeof address;
    errno = 0;
    if (evutil_parse_sockaddr_port(endpoint.c_str(), reinterpret_cast<sockaddr*>(&address), &length) != 0)
        return all_.end();
    const int fd = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return all_.end();
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    all_.emplace_front(setup_);
    const Place at = all_.begin();
    at->owner = this;
    at->self = at;
    at->upstream_id = upstream_id;
    at->endpoint = endpoint;
    at->stream.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_setcb(
        at->stream.get(),
        [](bufferevent*, void* arg) {
            auto* c = static_cast<Connection*>(arg);
            c->owner->readable(c->self);
        },
        [](bufferevent*, void* arg) {
            auto* c = static_cast<Connection*>(arg);
            c->owner->written(c->self);
        },
        [](bufferevent*, short what, void* arg) {
            auto* c = static_cast<Connection*>(arg);
            c->owner->ended(c->self, what);
        },
        &*at);
    bufferevent_setwatermark(at->stream.get(), EV_READ, 0, read_at_once);
    bufferevent_enable(at->stream.get(), EV_READ | EV_WRITE);
    at->connecting_until = give_up_after(*at, setup_.connect_timeout);
    // A refusal that is known at once comes through the callback all the same.
    bufferevent_socket_connect(at->stream.get(), reinterpret_cast<sockaddr*>(&address), length);
    return at;
}

EventPtr UpstreamPool::give_up_after(Connection& c, Duration wait)
{
    EventPtr timer(evtimer_new(
        base_,
        [](evutil_socket_t, short, void* arg) {
            auto* late = static_cast<Connection*>(arg);
            late->owner->late(late->self);
        },
        &c));
    const auto after = to_timeval(wait);
    event_add(timer.get(), &after);
    return timer;
}

void UpstreamPool::serve(Place at, AttemptId attempt, Duration limit)
{
    at->attempt = attempt;
    at->asked = at->more = at->answering = at->passed_on = at->held = at->looked_again = false;
    at->handed = 0;
    at->until = monotonic_now() + limit;
    at->reader = ResponseReader(setup_);
    of_attempt_[attempt] = at;
    at->waits_until = give_up_after(*at, limit);
}

void UpstreamPool::write(const WriteUpstream& write)
{
    const auto at = of_attempt_.find(write.attempt);
    if (at == of_attempt_.end()) return;
    const Place place = at->second;
    place->asked = true;
    place->more = write.request_incomplete;
    place->handed += write.bytes.size();
    bufferevent_write(place->stream.get(), write.bytes.data(), write.bytes.size());
    // Guards against an upstream that does not read what is sent to it for longer than its caller sends.
    if (write.request_incomplete) wait_for(place, moves_within);
}

void UpstreamPool::wait_for(Place at, Duration wait)
{
    at->looked_again = false;
    at->waits_until = give_up_after(*at, wait);
}

void UpstreamPool::limit(const SetAttemptTimeout& limit)
{
    const auto at = of_attempt_.find(limit.attempt);
    if (at == of_attempt_.end() || at->second->answering) return;
    at->second->until = monotonic_now() + limit.timeout;
    wait_for(at->second, limit.timeout);
}

// Whoever takes the answer is slower than the upstream, or has caught up.
void UpstreamPool::read(const SetResponseReading& read)
{
    const auto found = of_attempt_.find(read.attempt);
    if (found == of_attempt_.end()) return;
    const Place at = found->second;
    at->held = !read.enabled;
    if (at->held) {
        at->waits_until.reset();
        bufferevent_disable(at->stream.get(), EV_READ);
        return;
    }
    wait_for(at, moves_within);
    bufferevent_enable(at->stream.get(), EV_READ);
    bufferevent_trigger(at->stream.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

// Gives an attempt up: what was begun on the connection can only be taken back by ending it.
void UpstreamPool::hang_up(AttemptId attempt)
{
    const auto at = of_attempt_.find(attempt);
    if (at == of_attempt_.end()) return;
    const Place place = at->second;
    if (!place->connected || place->asked) return close(place);
    of_attempt_.erase(at);
    rest(place);
}

void UpstreamPool::withdraw(AttemptId attempt)
{
    const auto at = of_attempt_.find(attempt);
    if (at == of_attempt_.end() || !at->second->asked) return;  // the gate is asked again before its bytes
    if (evbuffer_get_length(bufferevent_get_output(at->second->stream.get())) == at->second->handed)
        fail(at->second, FailureCause::write_cancelled);
}

void UpstreamPool::rest(Place at)
{
    at->attempt = 0;
    at->waits_until.reset();
    at->asked = at->more = at->passed_on = at->held = false;
    at->reader = ResponseReader(setup_);
    at->rests_since = monotonic_now();
    const auto wait = to_timeval(setup_.upstream_idle_timeout * idle_part);
    bufferevent_set_timeouts(at->stream.get(), &wait, nullptr);
    idle_[at->upstream_id].push_back(at);
}

void UpstreamPool::close_idle(UpstreamId upstream_id)
{
    for (auto at = idle_.find(upstream_id); at != idle_.end(); at = idle_.find(upstream_id))
        close(at->second.back());
}

size_t UpstreamPool::close_oldest_idle(size_t count)
{
    std::vector<Place> resting;
    for (Place at = all_.begin(); at != all_.end(); ++at)
        if (at->attempt == 0) resting.push_back(at);
    count = std::min(count, resting.size());
    std::partial_sort(resting.begin(), resting.begin() + static_cast<ptrdiff_t>(count), resting.end(),
                      [](Place a, Place b) { return a->rests_since < b->rests_since; });
    for (size_t i = 0; i < count; ++i) close(resting[i]);
    return count;
}

void UpstreamPool::fail(Place at, FailureCause cause)
{
    const auto attempt = at->attempt;
    const ConnectionError broken{at->progress(), cause};
    close(at);
    if (attempt) tell_(AttemptFailed{attempt, broken});
}

void UpstreamPool::close(Place at)
{
    if (at->attempt) {
        of_attempt_.erase(at->attempt);
    } else {
        take_from_rest(at);
    }
    all_.erase(at);
}

// Nothing is kept of an upstream that no connection rests at. Guards against growing with each that ever was.
void UpstreamPool::take_from_rest(Place at)
{
    const auto resting = idle_.find(at->upstream_id);
    if (resting == idle_.end()) return;
    std::erase(resting->second, at);
    if (resting->second.empty()) idle_.erase(resting);
}

// Guards against a second copy of the last answer, or the end of the connection, that has come and that the
// loop has not seen yet: it would be taken for the answer to the next request.
bool UpstreamPool::quiet(const Connection& c) const
{
    char byte;
    return evbuffer_get_length(bufferevent_get_input(c.stream.get())) == 0 &&
           recv(bufferevent_getfd(c.stream.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EINTR);
}

// Time is up. Guards against blaming an upstream for a stall of this program: what has come meanwhile is
// looked at first.
void UpstreamPool::late(Place at)
{
    pollfd seen{bufferevent_getfd(at->stream.get()),
                static_cast<short>(at->connected ? POLLIN : POLLIN | POLLOUT), 0};
    if (!at->looked_again && poll(&seen, 1, 0) > 0) {
        at->looked_again = true;
        auto& timer = at->connected ? at->waits_until : at->connecting_until;
        const auto soon = to_timeval(seconds(0.001));
        event_add(timer.get(), &soon);
        return;
    }
    fail(at, at->answering ? FailureCause::invalid_response : FailureCause::timed_out);
}

void UpstreamPool::readable(Place at)
{
    auto* input = bufferevent_get_input(at->stream.get());
    const size_t size = evbuffer_get_length(input);
    if (!at->attempt || !at->asked) {
        if (size > 0) fail(at, FailureCause::invalid_response);  // an answer that nobody asked for
        return;
    }
    if (at->held || size == 0) return;
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const auto state = at->reader.parse({bytes, size});
    const bool more = at->reader.consumed_bytes() < size;  // than belongs to the answer
    evbuffer_drain(input, size);
    if (state == ResponseReader::State::malformed) return fail(at, FailureCause::invalid_response);
    if (state == ResponseReader::State::complete) return whole(at, more);
    if (!at->reader.has_started()) return;
    at->answering = true;
    if (at->passed_on) {
        wait_for(at, moves_within);
        if (auto piece = at->reader.take_body(); !piece.empty())
            tell_(ResponseChunkReceived{at->attempt, std::move(piece), false});
    } else if (at->reader.content_length()
                   ? at->reader.exceeds_buffer() && at->reader.body_bytes_received() > 0
                   : at->reader.body_bytes_received() > max_buffered_unsized_bytes) {
        // Guards against gathering an answer of no stated length, piece by piece, until its time is up.
        at->passed_on = true;
        wait_for(at, moves_within);
        auto first = std::exchange(at->reader.response(), {});
        first.body_incomplete = true;
        first.content_length = at->reader.content_length();
        tell_(ResponseReceived{at->attempt, std::move(first)});
    } else {
        wait_for(at, std::min(goes_on_within, at->until - monotonic_now()));
    }
}

void UpstreamPool::whole(Place at, bool more)
{
    const auto attempt = at->attempt;
    const bool unwritten = at->more || evbuffer_get_length(bufferevent_get_output(at->stream.get())) > 0;
    const bool passed_on = at->passed_on;
    auto response = std::move(at->reader.response());
    const bool keep = at->reader.keep_alive() && !unwritten && !more;
    of_attempt_.erase(attempt);
    if (keep)
        rest(at);
    else
        at->attempt = 0, close(at);
    if (passed_on)
        tell_(ResponseChunkReceived{attempt, std::move(response.body), true});
    else
        tell_(ResponseReceived{attempt, std::move(response)});
}

// libevent also says so of a new connection, and after a write that left another one behind it.
void UpstreamPool::written(Place at)
{
    if (!at->attempt || !at->asked || evbuffer_get_length(bufferevent_get_output(at->stream.get())) > 0)
        return;
    if (at->more) at->waits_until.reset();  // now it is the caller who takes time
    tell_(RequestWritten{at->attempt});
}

void UpstreamPool::ended(Place at, short what)
{
    if (what & BEV_EVENT_CONNECTED) {
        at->connected = true;
        at->connecting_until.reset();
        if (at->attempt) tell_(UpstreamConnected{at->attempt});
        return;
    }
    if (!at->attempt) return close(at);  // idle for long enough, or ended by the upstream
    if (!at->connected) return fail(at, cause_of(EVUTIL_SOCKET_ERROR()));
    if ((what & BEV_EVENT_EOF) && at->asked && at->reader.ends_at_close()) return whole(at, false);
    fail(at, FailureCause::connection_lost);
}

}  // namespace firtide::net
