// One connection of a client, from accept to close. For the files of DownstreamServer only.
#pragma once

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "downstream_server.h"

namespace firtide::net
{

struct DownstreamServer::Connection {
    Connection(const ServiceConfig& setup, MemoryBudget& memory)
        : reader(setup),
          connection_memory(memory, MemoryPurpose::connections, connection_memory_bytes),
          head_memory(memory, MemoryPurpose::request_heads),
          body_memory(memory, MemoryPurpose::request_bodies),
          response_memory(memory, MemoryPurpose::responses)
    {
    }

    DownstreamServer* owner = nullptr;
    uint64_t id = 0;
    ConnectionIterator self;
    Phase phase = reading_request;
    TimePoint phase_since;
    BuffereventPtr stream;
    RequestReader reader;
    RequestId caller = 0;       // of the request that awaits its response
    size_t body_bytes_due = 0;  // bytes of the body still to come of a request that is already answered
    bool half_closed = false;   // the caller has shut its sending side
    bool close_after_response = false;  // the response being sent is the last on the connection
    bool streaming_response = false, chunked = false, ends_with_connection = false;  // of the response
    size_t ignored_bytes = 0;
    uint32_t pipelined_requests = 0;
    MemoryReservation connection_memory, head_memory, body_memory, response_memory;

    int fd() const { return bufferevent_getfd(stream.get()); }
    size_t unparsed_bytes() const { return evbuffer_get_length(bufferevent_get_input(stream.get())); }
    size_t unsent_bytes() const { return evbuffer_get_length(bufferevent_get_output(stream.get())); }
    size_t request_memory_bytes() const { return head_memory.bytes() + body_memory.bytes(); }

    // To be called whenever the connection may hold more or less than before.
    void update_memory()
    {
        head_memory.resize(reader.head_memory_bytes() + unparsed_bytes());
        body_memory.resize(reader.body_memory_bytes());
        response_memory.resize(unsent_bytes());
    }
};

// Time since the last byte arrived. For requests that waited unread while this process stood still, time
// counts from when their callers sent them.
inline Duration time_since_last_byte(int fd)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
    return Duration{int64_t{info.tcpi_last_data_recv} * 1000};
}

// Whether poll() reports one of these events on the socket now.
inline bool has_poll_event(int fd, short events)
{
    pollfd polled{fd, events, 0};
    return poll(&polled, 1, 0) > 0;
}

}  // namespace firtide::net
