// Connections to the other members, on libevent: one way each. What this member says goes over connections
// that it opens; what it hears comes over those that others open. Nothing here blocks, and no queue grows
// without end.
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
    // Throws std::runtime_error where the address cannot be listened on.
    Peers(event_base* base, const FleetConfig& file, InstanceId instance, uint64_t seed,
          std::function<void(MemberIndex, Message)> heard);
    ~Peers();

    void send(MemberIndex to, const Message& message);
    const TrafficCounts& counts() const { return counts_; }

  private:
    struct In;
    struct Out;
    struct Waiting {
        Point since;
        uint16_t kind = 0;
        std::string payload;
    };
    using Place = std::list<In>::iterator;

    void accept(evutil_socket_t fd);
    void readable(Place at);
    bool greeted(In& in, const Message& message);
    Out& out_of(MemberIndex to);
    void connect(Out& out);
    void ended(Out& out);
    void flush(Out& out);
    void again(Out& out);

    event_base* base_;
    const FleetConfig& file_;
    const InstanceId instance_;
    std::ranlux24_base chance_;
    std::function<void(MemberIndex, Message)> heard_;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener_;
    std::list<In> in_;
    std::map<MemberIndex, Out> out_;  // those that anything was ever sent to
    TrafficCounts counts_;
};

}  // namespace firtide::fleet
