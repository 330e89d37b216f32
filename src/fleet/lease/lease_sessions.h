// The leader's knowledge of the members that renew with it: who is live, what each has asked for, and when a
// lease can no longer be in force. Not thread-safe; no clock of its own.
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
    std::optional<TimePoint> last_answered_at;  // absent: no answer is known to have reached it
    bool departing = false;
    std::map<std::string, TimePoint> requested;  // families of duties, and since when
};

class LeaseSessions
{
  public:
    // `config` must outlive the sessions.
    explicit LeaseSessions(const FleetConfig& config) : config_(config) {}

    void clear();
    void record(TimePoint now, MemberIndex member, const LeaseRenewRequest& request);
    // Forgets what can't matter any more.
    void expire(TimePoint now);

    // Whether a member may be granted something: it renews, hears the answers and doesn't depart.
    [[nodiscard]] bool is_live(TimePoint now, MemberIndex member) const;
    [[nodiscard]] const std::map<MemberIndex, LeaseSession>& sessions() const { return sessions_; }
    [[nodiscard]] InstanceId instance_of(MemberIndex member) const { return sessions_.at(member).instance; }
    // The last renewal of this holder that reached this leader; nothing: none did.
    [[nodiscard]] std::optional<TimePoint> last_renewal(MemberKey holder, InstanceId instance) const;
    // Live members, and how many duties each holds.
    [[nodiscard]] std::map<MemberIndex, size_t> loads(TimePoint now, const LeaseTable& table) const;

  private:
    struct Holder {
        MemberKey key = 0;
        InstanceId instance = 0;
        auto operator<=>(const Holder&) const = default;
    };

    const FleetConfig& config_;
    std::map<MemberIndex, LeaseSession> sessions_;
    std::map<Holder, TimePoint> last_renewal_;  // also of instances that another one has replaced
};

}  // namespace firtide::fleet
