#include "quota.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr Span forgotten = seconds(10);  // a budget that nothing is asked of
constexpr double demand_gain = 2, least_demand = 0.05;
constexpr size_t most_budgets = 256, most_asked = 16;
constexpr Span saved = seconds(1);

}  // namespace

const char* text_of(Budget budget)
{
    switch (budget) {
        case Budget::retries: return "retries";
        case Budget::probes: return "probes";
        case Budget::cold: return "cold";
        case Budget::tenant: return "tenant";
    }
    return "";
}

double QuotaConfig::whole_of(BudgetName name) const
{
    if (name.of == Budget::tenant) {
        for (const auto& [key, value] : whole)
            if (key.starts_with("tenant.") && key_of(key.substr(7)) == name.which) return value;
        return 0;
    }
    const auto at = whole.find(text_of(name.of));
    return at == whole.end() ? 0 : at->second;
}

QuotaClient::QuotaClient(const QuotaConfig& rule, size_t members, InstanceId instance)
    : rule_(rule), members_(members), instance_(instance)
{
    for (const auto& [name, value] : rule.whole) {
        if (name == "cold") continue;  // one for each upstream that is
        if (name.starts_with("tenant."))
            own({Budget::tenant, key_of(name.substr(7))});
        else
            own({name == "retries" ? Budget::retries : Budget::probes, 0});
    }
}

QuotaClient::Own& QuotaClient::own(BudgetName name)
{
    const auto [at, fresh] = own_.try_emplace(name);
    if (fresh) {
        at->second.part.name = name;
        at->second.part.floor =
            rule_.floor.value_or(rule_.whole_of(name) * kept_for_floors / static_cast<double>(members_));
    }
    return at->second;
}

void QuotaClient::asked(Point now, const std::map<BudgetName, uint32_t>& asked)
{
    const double since = (now - demand_at_).seconds();
    if (since <= 0) return;
    demand_at_ = now;
    for (const auto& [name, n] : asked)
        if (rule_.whole_of(name) > 0 && own_.size() < most_budgets) own(name).wanted = now;
    for (auto at = own_.begin(); at != own_.end();) {
        auto& [name, o] = *at;
        const auto n = asked.find(name);
        const double rate = n == asked.end() ? 0 : n->second / since;
        o.demand += (rate > o.demand ? 1 : std::min(1.0, demand_gain * since)) * (rate - o.demand);
        const bool gone = name.of == Budget::cold && now - o.wanted > forgotten && now >= o.part.none_from;
        at = gone ? own_.erase(at) : std::next(at);
    }
}

QuotaRequest QuotaClient::want(Point now, Epoch holder)
{
    // Guards against an answer of an earlier holder that comes after the new one was told what is had.
    if (std::exchange(epoch_, holder) != holder) asked_.clear(), heard_ = 0;
    QuotaRequest w{instance_, holder, ++number_, heard_, {}};
    asked_[number_] = now;
    while (asked_.size() > most_asked) asked_.erase(asked_.begin());
    for (const auto& [name, o] : own_)
        w.all.push_back({static_cast<uint8_t>(name.of), name.which, static_cast<float>(o.demand),
                         static_cast<float>(o.part.at(now) - o.part.floor)});
    return w;
}

// A part counts from the asking, so that it is over here before it is there.
void QuotaClient::given_to(Point now, const QuotaResponse& parts)
{
    const auto at = asked_.find(parts.number);
    if (parts.instance != instance_ || parts.epoch != epoch_ || at == asked_.end()) return;
    heard_ = parts.number;
    const Point from = at->second;
    asked_.erase(asked_.begin(), std::next(at));
    for (const QuotaGrant& g : parts.all) {
        const auto o = own_.find({static_cast<Budget>(g.of), g.which});
        if (o == own_.end()) continue;
        const QuotaLease next{o->first, g.rate, o->second.part.floor, from + rule_.length,
                              from + rule_.length * 2};
        if (now < next.none_from) o->second.part = next;
    }
}

std::vector<QuotaLease> QuotaClient::parts(Point) const
{
    std::vector<QuotaLease> out;
    for (const auto& [name, o] : own_) out.push_back(o.part);
    return out;
}

