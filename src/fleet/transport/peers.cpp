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

// For one member. A larger message is kept only while it is the only one.
constexpr size_t max_queued_bytes = 1 << 20;
// In the output buffer of a connection. The rest stays in the queues, in order of urgency.
constexpr size_t max_buffered_bytes = 64 << 10;
constexpr Duration queue_timeout = seconds(2);  // older messages are useless to the receiver
constexpr Duration connect_timeout = seconds(1), hello_timeout = seconds(3);
constexpr Duration min_reconnect_delay = seconds(0.05), max_reconnect_delay = seconds(1);
// Of the sender. The receiver waits three times as long, so that the sender closes first.
constexpr Duration idle_timeout = seconds(30);
constexpr int unacknowledged_timeout_ms = 2000;  // TCP gives up a connection with older unacknowledged data
constexpr int listen_backlog = 128;
constexpr size_t max_inbound_per_member = 2, extra_inbound = 16;

sockaddr_in parse_address(const std::string& text)
{
    sockaddr_in address{};
    int length = sizeof address;
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&address), &length) != 0 ||
        address.sin_family != AF_INET)
        throw std::runtime_error("'" + text + "' is not an IPv4 address");
    return address;
}

}  // namespace

// A connection that another member, or an unknown client, has opened.
struct Peers::Inbound {
    Peers* owner = nullptr;
    InboundIterator self;
    BuffereventPtr stream;
    FrameReader reader;
    std::optional<MemberIndex> sender;  // known after its Hello
};

// Queues and connection to one member. It is never removed.
struct Peers::Outbound {
    Peers* owner = nullptr;
    MemberIndex to = 0;
    sockaddr_in address{};
    BuffereventPtr stream;
    bool connected = false;
    uint32_t frames = 0;                              // sent over this connection
    std::array<std::deque<QueuedMessage>, 3> queues;  // by urgency
    size_t queued_bytes = 0;
    Duration reconnect_delay = min_reconnect_delay;
    TimePoint last_write;
    EventPtr timer;  // times out a connection attempt, or starts the next one
    bool waiting_to_reconnect = false;
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
        if (member != config.self) (void)parse_address(config.members[member].address);
}

Peers::~Peers() = default;

// ---- inbound ----

