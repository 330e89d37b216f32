// Connections to the other members, on libevent: one way each. Messages are sent over connections that this
// member opens, and received over those that others open. Nothing here blocks, and no queue grows without
// end.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <random>

#include "src/fleet/config.h"
#include "src/io/event.h"
#include "traffic.h"

struct evconnlistener;

namespace firtide::fleet
{

class Peers
{
  public:
    // `on_message` is called for each message, on the loop. Throws std::runtime_error where the address can't
    // be listened on.
    Peers(event_base* base, const FleetConfig& config, InstanceId instance, uint64_t seed,
          std::function<void(MemberIndex, Message)> on_message);
    ~Peers();
    Peers(const Peers&) = delete;
    Peers& operator=(const Peers&) = delete;

    // Queues a message; it may be lost. Where there is no room, the least urgent goes first, and of these the
    // oldest.
    void send(MemberIndex to, const Message& message);
    [[nodiscard]] const TrafficCounts& counts() const { return counts_; }

  private:
    struct Inbound;
    struct Outbound;
    struct QueuedMessage {
        TimePoint since;
        uint16_t kind = 0;
        std::string payload;
    };
    using InboundPlace = std::list<Inbound>::iterator;

    void listen();
    void accept(evutil_socket_t fd);
    void on_readable(InboundPlace inbound);
    void read_messages(InboundPlace inbound);
    bool greet(Inbound& inbound, const Message& message);
    const char* refusal_of(Inbound& inbound, const Message& message) const;

    Outbound& outbound_to(MemberIndex member);
    void drop_excess(Outbound& outbound);
    void drop_expired(Outbound& outbound, TimePoint now);
    void connect(Outbound& outbound);
    void on_connected(Outbound& outbound);
    void on_ended(Outbound& outbound);
    void on_timer(Outbound& outbound);
    void reconnect_later(Outbound& outbound);
    void flush(Outbound& outbound);
    void write_queued(Outbound& outbound, TimePoint now);

    event_base* base_;
    const FleetConfig& config_;
    const InstanceId instance_;
    std::ranlux24_base random_;
    std::function<void(MemberIndex, Message)> on_message_;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener_;
    std::list<Inbound> inbound_;
    std::map<MemberIndex, Outbound> outbound_;  // to members that anything was ever sent to
    TrafficCounts counts_;
};

}  // namespace firtide::fleet