QuotaAllocator::QuotaAllocator(const QuotaConfig& rule, double drift) : rule_(rule), drift_(drift) {}

void QuotaAllocator::begin(Point now, Epoch epoch)
{
    epoch_ = epoch;
    since_ = now;
    pools_.clear();
}

double QuotaAllocator::out(Point now, BudgetName name) const
{
    const auto at = pools_.find(name);
    const double all = rule_.whole_of(name) * dealt_out;
    if (at == pools_.end()) return now - since_ < lasts() ? all : 0;
    double sum = now - since_ < lasts() ? at->second.unknown : 0;
    for (const auto& [of, h] : at->second.held) sum += h.out(now);
    return sum;
}

double QuotaAllocator::Holding::out(Point now) const
{
    double most = 0;
    for (const Grant& g : grants)
        if (now < g.until) most = std::max(most, g.rate);
    return most;
}

// Each gets what it asks for, up to the same level; what is left over is dealt out evenly.
double QuotaAllocator::level(Point now, const Pool& pool, double whole) const
{
    std::vector<double> demands;
    for (const auto& [of, h] : pool.held)
        if (now - h.heard < rule_.length * 2) demands.push_back(std::max(h.demand, least_demand));
    std::sort(demands.begin(), demands.end());
    double left = whole;
    for (size_t i = 0; i < demands.size(); ++i) {
        const double each = left / static_cast<double>(demands.size() - i);
        if (demands[i] >= each) return each;
        left -= demands[i];
    }
    // Nobody asks for more: all may have the same on top.
    return -left / static_cast<double>(std::max<size_t>(1, demands.size()));
}

QuotaResponse QuotaAllocator::answer(Point now, MemberKey from, const QuotaRequest& want)
{
    QuotaResponse out{epoch_, want.instance, want.number, {}};
    if (want.epoch != epoch_) return out;
    for (const QuotaDemand& w : want.all) {
        const BudgetName name{static_cast<Budget>(w.of), w.which};
        const double whole = rule_.whole_of(name) * dealt_out;
        if (whole <= 0 || w.of > static_cast<uint8_t>(Budget::tenant)) continue;
        if (pools_.size() >= 4096 && !pools_.count(name)) continue;
        const auto [at, fresh] = pools_.try_emplace(name);
        Pool& pool = at->second;
        if (fresh) pool.unknown = now - since_ < lasts() ? whole : 0;
        std::erase_if(pool.held, [&](const auto& h) {
            return h.second.out(now) <= 0 && now - h.second.heard > forgotten;
        });
        const auto [own, first] = pool.held.try_emplace({from, want.instance});
        Holding& h = own->second;
        if (first) {
            // What an earlier holder gave it, it gives back here.
            const double brings = std::clamp<double>(w.have, 0, pool.unknown);
            pool.unknown -= brings;
            h.grants.push_back({0, brings, now + lasts()});
        }
        std::erase_if(h.grants, [&](const Grant& g) { return now >= g.until || g.number < want.heard; });
        h.demand = std::clamp<double>(w.demand, least_demand, 1e9);
        h.heard = now;
        const double others = this->out(now, name) - h.out(now);
        const double l = level(now, pool, whole);
        const double rate =
            std::clamp(l < 0 ? h.demand - l : std::min(h.demand, l), 0.0, std::max(0.0, whole - others));
        h.grants.push_back({want.number, rate, now + lasts()});
        out.all.push_back({w.of, w.which, static_cast<float>(rate * 0.999)});
    }
    return out;
}

bool TokenBucket::has(Point now, const QuotaLease& part)
{
    const double rate = part.at(now);
    if (at_.us < 0) at_ = now;
    tokens_ = std::min(tokens_ + rate * std::max(0.0, (now - at_).seconds()),
                       std::max(1.0, rate * saved.seconds()));
    at_ = now;
    return tokens_ >= 1;
}

bool TokenBucket::take(Point now, const QuotaLease& part)
{
    if (!has(now, part)) return false;
    tokens_ -= 1;
    return true;
}

}  // namespace firtide::fleet
