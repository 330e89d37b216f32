// The model checker: three members, one duty, and every single thing that can go wrong, at every place.
#include <cstdio>

#include "simulation/model_check.h"

using namespace firtide;
using namespace firtide::simulation;

int main()
{
    Check c;
    c.options.members = c.options.voters = 3;
    c.options.duties = 1;
    c.options.lease.length = seconds(1);
    c.options.voters_times = {seconds(0.2), seconds(0.1)};
    c.lasts = seconds(2.5);
    for (c.seed = 1; c.seed <= 3; ++c.seed) {
        const auto got = check(c);
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(c.seed),
                    got.broken       ? got.rule.c_str()
                    : got.runs > 500 ? "nothing broken"
                                     : "TOO FEW RUNS");
    }
    c.seed = 1;
    c.options.gate = false;
    auto got = check(c);
    std::printf("no gate: %s\n", got.rule.c_str());
    std::printf("  its trace ends: %s\n", got.trace.empty() ? "EMPTY" : got.trace.back().substr(10).c_str());
    // The way that was found breaks the rule again, and nothing with the gate in its place.
    std::printf("  again: %s\n", play(c, got.first, nullptr, nullptr).empty() ? "NOT BROKEN" : "broken");
    c.options.gate = true;
    std::printf("  with the gate: %s\n",
                play(c, got.first, nullptr, nullptr).empty() ? "nothing broken" : "BROKEN");
}
