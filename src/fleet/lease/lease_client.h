// The member's side of leases. Each member renews one lease that covers every duty it holds.
//
// The member asks the leader, which answers once a majority of the voters has confirmed that it still leads.
// The lease counts from the moment of asking, by the member's own clock, shortened by the stated clock drift;
// the leader counts from the arrival of the request. So a duty is held by nobody any more before it can be
// granted again, whoever stalls or is cut off, as long as clocks keep to the stated drift. Where they don't,
// receivers reject effects by epoch (FencingGuard).
//
// No I/O and no clock of its own: every call carries the time. Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lease_table.h"
#include "src/fleet/config.h"
#include "src/fleet/transport/outgoing.h"

namespace firtide::fleet
{

// A duty that this member has gained or lost.
struct LeaseChange {
    enum class Kind : uint8_t { gained, lost };

    Kind kind = Kind::lost;
    std::string duty;
    Epoch epoch = 0;
    std::string reason;
    TimePoint lease_end;  // lost: no later than this, by this member's clock, the lease was over
};

class LeaseClient
{
  public:
    // `config` must outlive the client.
    LeaseClient(const FleetConfig& config, InstanceId instance, uint64_t seed);

    void start(TimePoint now);
    // Epochs that were known before this start: a lease at one of them is not accepted again.
    void restore_epochs(const std::vector<SeenEpoch>& epochs);
    // Renews when that is due, and gives up what was not renewed in time. To be called every 50 ms or so.
    void tick(TimePoint now);

    void on_renew_response(TimePoint now, MemberIndex from, const LeaseRenewResponse& response);
    void on_redirect(TimePoint now, MemberIndex from, const LeaderRedirect& redirect);
    void on_revoke(TimePoint now, MemberIndex from, const LeaseRevoke& revoke);
    // What a voter or a ping says of who leads. Of an older term, or zero, it changes nothing.
    void on_leader_hint(MemberKey leader, Term term);

    // Duties that are granted on request only, by their family (the part of a duty's name before the dot).
    void request_family(const std::string& family);
    void cancel_family_request(const std::string& family);

    // Gives one duty back.
    void release(TimePoint now, const std::string& duty, const std::string& reason);
    // Gives everything back and asks for nothing any more.
    void depart(TimePoint now);

    // The check that stands before each effect of a duty, with a clock read for it.
    [[nodiscard]] bool holds(TimePoint now, const std::string& duty, Epoch epoch) const;
    // The epoch at which this member holds a duty now; nothing where it doesn't.
    [[nodiscard]] std::optional<Epoch> held_epoch(TimePoint now, const std::string& duty) const;
    [[nodiscard]] std::map<std::string, Epoch> held_duties(TimePoint now) const;
    // What is left of the lease; zero once it is over.
    [[nodiscard]] Duration time_left(TimePoint now) const
    {
        return now < lease_end_ ? lease_end_ - now : Duration{};
    }
    // Whether a majority has confirmed the lease lately.
    [[nodiscard]] bool is_lease_valid(TimePoint now) const { return now < lease_end_; }

    // The leader's table, as it was sent last.
    [[nodiscard]] const LeaseTable& table() const { return table_; }
    [[nodiscard]] Term term() const { return term_; }
    // Who leads, as far as this member knows.
    [[nodiscard]] std::optional<MemberIndex> leader() const { return leader_; }

    [[nodiscard]] std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
    [[nodiscard]] std::vector<LeaseChange> take_changes() { return std::exchange(changes_, {}); }

  private:
    // A renewal that is not answered yet.
    struct PendingRenewal {
        uint64_t nonce = 0;
        TimePoint sent;
    };

    void send_renew_request(TimePoint now);
    LeaseRenewRequest renew_request() const;
    // Returns false for an answer to a renewal that is not pending.
    bool extend_lease(TimePoint now, uint64_t nonce);
    void apply_leases(const LeaseRenewResponse& response);
    void accept_lease(const LeaseRecord& lease, Term term);
    bool must_return(const LeaseRecord& lease) const;
    void return_lease(const LeaseRecord& lease);
    void drop_lease(const std::string& duty, const std::string& reason);
    double uniform_random() { return std::uniform_real_distribution<>(0, 1)(random_); }

    const FleetConfig& config_;
    const MemberKey own_key_;
    const InstanceId instance_;
    std::ranlux24_base random_;
    std::vector<MemberIndex> voters_;  // in this member's own order of asking
    size_t next_voter_ = 0;

    std::optional<MemberIndex> leader_;
    Term leader_term_ = 0;
    Term term_ = 0;  // of the last answer

    uint64_t last_nonce_ = 0;
    uint64_t last_answered_nonce_ = 0;
    std::deque<PendingRenewal> pending_renewals_;
    bool last_renewal_answered_ = true;
    bool departing_ = false;
    TimePoint now_, next_renewal_, lease_end_;

    std::map<std::string, Epoch> held_;
    std::map<std::string, Epoch> given_up_;     // the highest epoch of each duty that is not held any more
    std::map<std::string, Epoch> unreported_;   // of these, what the leader may not know yet
    std::set<std::string> requested_families_;  // families
    LeaseTable table_;
    std::vector<Send> sends_;
    std::vector<LeaseChange> changes_;
};

}  // namespace firtide::fleet
