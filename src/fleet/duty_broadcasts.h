// Broadcasts of duties: numbered within their epoch, checked against the fence, and passed on.
#pragma once

#include <map>
#include <string>

#include "fleet_context.h"

namespace firtide::fleet
{

class DutyBroadcasts
{
  public:
    explicit DutyBroadcasts(FleetContext& context) : context_(context) {}

    // To be called when a duty is gained: its numbers begin anew with the epoch.
    void restart(const std::string& duty) { last_numbers_[duty] = 0; }
    // The next broadcast of a duty that this member holds. Without content, `content_number` names the
    // broadcast whose content still holds.
    Broadcast next(const std::string& duty, Epoch epoch, std::string content, uint64_t content_number);
    // Sends a broadcast to the gossip targets, for as long as the lease holds.
    void publish(const Broadcast& broadcast);
    // Checks one that was received, and passes it on. Returns false where it is to be ignored.
    [[nodiscard]] bool accept(MemberIndex from, const Broadcast& broadcast);

  private:
    FleetContext& context_;
    std::map<std::string, uint64_t> last_numbers_;
};

}  // namespace firtide::fleet
