// What the decision module of one balancer is shown of the upstreams, so that the choices of many add up: its
// subset of the list, sizes by what other balancers tell, cold ones by its part of their budget. Off without
// a fleet. No I/O, no clock.
//
// The module picks, retries and refuses as it does alone, from what it is shown here.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "src/balance/balancer.h"
#include "src/fleet/outlier/outlier_gossip.h"
#include "src/fleet/quota/token_bucket.h"
#include "src/fleet/startup/member_snapshot.h"
#include "subset.h"

namespace firtide::fleet
{

// What a balancer tells its fleet of itself, again and again.
struct LocalObservations {
    double rate = 0;  // invocations a second
    std::vector<OutlierEvidence> evidence;
    std::map<BudgetName, uint32_t> asked;  // since the last one
    // For the management address.
    size_t shown = 0, listed = 0;
    uint32_t widening = 0;
    std::map<uint64_t, std::string> names;  // of upstreams
    // For what it remembers over its own end, and of its return.
    double accepted = 0, size = 0;
    uint32_t sharers = 0;  // zero: those that are alive
    std::vector<PersistedReduction> reductions;
    std::vector<std::string> open, recovery;
};

class EndpointView
{
  public:
    struct Config {
        std::optional<SubsetConfig> subset;
        std::optional<OutlierGossipConfig> signals;
        std::optional<QuotaConfig> turns;
        MemberKey self = 0;
        uint32_t zone = 0;  // as the list numbers them
        Span cold;          // how long an upstream is, and what it can do at first, as a part
        double cold_share = 0.1;
    };
    explicit EndpointView(Config rules);

    // The list as discovery has it, by place; gone ones too.
    void set_endpoints(const std::vector<EndpointState>& all);
    void set_peers(std::vector<SubsetPeer> sharers);
    void apply_verdicts(Point now, const std::map<uint64_t, OutlierGossip::Verdict>& results);
    void set_quotas(Point now, const std::vector<QuotaLease>& parts);
    // Reductions from before the start, while they last.
    void restore_reductions(Point now, const std::vector<PersistedReduction>& reductions);
    void record_answer(Point now, UpstreamId upstream_id, bool well);
    void count_request() { ++arrived_; }

    // Where the module's own entry for an upstream stands, and whether something is out to it.
    using Reduction = std::function<double(UpstreamId)>;
    using Out = std::function<bool(UpstreamId)>;
    // What the module has to be shown anew. Guards against refusing while an upstream beyond the subset
    // carries no reduction: it is widened before.
    std::vector<EndpointState> update(Point now, const Reduction& reduction);
    // Whether that cannot wait for the next tick.
    bool due(const Reduction& reduction) const;
    bool shows(UpstreamId upstream_id) const
    {
        return upstream_id < shown_.size() && shown_[upstream_id].phase != EndpointPhase::gone;
    }
    double shown_share() const;  // of the listed

    // The gate of budgets. True where there is none of that name.
    bool take_from_budget(Point now, BudgetName name);
    bool take_from_slow_start_budget(Point now, UpstreamId upstream_id);
    std::optional<LocalObservations> observe(Point now, const Reduction& reduction, const Out& out);

  private:
    struct One {
        EndpointState real;
        double verdict_reduction = 0, factor = 1;  // of its size: down at once, back by doublings
        Point factor_at;
        std::optional<Point> told_start;
        uint32_t well[2] = {0, 0}, bad[2] = {0, 0};  // this second's and the last one's
        Point bad_at, well_at;
    };

    bool is_cold(Point now, const EndpointState& l) const;
    double warmth(Point now, const EndpointState& l) const;
    const QuotaLease* part_of(Point now, BudgetName name, const EndpointState& l);
    double factor(Point now, One& one) const;
    EndpointState wanted(Point now, UpstreamId upstream_id);
    void widen(Point now, const Reduction& reduction);
    double free_of(Point now, const SubsetWeights& parts, const Reduction& reduction) const;

    const Config config_;
    std::vector<One> all_;
    std::vector<SubsetCandidate> choosable_;
    std::vector<SubsetPeer> sharers_;
    std::vector<EndpointState> shown_;
    SubsetWeights parts_, narrower_;
    SubsetSize width_;
    bool dirty_ = true, due_ = true, mostly_warm_ = true;
    std::map<uint64_t, std::pair<double, Point>> recalled_;
    std::map<BudgetName, QuotaLease> budgets_;
    QuotaLease scaled_;
    std::map<BudgetName, TokenBucket> buckets_;
    std::map<BudgetName, uint32_t> asked_;
    uint32_t arrived_ = 0;
    double rate_ = 0, came_ = 0;  // invocations; in all
    Point observed_, second_, counts_from_;
};

}  // namespace firtide::fleet
