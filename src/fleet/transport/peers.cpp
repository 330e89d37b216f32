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

constexpr size_t max_queued_bytes = 1
                                    << 20;  // for one member; a larger message fits where nothing else waits
constexpr size_t max_buffered_bytes =
    64 << 10;  // given to the system at a time: the rest stays in order of urgency
constexpr Duration queue_timeout = seconds(2);  // what is older is of no use to its receiver
constexpr Duration connect_timeout = seconds(1), greeting_timeout = seconds(3);
constexpr Duration min_reconnect_delay = seconds(0.05), max_reconnect_delay = seconds(1);
constexpr Duration idle_timeout =
    seconds(30);                         // three times as long at the receiver: the sender closes first
constexpr int unacknowledged_ms = 2000;  // sent and not acknowledged: the connection is given up
constexpr int listen_backlog = 128;
constexpr size_t inbound_per_member = 2, spare_inbound = 16;

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
struct Peers::Inbound {
    Peers* owner = nullptr;
    InboundPlace self;
    BuffereventPtr stream;
    FrameReader reader;
    std::optional<MemberIndex> from;  // once it has greeted
};

// Lives as long as this process.
struct Peers::Outbound {
    Peers* owner = nullptr;
    MemberIndex to = 0;
    sockaddr_in address{};
    BuffereventPtr stream;
    bool connected = false;
    uint32_t frames = 0;                              // sent on this connection
    std::array<std::deque<QueuedMessage>, 3> queues;  // by urgency
    size_t queued_bytes = 0;
    Duration reconnect_delay = min_reconnect_delay;
    TimePoint last_write;
    EventPtr timer;  // of the connect, or until the next one
    bool waits_to_reconnect = false;
};

Peers::Peers(event_base* base, const FleetConfig& config, InstanceId instance, uint64_t seed,
             std::function<void(MemberIndex, Message)> on_message)
    : base_(base),
      config_(config),
      instance_(instance),
      random_(static_cast<uint32_t>(seed ^ seed >> 32)),
      on_message_(std::move(on_message)),
      listener_(nullptr, evconnlistener_free)
{
    listen();
    for (MemberIndex member = 0; member < config.members.size(); ++member)
        if (member != config.self) (void)address_of(config.members[member].address);
}

Peers::~Peers() = default;

// ---- inbound ----

void Peers::listen()
{
    auto address = address_of(config_.listen);
    const auto on_accept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<Peers*>(self)->accept(fd);
    };
    listener_.reset(evconnlistener_new_bind(
        base_, on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        listen_backlog, reinterpret_cast<sockaddr*>(&address), sizeof address));
    if (!listener_)
        throw std::runtime_error("cannot listen on " + config_.listen + ": " +
                                 evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
}

void Peers::accept(evutil_socket_t fd)
{
    // Of strangers that connect and say nothing, the longest silent goes first.
    if (inbound_.size() >= config_.members.size() * inbound_per_member + spare_inbound) {
        const auto silent = std::find_if(inbound_.begin(), inbound_.end(),
                                         [](const Inbound& inbound) { return !inbound.from; });
        if (silent == inbound_.end()) {
            evutil_closesocket(fd);
            return;
        }
        inbound_.erase(silent);
    }
    evutil_make_socket_nonblocking(fd);
    inbound_.emplace_back();
    const auto inbound = std::prev(inbound_.end());
    inbound->owner = this;
    inbound->self = inbound;
    inbound->stream.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    const auto on_read = [](bufferevent*, void* arg) {
        auto* self = static_cast<Inbound*>(arg);
        self->owner->on_readable(self->self);
    };
    const auto on_event = [](bufferevent*, short, void* arg) {
        auto* self = static_cast<Inbound*>(arg);
        self->owner->inbound_.erase(self->self);
    };
    bufferevent_setcb(inbound->stream.get(), on_read, nullptr, on_event, &*inbound);
    const auto timeout = to_timeval(greeting_timeout);
    bufferevent_set_timeouts(inbound->stream.get(), &timeout, nullptr);
    bufferevent_enable(inbound->stream.get(), EV_READ);
}

