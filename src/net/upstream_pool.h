// Connections to upstreams: made as needed, kept while they may be used again, one request at a time on each.
// On bufferevents, not on evhttp's client: that one does not tell whether the last byte of a request had
// left.
#pragma once

#include <functional>
#include <list>
#include <unordered_map>

#include "connection_budget.h"
#include "reducer.h"
#include "src/io/event.h"

namespace firtide::net
{

class UpstreamPool
{
  public:
    UpstreamPool(event_base* base, const ServiceConfig& setup, ConnectionBudget room,
                 std::function<void(Event)> tell);
    ~UpstreamPool();

    void dial(const ConnectUpstream& dial);
    void write(const WriteUpstream& write);
    void limit(const SetAttemptTimeout& limit);
    void read(const SetResponseReading& read);
    void hang_up(AttemptId attempt);
    void withdraw(AttemptId attempt);
    void close_idle(UpstreamId upstream_id);
    size_t close_oldest_idle(size_t count);  // how many there were
    size_t open() const { return all_.size(); }
    void share(size_t processes);  // what this balancer may have

  private:
    struct Connection;
    using Place = std::list<Connection>::iterator;

    Place connect(UpstreamId upstream_id, const std::string& endpoint);
    EventPtr give_up_after(Connection& c, Duration wait);
    void serve(Place at, AttemptId attempt, Duration limit);
    void rest(Place at);
    void take_from_rest(Place at);
    bool quiet(const Connection& c) const;
    void late(Place at);
    void fail(Place at, FailureCause cause);
    void whole(Place at, bool more);
    void wait_for(Place at, Duration wait);
    void close(Place at);
    void readable(Place at);
    void written(Place at);
    void ended(Place at, short what);

    event_base* base_;
    const ServiceConfig& setup_;
    ConnectionBudget room_;
    std::function<void(Event)> tell_;
    std::list<Connection> all_;
    std::unordered_map<AttemptId, Place> of_attempt_;
    std::unordered_map<UpstreamId, std::vector<Place>> idle_;  // the last used at the end
};

}  // namespace firtide::net
