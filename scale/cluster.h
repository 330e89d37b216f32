// The processes of a scale run: started, asked, restarted and ended. Real members are asked at their doors,
// hollow ones over their process's line to the controller.
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
    // own_program: this one, which is started again for hollow members.
    Cluster(event_base* base, const Options& options, const Layout& layout, ChangeTracker& tracker,
            std::string own_program);

    bool start_real(uint32_t member);
    bool start_hollow(size_t group);
    bool hollow_started() const;

    void stop_real(uint32_t member);  // by SIGTERM; it is started again once it has ended
    void restart_hollow(size_t group);
    void kill_hollow(size_t group);
    void leave(uint32_t member);
    void join(uint32_t member);
    // Starts again those that were stopped and have ended. False where one cannot be started.
    bool start_again();
    // Of a process that has ended by itself; nothing: all are well.
    std::optional<std::string> failure();

    // Asks all members; answered() once each has said what it has, or nothing.
    void ask_views();
    void ask_traffic();
    bool answered() const { return waiting_ == 0; }
    void order(uint32_t member, const std::string& line);  // at its door

    void read_usage();
    void forget_greatest_usage();
    double memory_mb() const;    // of all processes, at the last reading
    double cpu_seconds() const;  // of all processes, until the last reading

    const std::optional<FleetView>& real_view(uint32_t member) const { return real_[member].view; }
    const std::optional<View>& hollow_view(size_t group) const { return hollow_[group].view; }
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
        std::unique_ptr<LineStream> line;
        std::optional<View> view;
        UsageMeter usage;
        bool started = false, killed = false;
        uint32_t asked = 0;  // answers that are still to come
    };

    void ask_real(uint32_t member);
    void ask_hollow(size_t group, const HollowCommand& command);
    void heard_log(uint32_t member, std::string_view line);
    void heard(size_t group, std::string_view line);
    void hollow_answered(Hollow& hollow);
    void end_hollow(size_t group);

    event_base* base_;
    const Options& options_;
    const Layout& layout_;
    ChangeTracker& tracker_;
    const std::string own_program_;
    std::vector<TrafficMeter> traffic_;
    std::vector<Real> real_;
    std::vector<Hollow> hollow_;
    uint32_t waiting_ = 0;
};

}  // namespace firtide::scale
