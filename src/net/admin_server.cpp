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

constexpr size_t most_open = 12;            // the longest silent goes first
constexpr size_t most_ignored = 16 * 1024;  // bytes behind a line
constexpr size_t most_line = 256;           // bytes
constexpr Duration whole_line = seconds(5);
constexpr Duration lets_go = seconds(1);  // to be read to its end by the caller
constexpr int first_priority = 0;

const char* name_of(ServingState serving_state)
{
    switch (serving_state) {
        case ServingState::starting: return "starting";
        case ServingState::ready: return "ready";
        case ServingState::draining: return "draining";
        default: return "stopping";
    }
}

void figure(std::string& out, std::string_view name, uint64_t value, char kind)
{
    out.append("node.").append(name).append(":").append(std::to_string(value)).append("|");
    out.push_back(kind);
    out.push_back('\n');
}

std::vector<std::string> words_of(std::string_view line)
{
    std::vector<std::string> words;
    for (size_t at = 0; at < line.size();) {
        const auto end = std::min(line.find_first_of(" \t\r", at), line.size());
        if (end > at) words.emplace_back(line.substr(at, end - at));
        at = end + 1;
    }
    return words;
}

}  // namespace

std::optional<AdminCommand> decode_admin_command(std::string_view line)
{
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line == "ready") return AdminCommand::ready;
    if (line == "show-stat") return AdminCommand::show_stat;
    if (line == "drain") return AdminCommand::drain;
    if (line == "resume") return AdminCommand::resume;
    return {};
}

std::string encode_admin_result(const AdminCommandResult& obeyed)
{
    std::string out = obeyed.success ? "SUCCESS " : "FAILURE ";
    out.append(name_of(obeyed.serving_state)).append("\n");
    if (!obeyed.statistics) return out;
    const ServiceStatistics& f = *obeyed.statistics;
    for (const auto& [name, n] : f.outcomes_by_operation) {
        figure(out, "success." + name, n.success, 'c');
        figure(out, "busy." + name, n.busy, 'c');
        figure(out, "failure." + name, n.failure, 'c');
    }
    figure(out, "backend_calls", f.backend_calls, 'c');
    figure(out, "inflight", f.inflight, 'g');
    figure(out, "hosts_listed", f.hosts_listed, 'g');
    figure(out, "hosts_down", f.hosts_down, 'g');
    return out.append("EOT\n");
}

// Lives as long as the connection.
struct AdminServer::Connection {
    AdminServer* owner = nullptr;
    Place self;
    Descriptor socket;
    EventPtr reading;
    std::string line;
    AdminConnectionId caller = 0;  // its line has come
    bool answered = false;
    bool waits = false;  // for an answer that may take its time
    size_t ignored = 0;
};

