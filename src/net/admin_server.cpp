#include "admin_server.h"

#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "src/io/log.h"

namespace firtide::net
{
namespace
{

// Beyond it, the oldest connection that awaits no fleet reply is closed.
constexpr size_t max_connections = 12;
constexpr size_t max_ignored_bytes = 16 * 1024;  // input after the command line
constexpr size_t max_line_bytes = 256;
constexpr Duration line_timeout = seconds(5);
constexpr Duration lingering_close_timeout = seconds(1);  // for the client to read the reply
constexpr int highest_priority = 0;

const char* name_of(ServingState serving_state)
{
    switch (serving_state) {
        case ServingState::starting: return "starting";
        case ServingState::ready: return "ready";
        case ServingState::draining: return "draining";
        default: return "stopping";
    }
}

void append_metric(std::string& out, std::string_view name, uint64_t value, char kind)
{
    out.append("node.").append(name).append(":").append(std::to_string(value)).append("|");
    out.push_back(kind);
    out.push_back('\n');
}

std::vector<std::string> split_words(std::string_view line)
{
    std::vector<std::string> words;
    for (size_t begin = 0; begin < line.size();) {
        const auto end = std::min(line.find_first_of(" \t\r", begin), line.size());
        if (end > begin) words.emplace_back(line.substr(begin, end - begin));
        begin = end + 1;
    }
    return words;
}

}  // namespace

std::optional<AdminCommand> decode_admin_command(std::string_view line)
{
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line == "ready") return AdminCommand::ready;
    if (line == "show-stat") return AdminCommand::show_stat;
    if (line == "show-resources") return AdminCommand::show_resources;
    if (line == "drain") return AdminCommand::drain;
    if (line == "resume") return AdminCommand::resume;
    return {};
}

std::string encode_admin_result(const AdminCommandResult& result)
{
    std::string out = result.success ? "SUCCESS " : "FAILURE ";
    out.append(name_of(result.serving_state)).append("\n");
    if (result.resources) {
        for (const auto& metric : result.resources->metrics)
            append_metric(out, metric.name, metric.value, metric.is_counter ? 'c' : 'g');
        return out.append("EOT\n");
    }
    if (!result.statistics) return out;
    const ServiceStatistics& f = *result.statistics;
    for (const auto& [name, n] : f.outcomes_by_operation) {
        append_metric(out, "success." + name, n.success, 'c');
        append_metric(out, "busy." + name, n.busy, 'c');
        append_metric(out, "failure." + name, n.failure, 'c');
    }
    append_metric(out, "backend_calls", f.backend_calls, 'c');
    append_metric(out, "inflight", f.inflight, 'g');
    append_metric(out, "hosts_listed", f.hosts_listed, 'g');
    append_metric(out, "hosts_down", f.hosts_down, 'g');
    return out.append("EOT\n");
}

// One connection, from accept to close.
struct AdminServer::Connection {
    AdminServer* owner = nullptr;
    ConnectionIterator self;
    Descriptor socket;
    EventPtr read_event;
    std::string line;
    AdminConnectionId caller = no_admin_connection;  // until its command line has been received
    bool answered = false;
    bool awaits_fleet_reply = false;  // for the reply to a fleet command, which may take a while
    size_t ignored_bytes = 0;
};

