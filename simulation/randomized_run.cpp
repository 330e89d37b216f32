#include "randomized_run.h"

namespace firtide::simulation
{
namespace
{

// A member's own agent of discovery tells an older list for a while.
void delay_discovery_agent(SimulatedCluster& w, uint64_t version)
{
    const auto node = static_cast<size_t>(w.uniform() * static_cast<double>(w.size()));
    const uint64_t lag = static_cast<uint64_t>(w.uniform() * 6);
    if (w.uniform() < 0.2 && version > lag) w.discovery_of(node, version - lag);
    if (w.uniform() < 0.3) w.discovery_of(node, std::nullopt);
}

// Long after all has healed every member has what the holder of `list` has.
std::string list_difference(SimulatedCluster& w)
{
    const auto holders = w.holders("list");
    if (holders.size() != 1) return "list is held by nobody long after all has healed";
    const EndpointReplica& published = *w.fleet(holders[0]).replica();
    for (size_t i = 0; i < w.size(); ++i) {
        const EndpointReplica& replica = *w.fleet(i).replica();
        if (replica.revision() != published.revision() || replica.digest() != published.digest() ||
            w.shown_list(i) != published.endpoints())
            return "m" + std::to_string(i + 1) + " has not the holder's list long after all has healed";
    }
    return "";
}

}  // namespace

RandomizedRunResult run_randomized(const RandomizedRun& run, uint64_t seed, bool traced)
{
    SimulatedCluster w(run.options, seed);
    w.trace_enabled = traced;
    const size_t n = w.size();
    const auto any = [&] { return static_cast<size_t>(w.uniform() * static_cast<double>(n)); };
    const auto span = [&](double least, double most) {
        return seconds(least + (most - least) * w.uniform());
    };
    for (size_t i = 0; i < n; ++i) {
        w.start(i);
        if (run.clock_drift) w.set_clock_rate(i, 1 + run.options.lease.drift * (w.uniform() - 0.5));
    }
    if (run.excess_drift > 0) w.set_clock_rate(n - 1, 1 / (1 + run.excess_drift));
    RandomizedRunResult out;
    const TimePoint end = w.now() + run.duration;
    uint64_t version = 1;
    w.run(seconds(3));
    while (w.now() < end && w.broken().empty()) {
        w.run(span(0, 2 / run.faults_per_second));
        ++out.faults;
        w.discovery_is(++version);
        if (run.options.deltas) delay_discovery_agent(w, version);
        const size_t a = any(), b = any();
        const double lease = run.options.lease.length.seconds();
        switch (static_cast<int>(w.uniform() * (run.disk_faults ? 14 : 10))) {
            case 0: w.crash(a); break;
            case 1:
            case 2: w.start(a); break;
            case 3: w.freeze(a, span(0, 2.5 * lease)); break;
            case 4: w.freeze_at_next_effect(a, span(0, 2.5 * lease)); break;
            case 5:
                if (a != b) w.link(a, b).cut = true;
                break;
            case 6: w.isolate(a, true); break;
            case 7: w.heal(); break;
            case 8:
                for (size_t i = 0; i < n; ++i) {
                    Link& l = w.link(a, i);
                    l.loss = 0.3 * w.uniform();
                    l.most = span(0.002, 1.5);
                    l.repeat = 0.1;
                }
                break;
            case 9:
                if (const auto l = w.leader()) w.ask(*l, "hand-over", "d1", "m" + std::to_string(b + 1));
                break;
            case 10:
                w.disk(a).surviving_bytes = static_cast<size_t>(w.uniform() * 40);
                w.crash(a, true);
                break;
            case 11: w.disk(a).sync_duration = span(0, 0.5); break;
            case 12: w.disk(a).full = !w.disk(a).full; break;
            default: w.disk(a).sync_duration = {}, w.disk(a).full = false; break;
        }
    }
    if (run.heal_at_end && w.broken().empty()) {
        w.heal();
        for (size_t i = 0; i < n; ++i) {
            w.disk(i).full = false, w.disk(i).sync_duration = {};
            w.discovery_of(i, std::nullopt);
            w.start(i);
        }
        w.run(seconds(20) + run.options.lease.length * 4);
        for (size_t d = 0; d < run.options.duties && w.broken().empty(); ++d)
            if (w.holders("d" + std::to_string(d + 1)).size() != 1)
                out.broken.push_back(
                    {"d" + std::to_string(d + 1) + " is held by nobody long after all has healed", w.now()});
    }
    if (run.heal_at_end && run.options.deltas && w.broken().empty() && out.broken.empty())
        if (const auto apart = list_difference(w); !apart.empty()) out.broken.push_back({apart, w.now()});
    for (const Broken& b : w.broken()) out.broken.push_back(b);
    out.count = w.count;
    out.trace = w.trace();
    out.gaps = w.gaps;
    return out;
}

}  // namespace firtide::simulation
