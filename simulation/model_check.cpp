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

std::vector<Violation> run_schedule(const ModelCheck& check, const FaultSchedule& schedule,
                                    std::vector<std::string>* trace, std::vector<uint8_t>* alternatives)
{
    uint32_t number = 0;
    size_t next = 0;
    bool armed = false;
    SimulatedCluster::Options options = check.options;
    options.choose = [&](ChoicePoint at) -> size_t {
        if (!armed) return 0;
        if (alternatives) alternatives->push_back(alternatives_at(at));
        const uint32_t here = number++;
        if (next >= schedule.size() || schedule[next].first != here) return 0;
        return schedule[next++].second;
    };
    SimulatedCluster cluster(options, check.seed);
    cluster.trace_enabled = trace != nullptr;
    for (size_t i = 0; i < cluster.size(); ++i) cluster.start(i);
    // The first duties of a new log are granted a lease after the first election.
    cluster.run(check.settle_time + check.options.lease.duration);
    armed = true;
    const TimePoint end = cluster.now() + check.fault_window;
    while (cluster.violations().empty() && cluster.step(end)) {
    }
    if (trace) *trace = cluster.trace();
    return cluster.violations();
}

// Extends each schedule by one fault after its last one, so every set of faults is run exactly once.
ModelCheckResult run_model_check(const ModelCheck& c)
{
    ModelCheckResult out;
    std::vector<FaultSchedule> pending{{}};
    uint64_t number = 0;
    while (!pending.empty()) {
        const FaultSchedule schedule = std::move(pending.back());
        pending.pop_back();
        // Schedules of full length are divided among shards; every shard runs the shorter ones, which the
        // longer ones extend.
        const bool own = schedule.size() < c.max_faults || number++ % c.shards == c.shard;
        if (!own) continue;
        std::vector<uint8_t> alternatives;
        const auto broken = run_schedule(c, schedule, nullptr, &alternatives);
        ++out.runs;
        if (schedule.empty()) out.choice_points = alternatives.size();
        if (!broken.empty()) {
            if (out.violating_runs++ == 0) {
                out.first_violation = schedule;
                out.rule = broken[0].rule;
                run_schedule(c, schedule, &out.trace, nullptr);
            }
            if (c.stop_at_first) return out;
            continue;
        }
        if (schedule.size() >= c.max_faults) continue;
        const uint32_t from = schedule.empty() ? 0 : schedule.back().first + 1;
        for (uint32_t at = from; at < alternatives.size(); ++at)
            for (uint8_t alternative = 1; alternative < alternatives[at]; ++alternative) {
                pending.push_back(schedule);
                pending.back().emplace_back(at, alternative);
            }
    }
    return out;
}

}  // namespace firtide::simulation
