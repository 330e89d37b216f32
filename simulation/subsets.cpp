#include "subsets.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

#include "src/base/random.h"

namespace firtide::simulation
{
namespace
{

using namespace fleet;

struct Topology {
    std::vector<SubsetPeer> members;
    std::vector<SubsetCandidate> upstreams;
};
using Algorithm = std::function<SubsetWeights(const Topology&, MemberKey self, uint32_t size)>;

uint64_t hash(uint64_t a, uint64_t b)
{
    const uint64_t both[] = {a, b};
    return XXH3_64bits(both, sizeof both);
}

// Rendezvous hashing: the `size` upstreams with the highest hash of member and upstream.
SubsetWeights rendezvous(const Topology& f, MemberKey self, uint32_t size)
{
    std::vector<std::pair<uint64_t, size_t>> order;
    for (size_t i = 0; i < f.upstreams.size(); ++i)
        if (f.upstreams[i].size > 0) order.emplace_back(hash(self, f.upstreams[i].id), i);
    std::sort(order.rbegin(), order.rend());
    SubsetWeights parts(f.upstreams.size(), 0);
    for (size_t i = 0; i < std::min<size_t>(size, order.size()); ++i) parts[order[i].second] = 1;
    return parts;
}

// Deterministic subsetting: members are grouped in rounds, and each round divides one shuffle of the
// upstreams among its members.
SubsetWeights deterministic_rounds(const Topology& f, MemberKey self, uint32_t size)
{
    std::vector<uint64_t> keys;
    for (const SubsetPeer& s : f.members) keys.push_back(hash(s.key, 3));
    std::sort(keys.begin(), keys.end());
    const auto number =
        static_cast<size_t>(std::lower_bound(keys.begin(), keys.end(), hash(self, 3)) - keys.begin());
    std::vector<size_t> listed;
    for (size_t i = 0; i < f.upstreams.size(); ++i)
        if (f.upstreams[i].size > 0) listed.push_back(i);
    SubsetWeights parts(f.upstreams.size(), 0);
    if (listed.empty()) return parts;
    const size_t each = std::max<size_t>(1, listed.size() / size);
    std::sort(listed.begin(), listed.end(), [&](size_t a, size_t b) {
        return hash(number / each, f.upstreams[a].id) < hash(number / each, f.upstreams[b].id);
    });
    for (size_t i = 0; i < std::min<size_t>(size, listed.size()); ++i)
        parts[listed[(number % each * size + i) % listed.size()]] = 1;
    return parts;
}

// A ring on which a member's position depends on its key alone: the key times the golden ratio.
SubsetWeights golden_ratio_ring(const Topology& f, MemberKey self, uint32_t size)
{
    std::vector<std::pair<uint64_t, size_t>> ring;
    for (size_t i = 0; i < f.upstreams.size(); ++i)
        if (f.upstreams[i].size > 0) ring.emplace_back(hash(f.upstreams[i].id, 1), i);
    std::sort(ring.begin(), ring.end());
    SubsetWeights parts(f.upstreams.size(), 0);
    const double turn = static_cast<double>(self) * 0.6180339887498949;
    const auto from = static_cast<size_t>((turn - std::floor(turn)) * static_cast<double>(ring.size()));
    for (size_t i = 0; i < std::min<size_t>(size, ring.size()); ++i)
        parts[ring[(from + i) % ring.size()].second] = 1;
    return parts;
}

// Rendezvous hashing with bounded loads: all members choose in the same order, and none takes an upstream
// that already has its share.
SubsetWeights bounded_rendezvous(const Topology& f, MemberKey self, uint32_t size)
{
    const double n = static_cast<double>(std::max<size_t>(1, f.members.size()));
    const auto listed = static_cast<double>(
        std::count_if(f.upstreams.begin(), f.upstreams.end(), [](const auto& u) { return u.size > 0; }));
    const auto most = static_cast<size_t>(1.05 * n * size / std::max(1.0, listed)) + 1;
    std::vector<MemberKey> keys;
    for (const SubsetPeer& s : f.members) keys.push_back(s.key);
    std::sort(keys.begin(), keys.end(), [](MemberKey a, MemberKey b) { return hash(a, 5) < hash(b, 5); });
    std::vector<size_t> choosers(f.upstreams.size(), 0);
    for (const MemberKey k : keys) {
        std::vector<std::pair<uint64_t, size_t>> order;
        for (size_t i = 0; i < f.upstreams.size(); ++i)
            if (f.upstreams[i].size > 0 && choosers[i] < most)
                order.emplace_back(hash(k, f.upstreams[i].id), i);
        std::sort(order.rbegin(), order.rend());
        SubsetWeights parts(f.upstreams.size(), 0);
        for (size_t i = 0; i < std::min<size_t>(size, order.size()); ++i)
            parts[order[i].second] = 1, ++choosers[order[i].second];
        if (k == self) return parts;
    }
    return rendezvous(f, self, size);
}

SubsetWeights weighted_ring(const Topology& f, MemberKey self, uint32_t size)
{
    SubsetConfig rule;
    rule.size = size;
    return select_subset(rule, f.members, self, f.upstreams, 1);
}

Topology make_topology(size_t members, size_t upstreams, bool unequal, RandomEngine& random)
{
    Topology f;
    const auto draw_size = [&] { return unequal ? 1 + 3 * uniform_random(random) : 1.0; };
    const uint64_t salt = random();
    for (size_t i = 0; i < members; ++i) f.members.push_back({i + 1, true, draw_size()});
    for (size_t i = 0; i < upstreams; ++i) f.upstreams.push_back({hash(salt + 1, i), draw_size(), true});
    return f;
}

// Offered load of each upstream relative to its size. Each member divides its traffic by weight and size.
std::vector<double> offered_load(const Topology& f, const std::vector<SubsetWeights>& all)
{
    std::vector<double> load(f.upstreams.size(), 0);
    for (size_t m = 0; m < f.members.size(); ++m) {
        double sum = 0;
        for (size_t u = 0; u < load.size(); ++u) sum += all[m][u] * f.upstreams[u].size;
        for (size_t u = 0; u < load.size(); ++u)
            if (sum > 0) load[u] += f.members[m].traffic_weight * all[m][u] / sum;
    }
    return load;
}

double max_over_mean(const std::vector<double>& load)
{
    return *std::max_element(load.begin(), load.end()) * static_cast<double>(load.size()) /
           std::accumulate(load.begin(), load.end(), 0.0);
}

std::vector<SubsetWeights> select_for_all(const Algorithm& algorithm, const Topology& f, uint32_t size)
{
    std::vector<SubsetWeights> all;
    for (const SubsetPeer& s : f.members) all.push_back(algorithm(f, s.key, size));
    return all;
}

size_t count_added(const SubsetWeights& before, const SubsetWeights& after)
{
    size_t n = 0;
    for (size_t u = 0; u < after.size(); ++u) n += after[u] > 0 && !(before[u] > 0);
    return n;
}

}  // namespace

std::vector<SubsetComparison> compare_subsets(size_t members, size_t upstreams, uint32_t size, size_t seeds)
{
    const std::pair<const char*, Algorithm> algorithms[] = {
        {"rendezvous hashing", rendezvous},
        {"rendezvous with bounded loads", bounded_rendezvous},
        {"deterministic rounds", deterministic_rounds},
        {"golden-ratio ring, fixed places", golden_ratio_ring},
        {"ring by weights", weighted_ring}};
    std::vector<SubsetComparison> out;
    for (const auto& [name, algorithm] : algorithms) {
        SubsetComparison c;
        c.algorithm = name;
        for (size_t seed = 0; seed < seeds; ++seed) {
            RandomEngine random(static_cast<uint32_t>(seed + 1));
            const Topology f = make_topology(members, upstreams, false, random);
            const auto all = select_for_all(algorithm, f, size);
            for (const SubsetWeights& p : all)
                c.connections += static_cast<double>(
                    std::count_if(p.begin(), p.end(), [](double part) { return part > 0; }));
            c.same_view += max_over_mean(offered_load(f, all));
            const Topology u = make_topology(members, upstreams, true, random);
            c.unequal_sizes += max_over_mean(offered_load(u, select_for_all(algorithm, u, size)));

            // Each member misses a random tenth of the other members and a twentieth of the upstreams.
            std::vector<SubsetWeights> differing;
            const auto unseen = [&](double part) { return uniform_random(random) < part; };
            for (const SubsetPeer& s : f.members) {
                Topology own = f;
                std::erase_if(own.members,
                              [&](const SubsetPeer& o) { return o.key != s.key && unseen(0.1); });
                for (SubsetCandidate& o : own.upstreams)
                    if (unseen(0.05)) o.size = 0;
                differing.push_back(algorithm(own, s.key, size));
            }
            c.views_differ += max_over_mean(offered_load(f, differing));

            Topology less = f;
            less.members.erase(less.members.begin() + static_cast<std::ptrdiff_t>(random() % members));
            size_t moved = 0, at = 0;
            for (size_t m = 0; m < members; ++m) {
                if (at < less.members.size() && less.members[at].key == f.members[m].key)
                    moved += count_added(all[m], algorithm(less, less.members[at++].key, size));
            }
            c.member_moves += static_cast<double>(moved) / size;
            Topology fewer = f;
            const size_t gone = random() % upstreams;
            fewer.upstreams[gone].size = 0;
            moved = 0;
            double had = 0;
            for (size_t m = 0; m < members; ++m) {
                moved += count_added(all[m], algorithm(fewer, f.members[m].key, size));
                had += all[m][gone] > 0;
            }
            c.upstream_moves += static_cast<double>(moved) / std::max(1.0, had);
        }
        const double n = static_cast<double>(seeds);
        c.connections /= n, c.same_view /= n, c.views_differ /= n, c.unequal_sizes /= n;
        c.member_moves /= n, c.upstream_moves /= n;
        out.push_back(c);
    }
    return out;
}

}  // namespace firtide::simulation
