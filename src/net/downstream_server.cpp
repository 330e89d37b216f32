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

// How long a connection may stay in each phase: for a request from its first byte (of a new connection: from
// connecting; for each part of its body there is a little more), for more of a large one, between requests,
// for an answer, to take the next part of one, and to close after its last.
constexpr std::array<Duration, 6> at_most = {seconds(2.5),  seconds(2.5), seconds(60),
                                             seconds(3600), seconds(10),  seconds(1)};
constexpr double slowest_body = 24 * 1024;      // bytes a second
constexpr Duration may_rest = seconds(2);       // whatever room is needed
constexpr Duration asks_within = seconds(0.2);  // the same for a new connection or a request begun
constexpr Duration lingers = seconds(0.1);      // the same for one whose sending side is shut
constexpr size_t some = 16;                     // connections to make room for at a time
constexpr Duration ends_with_request = seconds(0.03), goes_after = seconds(0.05);
constexpr Duration tell_every = seconds(1);  // of the same trouble in the log
constexpr Duration look_every = seconds(0.05), stalled = seconds(0.2);
constexpr size_t read_ahead = 8 * 1024;      // bytes of one connection that wait to be read
constexpr size_t read_at_once = 64 * 1024;   // the same of a large body
constexpr size_t nearly_taken = 16 * 1024;   // bytes of an answer left to send, when more of it is asked for
constexpr size_t window = 128 * 1024;        // bytes held of a large message, about
constexpr size_t most_ignored = 128 * 1024;  // bytes read and dropped behind a last answer
constexpr uint32_t most_in_a_row = 16;       // requests sent before the last one's answer had come

// How long ago the last byte came. Guards against requests that waited unread while this program stood still:
// their time counts from when their callers sent them.
Duration unread_for(int fd)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
    return Duration{int64_t{info.tcpi_last_data_recv} * 1000};
}

// Whether the socket shows this now.
bool shows(int fd, short events)
{
    pollfd at{fd, events, 0};
    return poll(&at, 1, 0) > 0;
}

}  // namespace

// Lives as long as the connection.
struct DownstreamServer::Connection {
    explicit Connection(const ServiceConfig& setup) : reader(setup) {}

    DownstreamServer* owner = nullptr;
    Place self;
    Phase phase = asking;
    TimePoint since;
    BuffereventPtr stream;
    RequestReader reader;
    RequestId caller = 0;   // of the request that waits for its answer
    size_t due = 0;         // of its body, when it had its answer before all of it had come
    bool sent_all = false;  // and closed its side
    bool last = false;      // after the answer being sent
    bool in_pieces = false, chunked = false, to_the_end = false;  // the answer
    size_t held = 0, ignored = 0;
    uint32_t in_a_row = 0;
};

DownstreamServer::DownstreamServer(event_base* base, const Config& config, ConnectionBudget room,
                                   std::function<bool()> ready, std::function<void()> crowded,
                                   std::function<void(Event)> tell)
    : base_(base),
      config_(config),
      room_(std::move(room)),
      most_held_(config.bodies),
      ready_(std::move(ready)),
      crowded_(std::move(crowded)),
      tell_(std::move(tell))
{
    check_passed_socket(config);
    if (config.passed_socket)
        take_over(*config.passed_socket);
    else
        listen(config.listen);
    look_.reset(event_new(
        base_, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<DownstreamServer*>(self)->look(); }, this));
    const auto every = to_timeval(look_every);
    event_add(look_.get(), &every);
}

DownstreamServer::~DownstreamServer() = default;

void DownstreamServer::listen(const Address& address)
{
    sockaddr_storage at{};
    int length = sizeof at;
    const auto text = to_string(address);
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&at), &length) != 0)
        throw ConfigException("listen: '" + text + "' is no numeric address");
    listener_.reset(evconnlistener_new_bind(base_, accepted, this,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                            1024, reinterpret_cast<sockaddr*>(&at), length));
    if (!listener_)
        throw ConfigException("listen: cannot listen on " + text + ": " +
                              evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    heed_errors();
}

