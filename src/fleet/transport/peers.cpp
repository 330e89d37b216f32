#include "peers.h"

#include <event2/buffer.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

#include "src/io/log.h"

namespace firtide::fleet
{
namespace
{

constexpr size_t most_waiting =
    1 << 20;  // bytes for one member; one larger message fits where nothing else waits
constexpr size_t most_handed_over =
    64 << 10;                           // to the system at a time: what is not is still in order of urgency
constexpr Span waits_for = seconds(2);  // what is older is of no use to its receiver
constexpr Span connects_within = seconds(1), greets_within = seconds(3);
constexpr Span first_pause = seconds(0.05), longest_pause = seconds(1);
constexpr Span idle_for = seconds(30);
constexpr int unheard_ms = 2000;  // sent and not acknowledged: the connection is given up

sockaddr_in address_of(const std::string& text)
{
    sockaddr_in at{};
    int length = sizeof at;
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&at), &length) != 0 ||
        at.sin_family != AF_INET)
        throw std::runtime_error("'" + text + "' is no IPv4 address");
    return at;
}

}  // namespace

// Lives as long as a connection that another member, or a stranger, has opened.
struct Peers::In {
    Peers* owner = nullptr;
    Place self;
    Stream stream;
    FrameReader reader;
    std::optional<MemberIndex> from;  // once it has greeted
};

// Lives as long as this process.
struct Peers::Out {
    Peers* owner = nullptr;
    MemberIndex to = 0;
    sockaddr_in address{};
    Stream stream;
    bool connected = false;
    uint32_t frames = 0;
    std::array<std::deque<Waiting>, 3> waiting;  // by urgency
    size_t bytes = 0;
    Span pause = first_pause;
    Point used;
    Timer timer;
    bool pausing = false;
};

Peers::Peers(event_base* base, const FleetConfig& file, InstanceId instance, uint64_t seed,
             std::function<void(MemberIndex, Message)> heard)
    : base_(base),
      file_(file),
      instance_(instance),
      chance_(static_cast<uint32_t>(seed ^ seed >> 32)),
      heard_(std::move(heard)),
      listener_(nullptr, evconnlistener_free)
{
    auto at = address_of(file.listen);
    listener_.reset(evconnlistener_new_bind(
        base,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
            static_cast<Peers*>(self)->accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 128,
        reinterpret_cast<sockaddr*>(&at), sizeof at));
    if (!listener_)
        throw std::runtime_error("cannot listen on " + file.listen + ": " +
                                 evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    for (MemberIndex m = 0; m < file.members.size(); ++m)
        if (m != file.self) (void)address_of(file.members[m].address);
}

Peers::~Peers() = default;

void Peers::accept(evutil_socket_t fd)
{
    // Guards against strangers that connect and say nothing: the longest silent goes first.
    if (in_.size() >= file_.members.size() * 2 + 16) {
        const auto silent = std::find_if(in_.begin(), in_.end(), [](const In& i) { return !i.from; });
        if (silent == in_.end()) return (void)evutil_closesocket(fd);
        in_.erase(silent);
    }
    evutil_make_socket_nonblocking(fd);
    in_.emplace_back();
    const Place at = std::prev(in_.end());
    at->owner = this;
    at->self = at;
    at->stream.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        at->stream.get(),
        [](bufferevent*, void* arg) {
            auto* in = static_cast<In*>(arg);
            in->owner->readable(in->self);
        },
        nullptr,
        [](bufferevent*, short, void* arg) {
            auto* in = static_cast<In*>(arg);
            in->owner->in_.erase(in->self);
        },
        &*at);
    const auto wait = to_timeval(greets_within);
    bufferevent_set_timeouts(at->stream.get(), &wait, nullptr);
    bufferevent_enable(at->stream.get(), EV_READ);
}

// The first message says who speaks, and to whom.
bool Peers::greeted(In& in, const Message& message)
{
    const auto* hello = std::get_if<Hello>(&message);
    const char* why = nullptr;
    if (!hello)
        why = "it said something before greeting";
    else if (hello->fleet != file_.name)
        why = "it is of another fleet";
    else if (hello->version != wire_version)
        why = "it speaks another version";
    else if (hello->to != file_.members[file_.self].key)
        why = "it looks for another member here";
    else if (in.from = file_.member_of(hello->from); !in.from)
        why = "nobody knows it";
    else if (*in.from == file_.self)
        why = "it says that it is this member", in.from.reset();
    if (why) {
        ++counts_.strangers;
        spdlog::warn("fleet: a connection is refused: {}", why);
        return false;
    }
    // Silence is members' affair; a connection that is done is closed by who opened it.
    const auto idle = to_timeval(idle_for * 3);
    bufferevent_set_timeouts(in.stream.get(), &idle, nullptr);
    return true;
}

