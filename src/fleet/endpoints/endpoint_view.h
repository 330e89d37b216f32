// What the decision module of one balancer is shown of the upstreams, so that the choices of many balancers
// add up: its subset of the list, sizes by what other balancers report, upstreams in slow start by its quota
// of their budget. Off without a fleet. No I/O, no clock of its own.
//
// The module picks, retries and rejects as it does alone, from what it is shown here.
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

// What a balancer tells its fleet of itself, several times a second.
struct LocalObservations {
    double request_rate = 0;  // requests a second; zero: too few to say
    std::vector<OutlierEvidence> outlier_evidence;
    std::map<BudgetName, uint32_t> budget_demand;  // of each budget, since the last observations
    // For show-fleet.
    size_t upstreams_shown = 0, upstreams_listed = 0;  // upstreams
    uint32_t widening_steps = 0;                       // steps
    std::map<uint64_t, std::string> upstream_names;    // of upstreams, by the hash of their uids
    // For the snapshot, and show-recovery.
    double accepted_rate = 0, total_capacity = 0;
    uint32_t peer_count = 0;  // balancers; zero: those that are alive
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
        uint32_t zone = 0;                  // as the list numbers them
        Duration slow_start_duration;       // duration of the slow start,
        double slow_start_min_share = 0.1;  // and the share of its capacity that an upstream has at first
    };
    explicit EndpointView(Config config);

    // The list as discovery has it, by place; also those that are gone.
    void set_endpoints(const std::vector<EndpointState>& all);
    void set_peers(std::vector<SubsetPeer> peers);
    void apply_verdicts(TimePoint now, const std::map<uint64_t, OutlierGossip::Verdict>& verdicts);
    void set_quotas(TimePoint now, const std::vector<QuotaLease>& leases);
    // Reductions from before the start, for as long as they last.
    void restore_reductions(TimePoint now, const std::vector<PersistedReduction>& reductions);
    void record_response(TimePoint now, UpstreamId upstream, bool success);
    void count_request() { ++requests_; }

    // The module's own entry for an upstream, and whether something is in flight to it.
    using Reduction = std::function<double(UpstreamId)>;
    using InFlight = std::function<bool(UpstreamId)>;

    // What the module has to be shown anew. The subset is widened before the module would reject requests
    // while an upstream beyond it carries no reduction.
    [[nodiscard]] std::vector<EndpointState> update(TimePoint now, const Reduction& reduction);
    // Whether that can't wait for the next tick.
    [[nodiscard]] bool needs_update(const Reduction& reduction) const;
    [[nodiscard]] bool is_shown(UpstreamId upstream) const;
    // Of the listed upstreams.
    [[nodiscard]] double shown_share() const;

    // Take a token of a budget; true where there is no such budget.
    [[nodiscard]] bool take_from_budget(TimePoint now, BudgetName name);
    [[nodiscard]] bool take_from_slow_start_budget(TimePoint now, UpstreamId upstream);

    // Nothing where the last observations are recent.
    [[nodiscard]] std::optional<LocalObservations> observe(TimePoint now, const Reduction& reduction,
                                                           const InFlight& in_flight);

  private:
    // Answers of the present second and the one before.
    struct AnswerCount {
        std::array<uint32_t, 2> seconds{};

        uint32_t total() const { return seconds[0] + seconds[1]; }
        void rotate() { seconds = {0, seconds[0]}; }
    };
    struct Endpoint {
        EndpointState real;
        double verdict_reduction = 0;
        double size_factor = 1;  // down at once, back by doublings
        TimePoint size_factor_at;
        std::optional<TimePoint> reported_start;
        AnswerCount well, bad;
        TimePoint last_well, last_bad;
    };
    struct RestoredReduction {
        double reduction = 0;
        TimePoint until;
    };

    bool is_warming(TimePoint now, const EndpointState& endpoint) const;
    double capacity_growth(TimePoint now, const EndpointState& endpoint) const;
    bool has_budget(BudgetName name) const { return config_.quotas && config_.quotas->total_of(name) > 0; }
    std::optional<QuotaLease> slow_start_quota(TimePoint now, const EndpointState& endpoint) const;
    double update_size_factor(TimePoint now, Endpoint& endpoint) const;
    double subset_weight(UpstreamId upstream) const;
    EndpointState wanted(TimePoint now, UpstreamId upstream);
    void limit_slow_start(TimePoint now, EndpointState& state);
    bool differs_visibly(const EndpointState& next, const EndpointState& shown, UpstreamId upstream) const;
    bool is_mostly_warm(TimePoint now) const;

    SubsetWeights choose_subset(double widening) const;
    void update_subset(TimePoint now, const Reduction& reduction);
    bool is_whole_list() const;
    double free_share(TimePoint now, const SubsetWeights& subset, const Reduction& reduction) const;

    void update_rate(TimePoint now, double elapsed);
    OutlierEvidence evidence_of(TimePoint now, UpstreamId upstream, const Reduction& reduction,
                                const InFlight& in_flight) const;
    void observe_endpoint(TimePoint now, UpstreamId upstream, const OutlierEvidence& evidence,
                          LocalObservations& observations) const;
    void rotate_answer_counts(TimePoint now);

    const Config config_;
    std::vector<Endpoint> endpoints_;  // by place
    std::vector<SubsetCandidate> candidates_;
    std::vector<SubsetPeer> peers_;
    std::vector<EndpointState> shown_;  // to the module
    SubsetWeights subset_, narrower_subset_;
    SubsetSize subset_size_;
    bool subset_outdated_ = true, due_ = true, mostly_warm_ = true;
    std::map<uint64_t, RestoredReduction> restored_;
    std::map<BudgetName, QuotaLease> quotas_;
    std::map<BudgetName, TokenBucket> buckets_;
    std::map<BudgetName, uint32_t> asked_;
    uint32_t requests_ = 0;  // since the last observations
    double rate_ = 0, total_requests_ = 0;
    TimePoint last_observation_, last_rotation_, rate_since_;
};

}  // namespace firtide::fleet
