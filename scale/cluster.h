// Starts, queries, restarts and stops the processes of a scale run. Real members are queried at their
// management addresses, hollow members over the connection between their process and the controller.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "change_tracker.h"
#include "child_process.h"
#include "fleet_view.h"
#include "hollow_protocol.h"
#include "layout.h"
#include "line_stream.h"
#include "process_usage.h"
#include "traffic_meter.h"

namespace firtide::scale
{

class Cluster
{
  public:
    // own_program: the path of this program, which also runs the hollow members.
    Cluster(event_base* base, const Options& options, const Layout& layout, ChangeTracker& tracker,
            std::string own_program);

    bool start_real(uint32_t member);
    bool start_hollow(size_t group);
    bool hollow_started() const;

    void stop_real(uint32_t member);  // by SIGTERM; restarted by restart_ended_processes()
    void restart_hollow(size_t group);
    void kill_hollow(size_t group);
    void leave(uint32_t member);
    void join(uint32_t member);
    // Restarts processes that were stopped and have ended. Returns false if one cannot be started.
    bool restart_ended_processes();
    // Describes a process that exited unexpectedly; nothing if all are running.
    std::optional<std::string> failure();

    // Query all members; all_answered() is true once each has answered or its query has failed.
    void ask_views();
    void ask_traffic();
    bool all_answered() const { return pending_answers_ == 0; }
    void send_management_command(uint32_t member, const std::string& line);  // ignores the answer

    void read_usage();
    void reset_peak_memory();
    double memory_mb() const;    // of all processes, at the last read_usage()
    double cpu_seconds() const;  // of all processes, up to the last read_usage()

    const std::optional<FleetView>& real_view(uint32_t member) const { return real_[member].view; }
    const std::optional<HollowView>& hollow_view(size_t group) const { return hollow_[group].view; }
    bool killed(size_t group) const { return hollow_[group].killed; }
    const UsageMeter& real_usage(uint32_t member) const { return real_[member].usage; }
    const UsageMeter& hollow_usage(size_t group) const { return hollow_[group].usage; }
    TrafficMeter::Reading traffic(uint32_t member) const { return traffic_[member].reading(); }

  private:
    struct Real {
        std::optional<ChildProcess> process;
        std::unique_ptr<LineStream> log;
        std::optional<FleetView> view;
        UsageMeter usage;
        bool stopping = false;
    };
    struct Hollow {
        std::optional<ChildProcess> process;
        std::unique_ptr<LineStream> connection;
        std::optional<HollowView> view;
        UsageMeter usage;
        bool started = false, killed = false;
        uint32_t pending_answers = 0;  // to queries
    };

    void ask_real(uint32_t member);
    void ask_hollow(size_t group, const HollowCommand& command);
    void handle_log_line(uint32_t member, std::string_view line);
    void handle_report(size_t group, std::string_view line);
    void count_hollow_answer(Hollow& hollow);
    void kill_hollow_process(size_t group);

    event_base* base_;
    const Options& options_;
    const Layout& layout_;
    ChangeTracker& tracker_;
    const std::string own_program_;
    std::vector<TrafficMeter> traffic_;
    std::vector<Real> real_;
    std::vector<Hollow> hollow_;
    uint32_t pending_answers_ = 0;
};

}  // namespace firtide::scale
