#include "latency.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "histogram.h"
#include "load_generator.h"
#include "open_loop.h"
#include "test_bed.h"

namespace firtide::scale
{
namespace
{

using nlohmann::ordered_json;

constexpr double nanoseconds_per_millisecond = 1e6;
constexpr int exit_interrupted = 130;
constexpr const char* added_latency_definition =
    "difference of quantiles (through a balancer minus direct), not quantile of differences; latency is "
    "counted "
    "from the intended time to the last byte of the answer";

Nanoseconds to_nanoseconds(double seconds)
{
    return std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(seconds));
}

double milliseconds_at(const Histogram& histogram, double quantile)
{
    return static_cast<double>(histogram.value_at_quantile(quantile)) / nanoseconds_per_millisecond;
}

Quantiles quantiles_of(const Histogram& histogram)
{
    return {milliseconds_at(histogram, 0.5), milliseconds_at(histogram, 0.99)};
}

// Results of the runs on one path: direct, or through a balancer.
struct CallPath {
    LoadTarget target;
    Histogram latencies;
    uint64_t answered = 0, failed = 0;
    FailureCounts failures;

    Quantiles run(const LatencyOptions& options, double calls_per_second, size_t round)
    {
        OpenLoop loop(ArrivalSchedule(calls_per_second, options.seed + round),
                      to_nanoseconds(options.seconds), to_nanoseconds(options.warm_up));
        target.call_id_prefix = std::to_string(round) + "-";
        generate_load(target, loop);
        latencies.merge(loop.latencies());
        answered += loop.answered_count();
        failed += loop.failed_count();
        for (const auto& [status, count] : loop.failures()) failures[status] += count;
        return quantiles_of(loop.latencies());
    }
};

std::string load_average()
{
    std::ifstream file("/proc/loadavg");
    std::string line;
    std::getline(file, line);
    return line;
}

std::string utc_now()
{
    const std::time_t now = std::time(nullptr);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", std::gmtime(&now));
    return text;
}

std::string default_program()
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "firtide").string();
}

ordered_json to_json(const Quantiles& quantiles) { return {{"p50", quantiles.p50}, {"p99", quantiles.p99}}; }

ordered_json to_json(const Spread& spread)
{
    return {{"median", spread.median}, {"min", spread.min}, {"max", spread.max}};
}

ordered_json to_json(const FailureCounts& failures)
{
    ordered_json counts = ordered_json::object();
    for (const auto& [status, count] : failures)
        counts[status == no_answer ? "no answer" : std::to_string(status)] = count;
    return counts;
}

ordered_json to_json(const LatencyResult& result)
{
    return {{"calls_per_second", result.calls_per_second},
            {"direct_ms", to_json(result.direct)},
            {"through_ms", to_json(result.through)},
            {"added_ms", {{"p50", to_json(result.added_p50)}, {"p99", to_json(result.added_p99)}}},
            {"answered", result.answered},
            {"failed", result.failed},
            {"failed_by_status", to_json(result.failures)},
            {"direct_answered", result.direct_answered},
            {"direct_failed", result.direct_failed},
            {"list_changes", result.list_changes},
            {"duties_of_the_measured_balancer", result.duties}};
}

ordered_json encode_run_parameters(const LatencyOptions& options)
{
    return {{"command", options.command},
            {"seed", options.seed},
            {"rounds", options.rounds},
            {"seconds", options.seconds},
            {"warm_up_seconds", options.warm_up},
            {"upstreams", options.upstreams},
            {"changes_per_second", options.changes_per_second},
            {"service_ms", options.service_ms},
            {"fleet_members", options.members},
            {"cores", std::thread::hardware_concurrency()},
            {"added_is", added_latency_definition}};
}

void print_summary(const char* what, const LatencyResult& result)
{
    std::fprintf(stderr,
                 "%s %g calls/s: direct p50 %.3f p99 %.3f, through p50 %.3f p99 %.3f, added p50 %.3f [%.3f, "
                 "%.3f] p99 %.3f [%.3f, %.3f] ms, %llu answered, %llu failed\n",
                 what, result.calls_per_second, result.direct.p50, result.direct.p99, result.through.p50,
                 result.through.p99, result.added_p50.median, result.added_p50.min, result.added_p50.max,
                 result.added_p99.median, result.added_p99.min, result.added_p99.max,
                 static_cast<unsigned long long>(result.answered),
                 static_cast<unsigned long long>(result.failed));
}

void write_record(const LatencyOptions& options, const ordered_json& record)
{
    const auto text = record.dump(2) + "\n";
    if (options.json.empty()) {
        std::fputs(text.c_str(), stdout);
        return;
    }
    std::ofstream file(options.json);
    if (!(file << text).flush()) throw std::runtime_error("cannot write " + options.json);
}

ordered_json measure_all(const LatencyOptions& options)
{
    ordered_json record{{"run", encode_run_parameters(options)}};
    record["run"]["started"] = utc_now();
    record["run"]["load_average_before"] = load_average();
    record["rates"] = ordered_json::array();
    for (const double rate : options.rates) {
        if (interrupted) break;
        const auto result = measure_rate(options, rate, 0);
        print_summary("balancer", result);
        record["rates"].push_back(to_json(result));
    }
    if (options.chain > 0 && !interrupted) {
        const auto result = measure_rate(options, options.chain_rate, options.chain);
        print_summary("chain", result);
        record["chain"] = to_json(result);
        record["chain"]["balancers"] = options.chain;
        record["chain"]["without_fleet"] = true;
    }
    record["run"]["ended"] = utc_now();
    record["run"]["load_average_after"] = load_average();
    return record;
}

