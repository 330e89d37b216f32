// The management address for operators: one line in, one answer, and the end. Lines are decoded here once and
// answers encoded once; what they tell and change is the reducer's. On plain events of the first priority:
// whatever the callers' side has to do comes after it.
#pragma once

#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <vector>

#include "config.h"
#include "src/io/event.h"

namespace firtide::net
{

std::optional<AdminCommand> decode_admin_command(std::string_view line);
std::string encode_admin_result(const AdminCommandResult& obeyed);

class AdminServer
{
  public:
    AdminServer(event_base* base, const Address& address, std::function<void(Event)> tell);
    ~AdminServer();

    // Further orders, by their words; false: none of them. left: a caller that waits for an answer has gone.
    void fleet_orders(std::function<bool(AdminConnectionId, const std::vector<std::string>&)> ordered,
                      std::function<void(AdminConnectionId)> left);

    void answer(const AdminCommandResult& obeyed);
    void answer(AdminConnectionId caller, const std::string& text);

  private:
    struct Connection;
    using Place = std::list<Connection>::iterator;

    void accept();
    void readable(Place at);
    void reply(Place at, const std::string& text);

    event_base* base_;
    std::function<void(Event)> tell_;
    std::function<bool(AdminConnectionId, const std::vector<std::string>&)> ordered_;
    std::function<void(AdminConnectionId)> left_;
    Descriptor listener_;
    EventPtr accepting_;
    AdminConnectionId next_ = 1;
    std::list<Connection> open_;  // the longest open first
};

}  // namespace firtide::net
