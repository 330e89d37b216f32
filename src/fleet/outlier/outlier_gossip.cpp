#include "outlier_gossip.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr double worth_telling = 0.1;  // of an entry
constexpr Span again = seconds(0.5);   // the same finding, with new evidence
constexpr size_t witnesses = 3;        // of one upstream that are passed on
constexpr size_t most_signals = 64;    // in one digest
constexpr size_t few_signals = 6;      // wait for more room, where there are more
constexpr size_t most_upstreams = 10000;
constexpr double bytes_of_one = 48, bytes_of_frame = 40;
constexpr double own_weighs = 3;  // good answers: so many halve what others say

double part_of(const OutlierReport& s) { return s.reduction / 255.0; }

}  // namespace

OutlierGossip::OutlierGossip(const OutlierGossipConfig& rule, MemberKey own, InstanceId instance)
    : rule_(rule), own_(own), instance_(instance)
{
}

void OutlierGossip::seen(Point now, const std::vector<OutlierEvidence>& all)
{
    evidence_.clear();
    evidence_at_ = now;
    for (const OutlierEvidence& e : all) {
        evidence_[e.upstream] = e;
        const bool reduced = e.reduction >= worth_telling && e.bad > 0 && e.age < rule_.validity;
        if (!reduced && !e.started) continue;
        auto& [when, before] = own_told_[e.upstream];
        if (now - when < again && e.reduction < before + worth_telling) continue;
        const Point found = reduced ? now - e.age : now;
        Held& h = held_[e.upstream][own_];
        // Nothing but new evidence renews what was found.
        if (reduced && h.signal.number && found <= h.found && e.reduction <= part_of(h.signal)) continue;
        if (!reduced && now - when < rule_.validity * 0.5) continue;
        when = now, before = e.reduction;
        h.signal = {e.upstream,
                    own_,
                    instance_,
                    ++number_,
                    static_cast<uint8_t>(reduced ? std::min(1.0, e.reduction) * 255 : 0),
                    static_cast<uint8_t>(std::min<uint32_t>(e.bad, 255)),
                    0,
                    e.started ? static_cast<uint32_t>(e.started->seconds()) + 1 : 0};
        h.found = found, h.until = found + rule_.validity;
        due(e.upstream, own_);
    }
}

void OutlierGossip::heard(Point now, const OutlierDigest& digest)
{
    for (const OutlierReport& s : digest.all) {
        if (s.by == own_) continue;
        const Span age{int64_t{s.age_ms} * 1000};
        Newest& of = newest_[s.by];
        if (of.instance != s.instance) of = {s.instance, {}};
        uint64_t& newest = of.of[s.upstream];
        // Guards against what comes twice, late or out of order: it renews nothing.
        if (s.number <= newest || age >= rule_.validity ||
            (held_.size() >= most_upstreams && !held_.count(s.upstream))) {
            ++stale_;
            continue;
        }
        newest = s.number;
        auto& by = held_[s.upstream];
        std::erase_if(by, [&](const auto& h) { return h.second.until <= now; });
        const bool enough = by.size() >= witnesses && !by.count(s.by);
        by[s.by] = {s, now - age, now - age + rule_.validity};
        if (!enough) due(s.upstream, s.by);
    }
}

