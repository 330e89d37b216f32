// A member's own past: takes in the snapshot of its last run, and writes a new one again and again. Where the
// fleet file has [recovery].
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
    // All must outlive the service.
    SnapshotService(FleetContext& context, EndpointListService& endpoints, const SharedChoices& choices);

    void start();
    void tick();
    void on_loaded(SnapshotLoaded& loaded);
    // For show-recovery.
    [[nodiscard]] std::string status() const;

  private:
    void refuse(const SnapshotError& error);
    void trust(MemberSnapshot snapshot, std::optional<Duration> age);
    void report_outdated_disk();
    FleetState fleet_state() const;
    MemberSnapshot make_snapshot();

    FleetContext& context_;
    EndpointListService& endpoints_;
    const SharedChoices& choices_;
    std::vector<std::string> history_;  // what was trusted and refused of the snapshot
    Incarnation first_incarnation_ = 0;
    TimePoint last_write_;
    bool reported_outdated_disk_ = false;
};

}  // namespace firtide::fleet
