// Choices of many balancers that must add up: subsets, outlier reports and quotas. No sockets, no clock.
#include <algorithm>
#include <cstdio>
#include <random>

#include "src/fleet/endpoints/subset.h"
#include "src/fleet/outlier/outlier_gossip.h"
#include "src/fleet/quota/quota_allocator.h"
#include "src/fleet/quota/quota_client.h"
#include "src/fleet/quota/token_bucket.h"

using namespace firtide;
using namespace firtide::fleet;

namespace
{

const char* yes(bool b) { return b ? "yes" : "NO"; }

struct Ring {
    std::vector<SubsetPeer> members;
    std::vector<SubsetCandidate> upstreams;

    Ring(size_t m, size_t u)
    {
        for (size_t i = 0; i < m; ++i) members.push_back({i + 1, true, 1.0 + static_cast<double>(i % 3)});
        for (size_t i = 0; i < u; ++i) upstreams.push_back({i + 77, 1.0 + static_cast<double>(i % 2), true});
    }
    SubsetWeights of(MemberKey self, uint32_t size) const
    {
        SubsetConfig rule;
        rule.size = size;
        return select_subset(rule, members, self, upstreams, 1);
    }
    double greatest_over_mean(uint32_t size) const
    {
        std::vector<double> load(upstreams.size(), 0);
        double all = 0;
        for (const SubsetPeer& s : members) {
            const SubsetWeights p = of(s.key, size);
            double sum = 0;
            for (size_t u = 0; u < p.size(); ++u) sum += p[u] * upstreams[u].size;
            for (size_t u = 0; u < p.size(); ++u)
                load[u] += s.traffic_weight * p[u] / sum, all += s.traffic_weight * p[u] / sum;
        }
        return *std::max_element(load.begin(), load.end()) * static_cast<double>(load.size()) / all;
    }
};

size_t used(const SubsetWeights& p)
{
    return static_cast<size_t>(std::count_if(p.begin(), p.end(), [](double x) { return x > 0; }));
}

void subsets()
{
    Ring r(90, 30);
    std::printf("-- subsets\n90 members of three weights, 30 upstreams of two sizes, 9 each: even %s\n",
                yes(r.greatest_over_mean(9) < 1.05));
    const SubsetWeights before = r.of(5, 9);
    std::printf("uses 8 to 11: %s\n", yes(used(before) >= 8 && used(before) <= 11));
    std::reverse(r.members.begin(), r.members.end());
    std::printf("the order of the file is nothing: %s\n", yes(r.of(5, 9) == before));
    size_t moved = 0, all = 0;
    Ring less = r;
    less.members.erase(less.members.begin() + 40);
    for (const SubsetPeer& s : less.members) {
        const SubsetWeights a = r.of(s.key, 9), b = less.of(s.key, 9);
        for (size_t u = 0; u < a.size(); ++u) moved += b[u] > 0 && !(a[u] > 0), all += a[u] > 0;
    }
    std::printf("one member less moves under two of 90 shares: %s\n", yes(moved < all / 90 * 2));
    std::printf("alone in the world: %zu of 30\n", used(Ring(0, 30).of(5, 9)));
    std::printf("a subset greater than the list: %zu\n", used(r.of(5, 100)));

    SubsetConfig zones;
    zones.size = 4, zones.zones = true, zones.beyond = 2;
    for (size_t u = 0; u < r.upstreams.size(); ++u) r.upstreams[u].own_zone = u % 3 == 0;
    const SubsetWeights z = select_subset(zones, r.members, 5, r.upstreams, 1);
    size_t own = 0;
    for (size_t u = 0; u < z.size(); ++u) own += z[u] > 0 && r.upstreams[u].own_zone;
    std::printf("by zones, 4 of the own and 2 beyond: %s\n",
                yes(own >= 4 && used(z) - own >= 2 && used(z) <= 9));

    SubsetWidth w(seconds(10));
    TimePoint now{1'000'000};
    std::printf("-- width\nhalf is free: %s\n", w.adjust(now, 0.6, 0, false) ? "WIDER" : "as it was");
    for (int i = 0; i < 3; ++i) (void)w.adjust(now, 0, 0, false);
    std::printf("nothing is free: at once %.0f times\n", w.widening());
    (void)w.adjust(now, 0, 0, true);
    std::printf("all there is: %.0f\n", w.widening());
    now = now + seconds(11);
    (void)w.adjust(now, 0.9, 0.6, false);
    std::printf("free, but not in the narrower: %.0f\n", w.widening());
    std::printf("free for a moment: %s\n",
                w.adjust(now + seconds(1), 0.9, 0.9, false) ? "NARROWER" : "as it was");
    now = now + seconds(11);
    const bool back = w.adjust(now, 0.9, 0.9, false);
    std::printf("free for long: %s, %.0f\n", back ? "narrower" : "AS IT WAS", w.widening());
    std::printf("again at once: %s\n", w.adjust(now, 0.9, 0.9, false) ? "NARROWER" : "one step at a time");
}

struct Teller {
    OutlierGossip signals;
    MemberKey key;
    explicit Teller(MemberKey k) : signals(OutlierGossipConfig{}, k, k * 10), key(k) {}
    OutlierDigest finds(TimePoint now, uint64_t upstream, double reduction)
    {
        signals.on_local_evidence(now, {{upstream, reduction, 0, 3, {}, seconds(9), {}}});
        return signals.next_digest(now, 1);
    }
};

void told()
{
    std::printf("-- signals\n");
    TimePoint now{100'000'000};
    Teller a(1), b(2), c(3);
    OutlierGossip own(OutlierGossipConfig{}, 9, 90);
    const auto counts = [&](uint64_t upstream) {
        const auto all = own.verdicts(now);
        const auto at = all.find(upstream);
        return at == all.end() ? 0.0 : at->second.reduction;
    };
    const OutlierDigest first = a.finds(now, 7, 1);
    own.on_digest(now, first);
    std::printf("one says it is gone: counts %.2f\n", counts(7));
    own.on_digest(now, b.finds(now, 7, 0.8));
    std::printf("two: %.2f\n", counts(7));
    own.on_digest(now, c.finds(now, 7, 0.1));
    std::printf("a third hardly: %.2f\n", counts(7));
    own.on_local_evidence(now, {{7, 0, 30, 0, seconds(9), {}, {}}});
    std::printf("own answers are good: %.2f\n", counts(7));
    own.on_local_evidence(now, {{7, 0.2, 0, 2, {}, seconds(9), {}}});
    std::printf("own ones are bad: %.2f\n", counts(7));
    own.on_local_evidence(now, {});
    now = now + seconds(1.4);
    own.on_digest(now, first);
    std::printf("repeated late: %.2f still, %llu dropped\n", counts(7),
                static_cast<unsigned long long>(own.stale_reports()));
    now = now + seconds(0.2);
    std::printf("past its validity: %.2f\n", counts(7));
    own.on_digest(now, first);
    std::printf("repeated later: %.2f\n", counts(7));
    const OutlierDigest again = a.finds(now, 7, 1);
    own.on_digest(now + seconds(1), again);
    now = now + seconds(1.6);
    std::printf("a finding that was a second on its way holds from when it was found: %.2f\n", counts(7));

    // A valid report is forwarded with its age and never renewed.
    OutlierGossip next(OutlierGossipConfig{}, 10, 100);
    Teller d(4);
    const TimePoint found = now;
    (void)own.next_digest(now, 1);
    own.on_digest(now, d.finds(now, 8, 1));
    now = now + seconds(1);
    next.on_digest(now, own.next_digest(now, 3));
    std::printf("passed on a second later: %.2f",
                next.verdicts(now).count(8) ? next.verdicts(now).at(8).reduction : 0.0);
    now = found + seconds(1.6);
    std::printf(", past the validity of who found it %.2f\n", next.verdicts(now).count(8) ? 1.0 : 0.0);
    std::printf("nothing new: %zu to tell\n", own.next_digest(now, 3).reports.size());

    Teller many(uint64_t{5} << 56);
    std::vector<OutlierEvidence> all;
    for (uint64_t u = 0; u < 500; ++u)
        all.push_back({~u * 0x9e3779b97f4a7c15u, 0.5, 0, 3, {}, seconds(9), {}});
    size_t bytes = 0;
    for (int i = 0; i < 200; ++i) {
        now = now + seconds(0.05);
        many.signals.on_local_evidence(now, all);
        const OutlierDigest digest = many.signals.next_digest(now, 3);
        if (!digest.reports.empty()) bytes += 3 * encode_frame(digest, 0).size();
    }
    std::printf("500 upstreams in trouble for 10 s: within 2,000 bytes a second %s, says something %s\n",
                yes(bytes <= 22000), yes(bytes > 10000));
}

// The greatest sum of rates that all members may use at any moment, while requests and responses are lost,
// late and out of order, members restart and allocators change.
double most_ever(bool holder_knows, double wrong_files, uint32_t seed)
{
    std::ranlux24_base chance(seed);
    const auto roll = [&] { return std::uniform_real_distribution<>(0, 1)(chance); };
    QuotaConfig rule;
    rule.whole["retries"] = 100;
    const BudgetName name{Budget::retries, 0};
    constexpr size_t n = 30;
    struct One {
        InstanceId instance = 0;
        std::optional<QuotaClient> shares;
        TimePoint next;
        bool up = true;
    };
    std::vector<One> all(n);
    InstanceId lives = 0;
    const auto start = [&](One& o) {
        o.instance = ++lives;
        o.shares.emplace(rule, static_cast<size_t>(n * (1 - wrong_files)), o.instance);
        o.up = true;
    };
    for (One& o : all) start(o);
    QuotaAllocator allocator(rule, 0.02);
    Epoch epoch = 1;
    struct Late {
        TimePoint at;
        size_t to;
        InstanceId instance;
        QuotaResponse parts;
    };
    std::vector<Late> late;
    double most = 0;
    TimePoint now{1'000'000'000};
    allocator.on_lease_gained(now, epoch);
    for (int step = 0; step < 4000; ++step) {
        now = now + seconds(0.02);
        if (roll() < 0.005) {
            ++epoch;
            if (holder_knows)
                allocator.on_lease_gained(now, epoch);
            else
                allocator.on_lease_gained(now - seconds(60), epoch);
        }
        for (size_t i = 0; i < n; ++i) {
            One& o = all[i];
            if (roll() < 0.002) o.up = false;
            if (!o.up && roll() < 0.02) start(o);
            if (!o.up || now < o.next) continue;
            o.next = now + seconds(0.2 + 0.1 * roll());
            o.shares->record_demand(now, {{name, static_cast<uint32_t>(roll() * 40)}});
            const auto want = o.shares->make_request(now, epoch);
            if (roll() < 0.15) continue;
            auto parts = allocator.answer(now, i + 1, want);
            if (roll() < 0.15) continue;
            late.push_back(
                {now + seconds(roll() < 0.2 ? 1.5 * roll() : 0.01), i, o.instance, std::move(parts)});
        }
        for (Late& l : late)
            if (l.at <= now && all[l.to].up && all[l.to].instance == l.instance)
                all[l.to].shares->on_response(now, l.parts);
        std::erase_if(late, [&](const Late& l) { return l.at <= now; });
        double sum = 0;
        for (const One& o : all)
            if (o.up)
                for (const QuotaLease& p : o.shares->leases()) sum += p.rate_at(now);
        most = std::max(most, sum);
    }
    return most;
}

void shares()
{
    std::printf("-- parts\n");
    double most = 0, wrong = 0, forgets = 0;
    for (uint32_t seed = 1; seed <= 20; ++seed) {
        most = std::max(most, most_ever(true, 0, seed));
        wrong = std::max(wrong, most_ever(true, 0.3, seed));
        forgets = std::max(forgets, most_ever(false, 0, seed));
    }
    std::printf(
        "30 members, losses, delays, restarts, holders that change: never over the whole %s, over half of it "
        "%s\n",
        yes(most <= 100), yes(most > 50));
    std::printf("the files name a third too few: %s\n", yes(wrong <= 100));
    std::printf("a holder that takes nothing for given away: %s\n",
                forgets > 100 ? "over the whole" : "NOT SEEN");

    QuotaConfig rule;
    rule.whole["retries"] = 100;
    const BudgetName name{Budget::retries, 0};
    QuotaAllocator allocator(rule, 0.02);
    TimePoint now{1'000'000'000};
    allocator.on_lease_gained(now - seconds(60), 3);
    std::vector<QuotaClient> all;
    for (InstanceId i = 0; i < 10; ++i) all.emplace_back(rule, 10, i + 1);
    const auto round = [&](size_t busy) {
        now = now + seconds(0.25);
        for (size_t i = 0; i < all.size(); ++i) {
            all[i].record_demand(now, {{name, i < busy ? 100u : 0u}});
            all[i].on_response(now, allocator.answer(now, i + 1, all[i].make_request(now, 3)));
        }
    };
    const auto part = [&](size_t i) { return all[i].leases()[0].rate_at(now); };
    for (int i = 0; i < 12; ++i) round(10);
    std::printf("ten that ask alike: %.1f and %.1f\n", part(0), part(9));
    for (int i = 0; i < 12; ++i) round(2);
    std::printf("two that ask: %.1f; the others keep %.1f\n", part(0), part(9));
    const double held = part(1);
    now = now + seconds(1.5);
    std::printf("cut off for 1.5 s it has less: %s; for 3 s its floor: ", yes(part(1) < held));
    now = now + seconds(1.5);
    std::printf("%.1f\n", part(1));
    QuotaClient other(rule, 10, 99);
    other.record_demand(now, {{name, 10}});
    const auto stale = other.make_request(now, 2);
    std::printf("asked as a holder that it is not any more: %zu parts\n",
                allocator.answer(now, 50, stale).grants.size());
    TokenBucket bucket;
    QuotaLease p{name, 10, 0, now + seconds(100), now + seconds(200)};
    size_t got = 0;
    for (int i = 0; i < 1000; ++i) got += bucket.try_take(now + seconds(0.01 * i), p);
    std::printf("ten a second for 10 s: %s\n", yes(got >= 98 && got <= 101));
}

}  // namespace

int main()
{
    subsets();
    told();
    shares();
}
