// Leases on duties. The holder's side, at every member, and the leader's, at one voter: both without I/O or
// clock.
//
// A member renews one lease on all that it holds: it asks the leader, which answers once a majority has
// confirmed that it still leads. The holder counts from its asking, by its own clock, drift taken off; the
// leader from the last asking that reached it, or from its coming into office. So a duty is held by nobody
// any more before it can be granted again, whoever stalls or is cut off, as long as clocks keep to the stated
// drift; where they do not, receivers refuse by epoch (FencingGuard).
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lease_table.h"
#include "src/fleet/membership/membership.h"

namespace firtide::fleet
{

// At a receiver of a duty's effects: none of a lower epoch, and none twice.
class FencingGuard
{
  public:
    bool accept(const std::string& duty, Epoch epoch, uint64_t number);
    Epoch epoch(const std::string& duty) const;

  private:
    std::map<std::string, std::pair<Epoch, uint64_t>> newest_;
};

struct LeaseChange {  // of what this member holds
    std::string duty;
    Epoch epoch = 0;
    bool gained = false;
    std::string why;
    Point until;  // lost: no later than this, by this member's clock, it was not held any more
};

class LeaseClient
{
  public:
    LeaseClient(const FleetConfig& file, InstanceId instance, uint64_t seed);

    void start(Point now);
    // Epochs from before this start: granted anew, a duty has a higher one.
    void recall(const std::vector<SeenEpoch>& epochs);
    void tick(Point now);
    void on(Point now, MemberIndex from, const LeaseRenewResponse& renewed);
    void on(Point now, MemberIndex from, const LeaderRedirect& refer);
    void on(Point now, MemberIndex from, const LeaseRevoke& revoke);
    void leader_is(MemberKey leader, Term term);
    void want(const std::string& family, bool wanted);
    void release(Point now, const std::string& duty, const std::string& why);
    void leave(Point now);

    // The check that stands before each effect of a duty, with a clock read for it.
    bool holds(Point now, const std::string& duty, Epoch epoch) const;
    std::optional<Epoch> mine(Point now, const std::string& duty) const;
    Span left(Point now) const { return now < until_ ? until_ - now : Span{}; }
    // A majority has confirmed it lately.
    bool confirmed(Point now) const { return now < until_; }
    std::map<std::string, Epoch> held(Point now) const;
    const LeaseTable& table() const { return table_; }
    Term term() const { return term_; }
    std::optional<MemberIndex> leader() const { return leader_; }  // as it takes it to be

    std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
    std::vector<LeaseChange> take_changes() { return std::exchange(changes_, {}); }

  private:
    void renew(Point now);
    void lose(const std::string& duty, const std::string& why);
    void send_released(const std::string& duty, Epoch epoch);

    const FleetConfig& file_;
    const MemberKey own_;
    const InstanceId instance_;
    std::ranlux24_base chance_;
    std::vector<MemberIndex> voters_;
    std::optional<MemberIndex> leader_;
    Term leader_term_ = 0, term_ = 0;
    size_t next_voter_ = 0;
    uint64_t nonce_ = 0;
    std::deque<std::pair<uint64_t, Point>> asked_;  // not answered yet
    Point now_, next_, until_;
    bool answered_ = true, leaving_ = false;
    std::map<std::string, Epoch> held_;
    std::map<std::string, Epoch> done_;  // no epoch up to it is held any more
    std::map<std::string, Epoch> owed_;  // of these, what the leader may not know
    uint64_t heard_ = 0;
    std::set<std::string> wants_;
    LeaseTable table_;
    std::vector<Send> sends_;
    std::vector<LeaseChange> changes_;
};

class LeaseManager
{
  public:
    LeaseManager(const FleetConfig& file, uint64_t seed);

    void on_elected(Point now, Term term);
    void on_stepped_down();
    bool is_leader() const { return is_leader_; }
    void tick(Point now);
    void on(Point now, MemberIndex from, const LeaseRenewRequest& renew);
    void on(Point now, MemberIndex from, const LeaseRelease& released);
    // The table as committed so far is read where it stands.
    void proposed(Point now, const LeaseTable& table, uint64_t name, bool well);
    void table_is(const LeaseTable& table) { table_ = &table; }
    void hand_over(Point now, MemberIndex from, const AdminCommand& order);

    std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
    std::vector<Proposal> take_proposals() { return std::exchange(proposals_, {}); }

    // Of the test that shows that each is needed: safety rules that can be left out.
    struct DisabledChecks {
        bool wait_in_office = false;  // grants what others granted without waiting
        bool confirm = false;         // answers renewals without a majority
        bool expiry = false;          // grants again after half of the lease
    } disabled_checks;

  private:
    struct Session {
        InstanceId instance = 0;
        Point received, since;
        uint64_t heard = 0;
        std::optional<Point> heard_at;  // an answer: who hears none can be granted nothing
        bool leaving = false;
        std::map<std::string, Point> wants;
    };
    struct Waiting {
        MemberIndex from = 0;
        LeaseRenewRequest renew;
    };
    struct Moving {
        std::optional<MemberIndex> to;
        Epoch epoch = 0;
        Point since, asked;
        std::optional<std::pair<MemberIndex, uint64_t>> order;
    };

    bool fresh(Point now, MemberIndex m) const;
    bool over(Point now, const LeaseTable::Entry& e) const;
    std::map<MemberIndex, size_t> loads(Point now) const;
    std::optional<MemberIndex> choose(const std::string& duty,
                                      const std::map<MemberIndex, size_t>& loads) const;
    void grant(Point now, std::vector<LeaseCommand>& commands, const std::string& duty, MemberIndex to,
               const std::string& why);
    void assign(Point now);
    void balance(Point now);
    void propose(Point now, std::vector<LeaseCommand> commands);
    void answer(const Waiting& w, const LeaseTable& table);
    void take_back(Point now, MemberIndex from, InstanceId instance, const std::string& duty, Epoch epoch);
    void obey(const std::optional<std::pair<MemberIndex, uint64_t>>& order, bool well,
              const std::string& text);

    const FleetConfig& file_;
    std::ranlux24_base chance_;
    const LeaseTable* table_ = nullptr;
    bool is_leader_ = false;
    Term term_ = 0;
    Point since_, balanced_, proposed_at_;
    std::map<MemberIndex, Session> sessions_;
    std::map<std::pair<MemberKey, InstanceId>, Point> received_;
    std::map<std::string, Epoch> floors_;
    std::vector<Waiting> waiting_;
    struct Out {
        std::vector<Waiting> waiting;
        std::vector<LeaseCommand> commands;
    };
    std::map<uint64_t, Out> out_;
    std::set<std::string> in_log_;  // duties that a proposal on its way is about
    std::map<std::string, Moving> moving_;
    uint64_t name_ = 0;
    std::vector<Send> sends_;
    std::vector<Proposal> proposals_;
};

}  // namespace firtide::fleet