// Null where the first message names a member of this fleet that means this one.
const char* Peers::refusal_of(Inbound& inbound, const Message& message) const
{
    const auto* hello = std::get_if<Hello>(&message);
    if (!hello) return "it said something before greeting";
    if (hello->fleet != config_.name) return "it is of another fleet";
    if (hello->version != wire_version) return "it speaks another version";
    if (hello->to != config_.members[config_.self].key) return "it looks for another member here";
    const auto from = config_.member_of(hello->from);
    if (!from) return "nobody knows it";
    if (*from == config_.self) return "it says that it is this member";
    inbound.from = from;
    return nullptr;
}

bool Peers::greet(Inbound& inbound, const Message& message)
{
    if (const char* refusal = refusal_of(inbound, message)) {
        ++counts_.strangers;
        spdlog::warn("fleet: a connection is refused: {}", refusal);
        return false;
    }
    // Silence is the membership's affair; a connection that is done is closed by who opened it.
    const auto timeout = to_timeval(idle_timeout * 3);
    bufferevent_set_timeouts(inbound.stream.get(), &timeout, nullptr);
    return true;
}

void Peers::on_readable(InboundPlace inbound)
{
    auto* input = bufferevent_get_input(inbound->stream.get());
    const size_t size = evbuffer_get_length(input);
    if (size == 0) return;
    counts_.bytes_in += size;
    inbound->reader.take({reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size});
    evbuffer_drain(input, size);
    read_messages(inbound);
}

void Peers::read_messages(InboundPlace inbound)
{
    for (;;) {
        const auto state = inbound->reader.next();
        if (state == FrameReader::State::more) return;
        if (state == FrameReader::State::broken) {
            ++counts_.garbage;
            spdlog::warn("fleet: a connection of {} is ended: {}",
                         inbound->from ? config_.members[*inbound->from].id : "a stranger",
                         inbound->reader.why());
            inbound_.erase(inbound);
            return;
        }
        if (inbound->from) {
            ++counts_.messages_in;
            on_message_(*inbound->from, std::move(inbound->reader.message()));
        } else if (!greet(*inbound, inbound->reader.message())) {
            inbound_.erase(inbound);
            return;
        }
    }
}

// ---- outbound ----

// Made at the first message. Most members never speak to each other: in a large fleet the memory of queues to
// all of them is the larger part of a member's own.
Peers::Outbound& Peers::outbound_to(MemberIndex member)
{
    const auto [entry, is_new] = outbound_.try_emplace(member);
    Outbound& outbound = entry->second;
    if (!is_new) return outbound;
    outbound.owner = this;
    outbound.to = member;
    outbound.address = address_of(config_.members[member].address);
    const auto on_timeout = [](evutil_socket_t, short, void* arg) {
        auto* self = static_cast<Outbound*>(arg);
        self->owner->on_timer(*self);
    };
    outbound.timer.reset(evtimer_new(base_, on_timeout, &outbound));
    return outbound;
}

void Peers::send(MemberIndex to, const Message& message)
{
    if (to == config_.self || to >= config_.members.size()) return;
    Outbound& outbound = outbound_to(to);
    QueuedMessage queued{monotonic_now(), static_cast<uint16_t>(message.index()), encode_payload(message)};
    outbound.queued_bytes += queued.payload.size();
    outbound.queues[static_cast<size_t>(urgency_of(message))].push_back(std::move(queued));
    drop_excess(outbound);
    flush(outbound);
}

void Peers::drop_excess(Outbound& outbound)
{
    for (size_t urgency = outbound.queues.size(); urgency-- > 0;) {
        auto& queue = outbound.queues[urgency];
        while (outbound.queued_bytes > max_queued_bytes && !queue.empty()) {
            const size_t bytes = queue.front().payload.size();
            const bool is_only_message = queue.size() == 1 && outbound.queued_bytes == bytes;
            if (is_only_message) return;
            outbound.queued_bytes -= bytes;
            queue.pop_front();
            ++counts_.dropped;
        }
    }
}

