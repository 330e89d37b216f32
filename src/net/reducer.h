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
#include "src/fleet/recovery.h"
#include "src/fleet/view.h"

namespace firtide::net
{

using CallerId = uint64_t;    // one request of a caller
using AttemptId = uint64_t;   // one forward or probe
using OperatorId = uint64_t;  // one call at the management address

// One lifecycle, which all that tells or asks of it reads.
enum class Life { starting, ready, draining, stopping };

// What operators may ask for.
enum class Order { ready, show_stat, drain, resume };

// Requests of one operation, from the start of this process.
struct Outcomes {
    uint64_t success = 0, busy = 0, failure = 0;
};

// `taken` is the sum of all outcomes, of what is in flight and of what its caller left.
struct Figures {
    std::map<std::string, Outcomes> of_operation;
    uint64_t backend_calls = 0;  // forwards written whole; probes are none
    uint64_t taken = 0, left = 0;
    size_t inflight = 0, hosts_listed = 0, hosts_down = 0;
};

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
struct ListUpdate {
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
    bool half_closed = false;  // by its caller, and a while ago
};
struct CallerLeft {
    CallerId caller;
};
struct HalfClosed {  // the caller sends nothing more: it listens, or has gone
    CallerId caller;
};
struct RequestData {  // more of a request's body
    CallerId caller;
    std::string bytes;
    bool last = false;
    Span waited = {};  // the last byte, unread
};
// To the caller: nearly all that was passed on to it; of an answer that was passed on whole, all.
struct WriteDrained {
    CallerId caller;
};
struct Connected {
    AttemptId attempt;
};
struct Answered {
    AttemptId attempt;
    Response response;
};
struct ResponseData {  // more of the body of an answer that is passed on
    AttemptId attempt;
    std::string bytes;
    bool last = false;
};
struct Failed {
    AttemptId attempt;
    Broken broken;
};
struct Written {  // all that was handed over for it has left
    AttemptId attempt;
};
struct TurnedAway {  // before its body, with its head read: there was no room for it
    uint32_t operation = 0, edition = 0;
};
struct Ordered {
    OperatorId caller;
    Order order;
};
struct Woken {
    uint64_t name;
};
struct Shared {  // memory and descriptors, among so many processes of this balancer
    size_t processes = 1;
};
struct Stopping {
    bool another_serves = false;  // at the same listening socket
};
// A duty's probes: of the upstreams of this part and slice of the fleet's. What they leave with is the stamp.
struct ProbeDue {
    uint32_t part = 0, parts = 1, slice = 0, slices = 1;
    uint64_t stamp = 0;
};
struct ReportHeard {  // of a probe that another balancer has made
    std::string uid;
    bool well = false;
    std::string report;
};
struct Reread {  // the configuration, while serving
    std::string discovery;
    std::optional<Setup> setup;  // where the settings are others
};
// Of the fleet that this balancer is a member of.
struct FleetIs {
    std::vector<fleet::SubsetPeer> sharers;
};
struct SignalsUpdate {
    std::map<uint64_t, fleet::OutlierGossip::Result> results;
};
struct PartsAre {
    std::vector<fleet::QuotaLease> parts;
};
struct Remembered {  // from before this start
    fleet::MemberSnapshot memory;
};
struct FleetStateIs {
    fleet::FleetState state;
};
struct Tick {  // every tenth of a second or so, as a member of a fleet
};
using Event = std::variant<Started, ListUpdate, ListRemembered, ListFailed, Arrived, CallerLeft, HalfClosed,
                           RequestData, WriteDrained, Connected, Answered, ResponseData, Failed, Written,
                           TurnedAway, Ordered, Woken, Shared, Stopping, Reread, ProbeDue, ReportHeard,
                           FleetIs, SignalsUpdate, PartsAre, Remembered, FleetStateIs, Tick>;

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
    bool more = false;   // of the request follows
    uint64_t stamp = 0;  // of the duty that it is an effect of; zero: of none
};
struct Limit {  // of an attempt that is out, anew
    AttemptId attempt;
    Span limit;
};
struct Pass {  // a piece of an answer
    CallerId caller;
    std::string bytes;
    bool last = false;
};
struct Cut {  // an answer that cannot be finished, so that its caller can tell
    CallerId caller;
};
struct Hear {  // more of a request from its caller, or for now no more
    CallerId caller;
    bool more = false;
};
struct Read {  // more of an answer from its upstream, or for now no more
    AttemptId attempt;
    bool more = false;
};
struct HangUp {
    AttemptId attempt;
};
struct Withdraw {  // what was handed over, as long as none of it has left; then Failed follows
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
struct Probed {  // for the other balancers
    uint64_t stamp = 0;
    std::string uid;
    bool well = false;
    std::string report;
};
struct Obeyed {  // or not, as the answer to an operator
    OperatorId caller;
    bool success = false;
    Life life = Life::starting;
    std::optional<Figures> figures;
};
using fleet::LocalObservations;  // for the fleet
using Effect = std::variant<Answer, Pass, Cut, Hear, Dial, Write, Limit, Read, HangUp, Withdraw, CloseIdle,
                            Wake, WatchList, MoveWatch, Obeyed, Probed, LocalObservations>;

// The same at every instance, whatever the order in which upstreams are met.
uint64_t id_of(std::string_view uid);

class Reducer : private Outlet
{
  public:
    // The setup is the one that all parts read; new settings are put there. room: bytes of messages that are
    // passed on, together.
    Reducer(Setup& setup, uint64_t seed, std::string discovery, size_t room = size_t{1} << 30);

