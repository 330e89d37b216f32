// A fleet in virtual time: the real parts of src/fleet, a modelled network, disks and clocks, and faults. One
// seed, one run, byte for byte.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/fleet/fleet.h"

namespace firtide::simulation
{

using namespace fleet;

// A disk in memory, whose next calls can be made to fail, and that can forget what was not synced.
class Disk : public FileSystem
{
  public:
    std::error_code read(const std::string& name, std::optional<std::string>& into) override;
    std::error_code append(const std::string& name, std::string_view bytes) override;
    std::error_code sync(const std::string& name) override;
    std::error_code replace(const std::string& name, std::string_view bytes) override;

    void lose_power();  // what was not synced is gone, but for a part of it
    void wipe() { durable_.clear(), written_.clear(); }

    bool full = false, broken = false, ignores_sync = false;  // lies: it says synced and has not
    size_t surviving_bytes = SIZE_MAX;  // of what is lost with the power, so much is there all the same
    Duration sync_duration;
    Duration time_waited;  // by whoever has synced since this was taken

  private:
    std::map<std::string, std::string> durable_, written_;
};

// Where the world could go on in several ways: the model checker takes each. The first way is that nothing
// goes wrong.
enum class ChoicePoint { message, effect, tick };

struct Link {  // from one member to another
    bool cut = false;
    double loss = 0;  // of messages: their connection is made anew
    Duration min_latency = seconds(0.0002), most = seconds(0.002);
    double repeat = 0;
};

// What a receiver took, or a rule that is broken, in the words of the trace.
struct Broken {
    std::string rule;
    TimePoint at;
};

class SimulatedCluster
{
  public:
    struct Options {
        size_t members = 5, voters = 3, duties = 4, zones = 3;
        LeaseConfig lease;
        bool list = false;
        std::optional<EndpointDeltaConfig> deltas;
        size_t list_entries = 12;  // that discovery may know
        std::optional<uint32_t> probe_parts, drain_limit;
        std::optional<SubsetConfig> subset;
        std::optional<OutlierGossipConfig> outlier_gossip;
        std::optional<QuotaConfig> quotas;
        std::optional<StartupConfig> recovery;
        Duration tick = seconds(0.02);
        VoterTiming voter_timing;
        bool fencing = true;                                         // receivers refuse lower epochs
        bool lease_gate = true;                                      // the check before each effect
        std::function<void(LeaseManager&)> configure_lease_manager;  // a safety rule taken out
        std::function<size_t(ChoicePoint)> choose;                   // which way; absent: the first
    };
    SimulatedCluster(Options options, uint64_t seed);
    ~SimulatedCluster();

    size_t size() const { return nodes_.size(); }
    TimePoint now() const { return now_; }
    std::ranlux24_base& random() { return random_; }
    double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }

    // For what stands beside the fleet's members: their effects, and events on the same clock. Beside all
    // members: SIZE_MAX.
    std::function<void(size_t node, FleetEffect&)> on_effect;
    void schedule(Duration after, size_t node, std::function<void()> what)
    {
        schedule_event(after, node, std::move(what));
    }
    void dispatch(size_t node, FleetEvent event);
    TimePoint local_time(size_t node) const;

    void run_until(TimePoint until);
    void run(Duration span) { run_until(now_ + span); }
    // The next event alone; false: there is none before that time.
    bool step(TimePoint until);

    void start(size_t node);
    // All members, each of which already knows all others to be alive: a fleet that has long been up.
    void start_all_with_known_members();
    void crash(size_t node, bool power = false);  // power: what was not synced is lost
    void stop(size_t node);                       // as by SIGTERM
    void freeze(size_t node, Duration span);
    void freeze_at_next_effect(
        size_t node,
        Duration span);  // at its next effect, between the check's cause and the effect
    void set_clock_rate(size_t node, double rate);  // true seconds become so many of its own
    // To be changed. A link that was never asked for has the values of a default Link and takes no room.
    Link& link(size_t from, size_t to) { return links_[from * nodes_.size() + to]; }
    void isolate(size_t node, bool cut);
    // Members of different regions do not reach each other; all are of region 0 at first.
    void set_region(size_t node, uint32_t region);
    void heal();  // all links and regions
    Disk& disk(size_t node);
    bool up(size_t node) const;
    void ask(size_t node, const std::string& what, const std::string& first = "",
             const std::string& second = "");
    void discovery_is(uint64_t version) { discovery_is(version, "list " + std::to_string(version)); }
    void discovery_is(uint64_t version, std::string list)
    {
        discovery_version_ = version;
        discovery_list_ = std::move(list);
    }
    // Members that discovery answers; absent: all.
    std::function<bool(size_t node)> discovery_answers;
    // The agent of one member is behind the others; nothing: it is not.
    void discovery_of(size_t node, std::optional<uint64_t> version);
    // The list as discovery has it at a version: each version changes one entry, some are gone.
    EndpointMap discovery_lines(uint64_t version) const;

