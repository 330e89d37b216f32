// Stands between two processes, one way: what the one says to the other passes here, or does not.
#pragma once

#include <deque>
#include <list>
#include <memory>

#include "src/io/event.h"

struct evconnlistener;

namespace firtide::fault_injection
{

struct Road {
    Duration delay;
    bool held = false;     // kept, and let go once it is not held any more
    bool cut = false;      // nothing arrives, and nobody is told
    bool refused = false;  // connections are reset
    double rate = 0;       // bytes a second; zero: any
};

class FaultProxy
{
  public:
    FaultProxy(event_base* base, uint16_t to);
    ~FaultProxy();

    uint16_t port() const { return port_; }
    void road_is(const Road& road);
    const Road& road() const { return road_; }
    // Once, at the next bytes: end the connection after so many of them, turn a bit of one, or say them
    // twice.
    void cut_within(size_t bytes) { cut_within_ = bytes; }
    void change_next() { change_ = true; }
    void repeat_next() { repeat_ = true; }
    uint64_t passed() const { return passed_; }

  private:
    struct Pipe;
    struct Chunk {
        TimePoint due;
        std::string bytes;
    };
    using Place = std::list<Pipe>::iterator;

    void accept(evutil_socket_t fd);
    void came(Place at);
    void move(Place at);
    void end(Place at, bool reset);

    event_base* base_;
    const uint16_t to_;
    uint16_t port_ = 0;
    Road road_;
    size_t cut_within_ = 0;
    bool change_ = false, repeat_ = false;
    uint64_t passed_ = 0;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener_;
    std::list<Pipe> pipes_;
};

sockaddr_in loopback(uint16_t port);

}  // namespace firtide::fault_injection
