// Runs of a fleet in virtual time that measure what it costs as it grows: traffic by role, how soon each
// change of the list is in force everywhere, and what troubles add to that.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "simulated_cluster.h"

namespace firtide::simulation
{

enum class ScaleFault : uint8_t {
    none,
    killed,   // one member in twenty crashes and is started again ten seconds later
    zone,     // all members of one zone crash and are started again twenty seconds later
    regions,  // three regions do not reach each other for a minute; discovery answers the list holder's alone
    restart,  // each member is started anew once, all within ten seconds
};
const char* to_string(ScaleFault trouble);
std::optional<ScaleFault> parse_scale_fault(std::string_view text);

struct ScalePlan {
    size_t members = 100, voters = 3, duties = 4, zones = 3, upstreams = 500;
    double changes_per_second = 1;
    double seconds = 10;  // measured at rest, after a warm-up
    uint64_t seed = 1;
    ScaleFault fault = ScaleFault::none;
    bool deltas = false;  // the list goes round as deltas

    // Why it can't be run, in one line; empty: it can.
    std::string validation_error() const;
};

// Over the members of one role.
struct Spread {
    double median = 0, max = 0;
};

// A member's own traffic, a second.
struct RoleTraffic {
    size_t members = 0;
    Spread messages, messages_in, messages_out;
    Spread kilobytes, kilobytes_in, kilobytes_out;
};

// From a change's being known to discovery until a member uses a list that has it.
struct ChangeLatency {
    double p50 = 0, p99 = 0, max = 0;  // seconds
    uint64_t samples = 0;              // one for each change and member
};

struct FaultOutcome {
    double traffic_peak_over_rest = 0;  // messages of all members in the worst second
    double bytes_peak_over_rest = 0;
    // From the trouble's end until all live members hold the same of each other, and the list as it was then.
    std::optional<double> seconds_until_agreed;
};

struct ScaleResult {
    std::map<std::string, RoleTraffic> roles;  // leader, voter, holder.list, member
    ChangeLatency change_in_force;
    uint64_t changes_missing =
        0;  // of each change and each member that was up since: not in force at the end
    std::optional<FaultOutcome> fault;
    uint64_t messages = 0, bytes = 0;  // of the whole run
    std::vector<Broken> violations;    // rules of the fleet
};

// One run. The same plan gives the same result.
class ScaleRun
{
  public:
    // The plan has no fault.
    explicit ScaleRun(const ScalePlan& plan);

    ScaleResult run();

    // All live members hold each other as alive and all others as not, and have this version of the list.
    bool converged(uint64_t version);
    SimulatedCluster& cluster() { return cluster_; }

  private:
    struct MemberState {
        uint64_t list_version = 0;           // newest version in use
        uint64_t first_counted_version = 1;  // changes before it were made while it was down
    };
    struct TrafficBucket {
        uint64_t messages = 0, bytes = 0;
    };

    SimulatedCluster::Options cluster_options() const;
    void list_applied(size_t node, uint64_t version);
    void change_list();
    Duration until_next_change();
    void start_buckets();
    void advance(TimePoint until);  // with the changes of the list that are due by then
    void run_for(Duration span);
    void measure_steady_state();
    void inject_fault();
    void finish();
    bool wait_until_converged(uint64_t version, Duration longest);
    void start(size_t node);
    void crash(size_t node);
    std::vector<size_t> members_to_kill();
    void crash_for(const std::vector<size_t>& nodes, Duration away);
    void partition_regions();
    void restart_all();
    std::string role_of(size_t node, std::optional<size_t> leader, std::optional<size_t> holder) const;
    std::optional<size_t> list_holder() const;

    const ScalePlan plan_;
    SimulatedCluster cluster_;
    std::vector<MemberState> members_;
    std::vector<TimePoint> changed_at_;  // by version
    std::vector<uint32_t> latencies_us_;
    std::ranlux24_base random_;  // of the times of changes
    TimePoint next_change_;
    bool changes_enabled_ = false;
    TimePoint bucket_start_;
    SimulatedCluster::Count count_at_bucket_start_;
    std::vector<TrafficBucket> buckets_;  // of traffic
    ScaleResult result_;
};

struct MachineUsage {
    double wall_seconds = 0;
    double peak_memory_mb = 0;
};

// JSON, with the command that repeats the run.
std::string scale_report(const ScalePlan& plan, const ScaleResult& result, const MachineUsage& machine);

}  // namespace firtide::simulation
