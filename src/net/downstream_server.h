// The server for callers: reads requests, sends responses and detects disconnects. Built on the listener
// and bufferevents, not on evhttp's server: that reports nothing about a connection before its first
// complete request, so that a slow one could not be timed out, nor a body refused early.
#pragma once

#include <event2/listener.h>

#include <array>
#include <functional>
#include <list>
#include <unordered_map>

#include "config.h"
#include "connection_budget.h"
#include "memory_budget.h"
#include "src/io/event.h"

namespace firtide::net
{

class DownstreamServer
{
  public:
    // reading_request: has connected, or has begun a request. streaming_request: sends more of a request
    // that is already forwarded. idle: between requests. lingering: our sending side is shut, or will be
    // once the rest of the request has come; further input is discarded.
    enum Phase {
        reading_request,
        streaming_request,
        idle,
        awaiting_response,
        sending_response,
        lingering,
        phase_count
    };

    static const char* name_of(Phase phase);  // for the log and metrics

    // While the budget is used up, no connection is accepted. ready: whether `GET /-/ready` is answered
    // with 200. on_descriptors_exhausted: called when a connection cannot be accepted because no descriptor
    // is left.
    DownstreamServer(event_base* base, const Config& config, ConnectionBudget budget, MemoryBudget& memory,
                     std::function<bool()> ready, std::function<void()> on_descriptors_exhausted,
                     std::function<void(Event)> post_event);
    ~DownstreamServer();

    void answer(const SendResponse& answer);
    void send_chunk(SendResponseChunk& chunk);
    void abort_response(RequestId caller);
    void set_request_reading(const SetRequestReading& reading);
    bool has_pending_connections() const;
    void stop_listening();
    // Closes the connections that have been idle for `idle_for`, and those that have sent nothing since
    // they connected `silent_for` ago.
    void close_idle(Duration idle_for, Duration silent_for);
    // Answers every request that has begun and is not complete, with 408.
    void reject_incomplete_requests();
    // Closes at most `count` connections, in each phase the oldest first, but none that has just connected
    // or just been answered. Returns how many are closed or will close within a moment.
    size_t evict(size_t count);
    size_t open_connections() const;
    std::string connection_states() const;  // how many are in each, for operators
    void add_metrics(ResourceStatistics& resources) const;
    bool is_sending() const { return !connections_[sending_response].empty(); }
    void set_process_count(size_t process_count);  // divides the limits of this balancer

  private:
    struct Connection;
    using ConnectionIterator = std::list<Connection>::iterator;
    static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
    void listen(const Address& address);
    void adopt_listener(int fd);
    void set_error_callback();
    void pause_accepting();
    void add_connection(int fd);
    void enter_phase(ConnectionIterator it, Phase phase);
    void on_readable(ConnectionIterator it);
    void discard_input(ConnectionIterator it);
    bool fills_buffer(ConnectionIterator it) const;
    void on_request(ConnectionIterator it, bool more);
    void on_body_chunk(ConnectionIterator it, bool last);
    Duration unread_time(ConnectionIterator it) const;
    void reject(ConnectionIterator it, int status, const char* why);
    void send_response(ConnectionIterator it, const Response& response, bool last);
    void on_written(ConnectionIterator it);
    void close_lingering(ConnectionIterator it);
    bool has_request_bytes(ConnectionIterator it) const;
    bool handle_half_close(ConnectionIterator it);
    void detect_closed_callers();
    void report_stalled_requests();
    void on_disconnect(ConnectionIterator it);
    void close_connection(ConnectionIterator it);
    template <class End>
    size_t evict_from(Phase phase, Duration at_least, size_t count, End&& end);
    static bool is_large_request(ConnectionIterator it);
    bool has_memory_for(ConnectionIterator it);
    void evict_for_memory(ConnectionIterator except);
    void reject_for_memory(ConnectionIterator it);
    void check_connections();
    void end_overdue_connections(TimePoint now);
    void resume_accepting(TimePoint now);

    event_base* base_;
    const Config& config_;
    ConnectionBudget budget_;
    MemoryBudget& memory_;
    TimePoint memory_evicted_at_;
    std::function<bool()> ready_;
    std::function<void()> on_descriptors_exhausted_;
    std::function<void(Event)> post_event_;
    std::unique_ptr<evconnlistener, FreeWith<evconnlistener_free>> listener_;
    bool accepting_paused_ = false, waits_until_ready_ = false;
    TimePoint warned_at_;  // of the used-up budget, in the log
    size_t eviction_batch_ = 0;
    EventPtr check_timer_;
    TimePoint last_check_;
    bool skipped_check_ = false;  // the last check was skipped, after a stall
    RequestId next_request_id_ = 1;
    uint64_t next_connection_id_ = 1;                             // for the log
    std::array<std::list<Connection>, phase_count> connections_;  // in each, the longest in its phase first
    std::unordered_map<RequestId, ConnectionIterator> connection_of_;
};

}  // namespace firtide::net
