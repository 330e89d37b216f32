#include "load_generator.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <stdexcept>

#include "src/http/message.h"
#include "src/io/event.h"

namespace firtide::scale
{

std::atomic<bool> interrupted = false;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr size_t max_connections = 512;
constexpr int max_events = 256;
constexpr size_t read_size = 16 * 1024;
constexpr Nanoseconds final_answer_timeout = std::chrono::seconds(12);
constexpr int good_status = 200;
constexpr const char* call_deadline_ms = "10000";

// A connection to one of the ports, with at most one call in flight.
struct Connection {
    Connection(int fd, size_t port_index, const ServiceConfig& setup)
        : socket(fd), port(port_index), reader(std::make_unique<ResponseReader>(setup))
    {
    }

    Descriptor socket;
    size_t port;
    std::list<Connection>::iterator self;
    std::optional<Call> call;  // none: idle
    std::string unsent;
    std::unique_ptr<ResponseReader> reader;
};

enum class ReadResult { nothing, answered, ended };

class LoadGenerator
{
  public:
    LoadGenerator(const LoadTarget& target, OpenLoop& loop)
        : target_(target), loop_(loop), idle_(target.ports.size()), poll_(epoll_create1(EPOLL_CLOEXEC))
    {
        if (poll_.fd() < 0) throw std::runtime_error("cannot create an epoll descriptor");
    }

    void run()
    {
        start_ = Clock::now();
        while (!interrupted && !done()) {
            while (const auto call = loop_.take_due(now())) start(*call);
            wait();
        }
        give_up();
    }

  private:
    Nanoseconds now() const { return Clock::now() - start_; }

    bool done()
    {
        if (loop_.next_due()) return false;
        if (loop_.outstanding() == 0) return true;
        if (!give_up_at_) give_up_at_ = now() + final_answer_timeout;
        return now() >= *give_up_at_;
    }

    void start(const Call& call)
    {
        const size_t port = call.number % target_.ports.size();
        if (!idle_[port].empty()) {
            Connection& connection = *idle_[port].back();
            idle_[port].pop_back();
            return send_call(connection, call);
        }
        if (connections_.size() >= max_connections) {
            waiting_.push_back(call);
            return;
        }
        if (Connection* connection = connect(port)) return send_call(*connection, call);
        loop_.failed();
    }

    Connection* connect(size_t port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd < 0) return nullptr;
        connections_.emplace_front(fd, port, setup_);
        Connection& connection = connections_.front();
        connection.self = connections_.begin();
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(target_.ports[port]);
        const int result = ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
        epoll_event event{EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET, {.ptr = &connection}};
        if ((result != 0 && errno != EINPROGRESS) || epoll_ctl(poll_.fd(), EPOLL_CTL_ADD, fd, &event) != 0) {
            connections_.pop_front();
            return nullptr;
        }
        return &connection;
    }

    void send_call(Connection& connection, const Call& call)
    {
        connection.call = call;
        connection.unsent = "GET /lookup/x HTTP/1.1\r\nHost: 127.0.0.1\r\nReq-Id: " + target_.call_id_prefix +
                            std::to_string(call.number) + "\r\nReq-Deadline-Ms: " + call_deadline_ms +
                            "\r\n\r\n";
        send_rest(connection);
    }

    // Bytes that cannot be sent now are sent when the socket becomes writable. Errors are detected by read().
    static void send_rest(Connection& connection)
    {
        if (connection.unsent.empty()) return;
        const auto& bytes = connection.unsent;
        const ssize_t sent = ::send(connection.socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) connection.unsent.erase(0, static_cast<size_t>(sent));
    }

    void wait()
    {
        const auto until = loop_.next_due() ? *loop_.next_due() : give_up_at_.value_or(now());
        const auto span = std::max(Nanoseconds{}, until - now());
        const auto whole_seconds = std::chrono::duration_cast<std::chrono::seconds>(span);
        const timespec timeout{whole_seconds.count(), (span - whole_seconds).count()};
        std::array<epoll_event, max_events> events;
        const int count = epoll_pwait2(poll_.fd(), events.data(), max_events, &timeout, nullptr);
        for (int i = 0; i < count; ++i)
            handle_event(*static_cast<Connection*>(events[static_cast<size_t>(i)].data.ptr));
    }

    void handle_event(Connection& connection)
    {
        send_rest(connection);
        switch (read(connection)) {
            case ReadResult::nothing: return;
            case ReadResult::ended: return close(connection);
            case ReadResult::answered: return finish_call(connection);
        }
    }

    ReadResult read(Connection& connection)
    {
        std::array<char, read_size> bytes;
        for (;;) {
            const ssize_t size = ::recv(connection.socket.fd(), bytes.data(), bytes.size(), 0);
            if (size < 0 && (errno == EAGAIN || errno == EINTR)) return ReadResult::nothing;
            if (size <= 0 || !connection.call) return ReadResult::ended;
            const auto state = connection.reader->parse({bytes.data(), static_cast<size_t>(size)});
            if (state == MessageReader::State::malformed) return ReadResult::ended;
            if (state == MessageReader::State::complete) return ReadResult::answered;
        }
    }

    void finish_call(Connection& connection)
    {
        const Call call = *std::exchange(connection.call, std::nullopt);
        const int status = connection.reader->response().status;
        if (status == good_status)
            loop_.answered(call, now());
        else
            loop_.failed(status);
        if (!connection.reader->keep_alive()) return close(connection);
        connection.reader = std::make_unique<ResponseReader>(setup_);
        if (waiting_.empty()) {
            idle_[connection.port].push_back(&connection);
            return;
        }
        const Call next = waiting_.front();
        waiting_.pop_front();
        send_call(connection, next);
    }

    void close(Connection& connection)
    {
        if (connection.call) loop_.failed();
        std::erase(idle_[connection.port], &connection);
        connections_.erase(connection.self);
        if (waiting_.empty()) return;
        const Call next = waiting_.front();
        waiting_.pop_front();
        start(next);
    }

    void give_up()
    {
        for (const Connection& connection : connections_)
            if (connection.call) loop_.failed();
        for (size_t i = 0; i < waiting_.size(); ++i) loop_.failed();
    }

    const LoadTarget& target_;
    OpenLoop& loop_;
    const ServiceConfig setup_;
    Clock::time_point start_;
    std::optional<Nanoseconds> give_up_at_;
    std::list<Connection> connections_;
    std::vector<std::vector<Connection*>> idle_;  // by port index
    std::deque<Call> waiting_;                    // for a free connection
    Descriptor poll_;
};

}  // namespace

void generate_load(const LoadTarget& target, OpenLoop& loop) { LoadGenerator(target, loop).run(); }

}  // namespace firtide::scale
