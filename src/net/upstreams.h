// Connections to upstreams: made as needed, kept while they may be used again, one request at a time on each.
// On bufferevents, not on evhttp's client: that one does not tell whether the last byte of a request had
// left.
#pragma once

#include <functional>
#include <list>
#include <unordered_map>

#include "event.h"
#include "reducer.h"
#include "room.h"

namespace firtide::net
{

class Upstreams
{
  public:
    Upstreams(event_base* base, const Setup& setup, Room room, std::function<void(Event)> tell);
    ~Upstreams();

    void dial(const Dial& dial);
    void write(const Write& write);
    void limit(const Limit& limit);
    void read(const Read& read);
    void hang_up(AttemptId attempt);
    void withdraw(AttemptId attempt);
    void close_idle(Tgt tgt);
    size_t close_oldest_idle(size_t count);  // how many there were
    size_t open() const { return all_.size(); }
    void share(size_t processes);  // what this balancer may have

  private:
    struct Connection;
    using Place = std::list<Connection>::iterator;

    Place connect(Tgt tgt, const std::string& endpoint);
    Timer give_up_after(Connection& c, Span wait);
    void serve(Place at, AttemptId attempt, Span limit);
    void rest(Place at);
    void take_from_rest(Place at);
    bool quiet(const Connection& c) const;
    void late(Place at);
    void fail(Place at, Cause cause);
    void whole(Place at, bool more);
    void wait_for(Place at, Span wait);
    void close(Place at);
    void readable(Place at);
    void written(Place at);
    void ended(Place at, short what);

    event_base* base_;
    const Setup& setup_;
    Room room_;
    std::function<void(Event)> tell_;
    std::list<Connection> all_;
    std::unordered_map<AttemptId, Place> of_attempt_;
    std::unordered_map<Tgt, std::vector<Place>> idle_;  // the last used at the end
};

}  // namespace firtide::net
