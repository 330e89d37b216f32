// Broadcasts of duties: numbers them within their epoch, checks received ones against the fencing guard, and
// forwards them.
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

    // To be called when a duty is gained: numbers restart with each epoch.
    void restart(const std::string& duty) { last_numbers_[duty] = 0; }
    // Creates the next broadcast of a duty that this member holds. If `content` is empty, `content_number` is
    // the number of the broadcast whose content is still valid.
    Broadcast next(const std::string& duty, Epoch epoch, std::string content, uint64_t content_number);
    // Sends a broadcast to the gossip targets if the lease is still valid then.
    void publish(const Broadcast& broadcast);
    // Checks a received broadcast and forwards it. Returns false if it must be ignored.
    [[nodiscard]] bool accept(MemberIndex from, const Broadcast& broadcast);

  private:
    FleetContext& context_;
    std::map<std::string, uint64_t> last_numbers_;
};

}  // namespace firtide::fleet