void Peers::connect(Outbound& outbound)
{
    outbound.connected = false;
    outbound.frames = 0;
    outbound.stream.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
    const auto on_write = [](bufferevent*, void* arg) {
        auto* self = static_cast<Outbound*>(arg);
        if (self->connected) self->owner->flush(*self);
    };
    const auto on_event = [](bufferevent*, short what, void* arg) {
        auto* self = static_cast<Outbound*>(arg);
        if (what & BEV_EVENT_CONNECTED)
            self->owner->on_connected(*self);
        else
            self->owner->on_ended(*self);
    };
    bufferevent_setcb(outbound.stream.get(), nullptr, on_write, on_event, &outbound);
    bufferevent_enable(outbound.stream.get(), EV_READ | EV_WRITE);
    const auto timeout = to_timeval(connect_timeout);
    event_add(outbound.timer.get(), &timeout);
    bufferevent_socket_connect(outbound.stream.get(), reinterpret_cast<sockaddr*>(&outbound.address),
                               sizeof outbound.address);
}

void Peers::on_connected(Outbound& outbound)
{
    const int on = 1;
    const int fd = bufferevent_getfd(outbound.stream.get());
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof unacknowledged_ms);
    event_del(outbound.timer.get());
    outbound.connected = true;
    outbound.reconnect_delay = min_reconnect_delay;
    const Hello hello{config_.name, wire_version, config_.members[config_.self].key,
                      config_.members[outbound.to].key, instance_};
    const auto bytes = encode_frame(hello, outbound.frames++);
    bufferevent_write(outbound.stream.get(), bytes.data(), bytes.size());
    flush(outbound);
}

// Whatever was handed over and has not arrived is lost: nobody counts on any message.
void Peers::on_ended(Outbound& outbound)
{
    outbound.stream.reset();
    outbound.connected = false;
    reconnect_later(outbound);
}

void Peers::on_timer(Outbound& outbound)
{
    outbound.waits_to_reconnect = false;
    const bool connect_timed_out = outbound.stream && !outbound.connected;
    if (connect_timed_out) return on_ended(outbound);
    flush(outbound);
}

// With jitter: hundreds must not come back in step to a member that has just started.
void Peers::reconnect_later(Outbound& outbound)
{
    outbound.waits_to_reconnect = true;
    const double jitter = 0.5 + std::uniform_real_distribution<>(0, 1)(random_);
    const auto delay = to_timeval(outbound.reconnect_delay * jitter);
    outbound.reconnect_delay = std::min(max_reconnect_delay, outbound.reconnect_delay * 2);
    event_add(outbound.timer.get(), &delay);
}

void Peers::drop_expired(Outbound& outbound, TimePoint now)
{
    for (auto& queue : outbound.queues)
        while (!queue.empty() && now - queue.front().since > queue_timeout) {
            outbound.queued_bytes -= queue.front().payload.size();
            queue.pop_front();
            ++counts_.dropped;
        }
}

void Peers::flush(Outbound& outbound)
{
    const TimePoint now = monotonic_now();
    drop_expired(outbound, now);
    if (outbound.waits_to_reconnect) return;
    if (!outbound.stream) {
        if (outbound.queued_bytes > 0) connect(outbound);
        return;
    }
    if (!outbound.connected) return;
    write_queued(outbound, now);
    if (now - outbound.last_write <= idle_timeout) return;
    outbound.stream.reset();
    outbound.connected = false;
}

void Peers::write_queued(Outbound& outbound, TimePoint now)
{
    auto* output = bufferevent_get_output(outbound.stream.get());
    for (auto& queue : outbound.queues)
        while (!queue.empty() && evbuffer_get_length(output) < max_buffered_bytes) {
            const auto bytes = frame(queue.front().kind, queue.front().payload, outbound.frames++);
            outbound.queued_bytes -= queue.front().payload.size();
            queue.pop_front();
            bufferevent_write(outbound.stream.get(), bytes.data(), bytes.size());
            ++counts_.messages_out;
            counts_.bytes_out += bytes.size();
            outbound.last_write = now;
        }
}

}  // namespace firtide::fleet