    // As a member of a fleet: what the module is shown follows the choices of all. Before the first event.
    void join(fleet::EndpointView::Rules rules);
    // And its return is in stages, with what it remembers.
    void recover(fleet::StartupConfig rule) { recovery_.emplace(rule); }

    // The effects are to be carried out in their order.
    std::vector<Effect> reduce(Point now, Event event);

    Life life() const;
    bool ready() const { return life() == Life::ready && (!recovery_ || list_told_ || recovery_->ready()); }
    // Draining or stopping for so long that each answer is the last on its connection and idle ones may go.
    bool turns_out(Point now) const;
    // What comes after the signal to stop has its answer within this after it.
    Span answers_for() const;
    Figures figures();
    size_t places() const { return upstreams_.size(); }  // for upstreams
    size_t in_flight() const { return invocation_of_.size() + relays_.size(); }

  private:
    // Lives from arrival until the module lets go of it.
    struct Invocation {
        CallerId caller = 0;
        bool over = true;
        Request request;
        std::vector<AttemptId> attempts;
        std::vector<Tgt> met;  // upstreams it was forwarded to
        Outcomes* outcomes = nullptr;
        // Of a request that is passed on while it comes.
        std::optional<AttemptId> goes_to;
        size_t on_way = 0;
        bool spent = false;  // bytes have gone that are not held any more: it cannot be sent again
        bool bound = false;  // to an attempt whose answer is being passed on
        std::optional<Point> half_closed;  // by its caller
        Span window;                       // in which a repeat is recognised; zero: no such limit
        Point first_sent;                  // the first of its forwards
    };
    // Lives while an answer is passed on that is too large to be taken in whole. The module knows it as
    // succeeded: nothing but this attempt can be the answer any more.
    struct Relay {
        CallerId caller = 0;
        std::string id;
        Outcomes* outcomes = nullptr;
        size_t on_way = 0;
        bool held = false, all_came = false;
    };
    // Lives as long as one forward or probe.
    struct Attempt {
        std::optional<Inv> inv;  // none: a probe
        uint32_t nth = 0;
        Tgt tgt = 0;
        std::string endpoint;
        Point sent, until;
        bool counted = false;                  // as written whole
        uint64_t stamp = 0;                    // of a duty's probe
        std::optional<Point> written_by = {};  // its first byte; later it is no repeat any more
    };
    // Lives until its place is wanted for another, and nothing refers to it any more.
    struct Upstream {
        std::string uid, endpoint;
        size_t referred = 0;  // by invocations and probes
        Presence presence = Presence::gone;
    };

