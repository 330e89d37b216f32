// Stand-ins for the servers that the processes of a test cluster talk to: receivers of duties' effects,
// upstreams and discovery.
#pragma once

#include <event2/http.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/io/event.h"

namespace firtide::fault_injection
{

// An HTTP server on loopback; each request is answered by `serve`, at once or later.
class StandInServer
{
  public:
    StandInServer(event_base* base, std::function<void(evhttp_request*)> serve);
    uint16_t port() const { return port_; }

  private:
    std::unique_ptr<evhttp, FreeWith<evhttp_free>> http_;
    std::function<void(evhttp_request*)> serve_;
    uint16_t port_ = 0;
};

void send_response(evhttp_request* request, int status, const std::string& body);
void run_after(event_base* base, Duration after, std::function<void()> task);
uint64_t header_number(evhttp_request* request, const char* header);

// Accepts effects of duties, and rejects those whose epoch is lower than the highest that it has accepted.
class Receiver
{
  public:
    using AcceptHandler = std::function<void(const std::string& duty, uint64_t epoch, uint64_t number,
                                             const std::string& holder)>;
    Receiver(event_base* base, AcceptHandler on_accept);
    uint16_t port() const { return server_.port(); }
    uint64_t rejected_count() const { return rejected_count_; }

  private:
    void serve(evhttp_request* request);

    AcceptHandler on_accept_;
    std::map<std::string, uint64_t> highest_epoch_;
    uint64_t rejected_count_ = 0;
    StandInServer server_;
};

class Upstream
{
  public:
    Upstream(event_base* base, std::string name,
             std::function<void(const std::string& name, size_t concurrent_probes)> on_probe);
    uint16_t port() const { return server_.port(); }
    const std::string& name() const { return name_; }
    uint64_t probe_count() const { return probe_count_; }
    uint64_t request_count() const { return request_count_; }

    // hanging: holds requests open until it is healthy again.
    enum class Mode { healthy, hanging, overloaded, failing };
    void set_mode(Mode mode);
    // Arrival times of the last requests, without probes.
    const std::deque<TimePoint>& recent_requests() const { return recent_requests_; }
    // Fails requests whose Req-Id starts with the prefix; empty: none.
    void fail_ids_with_prefix(std::string prefix) { failing_id_prefix_ = std::move(prefix); }

  private:
    void serve(evhttp_request* request);

    event_base* base_;
    Mode mode_ = Mode::healthy;
    std::vector<evhttp_request*> unanswered_;
    std::deque<TimePoint> recent_requests_;
    std::string name_, failing_id_prefix_;
    std::function<void(const std::string&, size_t)> on_probe_;
    size_t concurrent_probes_ = 0;
    uint64_t probe_count_ = 0, request_count_ = 0;
    StandInServer server_;
};

class DiscoveryStandIn
{
  public:
    explicit DiscoveryStandIn(event_base* base);
    uint16_t port() const { return server_.port(); }
    void set_targets(
        std::map<std::string, std::pair<uint16_t, std::string>> targets);  // by uid: port and state
    void set_target_state(const std::string& uid, const std::string& state);
    void mark_restarted(const std::string& uid);  // reports the current time as its start
    void set_unavailable(bool on) { unavailable_ = on; }
    void set_empty(bool on);  // lists no targets, as after losing its stored state
    uint64_t request_count() const { return request_count_; }

  private:
    void serve(evhttp_request* request);
    std::string target_list_json() const;
    void notify_watchers();

    event_base* base_;
    std::map<std::string, std::pair<uint16_t, std::string>> targets_;
    std::map<std::string, int64_t> started_at_ms_;  // Unix time
    uint64_t version_ = 1, request_count_ = 0;
    bool unavailable_ = false, empty_ = false;
    std::vector<evhttp_request*> watchers_;
    StandInServer server_;
};

}  // namespace firtide::fault_injection
