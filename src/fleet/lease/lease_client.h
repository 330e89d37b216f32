// The member's side of leases. Each member renews a single lease that covers every duty it holds.
//
// The member sends a renewal to the leader, which answers once a majority of the voters has confirmed that it
// is still the leader. The member counts the lease from the time it sent the request, by its own clock, and
// shortens it by the configured clock drift; the leader counts from the arrival of the request. The holder's
// lease is therefore over before the duty can be granted again, even if a member stalls or is partitioned, as
// long as clocks stay within the configured drift. If they do not, receivers reject stale effects by epoch
// (FencingGuard).
//
// Does no I/O and reads no clock: every call is given the time. Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lease_table.h"
#include "src/base/random.h"
#include "src/fleet/config.h"
#include "src/fleet/transport/outgoing.h"

namespace firtide::fleet
{

// A duty that this member gained or lost.
struct LeaseChange {
    enum class Kind : uint8_t { gained, lost };

    Kind kind = Kind::lost;
    std::string duty;
    Epoch epoch = 0;
    std::string reason;
    TimePoint lease_end;  // by this member's clock; lost: the lease was over no later than this
};

class LeaseClient
{
  public:
    // `config` must outlive the client.
    LeaseClient(const FleetConfig& config, InstanceId instance, uint64_t seed);

    void start(TimePoint now);
    // Epochs known from before this start: a lease at one of them is not accepted again.
    void restore_epochs(const std::vector<SeenEpoch>& epochs);
    // Sends a renewal when it is due and drops duties whose lease has expired. Expected about every 50 ms.
    void tick(TimePoint now);

    void on_renew_response(TimePoint now, MemberIndex from, const LeaseRenewResponse& response);
    void on_redirect(TimePoint now, MemberIndex from, const LeaderRedirect& redirect);
    void on_revoke(TimePoint now, MemberIndex from, const LeaseRevoke& revoke);
    // A hint from a voter or a ping. Ignored if the leader is zero or the term is old.
    void on_leader_hint(MemberKey leader, Term term);

    // Requests a family of duties that are granted only on request. The family is the part of a duty's name
    // before the dot.
    void request_family(const std::string& family);
    void cancel_family_request(const std::string& family);

    // Releases one duty.
    void release(TimePoint now, const std::string& duty, const std::string& reason);
    // Releases all duties and requests no more.
    void depart(TimePoint now);

    // Must be checked before each effect of a duty, with a freshly read clock.
    [[nodiscard]] bool holds(TimePoint now, const std::string& duty, Epoch epoch) const;
    // The epoch at which this member holds a duty now, if it does.
    [[nodiscard]] std::optional<Epoch> held_epoch(TimePoint now, const std::string& duty) const;
    [[nodiscard]] std::map<std::string, Epoch> held_duties(TimePoint now) const;
    // Remaining time of the lease; zero once it is over.
    [[nodiscard]] Duration time_left(TimePoint now) const
    {
        return now < lease_end_ ? lease_end_ - now : Duration{};
    }
    // Whether the last lease that a majority confirmed is still running.
    [[nodiscard]] bool is_lease_valid(TimePoint now) const { return now < lease_end_; }

    // The leader's lease table, as last received.
    [[nodiscard]] const LeaseTable& table() const { return table_; }
    [[nodiscard]] Term term() const { return term_; }
    // The leader as far as this member knows.
    [[nodiscard]] std::optional<MemberIndex> leader() const { return leader_; }

    [[nodiscard]] std::vector<OutgoingMessage> take_sends() { return std::exchange(sends_, {}); }
    [[nodiscard]] std::vector<LeaseChange> take_changes() { return std::exchange(changes_, {}); }

  private:
    // A renewal without an answer so far.
    struct PendingRenewal {
        uint64_t nonce = 0;
        TimePoint sent;
    };

    void send_renew_request(TimePoint now);
    LeaseRenewRequest renew_request() const;
    bool is_from_new_log(const LeaseRenewResponse& response) const;
    void follow_new_log(Term term);
    std::deque<PendingRenewal>::const_iterator pending_renewal(uint64_t nonce) const;
    // Returns false if no renewal with this nonce is pending.
    bool extend_lease(TimePoint now, uint64_t nonce);
    void apply_leases(const LeaseRenewResponse& response);
    void accept_lease(const LeaseRecord& lease, Term term);
    bool must_return(const LeaseRecord& lease) const;
    void return_lease(const LeaseRecord& lease);
    void drop_lease(const std::string& duty, const std::string& reason);
    double uniform_random() { return firtide::uniform_random(random_); }

    const FleetConfig& config_;
    const MemberKey own_key_;
    const InstanceId instance_;
    RandomEngine random_;
    std::vector<MemberIndex> voters_;  // in random order
    size_t next_voter_ = 0;

    std::optional<MemberIndex> leader_;
    Term leader_term_ = 0;
    Term term_ = 0;  // of the last response

    uint64_t last_nonce_ = 0;
    uint64_t last_answered_nonce_ = 0;
    std::deque<PendingRenewal> pending_renewals_;
    bool last_renewal_answered_ = true;
    bool departing_ = false;
    TimePoint now_, next_renewal_, lease_end_;

    std::map<std::string, Epoch> held_;
    std::map<std::string, Epoch> given_up_;    // highest epoch at which each duty was held and given up
    std::map<std::string, Epoch> unreported_;  // the part of `given_up_` that the leader may not know yet
    std::set<std::string> requested_families_;
    LeaseTable table_;
    std::vector<OutgoingMessage> sends_;
    std::vector<LeaseChange> changes_;
};

}  // namespace firtide::fleet
