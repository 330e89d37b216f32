// Fleets in virtual time, under faults drawn from seeds; and each safety rule, taken out, is found.
#include <cstdio>
#include <cstring>

#include "simulation/randomized_run.h"

using namespace firtide;
using namespace firtide::simulation;

namespace
{

struct Found {
    size_t walks = 0;
    std::string first;
};

Found play(RandomizedRun run, uint64_t from, uint64_t to, const char* only = "")
{
    Found found;
    for (uint64_t seed = from; seed <= to; ++seed)
        for (const Broken& b : simulation::run_randomized(run, seed).broken)
            if (std::strstr(b.rule.c_str(), only)) {
                if (found.walks++ == 0) found.first = "seed " + std::to_string(seed) + ": " + b.rule;
                break;
            }
    return found;
}

void must_hold(const char* what, const RandomizedRun& run)
{
    const auto found = play(run, 1, 30);
    std::printf("%s: %s\n", what, found.walks ? found.first.c_str() : "nothing broken");
}

void must_break(const char* what, const RandomizedRun& run, uint64_t to, const char* rule)
{
    std::printf("%s: %s\n", what, play(run, 1, to, rule).walks ? "found" : "NOT FOUND");
}

// A leader stands still while another is elected; one holder reaches nobody else and goes on asking it. When
// it wakes it finds those askings before it finds out that another leads.
size_t leader_asleep(bool confirm)
{
    size_t broken = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        SimulatedCluster::Options o;
        o.lease_manager = [confirm](LeaseManager& g) { g.disabled_checks.confirm_by_majority = !confirm; };
        SimulatedCluster w(o, seed);
        for (size_t i = 0; i < w.size(); ++i) w.start(i);
        w.run(seconds(5));
        const auto leader = w.leader();
        const size_t holder = leader == 3 ? 4 : 3;  // no voter
        if (!leader) return 99;
        for (size_t i = 0; i < w.size(); ++i)
            if (i != *leader) w.link(holder, i).cut = w.link(i, holder).cut = true;
        w.freeze(*leader, seconds(2.6));
        w.run(seconds(10));
        broken += !w.broken().empty();
    }
    return broken;
}

}  // namespace

int main()
{
    RandomizedRun five;
    five.options.list = true;
    must_hold("five members, three voters", five);
    RandomizedRun seven = five;
    seven.options.members = seven.options.voters = 7;
    seven.options.duties = 3;
    must_hold("seven voters", seven);
    RandomizedRun one;
    one.options.members = 3;
    one.options.duties = 1;
    one.faults = 2;
    must_hold("three members, one duty, twice the faults", one);

    RandomizedRun w = five;
    w.options.lease_manager = [](LeaseManager& g) { g.disabled_checks.wait_after_election = true; };
    must_break("a new leader that does not wait", w, 40, "two hold");
    std::printf("renewals without a majority: %s\n", leader_asleep(false) ? "found" : "NOT FOUND");
    std::printf("the same with it: %s\n", leader_asleep(true) ? "BROKEN" : "nothing broken");
    w = five;
    w.options.lease_manager = [](LeaseManager& g) { g.disabled_checks.full_expiry = true; };
    must_break("grants before the lease is over", w, 10, "two hold");
    w = five;
    w.options.gate = false;
    must_break("no gate", w, 20, "without its lease");
    w = five;
    w.options.fences = false;
    must_break("no fences", w, 60, "a receiver took epoch");
    w = five;
    w.clock_beyond = 0.5;
    must_break("a clock beyond the drift", w, 40, "two hold");
    std::printf("the same, at receivers: %s\n",
                play(w, 1, 40, "receiver").walks ? "a lower epoch taken" : "no lower epoch taken");
    return 0;
}