// The socket is the platform's and shared with another process of the same balancer: what this one cannot
// serve yet is left to that one.
void DownstreamServer::take_over(int fd)
{
    evutil_make_socket_nonblocking(fd);
    listener_.reset(
        evconnlistener_new(base_, accepted, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, fd));
    if (!listener_) throw ConfigException("NODE_PASSED_SOCKET: cannot be listened on");
    heed_errors();
    evconnlistener_disable(listener_.get());
    before_ready_ = true;
}

void DownstreamServer::accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self)
{
    static_cast<DownstreamServer*>(self)->accept(fd);
}

void DownstreamServer::heed_errors()
{
    evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* arg) {
        auto* self = static_cast<DownstreamServer*>(arg);
        self->crowded_();
        self->pause_listening();
    });
}

// Until the next look. Guards against spinning: libevent would try again at once, without end.
void DownstreamServer::pause_listening()
{
    paused_ = true;
    evconnlistener_disable(listener_.get());
}

size_t DownstreamServer::open() const
{
    size_t all = 0;
    for (const auto& phase : in_) all += phase.size();
    return all;
}

void DownstreamServer::accept(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const Place at = in_[asking].emplace(in_[asking].end(), config_.service_config);
    at->owner = this;
    at->self = at;
    at->since = monotonic_now();
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
            if ((what & BEV_EVENT_EOF) && c->owner->still_listens(c->self)) return;
            c->owner->ended(c->self);
        },
        &*at);
    bufferevent_setwatermark(at->stream.get(), EV_READ, 0, read_ahead);
    bufferevent_enable(at->stream.get(), EV_READ | EV_WRITE);
    if (room_.full(open())) make_room(1);
    if (room_.full(open())) pause_listening();
}

void DownstreamServer::enter(Place at, Phase phase)
{
    in_[phase].splice(in_[phase].end(), in_[at->phase], at);
    at->phase = phase;
    at->since = monotonic_now();
}

// What a connection holds of the memory for bodies, from now on.
void DownstreamServer::hold(Connection& c, size_t bytes)
{
    held_ = held_ - c.held + bytes;
    c.held = bytes;
}

void DownstreamServer::readable(Place at)
{
    auto* input = bufferevent_get_input(at->stream.get());
    const size_t size = evbuffer_get_length(input);
    if (at->phase == leaving) {
        evbuffer_drain(input, size);
        if ((at->ignored += size) > most_ignored + at->due) return close(at);
        // Guards against cutting off a caller that reads its answer only once all of its request is sent.
        if (at->due > 0 && size > 0) enter(at, leaving);
        if (at->due > 0 && at->ignored >= at->due) shutdown(bufferevent_getfd(at->stream.get()), SHUT_WR);
        return;
    }
    // What comes early stays unread, and is little, until the answer before it is written.
    if (size == 0 || at->phase == waiting || at->phase == telling) return;
    if (at->phase == resting) enter(at, asking);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
    const auto state = at->reader.parse({bytes, size});
    evbuffer_drain(input, at->reader.consumed_bytes());
    if (state == RequestReader::State::malformed) {
        const auto [status, why] = at->reader.error();
        if (const auto caller = std::exchange(at->caller, 0)) {
            waiting_.erase(caller);
            tell_(DownstreamDisconnected{caller});
        }
        return refuse(at, status, why);
    }
    if (at->phase == bringing) return body_piece_received(at, state == RequestReader::State::complete);
    // Guards against running out of memory: where the bodies would not fit, that is said before they come.
    const auto& request = at->reader.request();
    const size_t most =
        at->reader.exceeds_buffer() ? 2 * window : request.body.size() + at->reader.body_bytes_to_buffer();
    if (most > at->held) {
        if (held_ - at->held + most > most_held_) {
            tell_(RequestRejected{request.operation, request.config_version});
            at->due = at->reader.max_remaining_body_bytes();
            return refuse(at, 503, "no room for the body");
        }
        hold(*at, most);
    }
    if (state == RequestReader::State::complete) return request_received(at, false);
    if (at->reader.exceeds_buffer()) {
        bufferevent_setwatermark(at->stream.get(), EV_READ, 0, read_at_once);
        if (request.body.size() >= max_buffered_body_bytes) return request_received(at, true);
    }
    if (at->reader.expects_continue() && request.body.empty())
        bufferevent_write(at->stream.get(), "HTTP/1.1 100 Continue\r\n\r\n", 25),
            at->reader.mark_continue_sent();
}

