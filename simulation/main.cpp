// firtide-simulation: command line for simulations of fleets in virtual time.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <fstream>

#include "fault_scenarios.h"
#include "model_check.h"
#include "randomized_run.h"
#include "scale.h"
#include "subsets.h"

using namespace firtide;
using namespace firtide::simulation;

namespace
{

struct Seeds {
    uint64_t first = 1, last = 20;
};

// Small enough that a run of a minute meets snapshots of several chunks and versions of several deltas.
constexpr EndpointDeltaConfig small_delta_config{8, seconds(0.5), 256};

struct DisabledRule {
    std::string without;

    void apply_to(SimulatedCluster::Options& o) const
    {
        if (without == "office")
            o.configure_lease_manager = [](LeaseManager& g) { g.disabled_checks.wait_after_election = true; };
        if (without == "majority")
            o.configure_lease_manager = [](LeaseManager& g) { g.disabled_checks.confirm_by_majority = true; };
        if (without == "expiry")
            o.configure_lease_manager = [](LeaseManager& g) { g.disabled_checks.full_expiry = true; };
        if (without == "gate") o.lease_gate = false;
        if (without == "fence") o.fencing = false;
    }
};

void print(const std::vector<std::string>& trace)
{
    for (const auto& line : trace) std::puts(line.c_str());
}

int run_walks(const RandomizedRun& run, Seeds seeds, bool traced)
{
    uint64_t faults = 0, broken = 0;
    for (uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
        const auto result = simulation::run_randomized(run, seed, traced);
        faults += result.faults;
        if (traced) print(result.trace);
        if (result.broken.empty()) continue;
        ++broken;
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), result.broken[0].rule.c_str());
    }
    std::printf("%llu runs, %llu faults, %llu with violations\n",
                static_cast<unsigned long long>(seeds.last - seeds.first + 1),
                static_cast<unsigned long long>(faults), static_cast<unsigned long long>(broken));
    return broken ? 1 : 0;
}

int run_check(const ModelCheck& c)
{
    const auto result = run_model_check(c);
    std::printf("%llu runs, up to %zu faults at %llu choice points, %llu with violations\n",
                static_cast<unsigned long long>(result.runs), c.max_faults,
                static_cast<unsigned long long>(result.choice_points),
                static_cast<unsigned long long>(result.violating_runs));
    if (!result.violating_runs) return 0;
    std::printf("%s\n", result.rule.c_str());
    print(result.trace);
    return 1;
}

// Time from the end of a power loss until given fractions of the usual load are answered in time, alone and
// with staged startup.
int measure_power_recovery(size_t balancers, size_t upstreams, Seeds seeds)
{
    const std::pair<const char*, Features> feature_sets[] = {
        {"alone", {}}, {"recovery", {false, false, false, true}}, {"all", {true, true, true, true}}};
    std::printf("%zu balancers, %zu upstreams, seeds %llu to %llu\n", balancers, upstreams,
                static_cast<unsigned long long>(seeds.first), static_cast<unsigned long long>(seeds.last));
    std::puts(
        "| trouble | way | 50 %, s | 90 %, s | 99 %, s | never | in time | upstreams pushed over |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const FaultScenario& t : fault_scenarios()) {
        if (!t.power_loss) continue;
        for (const auto& [name, features] : feature_sets) {
            ScenarioResult sum;
            size_t never = 0;
            for (uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
                const ScenarioResult o =
                    run_scenario(t, simulation_options(balancers, upstreams, features), seed);
                never += o.seconds_to_90_percent < 0;
                sum.seconds_to_50_percent += o.seconds_to_50_percent,
                    sum.seconds_to_90_percent += o.seconds_to_90_percent,
                    sum.seconds_to_99_percent += o.seconds_to_99_percent;
                sum.in_time_share += o.in_time_share, sum.collapses += o.collapses;
            }
            const auto n = static_cast<double>(seeds.last - seeds.first + 1);
            std::printf("| %s | %s | %.1f | %.1f | %.1f | %zu | %.3f | %.1f |\n", t.name.c_str(), name,
                        sum.seconds_to_50_percent / n, sum.seconds_to_90_percent / n,
                        sum.seconds_to_99_percent / n, never, sum.in_time_share / n, sum.collapses / n);
            std::fflush(stdout);
        }
    }
    return 0;
}