AdminServer::AdminServer(event_base* base, const Address& address, std::function<void(Event)> tell)
    : base_(base), tell_(std::move(tell))
{
    sockaddr_storage at{};
    int length = sizeof at;
    const auto text = to_string(address);
    if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&at), &length) != 0)
        throw ConfigException("mgmt: '" + text + "' is no numeric address");
    listener_ = Descriptor(socket(at.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    if (listener_.fd() < 0 || setsockopt(listener_.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        bind(listener_.fd(), reinterpret_cast<sockaddr*>(&at), static_cast<socklen_t>(length)) != 0 ||
        listen(listener_.fd(), 64) != 0)
        throw ConfigException("mgmt: cannot listen on " + text + ": " +
                              evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    accepting_.reset(event_new(
        base_, listener_.fd(), EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<AdminServer*>(self)->accept(); }, this));
    event_priority_set(accepting_.get(), first_priority);
    event_add(accepting_.get(), nullptr);
}

AdminServer::~AdminServer() = default;

void AdminServer::accept()
{
    for (size_t n = 0; n < most_open; ++n) {
        Descriptor socket(accept4(listener_.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (socket.fd() < 0) return;
        // Guards against callers that connect and say nothing: the others are let in all the same.
        if (open_.size() >= most_open) {
            const auto silent =
                std::find_if(open_.begin(), open_.end(), [](const Connection& c) { return !c.waits; });
            if (silent == open_.end()) continue;
            open_.erase(silent);
        }
        open_.emplace_back();
        const Place at = std::prev(open_.end());
        at->owner = this;
        at->self = at;
        at->socket = std::move(socket);
        at->reading.reset(event_new(
            base_, at->socket.fd(), EV_READ | EV_TIMEOUT | EV_PERSIST,
            [](evutil_socket_t, short what, void* arg) {
                auto* c = static_cast<Connection*>(arg);
                if (what & EV_READ) return c->owner->readable(c->self);
                if (c->answered) return (void)c->owner->open_.erase(c->self);
                if (c->waits) return;
                c->owner->reply(c->self, "FAILURE no line came\n");
            },
            &*at));
        event_priority_set(at->reading.get(), first_priority);
        const auto wait = to_timeval(whole_line);
        event_add(at->reading.get(), &wait);
    }
}

void AdminServer::readable(Place at)
{
    char bytes[512];
    const auto n = recv(at->socket.fd(), bytes, sizeof bytes, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0 && (at->line.empty() || at->caller || at->answered)) {
        const auto left = at->waits && !at->answered ? at->caller : 0;
        open_.erase(at);
        if (left) left_(left);
        return;
    }
    if (at->answered || at->caller) {
        // What comes behind the line is nothing. Guards against floods that are read without end.
        if ((at->ignored += static_cast<size_t>(n)) > most_ignored) open_.erase(at);
        return;
    }
    if (n > 0) at->line.append(bytes, static_cast<size_t>(n));
    const auto end = at->line.find('\n');
    if (end == std::string::npos && n > 0 && at->line.size() <= most_line) return;
    if (std::min(end, at->line.size()) > most_line) return reply(at, "FAILURE the line is too long\n");
    const auto line = std::string_view(at->line).substr(0, end);
    at->caller = next_++;
    if (const auto order = decode_admin_command(line)) return tell_(AdminCommandReceived{at->caller, *order});
    if (ordered_) {
        // What is waited for comes when it comes; the caller may leave meanwhile.
        at->waits = true;
        if (ordered_(at->caller, words_of(line))) return;
        at->waits = false;
        at->caller = 0;
        return reply(
            at,
            "FAILURE unknown call; known are ready, show-stat, drain, resume, drain permit, show-fleet, "
            "transfer-duty DUTY [ID], add-voter ID, remove-voter ID\n");
    }
    at->caller = 0;
    reply(at, "FAILURE unknown call; known are ready, show-stat, drain, resume\n");
}

void AdminServer::fleet_orders(
    std::function<bool(AdminConnectionId, const std::vector<std::string>&)> ordered,
    std::function<void(AdminConnectionId)> left)
{
    ordered_ = std::move(ordered);
    left_ = std::move(left);
}

void AdminServer::answer(AdminConnectionId caller, const std::string& text)
{
    const auto at =
        std::find_if(open_.begin(), open_.end(), [&](const Connection& c) { return c.caller == caller; });
    if (at != open_.end()) reply(at, text);
}

void AdminServer::answer(const AdminCommandResult& obeyed)
{
    answer(obeyed.connection, encode_admin_result(obeyed));
}

// An answer is small: what the kernel does not take at once has no reader.
void AdminServer::reply(Place at, const std::string& text)
{
    (void)!send(at->socket.fd(), text.data(), text.size(), MSG_NOSIGNAL);
    shutdown(at->socket.fd(), SHUT_WR);
    // Guards against an answer that is lost to a reset: what still comes is read for a moment.
    at->answered = true;
    at->waits = false;
    const auto wait = to_timeval(lets_go);
    event_add(at->reading.get(), &wait);
}

}  // namespace firtide::net
