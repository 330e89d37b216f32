// The order of one client's requests to one unit, without I/O: a write waits for all before it, a read for
// the writes before it only. Says when a request may be handed on, never where to.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

namespace firtide::modbus
{

using Ticket = uint64_t;

class Order
{
  public:
    // The next request of the client to the unit. Returns whether it may go on now.
    bool arrived(Ticket ticket, bool writes);
    // It has had its answer, whether it had gone on or not. Returns those that may go on now, in their order.
    std::vector<Ticket> finished(Ticket ticket);
    bool empty() const { return waiting_.empty(); }

  private:
    struct Request {
        Ticket ticket;
        bool writes;
        bool gone_on;
    };
    // In order of arrival; each stays until it is finished.
    std::deque<Request> waiting_;
};

}  // namespace firtide::modbus
