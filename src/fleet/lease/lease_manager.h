// The leader's side of leases: confirms renewals, grants duties that nobody holds, spreads them evenly and
// transfers them on request. One at each voter; active only while that voter leads.
//
// Everything that it decides goes through the replicated log as a Proposal; a renewal is answered once a
// proposal that was made after it is committed, which proves that this voter still led. A new leader waits
// for a whole lease before it grants what others may hold: its predecessor may have confirmed renewals until
// just before.
//
// No I/O and no clock of its own. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lease_sessions.h"
#include "src/fleet/transport/outgoing.h"

namespace firtide::fleet
{

class LeaseManager
{
  public:
    // `config` must outlive the manager.
    LeaseManager(const FleetConfig& config, uint64_t seed);

    // The table as committed so far; it is read where it stands, and must outlive the manager.
    void set_table(const LeaseTable& table) { table_ = &table; }

    void on_elected(TimePoint now, Term term);
    void on_stepped_down();
    [[nodiscard]] bool is_leader() const { return is_leader_; }

    void tick(TimePoint now);
    void on_renew_request(TimePoint now, MemberIndex from, const LeaseRenewRequest& request);
    void on_release(TimePoint now, MemberIndex from, const LeaseRelease& release);
    // What became of a proposal. `committed` false: it may yet be.
    void on_proposal_result(const LeaseTable& table, uint64_t proposal, bool committed);
    // An operator's command: gives the duty `first` to the member `second`, or to whichever holds the fewest.
    void transfer(TimePoint now, MemberIndex from, const AdminCommand& command);

    [[nodiscard]] std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
    [[nodiscard]] std::vector<Proposal> take_proposals() { return std::exchange(proposals_, {}); }

    // Safety rules that tests switch off, to show that each is needed.
    struct DisabledChecks {
        bool wait_after_election = false;  // grants without waiting for leases of the last leader
        bool confirm_by_majority = false;  // answers renewals at once
        bool full_expiry = false;          // grants again after a part of the lease
    } disabled_checks;

  private:
    // The member that an operator's command came from, and its number there.
    struct CommandOrigin {
        MemberIndex member = 0;
        uint64_t number = 0;
    };
    // A duty that is being moved from its holder to another member.
    struct Transfer {
        std::optional<MemberIndex> target;
        Epoch epoch = 0;  // at which it is held now
        TimePoint started, last_revoke;
        std::optional<CommandOrigin> origin;  // absent: rebalancing
    };
    struct PendingRenewal {
        MemberIndex from = 0;
        LeaseRenewRequest request;
    };
    struct PendingProposal {
        std::vector<PendingRenewal> renewals;  // answered once it is committed
        std::vector<LeaseCommand> commands;
    };
    using Loads = std::map<MemberIndex, size_t>;  // duties held, of each live member

    // ---- renewals ----
    void propose(TimePoint now, std::vector<LeaseCommand> commands);
    void propose_pending_renewals(TimePoint now);
    void send_response(const PendingRenewal& renewal, const LeaseTable& table);
    void notify_grantees(const std::vector<LeaseCommand>& commands, const LeaseTable& table);
    void notify_grantee(MemberIndex member, const LeaseCommand& grant, const LeaseTable& table);

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
    const LeaseTable* table_ = nullptr;
    bool is_leader_ = false;
    Term term_ = 0;
    TimePoint elected_at_, last_rebalance_, last_proposal_;
    LeaseSessions sessions_;
    std::map<std::string, Epoch> epoch_floors_;  // the highest epoch that a member has seen of each duty
    std::vector<PendingRenewal> pending_renewals_;
    std::map<uint64_t, PendingProposal> pending_proposals_;
    std::set<std::string> pending_duties_;  // that a pending proposal is about
    std::map<std::string, Transfer> transfers_;
    uint64_t last_proposal_id_ = 0;
    std::vector<Send> sends_;
    std::vector<Proposal> proposals_;
};

}  // namespace firtide::fleet
