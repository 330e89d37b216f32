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

const char* yes_or_no(bool b) { return b ? "yes" : "NO"; }

struct Ring {
    std::vector<SubsetPeer> members;
    std::vector<SubsetCandidate> upstreams;

    Ring(size_t member_count, size_t upstream_count)
    {
        for (size_t i = 0; i < member_count; ++i)
            members.push_back({i + 1, true, 1.0 + static_cast<double>(i % 3)});
        for (size_t i = 0; i < upstream_count; ++i)
            upstreams.push_back({i + 77, 1.0 + static_cast<double>(i % 2), true});
    }
    SubsetWeights weights_of(MemberKey self, uint32_t size) const
    {
        SubsetConfig config;
        config.size = size;
        return select_subset(config, members, self, upstreams, 1);
    }
    double greatest_load_over_mean(uint32_t size) const
    {
        std::vector<double> load(upstreams.size(), 0);
        double all = 0;
        for (const SubsetPeer& peer : members) {
            const SubsetWeights weights = weights_of(peer.key, size);
            double sum = 0;
            for (size_t u = 0; u < weights.size(); ++u) sum += weights[u] * upstreams[u].size;
            for (size_t u = 0; u < weights.size(); ++u)
                load[u] += peer.traffic_weight * weights[u] / sum,
                    all += peer.traffic_weight * weights[u] / sum;
        }
        return *std::max_element(load.begin(), load.end()) * static_cast<double>(load.size()) / all;
    }
};

size_t used_count(const SubsetWeights& weights)
{
    return static_cast<size_t>(std::count_if(weights.begin(), weights.end(), [](double x) { return x > 0; }));
}

void print_subsets()
{
    Ring ring(90, 30);
    std::printf("-- subsets\n90 members of three weights, 30 upstreams of two sizes, 9 each: even load %s\n",
                yes_or_no(ring.greatest_load_over_mean(9) < 1.05));
    const SubsetWeights before = ring.weights_of(5, 9);
    std::printf("subset of 8 to 11 upstreams: %s\n",
                yes_or_no(used_count(before) >= 8 && used_count(before) <= 11));
    std::reverse(ring.members.begin(), ring.members.end());
    std::printf("independent of the order of the file: %s\n", yes_or_no(ring.weights_of(5, 9) == before));
    size_t moved = 0, all = 0;
    Ring smaller = ring;
    smaller.members.erase(smaller.members.begin() + 40);
    for (const SubsetPeer& peer : smaller.members) {
        const SubsetWeights a = ring.weights_of(peer.key, 9), b = smaller.weights_of(peer.key, 9);
        for (size_t u = 0; u < a.size(); ++u) moved += b[u] > 0 && !(a[u] > 0), all += a[u] > 0;
    }
    std::printf("removing one of 90 members moves under two 90ths of the choices: %s\n",
                yes_or_no(moved < all / 90 * 2));
    std::printf("without peers: %zu of 30\n", used_count(Ring(0, 30).weights_of(5, 9)));
    std::printf("a subset size greater than the list: %zu\n", used_count(ring.weights_of(5, 100)));

    SubsetConfig zones;
    zones.size = 4, zones.zone_aware = true, zones.remote_size = 2;
    for (size_t u = 0; u < ring.upstreams.size(); ++u) ring.upstreams[u].own_zone = u % 3 == 0;
    const SubsetWeights by_zone = select_subset(zones, ring.members, 5, ring.upstreams, 1);
    size_t own = 0;
    for (size_t u = 0; u < by_zone.size(); ++u) own += by_zone[u] > 0 && ring.upstreams[u].own_zone;
    std::printf("by zones, 4 of its own zone and 2 of others: %s\n",
                yes_or_no(own >= 4 && used_count(by_zone) - own >= 2 && used_count(by_zone) <= 9));

    SubsetWidth width(seconds(10));
    TimePoint now{1'000'000};
    std::printf("-- width\n60 %% free: %s\n", width.adjust(now, 0.6, 0, false) ? "WIDER" : "unchanged");
    for (int i = 0; i < 3; ++i) (void)width.adjust(now, 0, 0, false);
    std::printf("nothing free: at once %.0f times as wide\n", width.widening());
    (void)width.adjust(now, 0, 0, true);
    std::printf("subset is the whole list: %.0f\n", width.widening());
    now = now + seconds(11);
    (void)width.adjust(now, 0.9, 0.6, false);
    std::printf("free, but not in the narrower subset: %.0f\n", width.widening());
    std::printf("free for a second: %s\n",
                width.adjust(now + seconds(1), 0.9, 0.9, false) ? "NARROWER" : "unchanged");
    now = now + seconds(11);
    const bool narrowed = width.adjust(now, 0.9, 0.9, false);
    std::printf("free for 11 s: %s, %.0f\n", narrowed ? "narrower" : "UNCHANGED", width.widening());
    std::printf("again at once: %s\n",
                width.adjust(now, 0.9, 0.9, false) ? "NARROWER" : "one step at a time");
}

