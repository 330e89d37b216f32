// Randomized runs of fleets in virtual time: no rule is violated under faults drawn from seeds, and disabling
// any one safety rule leads to a violation that the runs detect.
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
        for (const Violation& b : simulation::run_randomized(run, seed).broken)
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
    std::printf("%s: %s\n", what, found.violating_runs ? found.first_violation.c_str() : "no violation");
}

void expect_violation(const char* what, const RandomizedRun& run, uint64_t to, const char* rule)
{
    std::printf("%s: %s\n", what, search(run, 1, to, rule).violating_runs ? "found" : "NOT FOUND");
}

// A leader freezes while another is elected. One holder reaches only the frozen leader and keeps sending it
// renewals. When the leader resumes, it processes those renewals before it learns that another member leads.
size_t runs_broken_by_frozen_leader(bool confirm)
{
    size_t broken = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        SimulatedCluster::Options o;
        o.configure_lease_manager = [confirm](LeaseManager& g) {
            g.disabled_checks.confirm_by_majority = !confirm;
        };
        SimulatedCluster cluster(o, seed);
        for (size_t i = 0; i < cluster.size(); ++i) cluster.start(i);
        cluster.run(seconds(5));
        const auto leader = cluster.leader();
        const size_t holder = leader == 3 ? 4 : 3;  // not a voter
        if (!leader) return 99;
        for (size_t i = 0; i < cluster.size(); ++i)
            if (i != *leader) cluster.link(holder, i).blocked = cluster.link(i, holder).blocked = true;
        cluster.freeze(*leader, seconds(2.6));
        cluster.run(seconds(10));
        broken += !cluster.violations().empty();
    }
    return broken;
}

}  // namespace

int main()
{
    RandomizedRun five;
    five.options.replicate_list = true;
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

    RandomizedRun run = five;
    run.options.configure_lease_manager = [](LeaseManager& g) {
        g.disabled_checks.wait_after_election = true;
    };
    expect_violation("a new leader that does not wait before granting", run, 40, "several members hold");
    std::printf("renewals not confirmed by a majority: %s\n",
                runs_broken_by_frozen_leader(false) ? "found" : "NOT FOUND");
    std::printf("renewals confirmed by a majority: %s\n",
                runs_broken_by_frozen_leader(true) ? "VIOLATION" : "no violation");
    run = five;
    run.options.configure_lease_manager = [](LeaseManager& g) { g.disabled_checks.full_expiry = true; };
    expect_violation("grants before the previous lease has expired", run, 10, "several members hold");
    run = five;
    run.options.lease_gate = false;
    expect_violation("no lease check before effects", run, 20, "without its lease");
    run = five;
    run.options.fencing = false;
    expect_violation("receivers without fencing", run, 60, "a receiver accepted epoch");
    run = five;
    run.excess_drift = 0.5;
    expect_violation("a clock beyond the configured drift", run, 40, "several members hold");
    std::printf("the same, at receivers: %s\n", search(run, 1, 40, "receiver").violating_runs
                                                    ? "a lower epoch accepted"
                                                    : "no lower epoch accepted");
    return 0;
}
