// Who of the fleet is there: alive, suspect or gone, each at an incarnation. Each member watches a few
// others, which follow from their ids, whatever the size of the fleet; what it finds is gossiped. No
// I/O, no clock.
#pragma once

#include <map>
#include <random>
#include <vector>

#include "config.h"

namespace firtide::fleet
{

struct Send {
    Member to = 0;
    Message message;
};

struct HealthChange {
    Member member = 0;
    Health health = Health::gone;
    Incarnation incarnation = 0;
};

// What a member says of itself with each ping.
struct Carried {
    Key leader = 0;
    Term term = 0;
    uint64_t list = 0;
    Epoch list_epoch = 0;
    uint64_t list_digest = 0;
};

class Members
{
  public:
    struct One {
        Health health = Health::suspect;
        Incarnation incarnation = 0;
        Life life = 0;
        Point since;  // of this health
        uint8_t weight = 0;
    };

    // period: of watching; a silent member is suspect after some four and gone after some eight of them.
    Members(const FleetFile& file, Life life, Incarnation incarnation, Span period, uint64_t seed);

    void start(Point now);
    void tick(Point now);
    void heard(Point now, Member from);  // anything at all
    void on(Point now, Member from, const Ping& ping);
    void on(Point now, Member from, const Ask& ask);
    void on(Point now, Member from, const Reached& reached);
    void on(Point now, Member from, const MembershipUpdates& updates);
    void leave(Point now);       // says that it is gone
    void weigh(uint8_t weight);  // tells all of its own

    std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
    std::vector<HealthChange> take_changes() { return std::exchange(changes_, {}); }

    const One& of(Member m) const { return all_[m]; }
    Incarnation incarnation() const { return all_[self_].incarnation; }
    // Told apart by their lives: another process has been seen under this one's id.
    bool twin() const { return twin_; }
    const std::vector<Member>& neighbours() const { return neighbours_; }
    // The next on each ring: what all pass on to these reaches everybody, with one or two to spare.
    const std::vector<Member>& successors() const { return successors_; }
    size_t alive() const;
    Carried carried;

  private:
    struct Watch {
        Point heard, pinged, asked;
        bool asking = false;
        Point exchanged;
        Span exchange_after;
        Point differs_since;
    };

    void send(Member to, Message message) { sends_.push_back({to, std::move(message)}); }
    void ping(Point now, Member to, uint64_t answers = 0);
    // True where it is news.
    bool accept(Point now, Member m, Health health, Incarnation incarnation, Life life, uint8_t weight);
    void spread(const std::vector<MembershipUpdate>& updates, Member not_to);
    MembershipUpdate update_of(Member m) const;
    void find_neighbours();
    bool looked_after(Member m) const;
    uint64_t view() const;

    const FleetFile& file_;
    const Member self_;
    const Span period_;
    std::ranlux24_base chance_;
    std::vector<One> all_;
    std::vector<Watch> watch_;
    std::vector<std::vector<Member>> rings_;
    std::vector<Member> neighbours_, successors_, by_key_;
    std::vector<std::pair<Member, std::pair<Member, Point>>> asked_for_;  // subject, who asked and when
    std::vector<Send> sends_;
    std::vector<HealthChange> changes_;
    uint64_t pings_ = 0;
    size_t next_gone_ = 0;
    Point woken_, gone_pinged_;
    bool twin_ = false, left_ = false;
};

}  // namespace firtide::fleet