// Traffic of a fleet without faults.
int measure_idle_traffic(SimulatedCluster::Options options, uint64_t seed, bool known_members)
{
    SimulatedCluster cluster(options, seed);
    if (known_members) cluster.start_all_with_known_members();
    for (size_t i = 0; i < cluster.size(); ++i) cluster.start(i);
    cluster.run(seconds(10));
    const auto before = cluster.count;
    const auto sent_before = cluster.messages_sent;
    cluster.run(seconds(10));
    std::vector<uint64_t> sent;
    for (size_t i = 0; i < cluster.size(); ++i)
        sent.push_back((cluster.messages_sent[i] - sent_before[i]) / 10);
    std::sort(sent.begin(), sent.end());
    const double n = static_cast<double>(cluster.size()) * 10;
    std::printf(
        "%zu members, %zu voters, %zu duties, without faults: %.1f messages and %.0f bytes per second and "
        "member; "
        "median %llu, "
        "maximum %llu messages; %.1f list requests to discovery per second\n",
        cluster.size(), options.voters, options.duties,
        static_cast<double>(cluster.count.messages - before.messages) / n,
        static_cast<double>(cluster.count.bytes - before.bytes) / n,
        static_cast<unsigned long long>(sent[sent.size() / 2]), static_cast<unsigned long long>(sent.back()),
        static_cast<double>(cluster.count.discovery_calls - before.discovery_calls) / 10);
    return cluster.violations().empty() ? 0 : 1;
}

double peak_memory_mb()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_maxrss) / 1024;
}

// Returns the exit status; 2: the plan is invalid or the report file can't be written.
int run_scale(const ScalePlan& plan, const std::string& json)
{
    if (const auto fault = plan.validation_error(); !fault.empty()) {
        std::fprintf(stderr, "%s\n", fault.c_str());
        return 2;
    }
    const auto began = std::chrono::steady_clock::now();
    const ScaleResult result = ScaleRun(plan).run();
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - began;
    const auto report = scale_report(plan, result, {wall.count(), peak_memory_mb()});
    if (json.empty()) {
        std::fputs(report.c_str(), stdout);
    } else if (!(std::ofstream(json) << report << std::flush)) {
        std::fprintf(stderr, "cannot write %s\n", json.c_str());
        return 2;
    }
    return result.violations.empty() ? 0 : 1;
}