    void on(Started);
    void on(ListUpdate& told);
    void on(ListRemembered& told);
    void on(ListFailed);
    void on(Arrived& arrived);
    void on(CallerLeft left);
    void on(HalfClosed closed);
    void on(RequestData& piece);
    void on(WriteDrained taken);
    void on(Connected connected);
    void on(Answered& answered);
    void on(ResponseData& came);
    void on(Failed failed);
    void on(Written written);
    void on(TurnedAway turned);
    void on(Ordered ordered);
    void on(Woken woken);
    void on(Shared shared);
    void on(Stopping stopping);
    void on(Reread& read);
    void on(ProbeDue due);
    void on(const ReportHeard& heard);
    void on(FleetIs& fleet);
    void on(const SignalsUpdate& told);
    void on(const PartsAre& parts);
    void on(Tick);
    void on(const Remembered& remembered);
    void on(const FleetStateIs& fleet);

    void listed(const std::vector<Listing>& listings, bool all);
    void show();
    double reduction(Tgt tgt) { return balancer_.reduction(now_, tgt); }
    bool within_budgets(uint32_t nth, Tgt tgt);
    std::optional<Span> over_rate(const Request& request);
    bool turned_away(Arrived& arrived);
    void look_at_return();
    void remember(LocalObservations& observed);
    double rank_of(uint32_t operation) const;

    void settings_are(Setup setup);
    Tgt place_of(const std::string& uid);
    std::vector<Listing> listings(const std::vector<Entry>& entries, bool all);
    void dial(AttemptId id, Attempt attempt);
    bool may_write(const Attempt& attempt) const;
    bool may_begin(const Invocation& i) const;
    void bound_by_stop(Request& request) const;
    Outcomes& outcomes_of(uint32_t operation);
    void ended(AttemptId id, Result result, Response* response);
    void answer(Inv inv, Response response);
    size_t most_on_way() const;
    void hear(const Invocation& i);
    void bind(AttemptId id);
    void relayed(AttemptId id, uint64_t Outcomes::*as);
    void over(Invocation& i);

    void forward(Inv inv, Tgt tgt, Span limit) override;
    void throttle(Inv inv, Span come_back) override;
    void error(Inv inv) override;
    void cancel(Inv inv, uint32_t forward) override;
    void limit(Inv inv, uint32_t forward, Span limit) override;
    void released(Inv inv) override;
    void wake(Point at, uint64_t name) override;
    void probe(Tgt tgt) override;
    void close_idle(Tgt tgt) override;
    void watch_list() override;
    void tell(const std::string&) override {}  // no other instance is known here

    Setup& setup_;
    const size_t all_room_;
    size_t room_, sending_ = 0;  // sending: requests that are passed on while they come
    Point now_;
    std::vector<Effect> effects_;
    std::deque<std::pair<AttemptId, Result>> settled_;  // here; told to the module once it has returned
    std::vector<Invocation> invocations_;
    std::vector<Inv> free_;
    std::unordered_map<CallerId, Inv> invocation_of_;
    std::unordered_set<std::string> open_ids_;  // of what is not answered yet
    std::unordered_map<AttemptId, Attempt> attempts_;
    std::unordered_map<AttemptId, Relay> relays_;
    std::unordered_map<CallerId, AttemptId> relay_of_;
    AttemptId next_attempt_ = 1;
    std::vector<Upstream> upstreams_;
    std::unordered_map<std::string, Tgt> upstream_of_;
    bool listed_ = false;
    std::optional<Point> stopped_, drained_;  // since then
    bool another_serves_ = false;
    std::map<std::string, Outcomes> outcomes_;
    uint64_t backend_calls_ = 0, taken_ = 0, left_ = 0;
    std::string discovery_;
    std::optional<fleet::EndpointView> view_;  // as a member of a fleet with choices that add up
    std::vector<Listing> real_;                // by place, where there is one
    double sharers_ = 0;
    std::optional<fleet::StartupSequencer> recovery_;
    std::unordered_set<std::string> may_have_run_;  // before this start, by id
    bool list_told_ = false;
    uint64_t went_well_ = 0;
    double well_rate_ = 0;  // a second
    Point well_at_;
    Balancer balancer_;
};

}  // namespace firtide::net
