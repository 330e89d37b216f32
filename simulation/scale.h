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

enum class ScaleTrouble : uint8_t {
    none,
    killed,   // one member in twenty crashes and is started again ten seconds later
    zone,     // all members of one zone crash and are started again twenty seconds later
    regions,  // three regions do not reach each other for a minute; discovery answers the list holder's alone
    restart,  // each member is started anew once, all within ten seconds
};
const char* to_string(ScaleTrouble trouble);
std::optional<ScaleTrouble> scale_trouble_of(std::string_view text);

struct ScalePlan {
    size_t members = 100, voters = 3, duties = 4, zones = 3, upstreams = 500;
    double changes_per_second = 1;
    double seconds = 10;  // measured at rest, after a warm-up
    uint64_t seed = 1;
    ScaleTrouble trouble = ScaleTrouble::none;
    bool deltas = false;  // the list goes round as deltas

    // Why it can't be run, in one line; empty: it can.
    std::string fault() const;
};

// Over the members of one role.
struct Spread {
    double median = 0, greatest = 0;
};

// A member's own traffic, a second.
struct RoleTraffic {
    size_t members = 0;
    Spread messages, messages_in, messages_out;
    Spread kilobytes, kilobytes_in, kilobytes_out;
};

// From a change's being known to discovery until a member uses a list that has it.
struct ChangeTimes {
    double p50 = 0, p99 = 0, greatest = 0;  // seconds
    uint64_t counted = 0;                   // one for each change and member
};

struct TroubleOutcome {
    double traffic_peak_over_rest = 0;  // messages of all members in the worst second
    double bytes_peak_over_rest = 0;
    // From the trouble's end until all live members hold the same of each other, and the list as it was then.
    std::optional<double> seconds_until_agreed;
};

struct ScaleResult {
    std::map<std::string, RoleTraffic> roles;  // leader, voter, holder.list, member
    ChangeTimes change_in_force;
    uint64_t changes_missing =
        0;  // of each change and each member that was up since: not in force at the end
    std::optional<TroubleOutcome> trouble;
    uint64_t messages = 0, bytes = 0;  // of the whole run
    std::vector<Broken> broken;        // rules of the fleet
};

// One run. The same plan gives the same result.
class ScaleRun
{
  public:
    // The plan has no fault.
    explicit ScaleRun(const ScalePlan& plan);

    ScaleResult run();

    // All live members hold each other as alive and all others as not, and have this version of the list.
    bool agreed(uint64_t version);
    SimulatedCluster& cluster() { return cluster_; }

  private:
    struct MemberState {
        uint64_t list = 0;           // newest version in use
        uint64_t first_counted = 1;  // changes before it were made while it was down
    };
    struct Second {
        uint64_t messages = 0, bytes = 0;
    };

    SimulatedCluster::Options world_options() const;
    void list_in_use(size_t node, uint64_t version);
    void change_list();
    Duration until_next_change();
    void begin_seconds();
    void advance(TimePoint until);  // with the changes of the list that are due by then
    void run_for(Duration span);
    void measure_rest();
    void play_trouble();
    void finish();
    bool settle(uint64_t version, Duration longest);
    void start(size_t node);
    void crash(size_t node);
    std::vector<size_t> members_to_kill();
    void crash_for(const std::vector<size_t>& nodes, Duration away);
    void split_regions();
    void restart_all();
    std::string role_of(size_t node, std::optional<size_t> leader, std::optional<size_t> holder) const;
    std::optional<size_t> list_holder() const;

    const ScalePlan plan_;
    SimulatedCluster cluster_;
    std::vector<MemberState> members_;
    std::vector<TimePoint> changed_at_;  // by version
    std::vector<uint32_t> waits_us_;
    std::ranlux24_base chance_;  // of the times of changes
    TimePoint next_change_;
    bool changing_ = false;
    TimePoint second_began_;
    SimulatedCluster::Count second_before_;
    std::vector<Second> seconds_;  // of traffic
    ScaleResult result_;
};

struct ScaleMachine {
    double wall_seconds = 0;
    double peak_memory_mb = 0;
};

// JSON, with the command that repeats the run.
std::string scale_report(const ScalePlan& plan, const ScaleResult& result, const ScaleMachine& machine);

}  // namespace firtide::simulation
