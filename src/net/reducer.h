// All changes of state: a typed event in, effects out. It calls the decision module, whose Outlet becomes
// effects, and stands at the one place that every write to an upstream passes. It does no input or output.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "message.h"

namespace firtide::net
{

using CallerId = uint64_t;   // one request of a caller
using AttemptId = uint64_t;  // one forward or probe

// A line of the list of upstreams.
struct Entry {
    std::string uid, endpoint;
    Presence presence = Presence::gone;
    uint32_t zone = 0, cell = 0;
    double size = 1;
    std::optional<Point> started;
};

// Events.
struct Started {
};
struct ListTold {
    bool all = false;
    std::vector<Entry> entries;
};
struct ListRemembered {  // from before this start; it may be old
    std::vector<Entry> entries;
};
struct ListFailed {
};
struct Arrived {
    CallerId caller;
    Request request;
};
struct CallerLeft {
    CallerId caller;
};
struct Connected {
    AttemptId attempt;
};
struct Answered {
    AttemptId attempt;
    Response response;
};
struct Failed {
    AttemptId attempt;
    Broken broken;
};
struct Woken {
    uint64_t name;
};
struct Stopping {
};
struct Reread {  // the configuration, while serving
    std::string discovery;
    std::optional<Setup> setup;  // where the settings are others
};
using Event = std::variant<Started, ListTold, ListRemembered, ListFailed, Arrived, CallerLeft, Connected,
                           Answered, Failed, Woken, Stopping, Reread>;

// Effects.
struct Answer {
    CallerId caller;
    Response response;
    bool last_on_connection = false;
};
struct Dial {  // get a connection, then say Connected; Failed where there is no answer within the limit
    AttemptId attempt;
    Tgt tgt;
    std::string endpoint;
    Span limit;
};
struct Write {
    AttemptId attempt;
    std::string bytes;
};
struct HangUp {
    AttemptId attempt;
};
struct CloseIdle {
    Tgt tgt;
};
struct Wake {
    Point at;
    uint64_t name;
};
struct WatchList {
};
struct MoveWatch {  // to another address; what the last one says from now on is nothing
    std::string discovery;
};
using Effect = std::variant<Answer, Dial, Write, HangUp, CloseIdle, Wake, WatchList, MoveWatch>;

class Reducer : private Outlet
{
  public:
    // The setup is the one that all parts read; new settings are put there.
    Reducer(Setup& setup, uint64_t seed, std::string discovery);

    // The effects are to be carried out in their order.
    std::vector<Effect> reduce(Point now, Event event);

    bool ready() const { return listed_ && !stopped_; }
    // Stopping for so long that each answer is the last on its connection and idle ones may go.
    bool turns_out(Point now) const;
    size_t places() const { return upstreams_.size(); }  // for upstreams
    size_t in_flight() const { return invocation_of_.size(); }

  private:
    // Lives from arrival until the module lets go of it.
    struct Invocation {
        CallerId caller = 0;
        bool over = true;
        Request request;
        std::vector<AttemptId> attempts;
        std::vector<Tgt> met;  // upstreams it was forwarded to
    };
    // Lives as long as one forward or probe.
    struct Attempt {
        std::optional<Inv> inv;  // none: a probe
        uint32_t nth = 0;
        Tgt tgt = 0;
        std::string endpoint;
        Point sent, until;
    };
    // Lives until its place is wanted for another, and nothing refers to it any more.
    struct Upstream {
        std::string uid, endpoint;
        size_t referred = 0;  // by invocations and probes
        Presence presence = Presence::gone;
    };

    void on(Started);
    void on(ListTold& told);
    void on(ListRemembered& told);
    void on(ListFailed);
    void on(Arrived& arrived);
    void on(CallerLeft left);
    void on(Connected connected);
    void on(Answered& answered);
    void on(Failed failed);
    void on(Woken woken);
    void on(Stopping);
    void on(Reread& read);

    void settings_are(Setup setup);
    Tgt place_of(const std::string& uid);
    std::vector<Listing> listings(const std::vector<Entry>& entries, bool all);
    void dial(AttemptId id, Attempt attempt);
    bool may_write(const Attempt& attempt) const;
    void ended(AttemptId id, Result result, Response* response);
    void answer(Inv inv, Response response);
    void over(Invocation& i);

    void forward(Inv inv, Tgt tgt, Span limit) override;
    void throttle(Inv inv, Span come_back) override;
    void error(Inv inv) override;
    void cancel(Inv inv, uint32_t forward) override;
    void released(Inv inv) override;
    void wake(Point at, uint64_t name) override;
    void probe(Tgt tgt) override;
    void close_idle(Tgt tgt) override;
    void watch_list() override;
    void tell(const std::string&) override {}  // no other instance is known here

    Setup& setup_;
    Point now_;
    std::vector<Effect> effects_;
    std::deque<AttemptId> cancelled_;  // told to the module once it has returned
    std::vector<Invocation> invocations_;
    std::vector<Inv> free_;
    std::unordered_map<CallerId, Inv> invocation_of_;
    std::unordered_set<std::string> open_ids_;  // of what is not answered yet
    std::unordered_map<AttemptId, Attempt> attempts_;
    AttemptId next_attempt_ = 1;
    std::vector<Upstream> upstreams_;
    std::unordered_map<std::string, Tgt> upstream_of_;
    bool listed_ = false;
    std::optional<Point> stopped_;  // since then
    std::string discovery_;
    Balancer balancer_;
};

}  // namespace firtide::net
