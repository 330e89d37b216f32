#include "subset.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace firtide::fleet
{
namespace
{

constexpr double min_weight = 0.1;        // upstreams with a lower weight are not used
constexpr double min_peer_weight = 0.05;  // relative to the mean
// Shares of the subset that carry no reduction.
constexpr double widen_below_free = 0.6, narrow_above_free = 0.8;
constexpr uint32_t max_steps = 16;
constexpr Duration step_interval = seconds(0.2);
constexpr uint64_t ring_seed = 7;

uint64_t ring_position(uint64_t id) { return XXH3_64bits_withSeed(&id, sizeof id, ring_seed); }

// A ring of upstreams in the order of their hashed ids, each as long as its size.
struct Ring {
    std::vector<std::pair<uint64_t, size_t>> entries;  // ring position, index in the list
    double length = 0;
};

template <class Included>
Ring ring_of(const std::vector<SubsetCandidate>& candidates, Included included)
{
    Ring ring;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].size <= 0 || !included(candidates[i])) continue;
        ring.entries.emplace_back(ring_position(candidates[i].id), i);
        ring.length += candidates[i].size;
    }
    std::sort(ring.entries.begin(), ring.entries.end());
    return ring;
}

// The start of a balancer's arc as a share of the ring: arcs start where the weights of the preceding peers
// end, so every point of the ring is covered by the same total weight, whatever the weights are.
template <class Included>
double arc_start(const std::vector<SubsetPeer>& peers, MemberKey self, Included included)
{
    std::vector<std::pair<uint64_t, double>> order;  // ring position, weight
    double sum = 0;
    for (const SubsetPeer& peer : peers) {
        if (!included(peer)) continue;
        order.emplace_back(ring_position(peer.key), peer.traffic_weight);
        sum += peer.traffic_weight;
    }
    if (order.empty()) return 0;
    const double mean = sum / static_cast<double>(order.size());
    std::sort(order.begin(), order.end());
    double all = 0, before = 0;
    for (const auto& [position, peer_weight] : order) {
        const double weight = mean > 0 ? std::max(peer_weight, min_peer_weight * mean) : 1;
        if (position < ring_position(self)) before += weight;
        all += weight;
    }
    return before / all;
}

// Adds the upstreams under an arc as long as `upstream_count` upstreams of average size.
void add_arc_weights(SubsetWeights& weights, const Ring& ring, const std::vector<SubsetCandidate>& candidates,
                     double start, double upstream_count)
{
    if (ring.entries.empty()) return;
    const double from = start * ring.length;
    const double arc = std::min(1.0, upstream_count / static_cast<double>(ring.entries.size())) * ring.length;
    double at = 0;
    for (const auto& [position, index] : ring.entries) {
        const double size = candidates[index].size;
        double covered = 0;
        // The arc may wrap around the end of the ring.
        for (const double wrap : {0.0, ring.length})
            covered += std::max(0.0, std::min(at + size + wrap, from + arc) - std::max(at + wrap, from));
        const double weight = std::min(1.0, covered / size);
        if (weight >= min_weight) weights[index] = std::max(weights[index], weight);
        at += size;
    }
}

}  // namespace

SubsetWeights select_subset(const SubsetConfig& config, const std::vector<SubsetPeer>& peers, MemberKey self,
                            const std::vector<SubsetCandidate>& candidates, double widening)
{
    const auto any = [](const auto&) { return true; };
    const auto in_own_zone = [](const auto& each) { return each.own_zone; };
    const auto outside_own_zone = [](const auto& each) { return !each.own_zone; };
    SubsetWeights weights(candidates.size(), 0);
    if (!config.zone_aware) {
        add_arc_weights(weights, ring_of(candidates, any), candidates, arc_start(peers, self, any),
                        config.size * widening);
        return weights;
    }
    add_arc_weights(weights, ring_of(candidates, in_own_zone), candidates,
                    arc_start(peers, self, in_own_zone), config.size * widening);
    add_arc_weights(weights, ring_of(candidates, outside_own_zone), candidates, arc_start(peers, self, any),
                    config.remote_size * widening);
    return weights;
}

// Widens at once if nothing is free; otherwise waits to see whether the last step was enough.
bool SubsetWidth::widen(TimePoint now, double free)
{
    if (free > 0 && steps_ > 0 && now - last_needed_ < step_interval) return false;
    last_needed_ = now;
    ++steps_;
    return true;
}

bool SubsetWidth::adjust(TimePoint now, double free, double narrower_free, bool covers_whole_list)
{
    if (free < widen_below_free && !covers_whole_list && steps_ < max_steps) return widen(now, free);
    // Narrows only if the narrower subset would not have to widen again.
    if (narrower_free < narrow_above_free) last_needed_ = now;
    if (steps_ == 0 || now - last_needed_ < narrowing_delay_) return false;
    last_needed_ = now;
    --steps_;
    return true;
}

}  // namespace firtide::fleet