    // Who may act for it now, by its own clock.
    std::vector<size_t> holders(const std::string& duty) const;
    std::optional<size_t> leader() const;
    Fleet& fleet(size_t node);
    uint64_t list_of(size_t node) const;
    // An entry of its replica changes as no delta did. It may differ from others until that is repaired.
    void corrupt_list(size_t node, const std::string& uid, const std::string& text);
    const EndpointMap& shown_list(size_t node) const;  // as its balancer uses it, with deltas
    std::string show(size_t node);

    const std::vector<Broken>& broken() const { return violations_; }
    const std::vector<std::string>& trace() const { return trace_; }
    bool trace_enabled = false;
    std::string last_reply;
    struct Count {
        uint64_t messages = 0, bytes = 0, effects = 0, blocked_effects = 0, refused_effects = 0,
                 list_calls = 0, probes = 0,
                 list_bytes = 0;  // list_bytes: of deltas, snapshots and what asks for them
    };
    Count count;
    std::vector<uint64_t> messages_sent;  // messages of each member
    struct Traffic {
        uint64_t messages_out = 0, bytes_out = 0, messages_in = 0, bytes_in = 0;
    };
    std::vector<Traffic> traffic;  // of each member
    // Duty, true time: since when nobody holds it.
    std::map<std::string, Duration> current_gaps() const;
    std::vector<Duration> gaps;  // each time without a holder, ended

  private:
    struct Node;
    struct Event {
        TimePoint at;
        uint64_t order;
        size_t node;
        uint64_t generation;  // of the node; what comes for an older one is gone with it
        std::function<void()> action;
        bool may_change_holders;  // whether holders can be others after it
        bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
    };

    void schedule_event(Duration after, size_t node, std::function<void()> what, bool checked = true);
    void apply_effects(size_t node, std::vector<FleetEffect> effects);
    void perform_effect(size_t node, const LeasedEffect& act, Duration travels = {});
    void send(size_t from, const Send& send);
    void call_voter_agent(size_t node, const std::function<std::vector<VoterAgentEffect>(TimePoint)>& call);
    void tick(size_t node);
    void poll_discovery(size_t node);
    EndpointListFetched fetch_list(size_t node);
    void apply_list(size_t node, const ApplyEndpointList& use);
    void check_replica(size_t at_node);
    size_t choose(ChoicePoint at) { return options_.choose ? options_.choose(at) : 0; }
    bool inject_tick_fault(size_t node);
    const Link& link_between(size_t from, size_t to) const;
    void update_candidates(size_t node, const LogEvent& noted);
    void check_holders();
    TimePoint lease_expiry(size_t node) const;
    void report_violation(const std::string& rule);
    void add_trace(const std::string& text);

    const Options options_;
    std::ranlux24_base random_;
    TimePoint now_{1'000'000'000};
    uint64_t next_order_ = 0;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::unordered_map<size_t, Link> links_;  // that were asked for
    std::priority_queue<Event> events_;
    std::vector<Broken> violations_;
    std::vector<std::string> trace_;
    std::map<std::string, std::pair<Epoch, uint64_t>> accepted_;  // by the receiver of each duty
    std::set<std::tuple<std::string, Epoch, uint64_t>> accepted_effects_;
    // Duties that are checked, and who may hold them: members that have gained one and not lost it. Their
    // leases may have ended since.
    struct DutyWatch {
        TimePoint vacant_since;  // since when nobody holds it; zero: somebody does
        std::vector<size_t> candidates;
    };
    std::map<std::string, DutyWatch> watched_duties_;
    bool check_due_ = true;  // something other than time has changed who holds a duty
    TimePoint next_check_;   // the first time at which a lease may end
    uint64_t discovery_version_ = 1;
    std::string discovery_list_ = "list 1";
    std::map<EndpointRevision, uint64_t> digest_by_revision_;  // of the states that replicas have had
};

}  // namespace firtide::simulation
