// The interface of the decision module: calls in, an Outlet for what it decides.
//
// One Balancer decides for one instance. The host calls it with what happened, in order, each time with the
// clock; the Balancer answers through the Outlet before the call returns. Invocations and upstreams are small
// indices chosen by the host: an invocation's index may be used again after released(), an upstream's once it
// is gone and no invocation that was forwarded to it is left.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings.h"
#include "time.h"

namespace firtide
{

using Inv = uint32_t;
using Tgt = uint32_t;

// Unusable: the upstream found fault with the invocation itself, which says nothing of the upstream.
enum class Result { succeeded, errored, full, timed_out, unreachable, reset, cancelled, not_sent, unusable };
enum class Presence { gone, ready, draining };

struct Listing {
    Tgt tgt = 0;
    uint64_t id = 0;  // the same at every instance
    Presence presence = Presence::gone;
    uint32_t zone = 0;
    uint32_t cell = 0;
    double size = 1;
    std::optional<Point> started;  // absent: long ago
    uint32_t kind = 0;             // of machine
};

struct Report {
    std::optional<double> queue;
    std::optional<double> inflight;
    std::optional<double> utilisation;
    std::optional<double> latency_ms;
    std::optional<double> errors;
};

struct Ask {
    uint32_t operation = 0;
    uint32_t tenant = 0;
    Span time_left;        // from its last byte
    bool sending = false;  // that has not come yet: sent() will tell of it
    uint64_t key = 0;      // of its subject: those with the same go together; 0: none
};

// Where each of some things was before; none: it is new.
using Places = std::vector<std::optional<uint32_t>>;

class Outlet
{
  public:
    virtual ~Outlet() = default;
    virtual void forward(Inv inv, Tgt tgt, Span limit) = 0;
    virtual void throttle(Inv inv, Span come_back) = 0;
    virtual void error(Inv inv) = 0;
    virtual void cancel(Inv inv, uint32_t forward) = 0;
    virtual void limit(Inv inv, uint32_t forward, Span limit) = 0;  // of one that is out, anew
    virtual void released(Inv inv) = 0;
    virtual void wake(Point at, uint64_t name) = 0;
    virtual void probe(Tgt tgt) = 0;
    virtual void close_idle(Tgt tgt) = 0;  // connections
    virtual void watch_list() = 0;
    virtual void tell(const std::string& message) = 0;  // every other instance; it may be lost
};

class Balancer
{
  public:
    Balancer(Settings settings, uint64_t seed, Outlet& outlet);
    ~Balancer();

    void started(Point now);
    // New settings, from now on. What is open finishes under its operation as it was when accepted, and under
    // the stricter of both settings where these differ.
    void settings_are(Point now, Settings settings, const Places& operations, const Places& tenants);
    void list_is(Point now, const std::vector<Listing>& all);
    void list_changed(Point now, const std::vector<Listing>& changes);
    void list_answered(Point now, bool well);
    void accept(Point now, Inv inv, const Ask& ask);
    void sent(Point now, Inv inv, Span time_left);  // the last byte of a request has come
    void ended(Point now, Inv inv, uint32_t forward, Result result, Span took, bool over,
               const Report& report);
    void client_left(Point now, Inv inv);
    void probed(Point now, Tgt tgt, Result result, const Report& report);
    void woken(Point now, uint64_t name);
    void told(Point now, uint32_t peer, std::string_view message);  // by another instance
    double reduction(Point now, Tgt tgt);                           // of its entry, 1 where it stands still
    void share_of_list(double part);  // what is listed is so much of what all balancers share

  private:
    struct State;
    State& at(Point now);
    std::unique_ptr<State> state_;
};

}  // namespace firtide
