// Deterministic simulation of a fleet in virtual time: the production code of src/fleet on a modelled
// network, disks and clocks, with fault injection. The same seed gives the same run, byte for byte.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/base/random.h"
#include "src/fleet/fleet.h"

namespace firtide::simulation
{

using namespace fleet;

// In-memory disk whose calls can be made to fail, and which can lose unsynced data.
class Disk : public FileSystem
{
  public:
    std::error_code read(const std::string& name, std::optional<std::string>& into) override;
    std::error_code append(const std::string& name, std::string_view bytes) override;
    std::error_code sync(const std::string& name) override;
    std::error_code replace(const std::string& name, std::string_view bytes) override;

    void lose_power();  // discards unsynced data, except surviving_bytes of each file
    void lose_synced_bytes(const std::string& name, size_t bytes);  // cuts them off the file's end
    void wipe() { durable_.clear(), written_.clear(); }

    bool full = false, io_error = false;
    bool ignores_sync = false;  // sync() succeeds without making data durable
    // Unsynced appended bytes of each file that survive a power loss (a torn write); SIZE_MAX: none.
    size_t surviving_bytes = SIZE_MAX;
    Duration sync_duration;
    Duration time_waited;  // total sync_duration since the caller last cleared it

  private:
    std::map<std::string, std::string> durable_, written_;
};

// Points at which the simulation has several continuations, each of which the model checker explores.
// Alternative 0 is the fault-free one.
enum class ChoicePoint { message, effect, tick };

struct Link {  // one direction between two members
    bool blocked = false;
    double loss_probability = 0;  // of messages; stands for a connection that is re-established
    Duration min_latency = seconds(0.0002), max_latency = seconds(0.002);
    double duplicate_probability = 0;
};

// A violated rule, described as in the trace.
struct Violation {
    std::string rule;
    TimePoint at;
};

class SimulatedCluster
{
  public:
    struct Options {
        size_t members = 5, voters = 3, duties = 4, zones = 3;
        LeaseConfig lease;
        bool replicate_list = false;
        std::optional<EndpointDeltaConfig> deltas;
        size_t list_entries = 12;  // upper bound of endpoints in discovery
        std::optional<uint32_t> probe_parts, drain_limit;
        std::optional<SubsetConfig> subset;
        std::optional<OutlierGossipConfig> outlier_gossip;
        std::optional<QuotaConfig> quotas;
        std::optional<StartupConfig> recovery;
        Duration tick = seconds(0.02);
        VoterTiming voter_timing;
        bool fencing = true;     // receivers reject effects with a lower epoch
        bool lease_gate = true;  // checks the lease before each effect
        std::function<void(LeaseManager&)> configure_lease_manager;  // used by tests to disable a safety rule
        std::function<size_t(ChoicePoint)> choose;  // selects an alternative; absent: always 0
    };
    SimulatedCluster(Options options, uint64_t seed);
    ~SimulatedCluster();

    size_t size() const { return nodes_.size(); }
    TimePoint now() const { return now_; }
    RandomEngine& random() { return random_; }
    double uniform() { return uniform_random(random_); }

    // Hooks for models that run alongside the members: the members' effects, and events on the same clock. An
    // event of no member has node SIZE_MAX.
    std::function<void(size_t node, FleetEffect&)> on_effect;
    void schedule(Duration after, size_t node, std::function<void()> what)
    {
        schedule_event(after, node, std::move(what));
    }
    void dispatch(size_t node, FleetEvent event);
    TimePoint local_time(size_t node) const;

    void run_until(TimePoint until);
    void run(Duration span) { run_until(now_ + span); }
    // Processes one event; false if none is due by that time.
    bool step(TimePoint until);

    void start(size_t node);
    // Starts all members with full membership knowledge, as in a fleet that has been up for long.
    void start_all_with_known_members();
    void crash(size_t node, bool power = false);  // power: unsynced data is lost too
    void stop(size_t node);                       // graceful shutdown, as on SIGTERM
    void freeze(size_t node, Duration span);
    // Freezes it between the decision and the lease check of its next effect.
    void freeze_at_next_effect(size_t node, Duration span);
    void set_clock_rate(size_t node, double rate);  // local seconds per true second
    // For modification. A link that was never requested behaves as a default Link and isn't stored.
    Link& link(size_t from, size_t to) { return links_[from * nodes_.size() + to]; }
    void set_isolated(size_t node, bool cut);
    // Members in different regions can't reach each other. All start in region 0.
    void set_region(size_t node, uint32_t region);
    void restore_links();  // resets all links and regions
    Disk& disk(size_t node);
    bool is_up(size_t node) const;
    void send_admin_request(size_t node, const std::string& what, const std::string& first = "",
                            const std::string& second = "");
    void set_discovery_list(uint64_t version) { discovery_is(version, "list " + std::to_string(version)); }
    void discovery_is(uint64_t version, std::string list)
    {
        discovery_version_ = version;
        discovery_list_ = std::move(list);
    }
    // Selects the members that discovery answers; absent: all.
    std::function<bool(size_t node)> discovery_answers;
    // Makes the discovery agent of one member serve this version; nullopt: the current one.
    void set_agent_version(size_t node, std::optional<uint64_t> version);
    // The list in discovery at a version. Each version changes one entry; some entries are absent.
    EndpointMap discovery_entries(uint64_t version) const;

