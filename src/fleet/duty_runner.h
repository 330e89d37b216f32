// Executes the duties that a member holds: periodic probes and notifications of subscribers, and the permit
// to drain.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "duty_broadcasts.h"
#include "fleet_context.h"

namespace firtide::fleet
{

class DutyRunner
{
  public:
    // Both must outlive the runner.
    DutyRunner(FleetContext& context, DutyBroadcasts& broadcasts) : context_(context), broadcasts_(broadcasts)
    {
    }

    // Emits the effects that are due.
    void tick();
    void on_lease_changed(const LeaseChange& change);
    void on_probes_completed(ProbesCompleted& probes);
    void on_effect_refused(const EffectRefused& refused);

    // Replies to the caller once the permit is granted, or with an error.
    void request_drain_permit(uint64_t caller);
    void return_drain_permit();
    void on_admin_disconnected(uint64_t caller);

  private:
    // A duty that this member holds.
    struct Task {
        Epoch epoch = 0;
        uint64_t last_number = 0;
        TimePoint next_run;
        uint32_t slice = 0;
    };

    void run(const std::string& name, const Duty& duty, Task& task);
    void start_probes(const std::string& name, Task& task);
    void notify_subscriber(const std::string& name, const Duty& duty, Task& task);
    void on_permit_gained(const LeaseChange& change);
    void on_permit_lost();

    FleetContext& context_;
    DutyBroadcasts& broadcasts_;
    std::map<std::string, Task> tasks_;
    std::optional<uint64_t> permit_caller_;  // waits for the permit
    bool wants_permit_ = false;
};

}  // namespace firtide::fleet
