// What a member knows of each member of its fleet: one small record each, a digest over all records, and the
// sets of suspect and gone members. The cost of a change does not grow with the fleet.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "roster.h"
#include "src/base/time.h"

namespace firtide::fleet
{

// Incarnation zero: nothing was ever received about the member.
struct MemberState {
    Incarnation incarnation = 0;
    InstanceId instance = 0;
    Health health = Health::suspect;
    uint8_t traffic_weight = 0;  // traffic, in the encoding of MembershipUpdate
};

class MemberView
{
  public:
    // `roster` must outlive the view.
    explicit MemberView(const Roster& roster);

    void start(TimePoint now) { started_ = now; }
    // Replaces all records except the member's own.
    void seed(const std::vector<MemberState>& members, MemberIndex self);

    [[nodiscard]] const MemberState& state_of(MemberIndex member) const { return members_[member]; }
    [[nodiscard]] size_t size() const { return members_.size(); }
    // All changes of a single record go through this function.
    void set_state(MemberIndex member, const MemberState& next);
    // Updates the sets of suspect and gone members after a record has changed.
    void update_health_sets(TimePoint now, MemberIndex member, Health before);

    [[nodiscard]] size_t alive_count() const { return alive_count_; }
    // Equal at two members exactly if they hold the same health and incarnation of every member with a
    // nonzero incarnation, apart from collisions of the 64-bit hashes.
    [[nodiscard]] uint64_t digest() const { return digest_; }
    // Grows with every change of a record.
    [[nodiscard]] uint64_t version() const { return version_; }

    // Members that have been suspect for longer than `timeout`, in the order of the fleet file. Members with
    // incarnation zero are suspect since the start and are returned once.
    [[nodiscard]] std::vector<MemberIndex> overdue_suspects(TimePoint now, Duration timeout);
    // In the order of the fleet file.
    [[nodiscard]] const std::vector<MemberIndex>& gone() const { return gone_; }

  private:
    uint64_t digest_of(MemberIndex member) const;

    const Roster& roster_;
    std::vector<MemberState> members_;
    size_t alive_count_ = 0;
    uint64_t digest_ = 0, version_ = 0;
    TimePoint started_;
    std::map<MemberIndex, TimePoint> suspect_since_;  // without members of incarnation zero
    bool unheard_not_yet_overdue_ = true;
    std::vector<MemberIndex> gone_;
};

}  // namespace firtide::fleet
