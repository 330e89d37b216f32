#include "randomized_run.h"

namespace firtide::simulation
{
namespace
{

constexpr double max_lost_bytes = 40;  // of the voter's log: at most a few records

// Lets the discovery agent of a random member serve an older list for a while.
void delay_discovery_agent(SimulatedCluster& cluster, uint64_t version)
{
    const auto node = static_cast<size_t>(cluster.uniform() * static_cast<double>(cluster.size()));
    const uint64_t lag = static_cast<uint64_t>(cluster.uniform() * 6);
    if (cluster.uniform() < 0.2 && version > lag) cluster.set_agent_version(node, version - lag);
    if (cluster.uniform() < 0.3) cluster.set_agent_version(node, std::nullopt);
}

// Long after all faults are repaired, every member must have the list of the holder of `list`. Returns the
// first difference, or an empty string.
std::string list_difference(SimulatedCluster& cluster)
{
    const auto holders = cluster.holders("list");
    if (holders.size() != 1) return "list has no holder long after all faults were repaired";
    const EndpointReplica& published = *cluster.fleet(holders[0]).replica();
    for (size_t i = 0; i < cluster.size(); ++i) {
        const EndpointReplica& replica = *cluster.fleet(i).replica();
        if (replica.revision() != published.revision() || replica.digest() != published.digest() ||
            cluster.applied_list(i) != published.endpoints())
            return "m" + std::to_string(i + 1) +
                   " does not have the holder's list long after all faults were repaired";
    }
    return "";
}

}  // namespace

RandomizedRunResult run_randomized(const RandomizedRun& run, uint64_t seed, bool traced)
{
    SimulatedCluster cluster(run.options, seed);
    cluster.trace_enabled = traced;
    const size_t n = cluster.size();
    const auto random_member = [&] {
        return static_cast<size_t>(cluster.uniform() * static_cast<double>(n));
    };
    const auto random_span = [&](double least, double most) {
        return seconds(least + (most - least) * cluster.uniform());
    };
    for (size_t i = 0; i < n; ++i) {
        cluster.start(i);
        if (run.clock_drift)
            cluster.set_clock_rate(i, 1 + run.options.lease.max_clock_drift * (cluster.uniform() - 0.5));
    }
    if (run.excess_drift > 0) cluster.set_clock_rate(n - 1, 1 / (1 + run.excess_drift));
    RandomizedRunResult out;
    const TimePoint end = cluster.now() + run.duration;
    uint64_t version = 1;
    cluster.run(seconds(3));
    while (cluster.now() < end && cluster.violations().empty()) {
        cluster.run(random_span(0, 2 / run.faults_per_second));
        ++out.faults;
        cluster.set_discovery_list(++version);
        if (run.options.deltas) delay_discovery_agent(cluster, version);
        const size_t a = random_member(), b = random_member();
        const double lease = run.options.lease.duration.seconds();
        switch (static_cast<int>(cluster.uniform() * (run.disk_faults ? 14 : 10))) {
            case 0: cluster.crash(a); break;
            case 1:
            case 2: cluster.start(a); break;
            case 3: cluster.freeze(a, random_span(0, 2.5 * lease)); break;
            case 4: cluster.freeze_at_next_effect(a, random_span(0, 2.5 * lease)); break;
            case 5:
                if (a != b) cluster.link(a, b).blocked = true;
                break;
            case 6: cluster.set_isolated(a, true); break;
            case 7: cluster.restore_links(); break;
            case 8:
                for (size_t i = 0; i < n; ++i) {
                    Link& l = cluster.link(a, i);
                    l.loss_probability = 0.3 * cluster.uniform();
                    l.max_latency = random_span(0.002, 1.5);
                    l.duplicate_probability = 0.1;
                }
                break;
            case 9:
                if (const auto l = cluster.leader())
                    cluster.send_admin_request(*l, "hand-over", "d1", "m" + std::to_string(b + 1));
                break;
            case 10:
                cluster.disk(a).surviving_bytes = static_cast<size_t>(cluster.uniform() * 40);
                cluster.crash(a, true);
                if (run.lost_records)
                    cluster.disk(a).lose_synced_bytes(
                        "voter.log", 1 + static_cast<size_t>(cluster.uniform() * max_lost_bytes));
                break;
            case 11: cluster.disk(a).sync_duration = random_span(0, 0.5); break;
            case 12: cluster.disk(a).full = !cluster.disk(a).full; break;
            default: cluster.disk(a).sync_duration = {}, cluster.disk(a).full = false; break;
        }
    }
    if (run.heal_at_end && cluster.violations().empty()) {
        cluster.restore_links();
        for (size_t i = 0; i < n; ++i) {
            cluster.disk(i).full = false, cluster.disk(i).sync_duration = {};
            cluster.set_agent_version(i, std::nullopt);
            cluster.start(i);
        }
        cluster.run(seconds(20) + run.options.lease.duration * 4);
        for (size_t d = 0; d < run.options.duties && cluster.violations().empty(); ++d)
            if (cluster.holders("d" + std::to_string(d + 1)).size() != 1)
                out.broken.push_back(
                    {"d" + std::to_string(d + 1) + " has no holder long after all faults were repaired",
                     cluster.now()});
    }
    if (run.heal_at_end && run.options.deltas && cluster.violations().empty() && out.broken.empty())
        if (const auto difference = list_difference(cluster); !difference.empty())
            out.broken.push_back({difference, cluster.now()});
    for (const Violation& b : cluster.violations()) out.broken.push_back(b);
    out.count = cluster.count;
    out.trace = cluster.trace();
    out.gaps = cluster.gaps;
    return out;
}

}  // namespace firtide::simulation
