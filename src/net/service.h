// The loop: one thread that hands events to the reducer and carries out its effects. Embed it by giving it a
// configuration and calling run().
#pragma once

#include <deque>

#include "admin_server.h"
#include "discovery.h"
#include "downstream_server.h"
#include "hot_restart.h"
#include "src/fleet/host/host.h"
#include "upstream_pool.h"

namespace firtide::net
{

class Service
{
  public:
    // read_again: reads the configuration anew at SIGHUP, or throws; where there is none, SIGHUP is left
    // alone.
    // fleet: the file of the fleet that this balancer is a member of, and its path; where there is none,
    // nothing of it exists.
    explicit Service(Config config, std::function<Config()> read_again = {},
                     std::optional<std::pair<fleet::FleetConfig, std::string>> fleet = {});
    ~Service();

    // Serves until a SIGTERM or SIGINT has come and everything in flight is answered.
    void run();

  private:
    void post(Event event);
    void carry_out(Effect& effect);
    void make_room();
    void stop();
    void reread();
    void on_signal(int number, void (*what)(evutil_socket_t, short, void*));
    void stop_accepting();
    size_t part(double of) const;  // of the descriptors
    void look();
    void count_processes();
    fleet::Host::Hooks hooks();
    void tell_lists_to_fleet();
    bool shares_list() const { return fleet_ && fleet_->config().list; }
    void carry_out(const WriteUpstream& write);
    void carry_out(ProbeCompleted& probed);
    void pass_on_probes();
    bool ordered(AdminConnectionId caller, const std::vector<std::string>& words);

    Config config_;  // its settings change with the reducer
    const std::function<Config()> read_again_;
    // The loop's time at Unix time zero, taken once: the same start of an upstream is the same point ever
    // after.
    const TimePoint epoch_;
    const size_t descriptors_;  // for callers and upstreams together
    EventBasePtr base_;
    Reducer reducer_;
    UpstreamPool upstreams_;
    Discovery discovery_;
    DownstreamServer callers_;
    std::optional<AdminServer> management_;
    std::optional<fleet::Host> fleet_;
    // Probes of duties that are on their way, and what they found and is not passed on yet.
    struct Stamp {
        std::string duty;
        fleet::Epoch epoch = 0;
    };
    std::map<uint64_t, Stamp> stamps_;
    uint64_t next_stamp_ = 1;
    std::map<std::string, std::pair<fleet::Epoch, std::vector<fleet::ProbeReport>>> found_;
    TimePoint passed_on_, ticked_;
    std::optional<HotRestart> handover_;
    size_t processes_ = 1;  // of this balancer
    TimePoint counted_processes_;
    std::deque<Event> events_;
    bool reducing_ = false, stopping_ = false, stopped_accepting_ = false;
    TimePoint stopping_since_;
    TimePoint told_of_no_room_;
    std::vector<EventPtr> signals_;
    EventPtr stop_accepting_, look_;
};

}  // namespace firtide::net
