// The event loop: one thread that passes events to the reducer and executes its effects. To embed it,
// construct it with a configuration and call run().
#pragma once

#include <deque>

#include "admin_server.h"
#include "discovery.h"
#include "downstream_server.h"
#include "shared_request_ids.h"
#include "src/fleet/host/host.h"
#include "upstream_pool.h"

namespace firtide::net
{

class Service
{
  public:
    // reload_config: reads the configuration again at SIGHUP, or throws; if empty, SIGHUP is not handled.
    // fleet: the fleet file of which this balancer is a member, and its path; without it, no fleet code
    // runs.
    explicit Service(Config config, std::function<Config()> reload_config = {},
                     std::optional<std::pair<fleet::FleetConfig, std::string>> fleet = {});
    ~Service();

    // Serves until SIGTERM or SIGINT, and then until everything in flight is answered.
    void run();

  private:
    void post(Event event);
    void execute(Effect& effect);
    void free_descriptors();
    void start_shutdown();
    void reload();
    void add_signal_handler(int number, void (*what)(evutil_socket_t, short, void*));
    void stop_accepting();
    size_t descriptor_share(double part) const;
    void on_timer();
    void update_process_count();
    void check_request_id_sharing();
    fleet::Host::Hooks hooks();
    void report_lists_to_fleet();
    bool shares_list() const { return fleet_ && fleet_->config().endpoint_list; }
    void execute(WriteUpstream& write);
    void execute(ProbeCompleted& probed);
    void execute(AdminCommandResult& result);
    void report_probes();
    bool handle_fleet_command(AdminConnectionId caller, const std::vector<std::string>& words);

    Config config_;  // the reducer changes its settings
    const std::function<Config()> reload_config_;
    // The loop's time at Unix time zero, taken once, so that the start time of an upstream always maps to
    // the same value.
    const TimePoint epoch_;
    const size_t descriptors_;  // for callers and upstreams together
    EventBasePtr base_;
    MemoryBudget memory_;
    // Null without a folder that the processes of this balancer share, and where nothing can be shared.
    std::unique_ptr<HotRestart> hot_restart_;
    std::unique_ptr<SharedRequestIds> shared_request_ids_;
    RequestIdRegistry request_ids_;
    Reducer reducer_;
    UpstreamPool upstreams_;
    Discovery discovery_;
    DownstreamServer downstream_;
    std::optional<AdminServer> admin_;
    std::optional<fleet::Host> fleet_;
    // Duty probes in flight, by fencing token, and results that have not been reported to the fleet yet.
    struct DutyProbe {
        std::string duty;
        fleet::Epoch epoch = 0;
    };
    std::map<uint64_t, DutyProbe> duty_probes_;
    uint64_t next_fencing_token_ = 1;
    std::map<std::string, std::pair<fleet::Epoch, std::vector<fleet::ProbeReport>>> probe_reports_;
    TimePoint probes_reported_at_, ticked_at_;
    size_t processes_ = 1;  // of this balancer
    bool all_share_request_ids_ = true;
    TimePoint processes_counted_at_;
    std::deque<Event> events_;
    bool reducing_ = false, stopping_ = false, stopped_accepting_ = false;
    TimePoint stopping_since_;
    TimePoint descriptors_warned_at_;
    std::vector<EventPtr> signal_events_;
    EventPtr stop_accepting_timer_, periodic_timer_;
};

}  // namespace firtide::net
