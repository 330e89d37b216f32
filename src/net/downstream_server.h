// The side that callers see: takes requests in, answers them, and notices who leaves. On the listener and
// bufferevents, not on evhttp's server: that one tells nothing of a connection before its first whole
// request, so that a slow one has no end and a body cannot be refused early.
#pragma once

#include <event2/listener.h>

#include <array>
#include <functional>
#include <list>
#include <unordered_map>

#include "config.h"
#include "connection_budget.h"
#include "src/io/event.h"

namespace firtide::net
{

class DownstreamServer
{
  public:
    // Where its room is full nobody is let in until some is made. ready: whether `GET /-/ready` is to be
    // answered 200. crowded: called when no descriptor is left.
    DownstreamServer(event_base* base, const Config& config, ConnectionBudget room,
                     std::function<bool()> ready, std::function<void()> crowded,
                     std::function<void(Event)> tell);
    ~DownstreamServer();

    void answer(const SendResponse& answer);
    void pass(SendResponseChunk& pass);
    void cut(RequestId caller);
    void hear(const SetRequestReading& hear);
    bool someone_waits() const;  // to be accepted
    void stop_listening();
    // Those at rest, and those that have connected and said nothing, for so long.
    void close_idle(Duration rested, Duration silent);
    // Of those that have begun a request and not ended it each gets its answer now.
    void end_begun();
    // Ends what rests longest, at most so many; nobody who has just come or just been answered. How many have
    // gone or go within a moment.
    size_t make_room(size_t count);
    size_t open() const;
    bool telling_any() const { return !in_[telling].empty(); }
    void share(size_t processes);  // what this balancer may have

  private:
    struct Connection;
    using Place = std::list<Connection>::iterator;
    // Asking: has connected or begun a request. Bringing: more of one that is passed on already. Resting:
    // between requests. Telling: is given an answer. Leaving: its sending side is shut, or will be once what
    // is due has come; what it still says is read and goes nowhere.
    enum Phase { asking, bringing, resting, waiting, telling, leaving, phases };

    static void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
    void listen(const Address& address);
    void take_over(int fd);
    void heed_errors();
    void pause_listening();
    void accept(int fd);
    void enter(Place at, Phase phase);
    void readable(Place at);
    void request_received(Place at, bool more);
    void body_piece_received(Place at, bool last);
    Duration unread(Place at) const;
    void refuse(Place at, int status, const char* why);
    void reply(Place at, const Response& response, bool last);
    void written(Place at);
    void close_lingering(Place at);
    bool asks(Place at) const;
    bool still_listens(Place at);
    void look_for_closed();
    void ended(Place at);
    void close(Place at);
    void hold(Connection& c, size_t bytes);
    void look();

    event_base* base_;
    const Config& config_;
    ConnectionBudget room_;
    size_t most_held_;
    size_t held_ = 0;  // bytes of bodies, taken in or promised
    std::function<bool()> ready_;
    std::function<void()> crowded_;
    std::function<void(Event)> tell_;
    std::unique_ptr<evconnlistener, FreeWith<evconnlistener_free>> listener_;
    bool paused_ = false, before_ready_ = false;
    TimePoint told_;  // of no room, in the log
    EventPtr look_;
    TimePoint looked_;
    bool waits_for_bytes_ = false;  // since the last look, after a stall
    RequestId next_ = 1;
    std::array<std::list<Connection>, phases> in_;  // each: the longest in its phase first
    std::unordered_map<RequestId, Place> waiting_;
};

}  // namespace firtide::net
