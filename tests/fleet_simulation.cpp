// Fleets in virtual time, under faults drawn from seeds; and each safety rule, taken out, is found.
#include <cstdio>
#include <cstring>

#include "simulation/randomized_run.h"

using namespace firtide;
using namespace firtide::simulation;

namespace
{

struct Search {
    size_t violating_runs = 0;
    std::string first_violation;
};

Search search(RandomizedRun run, uint64_t from, uint64_t to, const char* only = "")
{
    Search found;
    for (uint64_t seed = from; seed <= to; ++seed)
        for (const Broken& b : simulation::run_randomized(run, seed).broken)
            if (std::strstr(b.rule.c_str(), only)) {
                if (found.violating_runs++ == 0)
                    found.first_violation = "seed " + std::to_string(seed) + ": " + b.rule;
                break;
            }
    return found;
}

void expect_no_violation(const char* what, const RandomizedRun& run)
{
    const auto found = search(run, 1, 30);
    std::printf("%s: %s\n", what, found.violating_runs ? found.first_violation.c_str() : "nothing broken");
}

void expect_violation(const char* what, const RandomizedRun& run, uint64_t to, const char* rule)
{
    std::printf("%s: %s\n", what, search(run, 1, to, rule).violating_runs ? "found" : "NOT FOUND");
}

// A leader stands still while another is elected; one holder reaches nobody else and goes on asking it. When
// it wakes it finds those askings before it finds out that another leads.
size_t runs_broken_by_frozen_leader(bool confirm)
{
    size_t broken = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        SimulatedCluster::Options o;
        o.configure_lease_manager = [confirm](LeaseManager& g) {
            g.disabled_checks.confirm_by_majority = !confirm;
        };
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
    expect_no_violation("five members, three voters", five);
    RandomizedRun seven = five;
    seven.options.members = seven.options.voters = 7;
    seven.options.duties = 3;
    expect_no_violation("seven voters", seven);
    RandomizedRun one;
    one.options.members = 3;
    one.options.duties = 1;
    one.faults_per_second = 2;
    expect_no_violation("three members, one duty, twice the faults", one);

    RandomizedRun w = five;
    w.options.configure_lease_manager = [](LeaseManager& g) { g.disabled_checks.wait_after_election = true; };
    expect_violation("a new leader that does not wait", w, 40, "two hold");
    std::printf("renewals without a majority: %s\n",
                runs_broken_by_frozen_leader(false) ? "found" : "NOT FOUND");
    std::printf("the same with it: %s\n", runs_broken_by_frozen_leader(true) ? "BROKEN" : "nothing broken");
    w = five;
    w.options.configure_lease_manager = [](LeaseManager& g) { g.disabled_checks.full_expiry = true; };
    expect_violation("grants before the lease is over", w, 10, "two hold");
    w = five;
    w.options.lease_gate = false;
    expect_violation("no gate", w, 20, "without its lease");
    w = five;
    w.options.fencing = false;
    expect_violation("no fences", w, 60, "a receiver took epoch");
    w = five;
    w.excess_drift = 0.5;
    expect_violation("a clock beyond the drift", w, 40, "two hold");
    std::printf("the same, at receivers: %s\n",
                search(w, 1, 40, "receiver").violating_runs ? "a lower epoch taken" : "no lower epoch taken");
    return 0;
}
