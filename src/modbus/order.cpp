#include "order.h"

#include <algorithm>

namespace firtide::modbus
{

bool Order::arrived(Ticket ticket, bool writes)
{
    const bool any_write = std::any_of(waiting_.begin(), waiting_.end(), [](auto& r) { return r.writes; });
    const bool goes_on = writes ? waiting_.empty() : !any_write;
    waiting_.push_back({ticket, writes, goes_on});
    return goes_on;
}

std::vector<Ticket> Order::finished(Ticket ticket)
{
    std::erase_if(waiting_, [&](auto& r) { return r.ticket == ticket; });
    std::vector<Ticket> on;
    for (size_t i = 0; i < waiting_.size(); ++i) {
        Request& r = waiting_[i];
        // Guards against a write that passes a read before it, whose answer would show the new value.
        if (r.writes && i > 0) break;
        if (!r.gone_on) r.gone_on = true, on.push_back(r.ticket);
        if (r.writes) break;
    }
    return on;
}

}  // namespace firtide::modbus
