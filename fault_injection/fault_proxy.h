// A TCP proxy that forwards bytes in one direction between two processes and injects network faults.
#pragma once

#include <deque>
#include <list>
#include <memory>

#include "src/io/event.h"

struct evconnlistener;

namespace firtide::fault_injection
{

struct LinkConditions {
    Duration delay;               // added to every chunk
    bool paused = false;          // chunks are queued, and forwarded once the link is no longer paused
    bool blackholed = false;      // bytes are dropped silently; connections stay open
    bool reset = false;           // existing and new connections are reset
    double bytes_per_second = 0;  // 0: unlimited
};

class FaultProxy
{
  public:
    FaultProxy(event_base* base, uint16_t target_port);
    ~FaultProxy();

    uint16_t port() const { return port_; }
    void set_conditions(const LinkConditions& conditions);
    const LinkConditions& conditions() const { return conditions_; }
    // One-shot faults of the next chunk: forward at most its first `bytes` and close the connection, flip one
    // bit, or send it twice.
    void truncate_next(size_t bytes) { truncate_next_to_ = bytes; }
    void corrupt_next() { corrupt_next_ = true; }
    void duplicate_next() { duplicate_next_ = true; }
    uint64_t forwarded_bytes() const { return forwarded_bytes_; }

  private:
    struct Connection;
    struct Chunk {
        TimePoint due;
        std::string bytes;
    };
    using ConnectionIterator = std::list<Connection>::iterator;

    void accept(evutil_socket_t fd);
    void read_input(ConnectionIterator connection);
    void forward_due_chunks(ConnectionIterator connection);
    void close(ConnectionIterator connection, bool reset);

    event_base* base_;
    const uint16_t target_port_;
    uint16_t port_ = 0;
    LinkConditions conditions_;
    size_t truncate_next_to_ = 0;
    bool corrupt_next_ = false, duplicate_next_ = false;
    uint64_t forwarded_bytes_ = 0;
    std::unique_ptr<evconnlistener, void (*)(evconnlistener*)> listener_;
    std::list<Connection> connections_;
};

sockaddr_in loopback_address(uint16_t port);

}  // namespace firtide::fault_injection