struct Reporter {
    OutlierGossip gossip;
    MemberKey key;
    explicit Reporter(MemberKey k) : gossip(OutlierGossipConfig{}, k, k * 10), key(k) {}
    OutlierDigest report(TimePoint now, uint64_t upstream, double reduction)
    {
        gossip.on_local_evidence(now, {{upstream, reduction, 0, 3, {}, seconds(9), {}}});
        return gossip.next_digest(now, 1);
    }
};

void print_outlier_reports()
{
    std::printf("-- outlier reports\n");
    TimePoint now{100'000'000};
    Reporter a(1), b(2), c(3);
    OutlierGossip own(OutlierGossipConfig{}, 9, 90);
    const auto reduction_of = [&](uint64_t upstream) {
        const auto all = own.verdicts(now);
        const auto at = all.find(upstream);
        return at == all.end() ? 0.0 : at->second.reduction;
    };
    const OutlierDigest first = a.report(now, 7, 1);
    own.on_digest(now, first);
    std::printf("one reporter, reduction 1: verdict %.2f\n", reduction_of(7));
    own.on_digest(now, b.report(now, 7, 0.8));
    std::printf("a second, 0.8: %.2f\n", reduction_of(7));
    own.on_digest(now, c.report(now, 7, 0.1));
    std::printf("a third, 0.1: %.2f\n", reduction_of(7));
    own.on_local_evidence(now, {{7, 0, 30, 0, seconds(9), {}, {}}});
    std::printf("own responses succeed: %.2f\n", reduction_of(7));
    own.on_local_evidence(now, {{7, 0.2, 0, 2, {}, seconds(9), {}}});
    std::printf("own responses fail: %.2f\n", reduction_of(7));
    own.on_local_evidence(now, {});
    now = now + seconds(1.4);
    own.on_digest(now, first);
    std::printf("repeated while valid: still %.2f, %llu dropped\n", reduction_of(7),
                static_cast<unsigned long long>(own.stale_reports()));
    now = now + seconds(0.2);
    std::printf("after its validity: %.2f\n", reduction_of(7));
    own.on_digest(now, first);
    std::printf("repeated after its validity: %.2f\n", reduction_of(7));
    const OutlierDigest again = a.report(now, 7, 1);
    own.on_digest(now + seconds(1), again);
    now = now + seconds(1.6);
    std::printf("a report received a second late is valid from when it was made: %.2f\n", reduction_of(7));

    // A valid report is forwarded with its age and never renewed.
    OutlierGossip next(OutlierGossipConfig{}, 10, 100);
    Reporter d(4);
    const TimePoint found = now;
    (void)own.next_digest(now, 1);
    own.on_digest(now, d.report(now, 8, 1));
    now = now + seconds(1);
    next.on_digest(now, own.next_digest(now, 3));
    std::printf("forwarded a second later: %.2f",
                next.verdicts(now).count(8) ? next.verdicts(now).at(8).reduction : 0.0);
    now = found + seconds(1.6);
    std::printf(", after the reporter's validity: %.2f\n", next.verdicts(now).count(8) ? 1.0 : 0.0);
    std::printf("nothing new: %zu reports to send\n", own.next_digest(now, 3).reports.size());

    Reporter many(uint64_t{5} << 56);
    std::vector<OutlierEvidence> all;
    for (uint64_t u = 0; u < 500; ++u)
        all.push_back({~u * 0x9e3779b97f4a7c15u, 0.5, 0, 3, {}, seconds(9), {}});
    size_t bytes = 0;
    for (int i = 0; i < 200; ++i) {
        now = now + seconds(0.05);
        many.gossip.on_local_evidence(now, all);
        const OutlierDigest digest = many.gossip.next_digest(now, 3);
        if (!digest.reports.empty()) bytes += 3 * encode_frame(digest, 0).size();
    }
    std::printf("500 failing upstreams for 10 s: within 2,000 bytes per second %s, sends reports %s\n",
                yes_or_no(bytes <= 22000), yes_or_no(bytes > 10000));
}

