// One member of the fleet: a typed event in, effects out. Members, leases and duties are parts of it; the
// voter agent stands beside it, for it may wait for the disk. No I/O and no clock of its own: real
// processes, virtual time and the model checker drive the same code.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "leases.h"
#include "list_distribution.h"
#include "members.h"
#include "recovery.h"
#include "traffic.h"
#include "view.h"
#include "voter_agent.h"

namespace firtide::fleet
{

// Events.
struct Begun {
};
struct Heard {
    Member from = 0;
    Message message;
};
struct Ticked {  // every 20 to 50 ms
};
struct VoterAgentReported {
    VoterAgentEffect effect;
};
struct AdminRequest {
    uint64_t caller = 0;
    std::string what, first,
        second;  // show-fleet, show-recovery, hand-over, let-in, put-out, turn, turn-over
    std::optional<TrafficCounts> traffic{};  // of the member's connections, where it has any
};
struct AdminDisconnected {
    uint64_t caller = 0;
};
struct ListSeen {        // own discovery has answered
    std::string source;  // its address: versions of another say nothing of this one's
    uint64_t version = 0;
    std::string whole;                                 // without [deltas]
    std::shared_ptr<const ListLines> lines = nullptr;  // with [deltas]
    // With [deltas]: all uids that can differ from the last answer; nothing: any.
    std::optional<std::vector<std::string>> changed = std::nullopt;
};
struct ProbesSeen {
    std::string duty;
    Epoch epoch = 0;
    std::string bytes;
};
struct Refused {  // by a receiver that has met a higher epoch
    std::string duty;
    Epoch epoch = 0;
};
struct Stops {
};
// What this member remembers, or why that is refused; nothing: there was none. Before it has begun.
struct Recalled {
    std::variant<std::monostate, Memory, std::string> memory;
    std::optional<Span> ago;  // by a clock that is trusted: the machine has not been started anew
};
// The members as a fleet at rest holds them, of a simulation that does not begin with all unknown.
struct Acquainted {
    std::shared_ptr<const std::vector<Members::One>> members;
};
using FleetEvent = std::variant<Begun, Heard, Ticked, VoterAgentReported, AdminRequest, AdminDisconnected,
                                ListSeen, ProbesSeen, Refused, Stops, Observed, Recalled, Acquainted>;

// Effects. Send is one of them.
struct Seating {  // of a member among the voters
    uint64_t name = 0;
    bool in = false;  // or out
    std::string member;
};
struct CallVoterAgent {
    std::variant<std::pair<Member, DiskReport>, std::pair<Member, Founded>, RaftSent, Propose, Seating> call;
};
struct Publish {
    std::vector<Send> sends;
};
struct Tell {  // the program beside this balancer
    std::string address;
    uint64_t number = 0;
    int64_t left_ms = 0;
};
struct ProbeNow {  // those of the upstreams of this part whose turn is this slice of the period
    uint32_t part = 0, slice = 0;
};
struct DrainNow {
};
// An effect of a duty. The host passes it through Fleet::may with a clock read for it, and only then carries
// it out.
struct Act {
    std::string duty;
    Epoch epoch = 0;
    Span lasts;  // the lease has to hold for so long
    std::variant<Publish, Tell, ProbeNow, DrainNow> what;
};
struct ResumeNow {  // the turn to drain is over
};
struct AskDiscovery {
    bool on = false;
};
struct UseReports {
    std::string duty;
    std::string bytes;
    Span age;
};
struct UseFleet {  // who shares the upstreams
    std::vector<Sharer> sharers;
};
struct UseSignals {
    std::map<uint64_t, Signals::Result> results;  // by upstream
};
struct UseParts {
    std::vector<Part> parts;
};
struct UseMemory {  // and its list as a hint
    Memory memory;
};
struct UseState {
    FleetState state;
};
struct Keep {       // on the disk, in the place of the last one
    Memory memory;  // but for the machine's part of it
};
struct Reply {
    uint64_t caller = 0;
    std::string text;
};
struct Noted {  // for the log; a line of JSON
    std::string event, subject, why;
    Epoch epoch = 0;
    std::string health;
    Point until;  // of a duty that was lost: when its lease ended, at the latest
};
using FleetEffect = std::variant<Send, CallVoterAgent, Act, ResumeNow, AskDiscovery, UseList, UseReports,
                                 Reply, Noted, UseFleet, UseSignals, UseParts, UseMemory, UseState, Keep>;

inline constexpr uint32_t probe_slices = 10;
inline constexpr Span probe_lasts = seconds(0.3);  // until its answer, or its being given up

// What the news of a probing duty are made of.
struct ProbeReport {
    std::string upstream;
    bool well = false;
    std::string report;
    MSGPACK_DEFINE(upstream, well, report)
};

class Fleet
{
  public:
    // incarnation: higher than any that this id was before, as far as its disk remembers.
    Fleet(const FleetFile& file, Life life, Incarnation incarnation, uint64_t seed);

    std::vector<FleetEffect> reduce(Point now, FleetEvent event);

