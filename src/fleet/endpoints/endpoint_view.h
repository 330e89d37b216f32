// What the decision module of one balancer sees of the upstreams, adjusted so that the choices of many
// balancers add up: its subset of the list, capacities reduced by other balancers' reports, and upstreams in
// slow start limited by this balancer's quota. Not used without a fleet. No I/O, no clock of its own.
//
// The module picks, retries and rejects as it does without a fleet, based on this view.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/balance/balancer.h"
#include "src/fleet/outlier/outlier_gossip.h"
#include "src/fleet/quota/token_bucket.h"
#include "src/fleet/startup/member_snapshot.h"
#include "subset.h"

namespace firtide::fleet
{

// What a balancer reports to its fleet about itself, several times a second.
struct LocalObservations {
    double request_rate = 0;  // per second; zero: too few requests to tell
    std::vector<OutlierEvidence> outlier_evidence;
    std::map<BudgetName, uint32_t> budget_demand;  // per budget, since the last observations
    // For show-fleet.
    size_t upstreams_shown = 0, upstreams_listed = 0;
    uint32_t widening_steps = 0;
    std::map<uint64_t, std::string> upstream_names;  // by the hash of their uids
    // For the snapshot and show-recovery.
    double accepted_rate = 0, total_capacity = 0;
    uint32_t peer_count = 0;  // balancers sharing the upstreams; zero: those that are alive
    std::vector<PersistedReduction> reductions;
    std::vector<std::string> open_request_ids, startup_status;
};

class EndpointView
{
  public:
    struct Config {
        std::optional<SubsetConfig> subset;
        std::optional<OutlierGossipConfig> outlier_gossip;
        std::optional<QuotaConfig> quotas;
        MemberKey self_key = 0;
        std::optional<ZoneId> own_zone;  // of this balancer
        Duration slow_start_duration;
        double slow_start_min_share = 0.1;  // share of its capacity that an upstream has when it starts
    };
    explicit EndpointView(Config config);

    // The list as discovery has it, by position, including entries that are gone.
    void set_endpoints(const std::vector<EndpointState>& all);
    // After new settings.
    void set_own_zone(std::optional<ZoneId> own_zone);
    void set_peers(std::vector<SubsetPeer> peers);
    void apply_verdicts(TimePoint now, const std::map<uint64_t, OutlierGossip::Verdict>& verdicts);
    void set_quotas(TimePoint now, const std::vector<QuotaLease>& leases);
    // Reductions from before the start, until they expire.
    void restore_reductions(TimePoint now, const std::vector<PersistedReduction>& reductions);
    void record_response(TimePoint now, UpstreamId upstream, bool success);
    void count_request() { ++new_requests_; }

    // The module's own reduction of an upstream, and whether requests are in flight to it.
    using Reduction = std::function<double(UpstreamId)>;
    using HasInFlight = std::function<bool(UpstreamId)>;

    // Returns the entries of the view that have changed. Widens the subset before the module would have to
    // reject requests while an upstream outside the subset carries no reduction.
    [[nodiscard]] std::vector<EndpointState> update(TimePoint now, const Reduction& reduction);
    // Whether update() should be called before the next tick.
    [[nodiscard]] bool needs_update(const Reduction& reduction) const;
    [[nodiscard]] bool is_shown(UpstreamId upstream) const;
    // The share of the listed upstreams that the subset uses.
    [[nodiscard]] double shown_share() const;

    // Takes a token from a budget; returns true if there is no such budget.
    [[nodiscard]] bool take_from_budget(TimePoint now, BudgetName name);
    [[nodiscard]] bool take_from_slow_start_budget(TimePoint now, UpstreamId upstream);

    // Returns nullopt if the last observations are recent.
    [[nodiscard]] std::optional<LocalObservations> observe(TimePoint now, const Reduction& reduction,
                                                           const HasInFlight& in_flight);

  private:
    // Responses in the current second and the one before.
    struct ResponseCount {
        std::array<uint32_t, 2> per_second{};

        uint32_t total() const { return per_second[0] + per_second[1]; }
        void rotate() { per_second = {0, per_second[0]}; }
    };
    struct Endpoint {
        EndpointState listed_state;
        double verdict_reduction = 0;
        double capacity_factor = 1;  // falls at once, recovers by doubling
        TimePoint capacity_factor_at;
        std::optional<TimePoint> reported_start;
        ResponseCount successes, failures;
        TimePoint last_success, last_failure;
    };
    struct RestoredReduction {
        double reduction = 0;
        TimePoint until;
    };

    bool is_warming(TimePoint now, const EndpointState& endpoint) const;
    double capacity_growth(TimePoint now, const EndpointState& endpoint) const;
    bool has_budget(BudgetName name) const { return config_.quotas && config_.quotas->total_of(name) > 0; }
    std::optional<QuotaLease> slow_start_quota(TimePoint now, const EndpointState& endpoint) const;
    double update_capacity_factor(TimePoint now, Endpoint& endpoint) const;
    double subset_weight(UpstreamId upstream) const;
    EndpointState adjusted_state(TimePoint now, UpstreamId upstream);
    void limit_slow_start(TimePoint now, EndpointState& state);
    bool differs_visibly(const EndpointState& next, const EndpointState& shown, UpstreamId upstream) const;
    bool is_mostly_warm(TimePoint now) const;

    SubsetWeights compute_subset(double widening) const;
    void update_subset(TimePoint now, const Reduction& reduction);
    bool covers_whole_list() const;
    double unreduced_share(TimePoint now, const SubsetWeights& subset, const Reduction& reduction) const;

    void update_rate(TimePoint now, double elapsed);
    OutlierEvidence make_evidence(TimePoint now, UpstreamId upstream, const Reduction& reduction,
                                  const HasInFlight& in_flight) const;
    void add_observations(TimePoint now, UpstreamId upstream, const OutlierEvidence& evidence,
                          LocalObservations& observations) const;
    void rotate_response_counts(TimePoint now);

    Config config_;
    std::vector<Endpoint> endpoints_;  // by position
    std::vector<SubsetCandidate> candidates_;
    std::vector<SubsetPeer> peers_;
    std::vector<EndpointState> shown_;  // what the module sees
    SubsetWeights subset_, narrower_subset_;
    SubsetWidth subset_width_;
    bool subset_outdated_ = true, needs_update_ = true, mostly_warm_ = true;
    std::map<uint64_t, RestoredReduction> restored_reductions_;
    std::map<BudgetName, QuotaLease> quotas_;
    std::map<BudgetName, TokenBucket> buckets_;
    std::map<BudgetName, uint32_t> budget_demand_;
    uint32_t new_requests_ = 0;  // since the last observations
    double request_rate_ = 0, total_requests_ = 0;
    TimePoint last_observation_, last_rotation_, rate_since_;
};

}  // namespace firtide::fleet