OutlierDigest OutlierGossip::take(Point now, size_t successors)
{
    room_ = std::min<double>(rule_.bytes, room_ + rule_.bytes * (now - filled_).seconds());
    filled_ = now;
    for (auto at = held_.begin(); at != held_.end();) {
        std::erase_if(at->second, [&](const auto& h) { return h.second.until <= now; });
        at = at->second.empty() ? held_.erase(at) : std::next(at);
    }
    std::erase_if(due_, [&](const auto& d) {
        const auto at = held_.find(d.first);
        return at == held_.end() || !at->second.count(d.second);
    });
    OutlierDigest out;
    if (due_.empty() || successors == 0) return out;
    const double copies = static_cast<double>(successors);
    const double room = std::min(room_ / copies, most_signals * bytes_of_one + bytes_of_frame);
    const auto most = static_cast<size_t>(std::max(0.0, (room - bytes_of_frame) / bytes_of_one));
    if (most < std::min(few_signals, due_.size())) return out;
    std::vector<const Held*> order;
    for (const auto& [upstream, by] : due_) order.push_back(&held_[upstream][by]);
    // The gravest first, own ones before others'; the rest waits until it is too old to be told.
    std::stable_sort(order.begin(), order.end(), [&](const Held* a, const Held* b) {
        const auto rank = [&](const Held* h) {
            return h->signal.reduction + (h->signal.by == own_ ? 32 : 0);
        };
        return rank(a) > rank(b);
    });
    if (order.size() > most) dropped_ += order.size() - most, order.resize(most);
    if (order.empty()) return out;
    for (const Held* h : order) {
        out.all.push_back(h->signal);
        out.all.back().age_ms = static_cast<uint32_t>(std::max<int64_t>(0, (now - h->found).us / 1000));
        due_.erase({h->signal.upstream, h->signal.by});
    }
    room_ -= copies * (bytes_of_frame + bytes_of_one * static_cast<double>(out.all.size()));
    return out;
}

// What others say counts less the more own answers since then were good.
double OutlierGossip::against(Point now, const OutlierEvidence& own, Point found) const
{
    if (own.bad > 0 || own.well == 0 || now - own.well_age - (now - evidence_at_) < found) return 1;
    return own_weighs / (own_weighs + own.well);
}

// The second greatest of what others say is agreed on; the greatest counts alone up to a part. Own good
// answers since they found it hold both down to a part: an own road that is well says more than others' that
// may not be.
OutlierGossip::Verdict OutlierGossip::result(Point now, uint64_t upstream,
                                             const std::map<MemberKey, Held>& by) const
{
    double first = 0, second = 0;
    Point found{INT64_MIN / 2};
    uint32_t youngest = 0, next = 0;  // starts: the youngest that two name
    for (const auto& [key, h] : by) {
        if (key == own_ || h.until <= now) continue;
        const double r = part_of(h.signal);
        second = std::max(second, std::min(first, r));
        first = std::max(first, r);
        if (r > 0) found = std::max(found, h.found);
        if (const uint32_t s = h.signal.started_s) {
            if (!youngest || s < youngest)
                next = youngest, youngest = s;
            else if (!next || s < next)
                next = s;
        }
    }
    Verdict out;
    out.reduction = std::max(second, std::min(first, rule_.alone));
    const auto at = evidence_.find(upstream);
    if (at != evidence_.end()) {
        if (at->second.reduction >= worth_telling)
            out.reduction = first;
        else if (const double less = against(now, at->second, found); less < 1)
            out.reduction = std::min(out.reduction, rule_.alone) * less;
    }
    const bool knows = at != evidence_.end() && at->second.started;
    if (next && !knows) out.started = seconds(next - 1);
    if (youngest && !next && !knows) out.reduction = std::max(out.reduction, rule_.alone);
    return out;
}

std::map<uint64_t, OutlierGossip::Verdict> OutlierGossip::results(Point now) const
{
    std::map<uint64_t, Verdict> out;
    for (const auto& [upstream, by] : held_) {
        const Verdict r = result(now, upstream, by);
        if (r.reduction > 0 || r.started) out.emplace(upstream, r);
    }
    return out;
}

std::vector<OutlierGossip::Counted> OutlierGossip::told(Point now, uint64_t upstream) const
{
    std::vector<Counted> out;
    const auto at = held_.find(upstream);
    if (at == held_.end()) return out;
    for (const auto& [by, h] : at->second)
        if (h.until > now) out.push_back({by, part_of(h.signal), now - h.found});
    return out;
}

}  // namespace firtide::fleet
