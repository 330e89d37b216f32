// The receiver's side of fencing: rejects effects of a lease that another holder has since been granted.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/fleet/ids.h"

namespace firtide::fleet
{

// Keeps the newest (epoch, sequence number) of each duty. Not thread-safe.
class FencingGuard
{
  public:
    // Accepts an effect that is newer than every one accepted before it, and records it. Returns false for an
    // effect of a lower epoch, and for one that has been accepted already.
    [[nodiscard]] bool accept(const std::string& duty, Epoch epoch, uint64_t number);

    // Records that a duty has reached this epoch, without an effect.
    void observe_epoch(const std::string& duty, Epoch epoch) { (void)accept(duty, epoch, 0); }

    // The newest epoch seen of a duty; zero where none was.
    [[nodiscard]] Epoch epoch(const std::string& duty) const;

  private:
    struct Position {
        Epoch epoch = 0;
        uint64_t number = 0;
        auto operator<=>(const Position&) const = default;
    };

    std::map<std::string, Position> newest_;
};

}  // namespace firtide::fleet