void Peers::readable(Place at)
{
    auto* input = bufferevent_get_input(at->stream.get());
    const size_t size = evbuffer_get_length(input);
    if (size == 0) return;
    counts_.bytes_in += size;
    at->reader.take({reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size});
    evbuffer_drain(input, size);
    for (;;) {
        const auto state = at->reader.next();
        if (state == FrameReader::State::more) return;
        if (state == FrameReader::State::broken) {
            ++counts_.garbage;
            spdlog::warn("fleet: a connection of {} is ended: {}",
                         at->from ? file_.members[*at->from].id : "a stranger", at->reader.why());
            in_.erase(at);
            return;
        }
        if (!at->from) {
            if (!greeted(*at, at->reader.message())) return (void)in_.erase(at);
            continue;
        }
        ++counts_.messages_in;
        heard_(*at->from, std::move(at->reader.message()));
    }
}

// Made at the first message. Most members never speak to each other: in a large fleet the memory of queues
// to all of them is the larger part of a member's own.
Peers::Out& Peers::out_of(MemberIndex to)
{
    const auto [at, made] = out_.try_emplace(to);
    Out& out = at->second;
    if (!made) return out;
    out.owner = this;
    out.to = to;
    out.address = address_of(file_.members[to].address);
    out.timer.reset(evtimer_new(
        base_,
        [](evutil_socket_t, short, void* arg) {
            auto* o = static_cast<Out*>(arg);
            o->pausing = false;
            if (o->stream && !o->connected) return o->owner->ended(*o);
            o->owner->flush(*o);
        },
        &out));
    return out;
}

// Where there is no room, the least urgent goes first, and of these the oldest.
void Peers::send(MemberIndex to, const Message& message)
{
    if (to == file_.self || to >= file_.members.size()) return;
    Out& out = out_of(to);
    Waiting w{monotonic_now(), static_cast<uint16_t>(message.index()), encode_payload(message)};
    auto& own = out.waiting[static_cast<size_t>(urgency_of(message))];
    out.bytes += w.payload.size();
    own.push_back(std::move(w));
    for (size_t u = out.waiting.size(); u-- > 0 && out.bytes > most_waiting;)
        while (out.bytes > most_waiting && !out.waiting[u].empty()) {
            if (out.waiting[u].size() == 1 && out.bytes == out.waiting[u].front().payload.size())
                return flush(out);
            out.bytes -= out.waiting[u].front().payload.size();
            out.waiting[u].pop_front();
            ++counts_.dropped;
        }
    flush(out);
}

void Peers::connect(Out& out)
{
    out.connected = false;
    out.frames = 0;
    out.stream.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        out.stream.get(), nullptr,
        [](bufferevent*, void* arg) {
            auto* o = static_cast<Out*>(arg);
            if (o->connected) o->owner->flush(*o);
        },
        [](bufferevent* stream, short what, void* arg) {
            auto* o = static_cast<Out*>(arg);
            if (!(what & BEV_EVENT_CONNECTED)) return o->owner->ended(*o);
            const int on = 1;
            setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_USER_TIMEOUT, &unheard_ms,
                       sizeof unheard_ms);
            event_del(o->timer.get());
            o->connected = true;
            o->pause = first_pause;
            Peers& p = *o->owner;
            const Hello hello{p.file_.name, wire_version, p.file_.members[p.file_.self].key,
                              p.file_.members[o->to].key, p.instance_};
            const auto bytes = encode_frame(hello, o->frames++);
            bufferevent_write(stream, bytes.data(), bytes.size());
            p.flush(*o);
        },
        &out);
    bufferevent_enable(out.stream.get(), EV_READ | EV_WRITE);
    const auto wait = to_timeval(connects_within);
    event_add(out.timer.get(), &wait);
    bufferevent_socket_connect(out.stream.get(), reinterpret_cast<sockaddr*>(&out.address),
                               sizeof out.address);
}

// Whatever was handed over and has not arrived is lost: nobody counts on any message.
void Peers::ended(Out& out)
{
    out.stream.reset();
    out.connected = false;
    again(out);
}

// Spread by chance. Guards against hundreds that come back in step to a member that has just started.
void Peers::again(Out& out)
{
    out.pausing = true;
    const auto wait = to_timeval(out.pause * (0.5 + std::uniform_real_distribution<>(0, 1)(chance_)));
    out.pause = std::min(longest_pause, out.pause * 2);
    event_add(out.timer.get(), &wait);
}

void Peers::flush(Out& out)
{
    const Point now = monotonic_now();
    for (auto& queue : out.waiting)
        while (!queue.empty() && now - queue.front().since > waits_for) {
            out.bytes -= queue.front().payload.size();
            queue.pop_front();
            ++counts_.dropped;
        }
    if (out.pausing) return;
    if (!out.stream) {
        if (out.bytes > 0) connect(out);
        return;
    }
    if (!out.connected) return;
    auto* output = bufferevent_get_output(out.stream.get());
    for (auto& queue : out.waiting)
        while (!queue.empty() && evbuffer_get_length(output) < most_handed_over) {
            const auto bytes = frame(queue.front().kind, queue.front().payload, out.frames++);
            out.bytes -= queue.front().payload.size();
            queue.pop_front();
            bufferevent_write(out.stream.get(), bytes.data(), bytes.size());
            ++counts_.messages_out;
            counts_.bytes_out += bytes.size();
            out.used = now;
        }
    if (now - out.used > idle_for) out.stream.reset(), out.connected = false;
}

}  // namespace firtide::fleet
