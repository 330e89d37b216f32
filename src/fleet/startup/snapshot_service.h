// Restores the snapshot of this member's last run and writes new ones periodically, if the fleet file has
// [recovery].
#pragma once

#include <string>
#include <vector>

#include "src/fleet/endpoints/endpoint_list_service.h"
#include "src/fleet/fleet_context.h"
#include "src/fleet/shared_choices.h"

namespace firtide::fleet
{

class SnapshotService
{
  public:
    // All arguments must outlive the service.
    SnapshotService(FleetContext& context, EndpointListService& endpoints, const SharedChoices& choices);

    void start();
    void tick();
    void on_loaded(SnapshotLoaded& loaded);
    // For show-recovery.
    [[nodiscard]] std::string status() const;

  private:
    void reject(const SnapshotError& error);
    void restore(MemberSnapshot snapshot, std::optional<Duration> age);
    void report_outdated_disk();
    FleetState fleet_state() const;
    MemberSnapshot make_snapshot();

    FleetContext& context_;
    EndpointListService& endpoints_;
    const SharedChoices& choices_;
    std::vector<std::string> restore_report_;  // what was restored and rejected
    Incarnation startup_incarnation_ = 0;
    TimePoint last_write_;
    bool reported_outdated_disk_ = false;
};

}  // namespace firtide::fleet
