// The connection pool for upstreams: opens connections as needed and keeps them for reuse, with one request
// at a time on each. Built on bufferevents, not on evhttp's client, which does not report whether the last
// byte of a request was sent.
#pragma once

#include <functional>
#include <list>
#include <unordered_map>

#include "connection_budget.h"
#include "memory_budget.h"
#include "reducer.h"
#include "src/io/event.h"

namespace firtide::net
{

class UpstreamPool
{
  public:
    UpstreamPool(event_base* base, const ServiceConfig& setup, ConnectionBudget budget, MemoryBudget& memory,
                 std::function<void(Event)> post_event);
    ~UpstreamPool();

    void start_attempt(const ConnectUpstream& connect);
    void write(WriteUpstream write);
    void set_timeout(const SetAttemptTimeout& change);
    void set_response_reading(const SetResponseReading& reading);
    void abandon(AttemptId attempt);
    void cancel_write(AttemptId attempt);
    void close_idle(UpstreamId upstream_id);
    size_t close_oldest_idle(size_t count);  // returns how many were closed
    size_t open_connections() const { return connections_.size(); }
    void set_process_count(size_t process_count);  // divides the limits of this balancer

  private:
    struct Connection;
    using ConnectionIterator = std::list<Connection>::iterator;

    ConnectionIterator open_connection(UpstreamId upstream_id, const std::string& endpoint);
    ConnectionIterator take_idle(UpstreamId upstream_id, const std::string& endpoint);
    ConnectionIterator find_rested(UpstreamId upstream_id, const std::string& endpoint);
    EventPtr make_timeout_timer(Connection& c, Duration wait);
    void assign(ConnectionIterator it, AttemptId attempt, Duration limit);
    void release_to_idle(ConnectionIterator it);
    void remove_from_idle(ConnectionIterator it);
    void on_timeout(ConnectionIterator it);
    void fail(ConnectionIterator it, FailureCause cause);
    void on_unsolicited_bytes(ConnectionIterator it);
    void on_response_progress(ConnectionIterator it);
    bool should_stream(ConnectionIterator it) const;
    void pause_for_memory(ConnectionIterator it);
    void resume_after_memory_pause();
    void on_response_complete(ConnectionIterator it, bool trailing_bytes);
    void restart_timeout(ConnectionIterator it, Duration wait);
    void restart_streaming_timeout(ConnectionIterator it);
    void close_connection(ConnectionIterator it);
    void on_readable(ConnectionIterator it);
    void on_written(ConnectionIterator it);
    void on_event(ConnectionIterator it, short what);

    event_base* base_;
    const ServiceConfig& setup_;
    ConnectionBudget budget_;
    MemoryBudget& memory_;
    EventPtr memory_pause_timer_;
    std::function<void(Event)> post_event_;
    std::list<Connection> connections_;
    std::unordered_map<AttemptId, ConnectionIterator> connection_of_;
    std::unordered_map<UpstreamId, std::vector<ConnectionIterator>> idle_;  // most recently used last
};

}  // namespace firtide::net
