#include "endpoint_view.h"

#include <algorithm>
#include <cmath>

namespace firtide::fleet
{
namespace
{

constexpr Span observe_every = seconds(0.1), doubles_in = seconds(0.5);
constexpr double least_factor = 0.02;   // of its size: what is left to find out that all is well again
constexpr double worth_showing = 0.05;  // of a size
constexpr Span another_start = seconds(5);
// Of a cold one that has no turn now, where most are cold: it is drawn if nothing else is there, and then the
// gate decides. Not shown at all, it would be missing from what the module takes the upstreams to be able to
// do.
constexpr double least_drawn = 1e-3;
constexpr Span rate_over = seconds(10);
constexpr double least_counted = 50;  // invocations, before a rate is told
constexpr double none = 1e-9;

}  // namespace

EndpointView::EndpointView(Config rules)
    : config_(std::move(rules)), width_(config_.subset ? config_.subset->narrow : Span{})
{
}

void EndpointView::set_endpoints(const std::vector<EndpointState>& all)
{
    all_.resize(std::max(all_.size(), all.size()));
    choosable_.resize(all_.size());
    for (UpstreamId t = 0; t < all.size(); ++t) {
        One& one = all_[t];
        if (one.real.id != all[t].id) one = {};
        one.real = all[t];
        choosable_[t] = {all[t].id, all[t].phase == EndpointPhase::gone ? 0 : all[t].size, true};
        choosable_[t].own_zone = all[t].zone == config_.zone;
    }
    dirty_ = due_ = true;
}

void EndpointView::set_peers(std::vector<SubsetPeer> sharers)
{
    sharers_ = std::move(sharers);
    dirty_ = due_ = true;
}

void EndpointView::apply_verdicts(Point now, const std::map<uint64_t, OutlierGossip::Verdict>& results)
{
    for (One& one : all_) {
        const auto at = results.find(one.real.id);
        factor(now, one);
        one.verdict_reduction = at == results.end() ? 0 : at->second.reduction;
        if (at == results.end() || !at->second.started) continue;
        const Point start = now - *at->second.started;
        const Point before = std::max(one.told_start.value_or(Point{INT64_MIN / 2}),
                                      one.real.started.value_or(Point{INT64_MIN / 2}));
        if (start - before > another_start) one.told_start = start;
    }
}

// Tokens are saved up from the first part on, whether or not any is wanted.
void EndpointView::set_quotas(Point now, const std::vector<QuotaLease>& parts)
{
    budgets_.clear();
    for (const QuotaLease& p : parts) budgets_[p.name] = p, (void)buckets_[p.name].has_token(now, p);
    std::erase_if(buckets_, [this](const auto& b) { return !budgets_.count(b.first); });
}

void EndpointView::restore_reductions(Point now, const std::vector<PersistedReduction>& reductions)
{
    for (const PersistedReduction& r : reductions)
        recalled_[r.upstream] = {r.reduction, now + Span{r.left_us}};
    due_ = true;
}

void EndpointView::record_answer(Point now, UpstreamId upstream_id, bool well)
{
    if (upstream_id >= all_.size()) return;
    ++(well ? all_[upstream_id].well : all_[upstream_id].bad)[0];
    (well ? all_[upstream_id].well_at : all_[upstream_id].bad_at) = now;
}

bool EndpointView::is_cold(Point now, const EndpointState& l) const
{
    return l.started && now - *l.started < config_.cold;
}

// Of a cold one: what it can do by now, over what it could at its start.
double EndpointView::warmth(Point now, const EndpointState& l) const
{
    const double age = std::clamp((now - *l.started) / config_.cold, 0.0, 1.0);
    return (config_.cold_share + (1 - config_.cold_share) * age) / config_.cold_share;
}

// The budget of a cold one grows as it warms, alike at every balancer.
const QuotaLease* EndpointView::part_of(Point now, BudgetName name, const EndpointState& l)
{
    const auto at = budgets_.find(name);
    if (at == budgets_.end()) return nullptr;
    scaled_ = at->second;
    scaled_.rate *= warmth(now, l);
    scaled_.guaranteed *= warmth(now, l);
    return &scaled_;
}

double EndpointView::factor(Point now, One& one) const
{
    double told = one.verdict_reduction;
    if (const auto at = recalled_.find(one.real.id); at != recalled_.end() && now < at->second.second)
        told = std::max(told, at->second.first);
    // The module draws by about the fifth power of the size where work is out. So what one balancer says
    // lessens an upstream little, and what is agreed on nearly takes it away.
    const double most = std::max(least_factor, std::pow(1 - told, 0.2 + 0.8 * told * told));
    const double grown = one.factor * std::exp2((now - one.factor_at) / doubles_in);
    one.factor = std::min(most, std::max(least_factor, std::min(1.0, grown)));
    one.factor_at = now;
    return one.factor;
}

EndpointState EndpointView::wanted(Point now, UpstreamId upstream_id)
{
    One& one = all_[upstream_id];
    EndpointState l = one.real;
    if (one.told_start && (!l.started || *l.started < *one.told_start)) l.started = one.told_start;
    const double part = config_.subset && upstream_id < parts_.size() ? parts_[upstream_id]
                        : config_.subset                              ? 0
                                                                      : 1;
    if (part <= 0) l.phase = EndpointPhase::gone;
    if (config_.signals || !recalled_.empty()) l.size *= factor(now, one);
    l.size *= part > 0 ? part : 1;
    if (config_.turns && l.phase == EndpointPhase::ready && is_cold(now, l)) {
        const BudgetName name{Budget::cold, l.id};
        if (config_.turns->total_of(name) > 0) {
            const QuotaLease* own = part_of(now, name, l);
            if (!own || !buckets_[name].has_token(now, *own)) {
                if (mostly_warm_)
                    l.phase = EndpointPhase::gone;
                else
                    l.size *= least_drawn;
            }
        }
    }
    return l;
}

// Of an arc, by sizes, and what cold ones can do by now.
double EndpointView::free_of(Point now, const SubsetWeights& parts, const Reduction& reduction) const
{
    double all = 0, free = 0;
    bool any = false;
    for (UpstreamId t = 0; t < parts.size(); ++t) {
        if (parts[t] <= 0) continue;
        const double size = parts[t] * choosable_[t].size;
        all += size;
        if (all_[t].real.phase != EndpointPhase::ready) continue;
        const double r = reduction(t);
        any = any || r <= 0;
        const double able = is_cold(now, all_[t].real) ? warmth(now, all_[t].real) * config_.cold_share : 1;
        free += size * (1 - std::max(r, all_[t].verdict_reduction)) * able;
    }
    return any && all > 0 ? free / all : 0;
}

void EndpointView::widen(Point now, const Reduction& reduction)
{
    if (std::exchange(dirty_, false)) {
        parts_ = choose(*config_.subset, sharers_, config_.self, choosable_, width_.widening());
        if (width_.steps() > 0)
            narrower_ = choose(*config_.subset, sharers_, config_.self, choosable_, width_.widening() / 2);
    }
    for (;;) {
        const bool whole = std::all_of(choosable_.begin(), choosable_.end(), [&](const SubsetCandidate& c) {
            return c.size <= 0 || parts_[static_cast<size_t>(&c - choosable_.data())] > 1 - none;
        });
        const double free = free_of(now, parts_, reduction);
        const double narrower = width_.steps() > 0 ? free_of(now, narrower_, reduction) : 0;
        const double before = width_.widening();
        if (!width_.look(now, free, narrower, whole)) return;
        parts_ = choose(*config_.subset, sharers_, config_.self, choosable_, width_.widening());
        narrower_ = choose(*config_.subset, sharers_, config_.self, choosable_, width_.widening() / 2);
        if (width_.widening() < before) return;
    }
}

std::vector<EndpointState> EndpointView::update(Point now, const Reduction& reduction)
{
    due_ = false;
    if (config_.subset) widen(now, reduction);
    double listed = 0, cold = 0;
    for (const One& one : all_) {
        if (one.real.phase != EndpointPhase::ready) continue;
        listed += one.real.size;
        if (is_cold(now, one.real)) cold += one.real.size;
    }
    mostly_warm_ = cold * 2 < listed;
    std::vector<EndpointState> out;
    for (UpstreamId t = 0; t < all_.size(); ++t) {
        const EndpointState l = wanted(now, t);
        if (t >= shown_.size()) shown_.resize(t + 1);
        EndpointState& was = shown_[t];
        if (l.phase == EndpointPhase::gone && was.phase == EndpointPhase::gone) continue;
        const bool same = l.id == was.id && l.phase == was.phase && l.started == was.started &&
                          l.zone == was.zone && l.cell == was.cell && l.kind == was.kind;
        // What is whole again is shown as whole, however little was missing.
        const bool near =
            std::abs(l.size - was.size) <= worth_showing * was.size && l.size != all_[t].real.size;
        if (same && (near || l.size == was.size)) continue;
        was = l;
        out.push_back(l);
    }
    return out;
}

bool EndpointView::due(const Reduction& reduction) const
{
    if (due_ || !config_.subset) return due_;
    for (UpstreamId t = 0; t < shown_.size(); ++t)
        if (shown_[t].phase == EndpointPhase::ready && reduction(t) <= 0) return false;
    return !shown_.empty();
}

double EndpointView::shown_share() const
{
    double shown = 0, listed = 0;
    for (UpstreamId t = 0; t < all_.size(); ++t) {
        if (choosable_[t].size <= 0) continue;
        listed += 1;
        shown += t < parts_.size() ? parts_[t] : 0;
    }
    return config_.subset && listed > 0 && shown > 0 ? shown / listed : 1;
}

bool EndpointView::take_from_budget(Point now, BudgetName name)
{
    if (!config_.turns || config_.turns->total_of(name) <= 0) return true;
    ++asked_.try_emplace(name).first->second;
    const auto at = budgets_.find(name);
    return at != budgets_.end() && buckets_[name].take(now, at->second);
}

bool EndpointView::take_from_slow_start_budget(Point now, UpstreamId upstream_id)
{
    if (upstream_id >= shown_.size() || !is_cold(now, shown_[upstream_id])) return true;
    due_ = true;  // until its next turn it is not shown
    const BudgetName name{Budget::cold, shown_[upstream_id].id};
    if (!config_.turns || config_.turns->total_of(name) <= 0) return true;
    const QuotaLease* own = part_of(now, name, shown_[upstream_id]);
    return own && buckets_[name].take(now, *own);
}

std::optional<LocalObservations> EndpointView::observe(Point now, const Reduction& reduction, const Out& out)
{
    if (now - observed_ < observe_every) return {};
    const double since = std::min(1.0, (now - std::exchange(observed_, now)).seconds());
    // The mean of all at first, and of the last ten seconds later. Guards against weights that are chance.
    if (counts_from_.us == 0) counts_from_ = now - Span{static_cast<int64_t>(since * 1e6)};
    const double gain =
        std::max(since / rate_over.seconds(), since / std::max(since, (now - counts_from_).seconds()));
    came_ += arrived_;
    rate_ += gain * (std::exchange(arrived_, 0) / std::max(0.01, since) - rate_);
    LocalObservations o;
    if (came_ >= least_counted) o.rate = rate_;
    o.asked = std::exchange(asked_, {});
    o.widening = width_.steps();
    for (UpstreamId t = 0; t < all_.size(); ++t) {
        One& one = all_[t];
        if (one.real.phase == EndpointPhase::gone) continue;
        ++o.listed;
        if (config_.subset && !(t < parts_.size() && parts_[t] > 0)) continue;
        ++o.shown;
        OutlierEvidence e{one.real.id,
                          reduction(t),
                          one.well[0] + one.well[1],
                          one.bad[0] + one.bad[1],
                          now - one.bad_at,
                          now - one.well_at,
                          {}};
        // Whoever holds work and gives none back is found out by that, not by an answer.
        if (e.reduction >= 0.5 && e.well + e.bad == 0 && out(t)) e.bad = 1, e.age = {};
        const BudgetName cold{Budget::cold, one.real.id};
        if (t < shown_.size() && is_cold(now, shown_[t]) && config_.turns &&
            config_.turns->total_of(cold) > 0)
            ++o.asked[cold];
        if (is_cold(now, one.real)) e.started = now - *one.real.started;
        if (e.reduction > 0 || e.well > 0 || e.bad > 0 || e.started) o.evidence.push_back(e);
    }
    if (now - second_ >= seconds(1)) {
        second_ = now;
        for (One& one : all_)
            one.well[1] = std::exchange(one.well[0], 0), one.bad[1] = std::exchange(one.bad[0], 0);
    }
    return o;
}

}  // namespace firtide::fleet
