#include "model_check.h"

namespace firtide::simulation
{
namespace
{

uint8_t alternatives_at(ChoicePoint at)
{
    switch (at) {
        case ChoicePoint::message: return 4;
        case ChoicePoint::effect: return 4;
        case ChoicePoint::tick: return 5;
    }
    return 1;
}

}  // namespace

std::vector<Broken> run_schedule(const ModelCheck& check, const FaultSchedule& way,
                                 std::vector<std::string>* trace, std::vector<uint8_t>* ways)
{
    uint32_t number = 0;
    size_t next = 0;
    bool armed = false;
    SimulatedCluster::Options options = check.options;
    options.choose = [&](ChoicePoint at) -> size_t {
        if (!armed) return 0;
        if (ways) ways->push_back(alternatives_at(at));
        const uint32_t here = number++;
        if (next >= way.size() || way[next].first != here) return 0;
        return way[next++].second;
    };
    SimulatedCluster w(options, check.seed);
    w.trace_enabled = trace != nullptr;
    for (size_t i = 0; i < w.size(); ++i) w.start(i);
    w.run(check.settle_time);
    armed = true;
    const TimePoint end = w.now() + check.fault_window;
    while (w.broken().empty() && w.step(end)) {
    }
    if (trace) *trace = w.trace();
    return w.broken();
}

// Runs with one more thing that goes wrong, behind the last one: so each set of them is met once.
ModelCheckResult run_model_check(const ModelCheck& c)
{
    ModelCheckResult out;
    std::vector<FaultSchedule> open{{}};
    uint64_t number = 0;
    while (!open.empty()) {
        const FaultSchedule way = std::move(open.back());
        open.pop_back();
        // Runs of the last depth are divided among parts; the others all parts need.
        const bool own = way.size() < c.max_faults || number++ % c.shards == c.shard;
        if (!own) continue;
        std::vector<uint8_t> ways;
        const auto broken = run_schedule(c, way, nullptr, &ways);
        ++out.runs;
        if (way.empty()) out.choice_points = ways.size();
        if (!broken.empty()) {
            if (out.violating_runs++ == 0) {
                out.first_violation = way;
                out.rule = broken[0].rule;
                run_schedule(c, way, &out.trace, nullptr);
            }
            if (c.stop_at_first) return out;
            continue;
        }
        if (way.size() >= c.max_faults) continue;
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
