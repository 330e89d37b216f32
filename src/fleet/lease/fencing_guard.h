// The receiver's side of fencing: rejects effects made under a lease that has since been granted to another
// holder.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/fleet/ids.h"

namespace firtide::fleet
{

// Tracks the highest (epoch, sequence number) of each duty. Not thread-safe.
class FencingGuard
{
  public:
    // Accepts and records an effect that is newer than all accepted before it. Returns false for an effect
    // with a lower epoch and for one that was already accepted.
    [[nodiscard]] bool accept(const std::string& duty, Epoch epoch, uint64_t sequence_number);

    // Records that a duty has reached this epoch, without an effect.
    void observe_epoch(const std::string& duty, Epoch epoch) { (void)accept(duty, epoch, 0); }

    // The highest epoch seen of a duty, or zero.
    [[nodiscard]] Epoch epoch(const std::string& duty) const;

  private:
    struct Position {
        Epoch epoch = 0;
        uint64_t sequence_number = 0;
        auto operator<=>(const Position&) const = default;
    };

    std::map<std::string, Position> newest_;
};

}  // namespace firtide::fleet