// The greatest sum of rates that all members may use at any moment, while requests and responses are lost,
// late and out of order, members restart and allocators change.
double greatest_rate_sum(bool allocator_knows_grants, double missing_share, uint32_t seed)
{
    std::ranlux24_base chance(seed);
    const auto roll = [&] { return std::uniform_real_distribution<>(0, 1)(chance); };
    QuotaConfig config;
    config.totals["retries"] = 100;
    const BudgetName name{Budget::retries, 0};
    constexpr size_t n = 30;
    struct Member {
        InstanceId instance = 0;
        std::optional<QuotaClient> client;
        TimePoint next;
        bool up = true;
    };
    std::vector<Member> all(n);
    InstanceId last_instance = 0;
    const auto start = [&](Member& member) {
        member.instance = ++last_instance;
        member.client.emplace(config, static_cast<size_t>(n * (1 - missing_share)), member.instance);
        member.up = true;
    };
    for (Member& member : all) start(member);
    QuotaAllocator allocator(config, 0.02);
    Epoch epoch = 1;
    struct DelayedResponse {
        TimePoint at;
        size_t to;
        InstanceId instance;
        QuotaResponse response;
    };
    std::vector<DelayedResponse> late;
    double most = 0;
    TimePoint now{1'000'000'000};
    allocator.on_lease_gained(now, epoch);
    for (int step = 0; step < 4000; ++step) {
        now = now + seconds(0.02);
        if (roll() < 0.005) {
            ++epoch;
            if (allocator_knows_grants)
                allocator.on_lease_gained(now, epoch);
            else
                allocator.on_lease_gained(now - seconds(60), epoch);
        }
        for (size_t i = 0; i < n; ++i) {
            Member& member = all[i];
            if (roll() < 0.002) member.up = false;
            if (!member.up && roll() < 0.02) start(member);
            if (!member.up || now < member.next) continue;
            member.next = now + seconds(0.2 + 0.1 * roll());
            member.client->record_demand(now, {{name, static_cast<uint32_t>(roll() * 40)}});
            const auto request = member.client->make_request(now, epoch);
            if (roll() < 0.15) continue;
            auto response = allocator.answer(now, i + 1, request);
            if (roll() < 0.15) continue;
            late.push_back(
                {now + seconds(roll() < 0.2 ? 1.5 * roll() : 0.01), i, member.instance, std::move(response)});
        }
        for (DelayedResponse& delayed : late)
            if (delayed.at <= now && all[delayed.to].up && all[delayed.to].instance == delayed.instance)
                all[delayed.to].client->on_response(now, delayed.response);
        std::erase_if(late, [&](const DelayedResponse& delayed) { return delayed.at <= now; });
        double sum = 0;
        for (const Member& member : all)
            if (member.up)
                for (const QuotaLease& p : member.client->leases()) sum += p.rate_at(now);
        most = std::max(most, sum);
    }
    return most;
}

void print_quotas()
{
    std::printf("-- quotas\n");
    double most = 0, incomplete_files = 0, forgetful = 0;
    for (uint32_t seed = 1; seed <= 20; ++seed) {
        most = std::max(most, greatest_rate_sum(true, 0, seed));
        incomplete_files = std::max(incomplete_files, greatest_rate_sum(true, 0.3, seed));
        forgetful = std::max(forgetful, greatest_rate_sum(false, 0, seed));
    }
    std::printf(
        "30 members, lost and late messages, restarts, new allocators: "
        "never over the budget %s, over half of it %s\n",
        yes_or_no(most <= 100), yes_or_no(most > 50));
    std::printf("fleet files name 30 %% too few members, never over the budget: %s\n",
                yes_or_no(incomplete_files <= 100));
    std::printf("an allocator that ignores earlier grants: %s\n",
                forgetful > 100 ? "over the budget" : "NOT OVER THE BUDGET");

    QuotaConfig config;
    config.totals["retries"] = 100;
    const BudgetName name{Budget::retries, 0};
    QuotaAllocator allocator(config, 0.02);
    TimePoint now{1'000'000'000};
    allocator.on_lease_gained(now - seconds(60), 3);
    std::vector<QuotaClient> all;
    for (InstanceId i = 0; i < 10; ++i) all.emplace_back(config, 10, i + 1);
    const auto round = [&](size_t busy) {
        now = now + seconds(0.25);
        for (size_t i = 0; i < all.size(); ++i) {
            all[i].record_demand(now, {{name, i < busy ? 100u : 0u}});
            all[i].on_response(now, allocator.answer(now, i + 1, all[i].make_request(now, 3)));
        }
    };
    const auto rate_of = [&](size_t i) { return all[i].leases()[0].rate_at(now); };
    for (int i = 0; i < 12; ++i) round(10);
    std::printf("ten equal demands: %.1f and %.1f\n", rate_of(0), rate_of(9));
    for (int i = 0; i < 12; ++i) round(2);
    std::printf("two with demand: %.1f; the others keep %.1f\n", rate_of(0), rate_of(9));
    const double held = rate_of(1);
    now = now + seconds(1.5);
    std::printf("cut off for 1.5 s its rate falls: %s; after 3 s its guaranteed rate: ",
                yes_or_no(rate_of(1) < held));
    now = now + seconds(1.5);
    std::printf("%.1f\n", rate_of(1));
    QuotaClient other(config, 10, 99);
    other.record_demand(now, {{name, 10}});
    const auto stale = other.make_request(now, 2);
    std::printf("request for an earlier epoch: %zu grants\n", allocator.answer(now, 50, stale).grants.size());
    TokenBucket bucket;
    QuotaLease p{name, 10, 0, now + seconds(100), now + seconds(200)};
    size_t got = 0;
    for (int i = 0; i < 1000; ++i) got += bucket.try_take(now + seconds(0.01 * i), p);
    std::printf("token bucket of ten per second for 10 s: %s\n", yes_or_no(got >= 98 && got <= 101));
}

}  // namespace

int main()
{
    print_subsets();
    print_outlier_reports();
    print_quotas();
}