void Peers::listen()
{
    auto address = parse_address(config_.listen);
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
    // At the limit, closes the oldest connection that has not sent a Hello.
    if (inbound_.size() >= config_.members.size() * max_inbound_per_member + extra_inbound) {
        const auto anonymous = std::find_if(inbound_.begin(), inbound_.end(),
                                            [](const Inbound& inbound) { return !inbound.sender; });
        if (anonymous == inbound_.end()) {
            evutil_closesocket(fd);
            return;
        }
        inbound_.erase(anonymous);
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
    const auto timeout = to_timeval(hello_timeout);
    bufferevent_set_timeouts(inbound->stream.get(), &timeout, nullptr);
    bufferevent_enable(inbound->stream.get(), EV_READ);
}

// Returns null if the first message is a Hello from a member of this fleet to this member.
const char* Peers::refusal_reason(Inbound& inbound, const Message& message) const
{
    const auto* hello = std::get_if<Hello>(&message);
    if (!hello) return "its first message is not a Hello";
    if (hello->fleet != config_.name) return "it belongs to another fleet";
    if (hello->version != wire_version) return "it uses another protocol version";
    if (hello->to != config_.members[config_.self].key) return "it is addressed to another member";
    const auto sender = config_.member_of(hello->from);
    if (!sender) return "nobody knows it";
    if (*sender == config_.self) return "it claims this member's id";
    inbound.sender = sender;
    return nullptr;
}

bool Peers::on_hello(Inbound& inbound, const Message& message)
{
    if (const char* refusal = refusal_reason(inbound, message)) {
        ++counts_.refused;
        spdlog::warn("fleet: a connection is refused: {}", refusal);
        return false;
    }
    // Failure detection is up to the membership; an idle connection is closed by the member that opened it.
    const auto timeout = to_timeval(idle_timeout * 3);
    bufferevent_set_timeouts(inbound.stream.get(), &timeout, nullptr);
    return true;
}

void Peers::on_readable(InboundIterator inbound)
{
    auto* input = bufferevent_get_input(inbound->stream.get());
    const size_t size = evbuffer_get_length(input);
    if (size == 0) return;
    counts_.bytes_in += size;
    inbound->reader.append({reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size});
    evbuffer_drain(input, size);
    read_messages(inbound);
}

void Peers::read_messages(InboundIterator inbound)
{
    for (;;) {
        const auto state = inbound->reader.next();
        if (state == FrameReader::State::incomplete) return;
        if (state == FrameReader::State::failed) {
            ++counts_.malformed;
            spdlog::warn("fleet: a connection of {} is ended: {}",
                         inbound->sender ? config_.members[*inbound->sender].id : "a stranger",
                         inbound->reader.error());
            inbound_.erase(inbound);
            return;
        }
        if (inbound->sender) {
            ++counts_.messages_in;
            on_message_(*inbound->sender, std::move(inbound->reader.message()));
        } else if (!on_hello(*inbound, inbound->reader.message())) {
            inbound_.erase(inbound);
            return;
        }
    }
}

// ---- outbound ----

// Created with the first message to the member. Most members never send to each other: in a large fleet,
// queues to all of them would be the larger part of a member's memory.
Peers::Outbound& Peers::outbound_to(MemberIndex member)
{
    const auto [entry, is_new] = outbound_.try_emplace(member);
    Outbound& outbound = entry->second;
    if (!is_new) return outbound;
    outbound.owner = this;
    outbound.to = member;
    outbound.address = parse_address(config_.members[member].address);
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
            self->owner->on_disconnected(*self);
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
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_timeout_ms,
               sizeof unacknowledged_timeout_ms);
    event_del(outbound.timer.get());
    outbound.connected = true;
    outbound.reconnect_delay = min_reconnect_delay;
    const Hello hello{config_.name, wire_version, config_.members[config_.self].key,
                      config_.members[outbound.to].key, instance_};
    const auto bytes = encode_frame(hello, outbound.frames++);
    bufferevent_write(outbound.stream.get(), bytes.data(), bytes.size());
    flush(outbound);
}

// Messages that were written and have not arrived are lost; no component relies on any message.
void Peers::on_disconnected(Outbound& outbound)
{
    outbound.stream.reset();
    outbound.connected = false;
    reconnect_later(outbound);
}

void Peers::on_timer(Outbound& outbound)
{
    outbound.waiting_to_reconnect = false;
    const bool connect_timed_out = outbound.stream && !outbound.connected;
    if (connect_timed_out) return on_disconnected(outbound);
    flush(outbound);
}

// With jitter, so that hundreds of members do not reconnect at once to a member that has just started.
void Peers::reconnect_later(Outbound& outbound)
{
    outbound.waiting_to_reconnect = true;
    const double jitter = 0.5 + uniform_random(random_);
    const auto delay = to_timeval(outbound.reconnect_delay * jitter);
    outbound.reconnect_delay = std::min(max_reconnect_delay, outbound.reconnect_delay * 2);
    event_add(outbound.timer.get(), &delay);
}

void Peers::drop_expired(Outbound& outbound, TimePoint now)
{
    for (auto& queue : outbound.queues)
        while (!queue.empty() && now - queue.front().queued_at > queue_timeout) {
            outbound.queued_bytes -= queue.front().payload.size();
            queue.pop_front();
            ++counts_.dropped;
        }
}

void Peers::flush(Outbound& outbound)
{
    const TimePoint now = monotonic_now();
    drop_expired(outbound, now);
    if (outbound.waiting_to_reconnect) return;
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
            const auto bytes = encode_frame(queue.front().kind, queue.front().payload, outbound.frames++);
            outbound.queued_bytes -= queue.front().payload.size();
            queue.pop_front();
            bufferevent_write(outbound.stream.get(), bytes.data(), bytes.size());
            ++counts_.messages_out;
            counts_.bytes_out += bytes.size();
            outbound.last_write = now;
        }
}

}  // namespace firtide::fleet
