// The leader's record of the members that renew with it: which are live, what each has requested, and when a
// lease can no longer be in force. Not thread-safe; reads no clock.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "lease_table.h"
#include "src/fleet/config.h"

namespace firtide::fleet
{

// One member's renewals with this leader.
struct LeaseSession {
    InstanceId instance = 0;
    TimePoint last_request;
    uint64_t last_answered_nonce = 0;
    std::optional<TimePoint> last_answered_at;  // not set: no answer is known to have arrived
    bool departing = false;
    std::map<std::string, TimePoint> requested;  // families of duties, with the time of the first request
};

class LeaseSessions
{
  public:
    // `config` must outlive the sessions.
    explicit LeaseSessions(const FleetConfig& config) : config_(config) {}

    void clear();
    void record(TimePoint now, MemberIndex member, const LeaseRenewRequest& request);
    // Removes records that are too old to matter.
    void expire(TimePoint now);

    // Whether a member may be granted a duty: it renews, receives the answers and is not departing.
    [[nodiscard]] bool is_live(TimePoint now, MemberIndex member) const;
    [[nodiscard]] const std::map<MemberIndex, LeaseSession>& sessions() const { return sessions_; }
    [[nodiscard]] InstanceId instance_of(MemberIndex member) const { return sessions_.at(member).instance; }
    // The last renewal of this holder that reached this leader, if any.
    [[nodiscard]] std::optional<TimePoint> last_renewal(MemberKey holder, InstanceId instance) const;
    // The number of duties held by each live member.
    [[nodiscard]] std::map<MemberIndex, size_t> loads(TimePoint now, const LeaseTable& table) const;

  private:
    struct Holder {
        MemberKey key = 0;
        InstanceId instance = 0;
        auto operator<=>(const Holder&) const = default;
    };

    const FleetConfig& config_;
    std::map<MemberIndex, LeaseSession> sessions_;
    std::map<Holder, TimePoint> last_renewal_;  // also of instances that have since been replaced
};

}  // namespace firtide::fleet
