// The side that callers see: an evhttp server that takes requests in, answers them, and notices who leaves.
#pragma once

#include <event2/http.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <unordered_map>

#include "config.h"
#include "event.h"

namespace firtide::net
{

class Callers
{
  public:
    // Past most_open connections each answer is the last on its own. ready: whether `GET /-/ready` is to be
    // answered 200. crowded: called when no descriptor is left.
    Callers(event_base* base, const Config& config, size_t most_open, std::function<bool()> ready,
            std::function<void()> crowded, std::function<void(Event)> tell);
    ~Callers();

    void answer(const Answer& answer);
    bool someone_waits() const;  // to be accepted
    void stop_listening();
    size_t close_idle();  // how many connections there were
    size_t open() const { return connections_.size(); }

  private:
    struct Connection;

    void listen(const Address& address);
    void no_descriptor_left();
    void take(evhttp_request* request);
    Connection& connection(evhttp_connection* of);
    void watch(Connection& c);
    void looked(Connection& c);
    void closed(evhttp_connection* of);
    void reply(evhttp_request* request, Response response, bool last);

    event_base* base_;
    const Config& config_;
    size_t most_open_;
    std::function<bool()> ready_;
    std::function<void()> crowded_;
    std::function<void(Event)> tell_;
    std::unique_ptr<evhttp, Freed<evhttp_free>> server_;
    evhttp_bound_socket* bound_ = nullptr;
    Timer listen_again_;
    CallerId next_ = 1;
    std::unordered_map<evhttp_connection*, std::unique_ptr<Connection>> connections_;
    std::unordered_map<CallerId, Connection*> waiting_;
};

}  // namespace firtide::net
