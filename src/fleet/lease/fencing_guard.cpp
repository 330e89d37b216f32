#include "fencing_guard.h"

namespace firtide::fleet
{

bool FencingGuard::accept(const std::string& duty, Epoch epoch, uint64_t sequence_number)
{
    Position& newest = newest_[duty];
    const Position position{epoch, sequence_number};
    if (position <= newest) return false;
    newest = position;
    return true;
}

Epoch FencingGuard::epoch(const std::string& duty) const
{
    const auto found = newest_.find(duty);
    return found == newest_.end() ? 0 : found->second.epoch;
}

}  // namespace firtide::fleet
