// Who of the fleet is there: alive, suspect or gone, each at an incarnation. Each member watches a few
// others, which follow from their ids, whatever the size of the fleet; what it finds is gossiped. No
// I/O, no clock.
//
// Neither a tick nor a ping goes through all members: a digest of the view is kept as the view changes, and
// beside the one small record of each member there are only those that are suspect, gone or heard directly.
#pragma once

#include <map>
#include <random>
#include <unordered_map>
#include <vector>

#include "src/fleet/config.h"
#include "src/fleet/transport/outgoing.h"

namespace firtide::fleet
{

struct HealthChange {
    MemberIndex member = 0;
    Health health = Health::gone;
    Incarnation incarnation = 0;
};

// What a member says of itself with each ping.
struct PingPayload {
    MemberKey leader = 0;
    Term term = 0;
    uint64_t list = 0;
    Epoch list_epoch = 0;
    uint64_t list_digest = 0;
};

class Membership
{
  public:
    // Of each member. Incarnation zero: never heard of.
    struct MemberState {
        Incarnation incarnation = 0;
        InstanceId instance = 0;
        Health health = Health::suspect;
        uint8_t weight = 0;
    };

    // period: of watching; a silent member is suspect after some four and gone after some eight of them.
    Membership(const FleetConfig& file, InstanceId instance, Incarnation incarnation, Span period,
               uint64_t seed);

    void start(Point now);
    // Takes the view of a fleet that has long been up, as one record for each member, in place of finding it
    // out. Tells nobody. For simulations that begin with a fleet at rest.
    void seed_members(const std::vector<MemberState>& all);
    void tick(Point now);
    void heard(Point now, MemberIndex from);  // anything at all
    void on(Point now, MemberIndex from, const Ping& ping);
    void on(Point now, MemberIndex from, const IndirectProbeRequest& ask);
    void on(Point now, MemberIndex from, const IndirectProbeAck& reached);
    void on(Point now, MemberIndex from, const MembershipUpdates& updates);
    void leave(Point now);       // says that it is gone
    void weigh(uint8_t weight);  // tells all of its own

    std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
    std::vector<HealthChange> take_changes() { return std::exchange(changes_, {}); }

    const MemberState& of(MemberIndex m) const { return all_[m]; }
    Incarnation incarnation() const { return all_[self_].incarnation; }
    // Told apart by their lives: another process has been seen under this one's id.
    bool twin() const { return twin_; }
    const std::vector<MemberIndex>& neighbours() const { return neighbours_; }
    // The next on each ring: what all pass on to these reaches everybody, with one or two to spare.
    const std::vector<MemberIndex>& successors() const { return successors_; }
    size_t alive() const { return alive_; }
    // A digest of the health and incarnation of all members that were ever heard of: equal at two members
    // exactly if they hold the same of each, but for collisions of 64 bits.
    uint64_t digest() const { return digest_; }
    // Grows with every change of a record.
    uint64_t version() const { return version_; }
    PingPayload carried;

  private:
    // Of a member that was heard directly, or pinged.
    struct Watch {
        Point heard, pinged, asked;
        bool asking = false;
        Point exchanged;
        Span exchange_after;
        Point differs_since;
    };

    void send(MemberIndex to, Message message) { sends_.push_back({to, std::move(message)}); }
    void ping(Point now, MemberIndex to, uint64_t answers = 0);
    // True where it is news.
    bool accept(Point now, MemberIndex m, Health health, Incarnation incarnation, InstanceId instance,
                uint8_t weight);
    void spread(const std::vector<MembershipUpdate>& updates, MemberIndex not_to);
    MembershipUpdate update_of(MemberIndex m) const;
    MembershipUpdates all_known(bool answer) const;
    // The one place where a record changes.
    void set(MemberIndex m, const MemberState& next);
    uint64_t digest_of(MemberIndex m) const;
    void note_health(Point now, MemberIndex m, Health before);
    void find_neighbours();
    bool is_neighbour(MemberIndex m) const;
    Watch& watch(MemberIndex m);
    Point heard_at(const Watch& watch) const { return std::max(watch.heard, heard_at_least_); }
    std::vector<MemberIndex> draw_helpers(MemberIndex subject);
    std::vector<MemberIndex> overdue_suspects(Point now);
    std::optional<MemberIndex> next_gone() const;

    const FleetConfig& file_;
    const MemberIndex self_;
    const Span period_;
    std::ranlux24_base chance_;
    std::vector<MemberState> all_;
    size_t alive_ = 0;
    uint64_t digest_ = 0, version_ = 0;
    // Those that were never heard of are suspect since the start, all alike, and not among these.
    std::map<MemberIndex, Point> suspect_since_;
    std::vector<MemberIndex> gone_;  // in order
    bool unheard_are_suspect_ = true;
    std::unordered_map<MemberIndex, Watch> watch_;
    Point heard_at_least_;  // each is taken to have been heard since then
    std::vector<MemberIndex> neighbours_, successors_;
    std::vector<Watch*> neighbour_watches_;  // in step with the neighbours
    std::vector<std::pair<MemberIndex, std::pair<MemberIndex, Point>>>
        asked_for_;  // subject, who asked and when
    std::vector<Send> sends_;
    std::vector<HealthChange> changes_;
    uint64_t pings_ = 0;
    size_t next_gone_ = 0;
    Point started_, woken_, gone_pinged_;
    bool twin_ = false, left_ = false;
};

}  // namespace firtide::fleet
