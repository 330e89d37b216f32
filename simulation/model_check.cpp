#include "model_check.h"

namespace firtide::simulation
{
namespace
{

uint8_t ways_at(Fork at)
{
    switch (at) {
        case Fork::message: return 4;
        case Fork::effect: return 4;
        case Fork::turn: return 5;
    }
    return 1;
}

}  // namespace

std::vector<Broken> play(const Check& check, const Way& way, std::vector<std::string>* trace,
                         std::vector<uint8_t>* ways)
{
    uint32_t number = 0;
    size_t next = 0;
    bool armed = false;
    SimulatedCluster::Options options = check.options;
    options.fork = [&](Fork at) -> size_t {
        if (!armed) return 0;
        if (ways) ways->push_back(ways_at(at));
        const uint32_t here = number++;
        if (next >= way.size() || way[next].first != here) return 0;
        return way[next++].second;
    };
    SimulatedCluster w(options, check.seed);
    w.traced = trace != nullptr;
    for (size_t i = 0; i < w.size(); ++i) w.start(i);
    w.run(check.settles);
    armed = true;
    const TimePoint end = w.now() + check.lasts;
    while (w.broken().empty() && w.step(end)) {
    }
    if (trace) *trace = w.trace();
    return w.broken();
}

// Runs with one more thing that goes wrong, behind the last one: so each set of them is met once.
Checked check(const Check& c)
{
    Checked out;
    std::vector<Way> open{{}};
    uint64_t number = 0;
    while (!open.empty()) {
        const Way way = std::move(open.back());
        open.pop_back();
        // Runs of the last depth are divided among parts; the others all parts need.
        const bool own = way.size() < c.most || number++ % c.parts == c.part;
        if (!own) continue;
        std::vector<uint8_t> ways;
        const auto broken = play(c, way, nullptr, &ways);
        ++out.runs;
        if (way.empty()) out.forks = ways.size();
        if (!broken.empty()) {
            if (out.broken++ == 0) {
                out.first = way;
                out.rule = broken[0].rule;
                play(c, way, &out.trace, nullptr);
            }
            if (c.stop_at_first) return out;
            continue;
        }
        if (way.size() >= c.most) continue;
        const uint32_t from = way.empty() ? 0 : way.back().first + 1;
        for (uint32_t at = from; at < ways.size(); ++at)
            for (uint8_t w = 1; w < ways[at]; ++w) {
                open.push_back(way);
                open.back().emplace_back(at, w);
            }
    }
    return out;
}

}  // namespace firtide::simulation