// More of a request that is passed on while it comes.
void DownstreamServer::body_piece_received(Place at, bool last)
{
    enter(at, last ? waiting : bringing);
    tell_(RequestChunkReceived{at->caller, at->reader.take_body(), last, last ? unread(at) : Duration{}});
}

// How long the last byte has waited here.
Duration DownstreamServer::unread(Place at) const { return unread_for(bufferevent_getfd(at->stream.get())); }

void DownstreamServer::request_received(Place at, bool more)
{
    const auto input = evbuffer_get_length(bufferevent_get_input(at->stream.get()));
    at->in_a_row = input > 0 ? at->in_a_row + 1 : 0;
    at->last = !at->reader.keep_alive() || at->in_a_row >= most_in_a_row;
    if (at->reader.is_readiness_check()) {
        const bool ready = ready_();
        return reply(at, {ready ? 200 : 503, false, {}, {}, ready ? "ready\n" : "not ready\n"}, !ready);
    }
    Request request = std::move(at->reader.request());
    request.body_incomplete = more;
    bool went = false;
    if (more) {
        request.content_length = at->reader.content_length();
        at->reader.take_body();
    } else {
        const Duration waited = unread(at);
        request.time_left = std::max(Duration{}, request.time_left - waited);
        // Guards against work for a caller that sent its request and went, while this program had no time to
        // read.
        went = waited > goes_after && shows(bufferevent_getfd(at->stream.get()), POLLRDHUP);
    }
    enter(at, waiting);
    at->caller = next_++;
    waiting_[at->caller] = at;
    tell_(RequestReceived{at->caller, std::move(request), went});
}

// What could not be read may have been framed otherwise than it was taken: nothing more is read there.
void DownstreamServer::refuse(Place at, int status, const char* why)
{
    spdlog::debug("a caller gets {}, {}, {} ms after its request began, with {} bytes of its body come",
                  status, why, (monotonic_now() - at->since).us / 1000, at->reader.body_bytes_received());
    reply(at, {status, false, {}, {}, std::string(why) + "\n"}, true);
}

void DownstreamServer::answer(const SendResponse& answer)
{
    const auto found = waiting_.find(answer.caller);
    if (found == waiting_.end()) return;  // it has left
    const Place at = found->second;
    // What still comes of a request that has its answer is read in no other way.
    const bool last = answer.close_connection || !at->reader.is_complete();
    at->due = at->reader.max_remaining_body_bytes();
    if (answer.response.body_incomplete) {
        at->in_pieces = true;
        at->chunked = !answer.response.content_length && !at->reader.is_http_1_0();
        at->to_the_end = !answer.response.content_length && at->reader.is_http_1_0();
        bufferevent_setwatermark(at->stream.get(), EV_WRITE, nearly_taken, 0);
    } else {
        waiting_.erase(found);
        at->caller = 0;
    }
    reply(at, answer.response, last);
}