AdminServer::AdminServer(event_base* base, const Address& address, std::function<void(Event)> post_event)
    : base_(base), post_event_(std::move(post_event))
{
    sockaddr_storage socket_address{};
    int length = sizeof socket_address;
    const auto text = to_string(address);
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&socket_address), &length) != 0)
        throw ConfigException("mgmt: '" + text + "' is not a numeric address");
    listener_ = Descriptor(socket(socket_address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    if (listener_.fd() < 0 || setsockopt(listener_.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        bind(listener_.fd(), reinterpret_cast<sockaddr*>(&socket_address), static_cast<socklen_t>(length)) !=
            0 ||
        listen(listener_.fd(), 64) != 0)
        throw ConfigException("mgmt: cannot listen on " + text + ": " +
                              evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    accept_event_.reset(event_new(
        base_, listener_.fd(), EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<AdminServer*>(self)->accept_connections(); },
        this));
    event_priority_set(accept_event_.get(), highest_priority);
    event_add(accept_event_.get(), nullptr);
}

AdminServer::~AdminServer() = default;

void AdminServer::accept_connections()
{
    for (size_t n = 0; n < max_connections; ++n) {
        Descriptor socket(accept4(listener_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (socket.fd() < 0) return;
        // Clients that connect and send nothing must not keep others out.
        if (connections_.size() >= max_connections) {
            const auto oldest = std::find_if(connections_.begin(), connections_.end(),
                                             [](const Connection& c) { return !c.awaits_fleet_reply; });
            if (oldest == connections_.end()) continue;
            connections_.erase(oldest);
        }
        connections_.emplace_back();
        const auto it = std::prev(connections_.end());
        it->owner = this;
        it->self = it;
        it->socket = std::move(socket);
        it->read_event.reset(event_new(
            base_, it->socket.fd(), EV_READ | EV_TIMEOUT | EV_PERSIST,
            [](evutil_socket_t, short what, void* arg) {
                auto* c = static_cast<Connection*>(arg);
                if (what & EV_READ) return c->owner->on_readable(c->self);
                if (c->answered) return (void)c->owner->connections_.erase(c->self);
                if (c->awaits_fleet_reply) return;
                c->owner->send_reply(c->self, "FAILURE no line came\n");
            },
            &*it));
        event_priority_set(it->read_event.get(), highest_priority);
        const auto wait = to_timeval(line_timeout);
        event_add(it->read_event.get(), &wait);
    }
}

void AdminServer::on_readable(ConnectionIterator it)
{
    char bytes[512];
    const auto n = recv(it->socket.fd(), bytes, sizeof bytes, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0 && (it->line.empty() || it->caller || it->answered)) {
        const auto disconnected = it->awaits_fleet_reply && !it->answered ? it->caller : 0;
        connections_.erase(it);
        if (disconnected) on_disconnect_(disconnected);
        return;
    }
    if (it->answered || it->caller) {
        // Input after the command line is ignored, up to a limit, so that a flood is not read without end.
        if ((it->ignored_bytes += static_cast<size_t>(n)) > max_ignored_bytes) connections_.erase(it);
        return;
    }
    if (n > 0) it->line.append(bytes, static_cast<size_t>(n));
    const auto end = it->line.find('\n');
    if (end == std::string::npos && n > 0 && it->line.size() <= max_line_bytes) return;
    if (std::min(end, it->line.size()) > max_line_bytes)
        return send_reply(it, "FAILURE the line is too long\n");
    const auto line = std::string_view(it->line).substr(0, end);
    it->caller = next_connection_id_++;
    if (const auto command = decode_admin_command(line))
        return post_event_(AdminCommandReceived{it->caller, *command});
    if (handle_fleet_command_) {
        // The reply may come much later, and the client may disconnect before it.
        it->awaits_fleet_reply = true;
        if (handle_fleet_command_(it->caller, split_words(line))) return;
        it->awaits_fleet_reply = false;
        it->caller = no_admin_connection;
        return send_reply(it,
                          "FAILURE unknown call; known are ready, show-stat, show-resources, drain, resume, "
                          "drain permit, show-fleet, "
                          "transfer-duty DUTY [ID], add-voter ID, remove-voter ID\n");
    }
    it->caller = no_admin_connection;
    send_reply(it, "FAILURE unknown call; known are ready, show-stat, show-resources, drain, resume\n");
}

void AdminServer::set_fleet_command_handler(
    std::function<bool(AdminConnectionId, const std::vector<std::string>&)> handle_command,
    std::function<void(AdminConnectionId)> on_disconnect)
{
    handle_fleet_command_ = std::move(handle_command);
    on_disconnect_ = std::move(on_disconnect);
}

void AdminServer::answer(AdminConnectionId caller, const std::string& text)
{
    if (caller == no_admin_connection) return;
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [&](const Connection& c) { return c.caller == caller; });
    if (it != connections_.end()) send_reply(it, text);
}

void AdminServer::answer(const AdminCommandResult& result)
{
    answer(result.connection, encode_admin_result(result));
}

// A reply is small: what the kernel does not accept at once is for a client that does not read, and is
// dropped.
void AdminServer::send_reply(ConnectionIterator it, const std::string& text)
{
    (void)!send(it->socket.fd(), text.data(), text.size(), MSG_NOSIGNAL);
    shutdown(it->socket.fd(), SHUT_WR);
    // Further input is read for a moment: closing with unread input would reset the connection and could
    // lose the reply.
    it->answered = true;
    it->awaits_fleet_reply = false;
    const auto wait = to_timeval(lingering_close_timeout);
    event_add(it->read_event.get(), &wait);
}

}  // namespace firtide::net
