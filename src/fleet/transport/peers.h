// Connections to the other members, on libevent. Each carries messages in one direction: messages are sent
// over connections that this member opens, and received over connections that others open. Nothing here
// blocks, and all queues are bounded.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <map>

#include "src/base/random.h"
#include "src/fleet/config.h"
#include "src/io/event.h"
#include "traffic.h"

struct evconnlistener;

namespace firtide::fleet
{

class Peers
{
  public:
    // `on_message` is called on the event loop for each message. Throws std::runtime_error if it cannot
    // listen on the address.
    Peers(event_base* base, const FleetConfig& config, InstanceId instance, uint64_t seed,
          std::function<void(MemberIndex, Message)> on_message);
    ~Peers();
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    // Queues a message, which may be lost. A full queue drops the least urgent messages first, and of these
    // the oldest.
    void send(MemberIndex to, const Message& message);
    [[nodiscard]] const TrafficCounts& counts() const { return counts_; }

  private:
    struct Inbound;
    struct Outbound;
    struct QueuedMessage {
        TimePoint queued_at;
        uint16_t kind = 0;
        std::string payload;
    };
    using InboundIterator = std::list<Inbound>::iterator;

    void listen();
    void accept(evutil_socket_t fd);
    void on_readable(InboundIterator inbound);
    void read_messages(InboundIterator inbound);
    bool on_hello(Inbound& inbound, const Message& message);
    const char* refusal_reason(Inbound& inbound, const Message& message) const;

    Outbound& outbound_to(MemberIndex member);
    void drop_excess(Outbound& outbound);
    void drop_expired(Outbound& outbound, TimePoint now);
    void connect(Outbound& outbound);
    void on_connected(Outbound& outbound);
    void on_disconnected(Outbound& outbound);
    void on_timer(Outbound& outbound);
    void reconnect_later(Outbound& outbound);
    void flush(Outbound& outbound);
    void write_queued(Outbound& outbound, TimePoint now);

    event_base* base_;
    const FleetConfig& config_;
    const InstanceId instance_;
    RandomEngine random_;
    std::function<void(MemberIndex, Message)> on_message_;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener_;
    std::list<Inbound> inbound_;
    std::map<MemberIndex, Outbound> outbound_;  // to members that a message was ever sent to
    TrafficCounts counts_;
};

}  // namespace firtide::fleet