void DownstreamServer::pass(SendResponseChunk& pass)
{
    const auto found = waiting_.find(pass.caller);
    if (found == waiting_.end()) return;
    const Place at = found->second;
    const auto bytes = encode_body_chunk(std::move(pass.bytes), at->chunked, pass.is_last);
    if (pass.is_last) {
        at->in_pieces = false;
        bufferevent_setwatermark(at->stream.get(), EV_WRITE, 0, 0);
    }
    bufferevent_write(at->stream.get(), bytes.data(), bytes.size());
    // Guards against a last piece that is empty, after which nothing more would be heard of the stream.
    if (bytes.empty()) bufferevent_trigger(at->stream.get(), EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
}

// By a reset: its caller can tell that the answer is not whole, also where its end is the connection's.
void DownstreamServer::cut(RequestId caller)
{
    const auto found = waiting_.find(caller);
    if (found == waiting_.end()) return;
    const linger none{1, 0};
    setsockopt(bufferevent_getfd(found->second->stream.get()), SOL_SOCKET, SO_LINGER, &none, sizeof none);
    close(found->second);
}

void DownstreamServer::hear(const SetRequestReading& hear)
{
    const auto found = waiting_.find(hear.caller);
    if (found == waiting_.end() || found->second->reader.is_complete()) return;
    const Place at = found->second;
    if (at->phase != waiting && at->phase != bringing) return;
    enter(at, hear.enabled ? bringing : waiting);
    if (hear.enabled)
        bufferevent_trigger(at->stream.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void DownstreamServer::reply(Place at, const Response& response, bool last)
{
    // Guards against callers who ask once and stay, by hundreds: what rests may not be closed at once.
    const bool crowded = open() > room_.own() / 4 * 3;
    at->last = at->last || last || crowded;
    at->last = at->last || at->to_the_end;
    const auto bytes = encode_response(response, at->last, at->reader.is_http_1_0());
    at->reader = RequestReader(config_.service_config);
    hold(*at, response.body_incomplete ? window : bytes.size());
    enter(at, telling);
    bufferevent_write(at->stream.get(), bytes.data(), bytes.size());
}

void DownstreamServer::written(Place at)
{
    // libevent also says so of a new connection, by when its first answer may be on its way.
    const size_t left = evbuffer_get_length(bufferevent_get_output(at->stream.get()));
    if (at->phase != telling || left > (at->in_pieces ? nearly_taken : 0)) return;
    if (at->in_pieces) {
        enter(at, telling);
        return tell_(ResponseDrained{at->caller});
    }
    if (const auto caller = std::exchange(at->caller, 0)) {
        waiting_.erase(caller);
        tell_(ResponseDrained{caller});
    }
    at->to_the_end = at->chunked = false;
    bufferevent_setwatermark(at->stream.get(), EV_READ, 0, read_ahead);
    hold(*at, 0);
    if (at->sent_all) return close(at);
    if (at->last)
        close_lingering(at);
    else
        enter(at, resting);
    // Whatever came early has its turn after all others. Guards against callers that send hundreds at once.
    bufferevent_trigger(at->stream.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

// Every end of a connection on which nothing is owed any more passes here (lingering close): the sending side
// is shut, once all that is due has come, and what still comes is read until the caller closes or its time is
// up. Guards against an answer, or the end itself, that is lost to a reset over unread bytes. What is read
// from here on is sent on to nobody: its caller sees the end and asks elsewhere.
void DownstreamServer::close_lingering(Place at)
{
    enter(at, leaving);
    if (at->due == 0) shutdown(bufferevent_getfd(at->stream.get()), SHUT_WR);
}

// Whether bytes of a request are here, read or not.
bool DownstreamServer::asks(Place at) const
{
    return at->reader.has_started() || evbuffer_get_length(bufferevent_get_input(at->stream.get())) > 0 ||
           shows(bufferevent_getfd(at->stream.get()), POLLIN);
}

// Whether a caller that sends nothing more is taken to read its answer all the same. One that closes its
// sending side does so with its request, one that goes away has waited for a while; one that is being told
// shows it by what it does with the bytes.
bool DownstreamServer::still_listens(Place at)
{
    const bool with_request =
        at->phase == waiting && at->reader.is_complete() && monotonic_now() - at->since < ends_with_request;
    if (!with_request && at->phase != telling) return false;
    at->last = at->sent_all = true;
    if (with_request) tell_(DownstreamHalfClosed{at->caller});
    return true;
}

void DownstreamServer::ended(Place at)
{
    const auto caller = at->caller;
    close(at);
    if (caller) tell_(DownstreamDisconnected{caller});
}

void DownstreamServer::close(Place at)
{
    waiting_.erase(at->caller);
    hold(*at, 0);
    in_[at->phase].erase(at);
}

// Ends what has had its time, and lets callers in again.
void DownstreamServer::look()
{
    const TimePoint now = monotonic_now();
    // Guards against blaming callers for a stall of this program: what they have sent meanwhile is read
    // first. Once, for it may be this slow all the time.
    waits_for_bytes_ = now - std::exchange(looked_, now) > stalled && !waits_for_bytes_;
    if (waits_for_bytes_) return;
    for (size_t phase = 0; phase < phases; ++phase)
        for (Place at = in_[phase].begin(), next; at != in_[phase].end(); at = next) {
            next = std::next(at);
            if (now - at->since <= at_most[phase]) break;
            const bool begun = phase == asking && at->reader.has_started();
            if (begun &&
                now - at->since <= at_most[phase] + seconds(at->reader.body_bytes_received() / slowest_body))
                continue;
            if (begun) {
                refuse(at, 408, "the request took too long");
                continue;
            }
            spdlog::debug("a caller is closed on in phase {}, {} ms after it entered it", phase,
                          (now - at->since).us / 1000);
            if (phase == asking || phase == resting)
                close_lingering(at);
            else
                ended(at);
        }
    look_for_closed();
    if (before_ready_ && listener_ && ready_()) before_ready_ = false, evconnlistener_enable(listener_.get());
    if (!paused_ || !listener_) return;
    if (now - told_ > tell_every) {
        told_ = now;
        spdlog::warn("no room for more callers: {} asking, {} at rest, {} waiting, {} being told, {} leaving",
                     in_[asking].size(), in_[resting].size(), in_[waiting].size(), in_[telling].size(),
                     in_[leaving].size());
    }
    if (room_.full(open())) make_room(some + open() - std::min(open(), room_.own()));
    if (room_.full(open())) return;
    paused_ = false;
    evconnlistener_enable(listener_.get());
}

// Guards against a caller that has sent more behind its request and closed: its end waits behind bytes that
// are not read before it has its answer.
void DownstreamServer::look_for_closed()
{
    for (Place at = in_[waiting].begin(), next; at != in_[waiting].end(); at = next) {
        next = std::next(at);
        if (evbuffer_get_length(bufferevent_get_input(at->stream.get())) == 0) continue;
        if (shows(bufferevent_getfd(at->stream.get()), POLLRDHUP)) ended(at);
    }
}

bool DownstreamServer::someone_waits() const
{
    if (!listener_ || room_.full(open())) return false;
    return shows(evconnlistener_get_fd(listener_.get()), POLLIN);
}

void DownstreamServer::stop_listening() { listener_.reset(); }

void DownstreamServer::close_idle(Duration rested, Duration silent)
{
    const TimePoint now = monotonic_now();
    for (const auto phase : {resting, asking})
        for (Place at = in_[phase].begin(), next; at != in_[phase].end(); at = next) {
            next = std::next(at);
            if (now - at->since < (phase == resting ? rested : silent)) break;
            if (!asks(at)) close_lingering(at);
        }
}

void DownstreamServer::end_begun()
{
    for (Place at = in_[asking].begin(), next; at != in_[asking].end(); at = next) {
        next = std::next(at);
        if (at->reader.has_started()) refuse(at, 408, "the request took too long");
    }
}

void DownstreamServer::share(size_t processes)
{
    room_.share(processes);
    most_held_ = config_.bodies / processes;
    if (open() > room_.own()) make_room(open() - room_.own());
}

size_t DownstreamServer::make_room(size_t count)
{
    const TimePoint now = monotonic_now();
    size_t made = 0;
    const auto from = [&](Phase phase, Duration rested, auto&& end) {
        for (Place at = in_[phase].begin(), next; at != in_[phase].end() && made < count; at = next) {
            next = std::next(at);
            if (now - at->since < rested) break;
            made += end(at);
        }
    };
    // Those that end by themselves within a moment make room as well.
    from(leaving, Duration{}, [&](Place at) {
        if (now - at->since >= lingers) close(at);
        return true;
    });
    // Who has never said anything goes at once: nothing that a reset could take was ever sent there.
    from(asking, asks_within, [&](Place at) {
        if (asks(at)) return false;
        close(at);
        return true;
    });
    from(resting, may_rest, [&](Place at) {
        if (asks(at)) return false;
        close_lingering(at);
        return true;
    });
    // Also what has begun. Guards against half requests by hundreds, which would keep all others out.
    from(asking, asks_within, [&](Place at) {
        if (!at->reader.has_started() || shows(bufferevent_getfd(at->stream.get()), POLLIN)) return false;
        refuse(at, 408, "the request took too long");
        return true;
    });
    return made;
}

}  // namespace firtide::net