void install_signal_handlers()
{
    for (const int number : {SIGINT, SIGTERM}) std::signal(number, [](int) { interrupted = true; });
}

}  // namespace

Spread spread_of(std::vector<double> values)
{
    if (values.empty()) return {};
    std::sort(values.begin(), values.end());
    const size_t middle = values.size() / 2;
    const double median = values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
    return {median, values.front(), values.back()};
}

LatencyResult measure_rate(const LatencyOptions& options, double calls_per_second, size_t chain)
{
    TestBedConfig bed_config;
    bed_config.program = options.program.empty() ? default_program() : options.program;
    bed_config.upstreams = options.upstreams;
    bed_config.changes_per_second = options.changes_per_second;
    bed_config.service_time = seconds(options.service_ms / 1000);
    bed_config.members = chain > 0 ? 0 : options.members;
    bed_config.chain = std::max<size_t>(chain, 1);
    bed_config.seed = options.seed;
    const TestBed bed(bed_config);
    CallPath direct, through;
    direct.target.ports = bed.upstream_ports();
    through.target.ports = {bed.called_port()};
    std::vector<double> added_p50, added_p99;
    for (size_t round = 0; round < options.rounds && !interrupted; ++round) {
        const auto without = direct.run(options, calls_per_second, round);
        const auto with = through.run(options, calls_per_second, round);
        if (interrupted) break;
        added_p50.push_back(with.p50 - without.p50);
        added_p99.push_back(with.p99 - without.p99);
    }
    LatencyResult result;
    result.calls_per_second = calls_per_second;
    result.direct = quantiles_of(direct.latencies);
    result.through = quantiles_of(through.latencies);
    result.added_p50 = spread_of(std::move(added_p50));
    result.added_p99 = spread_of(std::move(added_p99));
    result.answered = through.answered;
    result.failed = through.failed;
    result.failures = through.failures;
    result.direct_answered = direct.answered;
    result.direct_failed = direct.failed;
    result.list_changes = bed.list_changes();
    if (bed_config.members > 0) result.duties = bed.held_duties();
    return result;
}

int measure_latency(const LatencyOptions& options)
{
    install_signal_handlers();
    try {
        const auto record = measure_all(options);
        if (interrupted) return exit_interrupted;
        write_record(options, record);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "firtide-latency: %s\n", error.what());
        return interrupted ? exit_interrupted : 1;
    }
    return 0;
}

void add_latency_options(CLI::App& app, LatencyOptions& options)
{
    constexpr double most_calls_per_second = 100'000;
    app.add_option("--rate", options.rates,
                   "calls per second; several rates are measured one after the other")
        ->check(CLI::Range(1.0, most_calls_per_second))
        ->capture_default_str();
    app.add_option("--rounds", options.rounds,
                   "number of rounds, each with a direct run and a run through the balancer")
        ->check(CLI::Range(1, 1000))
        ->capture_default_str();
    app.add_option("--seconds", options.seconds, "length of each run in seconds")
        ->check(CLI::Range(0.1, 3600.0))
        ->capture_default_str();
    app.add_option("--warm-up", options.warm_up, "seconds at the start of each run that are not recorded")
        ->check(CLI::Range(0.0, 60.0))
        ->capture_default_str();
    app.add_option("--seed", options.seed, "seed of the arrivals and of the list changes")
        ->capture_default_str();
    app.add_option("--upstreams", options.upstreams)->check(CLI::Range(1, 200))->capture_default_str();
    app.add_option("--changes-per-second", options.changes_per_second,
                   "changes of the list of upstreams per second")
        ->check(CLI::Range(0.0, 100.0))
        ->capture_default_str();
    app.add_option("--service-ms", options.service_ms, "time until an upstream answers, in milliseconds")
        ->check(CLI::Range(0.0, 500.0))
        ->capture_default_str();
    app.add_option("--fleet", options.members, "members of the fleet; 0: a balancer without a fleet")
        ->check(CLI::IsMember({0, 3, 5, 7}))
        ->capture_default_str();
    app.add_option("--chain", options.chain, "length of an additional chain of balancers to measure; 0: none")
        ->check(CLI::Range(0, 32))
        ->capture_default_str();
    app.add_option("--chain-rate", options.chain_rate, "calls per second through the chain")
        ->check(CLI::Range(1.0, most_calls_per_second))
        ->capture_default_str();
    app.add_option("--program", options.program, "path of firtide; by default beside this program");
    app.add_option("--json", options.json, "path of the result; by default standard output");
}

void add_latency_command(CLI::App& app)
{
    auto* command = app.add_subcommand("latency", "measure the latency that a balancer adds to a call");
    const auto options = std::make_shared<LatencyOptions>();
    add_latency_options(*command, *options);
    command->callback([options, command] {
        options->command = command->get_name();
        if (const int status = measure_latency(*options); status != 0) throw CLI::RuntimeError(status);
    });
}

}  // namespace firtide::scale
