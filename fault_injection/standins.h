// Whom the processes of the test cluster talk to beside each other: receivers of duties' effects, upstreams,
// discovery.
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
class Server
{
  public:
    Server(event_base* base, std::function<void(evhttp_request*)> serve);
    uint16_t port() const { return port_; }

  private:
    std::unique_ptr<evhttp, FreeWith<evhttp_free>> http_;
    std::function<void(evhttp_request*)> serve_;
    uint16_t port_ = 0;
};

void answer(evhttp_request* request, int status, const std::string& body);
void answer_later(event_base* base, Duration after, std::function<void()> what);
uint64_t number_of(evhttp_request* request, const char* header);

// Takes effects of duties, and none of a lower epoch than it has met.
class Receiver
{
  public:
    using Took =
        std::function<void(const std::string& duty, uint64_t epoch, uint64_t number, const std::string& by)>;
    Receiver(event_base* base, Took took);
    uint16_t port() const { return server_.port(); }
    uint64_t refused() const { return refused_; }

  private:
    void serve(evhttp_request* request);

    Took took_;
    std::map<std::string, uint64_t> newest_;
    uint64_t refused_ = 0;
    Server server_;
};

class Upstream
{
  public:
    Upstream(event_base* base, std::string name, std::function<void(const std::string&, size_t)> probed);
    uint16_t port() const { return server_.port(); }
    const std::string& name() const { return name_; }
    uint64_t probes() const { return probes_; }
    uint64_t served() const { return served_; }

    enum class Mood { well, frozen, full, wrong };  // frozen: takes what comes, and answers once it is well
    void mood_is(Mood mood);
    const std::deque<TimePoint>& reached() const { return reached_; }  // by what, of late
    void wrong_to(std::string ids) { wrong_to_ = std::move(ids); }     // whose ids begin so; empty: to nobody

  private:
    void serve(evhttp_request* request);

    event_base* base_;
    Mood mood_ = Mood::well;
    std::vector<evhttp_request*> held_;
    std::deque<TimePoint> reached_;
    std::string name_, wrong_to_;
    std::function<void(const std::string&, size_t)> probed_;
    size_t at_once_ = 0;
    uint64_t probes_ = 0, served_ = 0;
    Server server_;
};

class DiscoveryStandIn
{
  public:
    explicit DiscoveryStandIn(event_base* base);
    uint16_t port() const { return server_.port(); }
    void list_is(std::map<std::string, std::pair<uint16_t, std::string>> targets);  // uid: port and state
    void state_is(const std::string& uid, const std::string& state);
    void started(const std::string& uid);  // just now
    void silent(bool on) { silent_ = on; }
    void empty(bool on);  // lists nothing, as after the loss of its own past
    uint64_t calls() const { return calls_; }

  private:
    void serve(evhttp_request* request);
    std::string text() const;
    void tell_watchers();

    event_base* base_;
    std::map<std::string, std::pair<uint16_t, std::string>> targets_;
    std::map<std::string, int64_t> started_;  // milliseconds of Unix time
    uint64_t version_ = 1, calls_ = 0;
    bool silent_ = false, empty_ = false;
    std::vector<evhttp_request*> watching_;
    Server server_;
};

}  // namespace firtide::fault_injection
