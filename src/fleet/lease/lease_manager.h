// The leader's side of leases: confirms renewals, grants duties without a holder, balances them across
// members and transfers them on request. Every voter has one; it is active only while that voter is the
// leader.
//
// Every decision is proposed to the replicated log. A renewal is answered once a proposal made after it has
// been committed, which proves that this voter was still the leader. A new leader waits for a full lease
// before it grants duties that others may hold, because its predecessor may have confirmed renewals until
// just before the election. So does the leader of a log that has granted nothing yet: voters that lost their
// disks may have founded it, and leases of the log before may still be in force.
//
// Does no I/O and reads no clock. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lease_sessions.h"
#include "src/base/random.h"
#include "src/fleet/transport/outgoing.h"

namespace firtide::fleet
{

class LeaseManager
{
  public:
    // `config` must outlive the manager.
    LeaseManager(const FleetConfig& config, uint64_t seed);

    // The committed table. It is not copied and must outlive the manager.
    void set_table(const LeaseTable& table) { table_ = &table; }

    void on_elected(TimePoint now, Term term);
    void on_stepped_down();
    [[nodiscard]] bool is_leader() const { return is_leader_; }

    void tick(TimePoint now);
    void on_renew_request(TimePoint now, MemberIndex from, const LeaseRenewRequest& request);
    void on_release(TimePoint now, MemberIndex from, const LeaseRelease& release);
    // The outcome of a proposal. If it is not committed, it may still be committed later.
    void on_proposal_result(const LeaseTable& table, uint64_t proposal, bool committed);
    // An operator's command: transfers the duty `first` to the member `second`, or, if that is empty, to the
    // member that holds the fewest duties.
    void transfer(TimePoint now, MemberIndex from, const AdminCommand& command);

    [[nodiscard]] std::vector<OutgoingMessage> take_sends() { return std::exchange(sends_, {}); }
    [[nodiscard]] std::vector<Proposal> take_proposals() { return std::exchange(proposals_, {}); }

    // Safety checks that tests disable to show that each one is needed.
    struct DisabledChecks {
        bool wait_after_election = false;  // grants without waiting for leases that the last leader confirmed
        bool confirm_by_majority = false;  // answers renewals without a majority's confirmation
        bool full_expiry = false;          // grants again after a fraction of the lease
    } disabled_checks;

  private:
    // The member that relayed an operator's command, and the command's number there.
    struct CommandOrigin {
        MemberIndex member = 0;
        uint64_t number = 0;
    };
    // A duty that is being moved to another member.
    struct Transfer {
        std::optional<MemberIndex> target;
        Epoch epoch = 0;  // at which the present holder holds it
        TimePoint started, last_revoke;
        std::optional<CommandOrigin> origin;  // not set: started by rebalancing
    };
    struct PendingRenewal {
        MemberIndex from = 0;
        LeaseRenewRequest request;
    };
    struct PendingProposal {
        std::vector<PendingRenewal> renewals;  // answered once the proposal is committed
        std::vector<LeaseCommand> commands;
    };
    using Loads = std::map<MemberIndex, size_t>;  // number of duties held by each live member

    // ---- renewals ----
    void propose(TimePoint now, std::vector<LeaseCommand> commands);
    void propose_pending_renewals(TimePoint now);
    void send_response(const PendingRenewal& renewal, const LeaseTable& table);
    void notify_grantees(const std::vector<LeaseCommand>& commands, const LeaseTable& table);
    void notify_grantee(MemberIndex member, const LeaseCommand& grant, const LeaseTable& table);

    void name_log(TimePoint now);

    // ---- grants ----
    void assign_leases(TimePoint now);
    void assign_lease(TimePoint now, const Duty& duty, Loads& loads, std::vector<LeaseCommand>& commands);
    void release_expired(const Duty& duty, const LeaseTable::Entry& lease, Loads& loads,
                         std::vector<LeaseCommand>& commands);
    void grant_permit(TimePoint now, const Duty& duty, std::vector<LeaseCommand>& commands);
    bool has_permit(MemberIndex member, const LeaseSession& session, const std::string& family,
                    const std::vector<LeaseCommand>& commands) const;
    void grant(std::vector<LeaseCommand>& commands, const std::string& duty, MemberIndex to,
               const std::string& reason);
    void release_and_regrant(TimePoint now, MemberIndex from, InstanceId instance, const SeenEpoch& lease);
    std::optional<MemberIndex> next_holder(TimePoint now, const std::string& duty,
                                           MemberIndex last_holder) const;
    std::optional<MemberIndex> choose_holder(const std::string& duty, const Loads& loads) const;
    bool is_expired(TimePoint now, const LeaseTable::Entry& lease) const;
    Duration wait_before_grants() const;

    // ---- transfers ----
    void rebalance(TimePoint now);
    const Duty* duty_to_move(MemberIndex from, MemberIndex to) const;
    void advance_transfers(TimePoint now);
    void complete_transfers(const std::vector<LeaseCommand>& commands, const LeaseTable& table);
    std::optional<MemberIndex> live_transfer_target(TimePoint now, const std::string& duty) const;
    std::optional<MemberIndex> least_loaded_other(TimePoint now, MemberKey holder) const;
    std::string transfer_refusal(TimePoint now, const AdminCommand& command) const;
    void report_result(const std::optional<CommandOrigin>& origin, bool success, const std::string& text);

    const FleetConfig& config_;
    RandomEngine random_;
    const LeaseTable* table_ = nullptr;
    bool is_leader_ = false;
    Term term_ = 0;
    TimePoint elected_at_, last_rebalance_, last_proposal_;
    LeaseSessions sessions_;
    std::map<std::string, Epoch> epoch_floors_;  // highest epoch of each duty that any member has seen
    std::vector<PendingRenewal> pending_renewals_;
    std::map<uint64_t, PendingProposal> pending_proposals_;
    std::set<std::string> pending_duties_;  // duties changed by a pending proposal
    std::map<std::string, Transfer> transfers_;
    uint64_t last_proposal_id_ = 0;
    std::optional<uint64_t> naming_proposal_;  // of a log that has no name yet
    std::vector<OutgoingMessage> sends_;
    std::vector<Proposal> proposals_;
};

}  // namespace firtide::fleet