int print_subset_comparison(size_t members, size_t upstreams, uint32_t size, size_t seeds)
{
    std::printf("%zu members, %zu upstreams, %u in a subset, mean of %zu seeds\n", members, upstreams, size,
                seeds);
    std::printf(
        "| way | connections | greatest over mean | views differ | unequal | a member moves | an upstream "
        "|\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto& c : compare_subsets(members, upstreams, size, seeds))
        std::printf("| %s | %.0f | %.3f | %.3f | %.3f | %.2f | %.2f |\n", c.algorithm.c_str(), c.connections,
                    c.same_view, c.views_differ, c.unequal_sizes, c.member_moves, c.upstream_moves);
    return 0;
}

// Runs each scenario without cooperation and with each cooperation feature, on the same seeds. Prints the
// means and the difference from the run without cooperation, with the half-width of the 95 % confidence
// interval of the paired differences.
int simulate_service(size_t balancers, size_t upstreams, Seeds seeds, const std::string& only)
{
    const std::pair<const char*, Features> feature_sets[] = {{"alone", {}},
                                                             {"subset", {true, false, false}},
                                                             {"signals", {false, true, false}},
                                                             {"turns", {false, false, true}},
                                                             {"all", {true, true, true}}};
    std::printf("%zu balancers, %zu upstreams, seeds %llu to %llu\n", balancers, upstreams,
                static_cast<unsigned long long>(seeds.first), static_cast<unsigned long long>(seeds.last));
    std::puts(
        "| trouble | way | in time | against alone | greatest over mean | connections | digests B/s | fell "
        "over | "
        "widened, narrowed | least served |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const FaultScenario& t : fault_scenarios()) {
        if (!only.empty() ? t.name.find(only) == std::string::npos : t.power_loss) continue;
        std::vector<double> alone;
        for (const auto& [name, features] : feature_sets) {
            ScenarioResult sum;
            std::vector<double> differences;
            for (uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
                const ScenarioResult o =
                    run_scenario(t, simulation_options(balancers, upstreams, features), seed);
                if (alone.size() < seeds.last - seeds.first + 1) alone.push_back(o.in_time_share);
                differences.push_back(o.in_time_share - alone[seed - seeds.first]);
                sum.in_time_share += o.in_time_share, sum.max_over_mean += o.max_over_mean;
                sum.connections += o.connections, sum.digest_bytes += o.digest_bytes;
                sum.collapses += o.collapses, sum.widened += o.widened, sum.narrowed += o.narrowed;
                sum.min_served_over_mean += o.min_served_over_mean;
            }
            const double n = static_cast<double>(differences.size());
            double mean = 0, var = 0;
            for (const double d : differences) mean += d / n;
            for (const double d : differences) var += (d - mean) * (d - mean) / std::max(1.0, n - 1);
            std::printf(
                "| %s | %s | %.3f | %+.3f +- %.3f | %.3f | %.0f | %.0f | %.1f | %.0f, %.0f | %.2f |\n",
                t.name.c_str(), name, sum.in_time_share / n, mean, 1.96 * std::sqrt(var / n),
                sum.max_over_mean / n, sum.connections / n, sum.digest_bytes / n, sum.collapses / n,
                sum.widened / n, sum.narrowed / n, sum.min_served_over_mean / n);
            std::fflush(stdout);
        }
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv)
{
    CLI::App app("firtide-simulation: simulations of fleets of balancers in virtual time");
    app.require_subcommand(1);
    RandomizedRun run;
    ModelCheck check;
    Seeds seeds;
    DisabledRule rules;
    double lasts = 60, faults = 1, lease = 3;
    bool traced = false, deltas = false;
    SimulatedCluster::Options options;
    const auto common = [&](CLI::App* of) {
        of->add_option("--members", options.members);
        of->add_option("--voters", options.voters)->check(CLI::IsMember({3, 5, 7}));
        of->add_option("--duties", options.duties);
        of->add_option("--lease", lease, "seconds")->check(CLI::Range(1.0, 300.0));
        of->add_option("--without", rules.without, "safety rule to disable")
            ->check(CLI::IsMember({"office", "majority", "expiry", "gate", "fence"}));
        of->add_flag("--list", options.replicate_list,
                     "one member polls discovery and replicates the endpoint list");
        of->add_flag("--deltas", deltas,
                     "replicate the endpoint list as deltas, with a short history and small chunks");
        return of;
    };
    auto* walking = common(app.add_subcommand("walk", "randomized runs under faults drawn from seeds"));
    walking->add_option("--from", seeds.first, "seed");
    walking->add_option("--to", seeds.last, "seed");
    walking->add_option("--lasts", lasts, "seconds per run");
    walking->add_option("--faults", faults, "faults per second");
    walking->add_option("--clock-beyond", run.excess_drift,
                        "fraction by which one clock is slower than true time");
    walking->add_flag("--lost-records", run.lost_records,
                      "a power loss also cuts synced bytes off the voter's log");
    walking->add_flag("--trace", traced);
    auto* checking =
        common(app.add_subcommand("check", "model check: every combination of a limited number of faults"));
    checking->add_option("--most", check.max_faults, "faults per run")->check(CLI::Range(1, 3));
    checking->add_option("--part", check.shard);
    checking->add_option("--parts", check.shards);
    checking->add_option("--seed", check.seed);
    checking->add_option("--lasts", lasts, "seconds in which faults may occur");
    auto* resting = common(app.add_subcommand("rest", "traffic of a fleet without faults"));
    resting->add_option("--seed", seeds.first);
    bool known_members = false;
    double tick = options.tick.seconds();
    resting->add_option("--tick", tick, "seconds")->check(CLI::Range(0.02, 0.05));
    resting->add_flag("--acquainted", known_members, "start with full membership knowledge");
    auto* scaling = app.add_subcommand("scale", "scalability run: traffic and propagation times, as JSON");
    ScalePlan plan;
    std::string trouble = "none", json;
    scaling->add_option("--members", plan.members);
    scaling->add_option("--voters", plan.voters);
    scaling->add_option("--duties", plan.duties);
    scaling->add_option("--zones", plan.zones);
    scaling->add_option("--upstreams", plan.upstreams);
    scaling->add_option("--changes-per-second", plan.changes_per_second);
    scaling->add_option("--seconds", plan.seconds);
    scaling->add_option("--seed", plan.seed);
    scaling->add_option("--trouble", trouble, "none, killed, zone, regions or restart");
    scaling->add_flag("--deltas", plan.deltas, "replicate the endpoint list as deltas");
    scaling->add_option("--json", json, "file for the report");
    auto* subsetting = app.add_subcommand("subsets", "compare subsetting algorithms");
    size_t members = 300, upstreams = 60, size = 18;
    subsetting->add_option("--members", members)->check(CLI::Range(2, 5000));
    subsetting->add_option("--upstreams", upstreams)->check(CLI::Range(1, 5000));
    subsetting->add_option("--size", size)->check(CLI::Range(1, 5000));
    subsetting->add_option("--seeds", seeds.last)->check(CLI::Range(1, 1000));
    auto* simulating =
        app.add_subcommand("service", "fault scenarios, with and without cooperation of the balancers");
    size_t simulated_balancers = 60, simulated_upstreams = 24;
    std::string only;
    simulating->add_option("--balancers", simulated_balancers)->check(CLI::Range(6, 2000));
    simulating->add_option("--upstreams", simulated_upstreams)->check(CLI::Range(6, 1000));
    simulating->add_option("--from", seeds.first, "seed");
    simulating->add_option("--to", seeds.last, "seed");
    simulating->add_option("--only", only, "only scenarios whose name contains this");
    auto* returning =
        app.add_subcommand("returns", "recovery from power losses, with and without staged startup");
    returning->add_option("--balancers", simulated_balancers)->check(CLI::Range(6, 2000));
    returning->add_option("--upstreams", simulated_upstreams)->check(CLI::Range(6, 1000));
    returning->add_option("--from", seeds.first, "seed");
    returning->add_option("--to", seeds.last, "seed");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        if (!scaling->parsed() || e.get_exit_code() == 0) return app.exit(e);
        std::fprintf(stderr, "%s\n", e.what());
        return 2;
    }
    if (scaling->parsed()) {
        const auto known = parse_scale_fault(trouble);
        if (!known) {
            std::fprintf(stderr, "--trouble: must be none, killed, zone, regions or restart, not '%s'\n",
                         trouble.c_str());
            return 2;
        }
        plan.fault = *known;
        return run_scale(plan, json);
    }
    if (returning->parsed()) return measure_power_recovery(simulated_balancers, simulated_upstreams, seeds);
    if (simulating->parsed()) return simulate_service(simulated_balancers, simulated_upstreams, seeds, only);
    if (subsetting->parsed())
        return print_subset_comparison(members, upstreams, static_cast<uint32_t>(size), seeds.last);
    options.lease.duration = seconds(lease);
    options.tick = seconds(tick);
    rules.apply_to(options);
    if (deltas) options.replicate_list = true, options.deltas = small_delta_config;
    if (walking->parsed()) {
        run.options = options, run.duration = seconds(lasts), run.faults_per_second = faults;
        return run_walks(run, seeds, traced);
    }
    if (resting->parsed()) return measure_idle_traffic(options, seeds.first, known_members);
    options.voter_timing = {seconds(0.2), seconds(0.1)};
    check.options = options;
    check.fault_window = seconds(lasts);
    return run_check(check);
}