    // The gate. The one place where it is decided whether an effect of a duty may leave.
    bool may(Point now, const Act& act) const;
    bool mine(Point now, const std::string& duty) const { return holder_.mine(now, duty).has_value(); }

    Incarnation incarnation() const { return members_.incarnation(); }
    const Holder& holder() const { return holder_; }
    const Members& members() const { return members_; }
    // Of the list; nothing without [deltas].
    const ListReplica* replica() const { return distribution_ ? &distribution_->replica() : nullptr; }
    ListReplica* replica_to_corrupt() { return distribution_ ? &distribution_->replica() : nullptr; }
    Granter& granter() { return granter_; }
    uint64_t refused() const { return refused_; }  // effects of others, for their epoch

  private:
    struct Caller {
        uint64_t caller = 0;
        Point until;
    };
    struct Beat {
        Epoch epoch = 0;
        uint64_t number = 0;
        Point next;
        uint32_t slice = 0;
    };

    void on(const Begun&);
    void on(Heard& heard);
    void on(const Ticked&);
    void on(VoterAgentReported& said);
    void on(const AdminRequest& asked);
    void on(const AdminDisconnected& left);
    void on(ListSeen& seen);
    void on(ProbesSeen& seen);
    void on(const Refused& refused);
    void on(const Stops&);
    void on(Observed& observed);
    void on(Recalled& recalled);
    void on(const Acquainted& acquainted) { members_.acquaint(*acquainted.members); }
    void recovery_tick();
    std::string show_recovery() const;

    void hear(Member from, const Order& order);
    void hear(Member from, const Obeyed& obeyed);
    void hear(Member from, News& news);
    void settle();
    void changed(const Change& change);
    void publish(const std::string& duty, Epoch epoch, std::string bytes);
    void choices_tick();
    void tell_sharers();
    void hear(Member from, const WantParts& want);
    std::string show_choices() const;
    void beat();
    void pass_on(const News& news, Member not_to);
    // Of the duty `list`: fleet_list.cpp.
    void hear_list(Member from, News& news);
    void hear_list(Member from, const Ping& ping);
    void hear(Member from, ListDelta& delta);
    void hear(Member from, const WantListDeltas& want);
    void hear(Member from, const ListSnapshotChunk& chunk);
    bool accepts(const ListVersion& version) const;
    bool use_list(const std::string& source, uint64_t version, const std::string& whole);
    void replicate(const ListSeen& seen);
    void push(Epoch epoch, const std::vector<ListDelta>& deltas);
    void use_replica();
    void list_confirmed(Span age);
    void list_tick();
    void replica_tick();
    const std::string& list_to_remember();
    std::string show_list() const;

    void reply(uint64_t caller, std::string text) { effects_.push_back(Reply{caller, std::move(text)}); }
    void order(uint64_t caller, const std::string& what, const std::string& first, const std::string& second);
    std::string show(const std::optional<TrafficCounts>& traffic) const;
    Key leader_key() const;

    const FleetFile& file_;
    const Member self_;
    std::ranlux24_base chance_;
    Point now_;
    Members members_;
    Holder holder_;
    Granter granter_;
    Table table_;  // as committed, at a voter
    std::optional<VoterStatus> standing_;
    std::map<DiskId, Member> disks_;  // of voters, as heard of
    std::vector<FleetEffect> effects_;
    std::vector<std::pair<Member, Message>> to_self_;

    Fence fence_;
    uint64_t refused_ = 0;
    std::map<std::string, News> newest_;  // of duties whose last word stays true
    std::map<std::string, Beat> beats_;   // of what is held
    std::map<std::string, uint64_t> numbers_;
    uint64_t list_version_ = 0, list_base_ = 0;
    Point list_fresh_;
    Span list_spread_;
    std::string list_published_, list_source_;
    bool asking_ = false;
    Point wanted_news_;
    std::optional<ListDistribution> distribution_;  // where the fleet file has [deltas]
    Point list_gained_;
    std::optional<ListSeen> unpublished_list_;  // by a holder that is being repaired first
    bool list_changed_ = false;                 // since it was last written down to be remembered

    // Choices that add up, where the fleet file has them.
    std::optional<Signals> signals_;
    std::optional<Shares> shares_;
    std::optional<Allocator> allocator_;
    Observed observed_;
    std::vector<Sharer> sharers_;
    std::optional<uint64_t> sharers_version_;  // of the members, as they were told last
    Point weighed_, sharers_at_, wanted_parts_;
    bool signalled_ = false;

    // Of its return, where the fleet file has it.
    std::vector<std::string> recalled_;  // what was trusted, and refused
    Incarnation began_as_ = 0;
    Point begun_, kept_at_;
    uint64_t hint_version_ = 0;
    std::string last_list_;
    bool older_told_ = false;

    std::map<uint64_t, Caller> callers_;  // of orders on their way to the leader
    std::map<uint64_t, std::pair<Member, uint64_t>> voter_orders_;
    uint64_t next_order_ = 1, next_voter_order_ = uint64_t{1} << 63;
    std::optional<uint64_t> turn_;  // the caller who waits for it
    bool wants_turn_ = false, twin_told_ = false, stopping_ = false;
};

}  // namespace firtide::fleet
