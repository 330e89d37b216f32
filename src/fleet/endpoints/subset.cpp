#include "subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace firtide::fleet
{
namespace
{

constexpr double least_part = 0.1;     // less of an upstream is not worth its connections
constexpr double least_weight = 0.05;  // of the mean: whoever is idle still has a place
constexpr double enough_free = 0.6, plenty_free = 0.8;
constexpr uint32_t most_steps = 16;
constexpr Span between_steps = seconds(0.2);

uint64_t mixed(uint64_t id) { return XXH3_64bits_withSeed(&id, sizeof id, 7); }

// An arc of a ring on which each upstream has its size. Arcs begin where the weights before them end, so
// whatever the weights, each point is covered by the same weight.
template <class InRing, class Shares>
void arc(SubsetWeights& into, const std::vector<SubsetPeer>& sharers, MemberKey self,
         const std::vector<SubsetCandidate>& upstreams, double wanted, InRing in_ring, Shares shares)
{
    std::vector<std::pair<uint64_t, size_t>> ring;
    double around = 0;
    for (size_t i = 0; i < upstreams.size(); ++i)
        if (upstreams[i].size > 0 && in_ring(upstreams[i]))
            ring.emplace_back(mixed(upstreams[i].id), i), around += upstreams[i].size;
    if (ring.empty()) return;
    std::sort(ring.begin(), ring.end());

    std::vector<std::pair<uint64_t, double>> before;
    double mean = 0, all = 0, own = 0;
    for (const SubsetPeer& s : sharers)
        if (shares(s)) before.emplace_back(mixed(s.key), s.weight), mean += s.weight;
    if (before.empty()) before.emplace_back(mixed(self), 1), mean = 1;
    mean /= static_cast<double>(before.size());
    std::sort(before.begin(), before.end());
    for (const auto& [at, weight] : before) {
        const double w = mean > 0 ? std::max(weight, least_weight * mean) : 1;
        if (at < mixed(self)) own += w;
        all += w;
    }
    const double from = own / all * around;
    const double length = std::min(1.0, wanted / static_cast<double>(ring.size())) * around;
    double at = 0;
    for (const auto& [hash, i] : ring) {
        const double size = upstreams[i].size;
        double covered = 0;
        // The arc may go past the end of the ring, and on from its beginning.
        for (const double turn : {0.0, around})
            covered += std::max(0.0, std::min(at + size + turn, from + length) - std::max(at + turn, from));
        const double part = std::min(1.0, covered / size);
        if (part >= least_part) into[i] = std::max(into[i], part);
        at += size;
    }
}

}  // namespace

SubsetWeights choose(const SubsetConfig& config, const std::vector<SubsetPeer>& sharers, MemberKey self,
                     const std::vector<SubsetCandidate>& upstreams, double widening)
{
    SubsetWeights parts(upstreams.size(), 0);
    if (!config.zones) {
        arc(
            parts, sharers, self, upstreams, config.size * widening, [](const auto&) { return true; },
            [](const auto&) { return true; });
        return parts;
    }
    arc(
        parts, sharers, self, upstreams, config.size * widening, [](const auto& u) { return u.own_zone; },
        [](const auto& s) { return s.own_zone; });
    arc(
        parts, sharers, self, upstreams, config.beyond * widening, [](const auto& u) { return !u.own_zone; },
        [](const auto&) { return true; });
    return parts;
}

bool SubsetSize::look(Point now, double free, double narrower, bool whole)
{
    if (free < enough_free && !whole && steps_ < most_steps) {
        // At once where nothing is free; else one step has to show first whether it is enough.
        if (free > 0 && steps_ > 0 && now - needed_ < between_steps) return false;
        needed_ = now;
        ++steps_;
        return true;
    }
    // Guards against going to and fro: only to where it will not have to widen again.
    if (narrower < plenty_free) needed_ = now;
    if (steps_ == 0 || now - needed_ < narrow_) return false;
    needed_ = now;
    --steps_;
    return true;
}

}  // namespace firtide::fleet
