// Scalability runs of a fleet in virtual time. They measure the traffic by role, how soon each change of the
// list is in force on all members, and what faults add to both.
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
    killed,   // one member in twenty crashes and restarts ten seconds later
    zone,     // all members of one zone crash and restart twenty seconds later
    regions,  // three regions are partitioned for a minute; discovery answers only in the list holder's
              // region
    restart,  // each member restarts once, all within ten seconds
};
const char* to_string(ScaleFault fault);
std::optional<ScaleFault> parse_scale_fault(std::string_view text);

struct ScalePlan {
    size_t members = 100, voters = 3, duties = 4, zones = 3, upstreams = 500;
    double changes_per_second = 1;
    double seconds = 10;  // length of the fault-free measurement after the warm-up
    uint64_t seed = 1;
    ScaleFault fault = ScaleFault::none;
    bool deltas = false;  // the list is replicated as deltas

    // Why the plan is invalid, in one line; empty if it is valid.
    std::string validation_error() const;
};

// Distribution over the members of one role.
struct Spread {
    double median = 0, max = 0;
};

// Traffic per member and second.
struct RoleTraffic {
    size_t members = 0;
    Spread messages, messages_in, messages_out;
    Spread kilobytes, kilobytes_in, kilobytes_out;
};

// Time from a change in discovery until a member uses a list that includes it.
struct ChangeLatency {
    double p50 = 0, p99 = 0, max = 0;  // seconds
    uint64_t samples = 0;              // one per change and member
};

struct FaultOutcome {
    // Messages of all members in the busiest second, relative to the fault-free mean.
    double traffic_peak_over_rest = 0;
    double bytes_peak_over_rest = 0;
    // From the end of the fault until all live members have the same view of the membership and at least the
    // list version of that time.
    std::optional<double> seconds_until_agreed;
};

struct ScaleResult {
    std::map<std::string, RoleTraffic> roles;  // leader, voter, holder.list, member
    ChangeLatency change_in_force;
    // Pairs of a change and a member, up since the change, whose list lacks it at the end.
    uint64_t changes_missing = 0;
    std::optional<FaultOutcome> fault;
    uint64_t messages = 0, bytes = 0;   // over the whole run
    std::vector<Violation> violations;  // violated rules of the fleet
};

// One run. It is deterministic: the same plan gives the same result.
class ScaleRun
{
  public:
    // Requires a valid plan: validation_error() is empty.
    explicit ScaleRun(const ScalePlan& plan);

    ScaleResult run();

    // Whether all live members see exactly the live members as alive, and have at least this version of the
    // list.
    bool converged(uint64_t version);
    SimulatedCluster& cluster() { return cluster_; }

  private:
    struct MemberState {
        uint64_t list_version = 0;           // newest version in use; 0: none
        uint64_t first_counted_version = 1;  // earlier versions were published before its last start
    };
    struct TrafficBucket {
        uint64_t messages = 0, bytes = 0;
    };

    SimulatedCluster::Options cluster_options() const;
    void list_applied(size_t node, uint64_t version);
    void change_list();
    Duration until_next_change();
    void start_buckets();
    void advance(TimePoint until);  // applies the list changes due by then
    void run_for(Duration span);
    void measure_steady_state();
    void inject_fault();
    void finish();
    bool wait_until_converged(uint64_t version, Duration longest);
    void start(size_t node);
    void crash(size_t node);
    std::vector<size_t> members_to_kill();
    void crash_for(const std::vector<size_t>& nodes, Duration downtime);
    void partition_regions();
    void restart_all();
    std::string role_of(size_t node, std::optional<size_t> leader, std::optional<size_t> holder) const;
    std::optional<size_t> list_holder() const;

    const ScalePlan plan_;
    SimulatedCluster cluster_;
    std::vector<MemberState> members_;
    std::vector<TimePoint> changed_at_;  // time of each change, by version
    std::vector<uint32_t> latencies_us_;
    RandomEngine random_;  // draws the times of changes
    TimePoint next_change_;
    bool changes_enabled_ = false;
    TimePoint bucket_start_;
    SimulatedCluster::Count count_at_bucket_start_;
    std::vector<TrafficBucket> buckets_;  // one per second
    ScaleResult result_;
};

struct MachineUsage {
    double wall_seconds = 0;
    double peak_memory_mb = 0;
};

// The report as JSON, with the command line that repeats the run.
std::string scale_report(const ScalePlan& plan, const ScaleResult& result, const MachineUsage& machine);

}  // namespace firtide::simulation