    // Members whose lease on the duty is valid now by their own clocks.
    std::vector<size_t> holders(const std::string& duty) const;
    std::optional<size_t> leader() const;
    Fleet& fleet(size_t node);
    uint64_t list_version(size_t node) const;
    // Changes an entry of the member's replica without a delta. The replica may differ from the others until
    // it is repaired.
    void corrupt_list(size_t node, const std::string& uid, const std::string& text);
    const EndpointMap& applied_list(size_t node) const;  // as its balancer applies it; only with deltas
    std::string fleet_status(size_t node);

    const std::vector<Violation>& violations() const { return violations_; }
    const std::vector<std::string>& trace() const { return trace_; }
    bool trace_enabled = false;
    std::string last_reply;
    struct Count {
        uint64_t messages = 0, bytes = 0, effects = 0, blocked_effects = 0, refused_effects = 0,
                 discovery_calls = 0, probes = 0,
                 list_bytes = 0;  // list_bytes: deltas, snapshots and requests for them
    };
    Count count;
    std::vector<uint64_t> messages_sent;  // by member
    struct Traffic {
        uint64_t messages_out = 0, bytes_out = 0, messages_in = 0, bytes_in = 0;
    };
    std::vector<Traffic> traffic;  // by member
    // By duty: how long, in true time, it has had no holder; zero if it has one.
    std::map<std::string, Duration> current_gaps() const;
    std::vector<Duration> gaps;  // completed periods in which a duty had no holder

  private:
    struct Node;
    struct Event {
        TimePoint at;
        uint64_t order;
        size_t node;
        uint64_t generation;  // of the node's process; events of an earlier one are dropped
        std::function<void()> action;
        bool may_change_holders;  // whether it can change which members hold duties
        bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
    };

    void schedule_event(Duration after, size_t node, std::function<void()> what,
                        bool may_change_holders = true);
    void apply_effects(size_t node, std::vector<FleetEffect> effects);
    void perform_effect(size_t node, const LeasedEffect& act, Duration delay = {});
    void send(size_t from, const OutgoingMessage& send);
    void call_voter_agent(size_t node, const std::function<std::vector<VoterAgentEffect>(TimePoint)>& call);
    void tick(size_t node);
    void poll_discovery(size_t node);
    EndpointListFetched fetch_list(size_t node);
    void apply_list(size_t node, const ApplyEndpointList& use);
    void check_replica(size_t at_node);
    size_t choose(ChoicePoint at) { return options_.choose ? options_.choose(at) : 0; }
    bool inject_tick_fault(size_t node);
    const Link& link_between(size_t from, size_t to) const;
    void update_candidates(size_t node, const LogEvent& event);
    void check_leader(size_t node, const VoterStatus& status);
    void check_holders();
    TimePoint lease_expiry(size_t node) const;
    void report_violation(const std::string& rule);
    void add_trace(const std::string& text);

    const Options options_;
    std::map<Term, DiskId> leader_of_term_;
    RandomEngine random_;
    TimePoint now_{1'000'000'000};
    uint64_t next_order_ = 0;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::unordered_map<size_t, Link> links_;  // that were requested by link()
    std::priority_queue<Event> events_;
    std::vector<Violation> violations_;
    std::vector<std::string> trace_;
    // The newest epoch and number that the receiver of each duty accepted.
    std::map<std::string, std::pair<Epoch, uint64_t>> accepted_;
    std::set<std::tuple<std::string, Epoch, uint64_t>> accepted_effects_;
    // Duties that are checked, with their possible holders: members that gained the duty and haven't reported
    // its loss. Their leases may have expired since.
    struct DutyWatch {
        TimePoint vacant_since;  // time since which it has had no holder; zero: it has one
        std::vector<size_t> candidates;
    };
    std::map<std::string, DutyWatch> watched_duties_;
    bool check_due_ = true;  // something other than the passing of time may have changed a holder
    TimePoint next_check_;   // earliest time at which a lease may expire
    uint64_t discovery_version_ = 1;
    std::string discovery_list_ = "list 1";
    std::map<EndpointRevision, uint64_t> digest_by_revision_;  // of every state that a replica has had
};

}  // namespace firtide::simulation
