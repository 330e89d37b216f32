// The server at the management address, for operators: it reads one command line per connection, sends one
// reply and closes. Commands are decoded and results encoded here only; the reducer carries them out. Uses
// plain events of the highest priority, so that operators are served before callers.
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
std::string encode_admin_result(const AdminCommandResult& result);

class AdminServer
{
  public:
    AdminServer(event_base* base, const Address& address, std::function<void(Event)> post_event);
    ~AdminServer();

    // Sets the handler of fleet commands, which gets the words of a line and returns false for an unknown
    // command. on_disconnect: a client that waits for a reply has disconnected.
    void set_fleet_command_handler(
        std::function<bool(AdminConnectionId, const std::vector<std::string>&)> handle_command,
        std::function<void(AdminConnectionId)> on_disconnect);

    void answer(const AdminCommandResult& result);
    void answer(AdminConnectionId caller, const std::string& text);

  private:
    struct Connection;
    using ConnectionIterator = std::list<Connection>::iterator;

    void accept_connections();
    void on_readable(ConnectionIterator it);
    void send_reply(ConnectionIterator it, const std::string& text);

    event_base* base_;
    std::function<void(Event)> post_event_;
    std::function<bool(AdminConnectionId, const std::vector<std::string>&)> handle_fleet_command_;
    std::function<void(AdminConnectionId)> on_disconnect_;
    Descriptor listener_;
    EventPtr accept_event_;
    AdminConnectionId next_connection_id_ = 1;
    std::list<Connection> connections_;  // oldest first
};

}  // namespace firtide::net
