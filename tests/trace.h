// Test helpers: a host of the decision module that prints each decision as a line; and clients and servers
// on loopback that act as the service's callers, upstreams and discovery.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "balancer_host.h"
#include "fault_injection/port_range.h"
#include "src/balance/balancer.h"

namespace firtide
{

// A BalancerHost that prints each decision as a line.
class TracingHost : public BalancerHost
{
  public:
    using BalancerHost::BalancerHost;

    void print_heading(const std::string& text) { std::printf("-- %s\n", text.c_str()); }
    static void print_counts(const char* what, const std::map<UpstreamId, int>& counts)
    {
        std::printf("%s:", what);
        for (const auto& [upstream, n] : counts) std::printf(" u%u=%d", upstream, n);
        std::printf("\n");
    }

  private:
    void record(const Decision& decision) override
    {
        std::ostringstream line;
        std::visit([&line](const auto& each) { line << each; }, decision);
        std::printf("%s\n", line.str().c_str());
    }
};

// A connection with blocking reads, which by default wait for at most two seconds.
class TestConnection
{
  public:
    explicit TestConnection(int fd) : fd_(fd) {}
    explicit TestConnection(uint16_t port) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto address = loopback_address(port);
        if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) close();
    }
    TestConnection(TestConnection&& other)
        : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_))
    {
    }
    ~TestConnection() { close(); }

    static sockaddr_in loopback_address(uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }
    bool is_open() const { return fd_ >= 0; }
    void close()
    {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    void shutdown_write() const { shutdown(fd_, SHUT_WR); }
    void reset()
    {
        const linger reset_on_close{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
        close();
    }
    void send(const std::string& bytes) const
    {
        (void)!::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    bool receive(int ms = 2000)
    {
        pollfd polled{fd_, POLLIN, 0};
        char bytes[16384];
        if (!is_open() || poll(&polled, 1, ms) <= 0) return false;
        const auto n = recv(fd_, bytes, sizeof bytes, 0);
        if (n > 0) buffer_.append(bytes, static_cast<size_t>(n));
        at_eof_ = n <= 0;
        return n > 0;
    }
    bool receives_eof(int ms = 2000) { return !receive(ms) && at_eof_; }
    bool at_eof() const { return at_eof_; }
    bool was_reset() const
    {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
        return error != 0;
    }
    // Receives one message with Content-Length or without a body; returns an empty text if none comes
    // complete.
    std::string receive_message()
    {
        for (;;) {
            const auto head = buffer_.find("\r\n\r\n");
            if (head != std::string::npos) {
                const auto length = buffer_.find("Content-Length: ");
                const auto body = length < head ? std::stoul(buffer_.substr(length + 16)) : 0;
                if (buffer_.size() >= head + 4 + body) {
                    const auto message = buffer_.substr(0, head + 4 + body);
                    buffer_.erase(0, message.size());
                    return message;
                }
            }
            if (!receive()) return {};
        }
    }
    // Receives the head of a message, without what follows it.
    std::string receive_head()
    {
        while (buffer_.find("\r\n\r\n") == std::string::npos)
            if (!receive()) return {};
        const auto head = buffer_.substr(0, buffer_.find("\r\n\r\n") + 4);
        buffer_.erase(0, head.size());
        return head;
    }
    // Receives and discards so many bytes; returns how many came.
    size_t discard(size_t bytes)
    {
        size_t total = 0;
        for (;;) {
            const auto n = std::min(bytes - total, buffer_.size());
            total += n;
            buffer_.erase(0, n);
            if (total == bytes || !receive()) return total;
        }
    }
    // Receives a chunked body; returns the size of its content.
    size_t receive_chunked_body()
    {
        size_t total = 0;
        for (;;) {
            while (buffer_.find("\r\n") == std::string::npos)
                if (!receive()) return total;
            const auto size = std::stoul(buffer_, nullptr, 16);
            buffer_.erase(0, buffer_.find("\r\n") + 2);
            if (size == 0) break;
            const auto n = discard(size + 2);
            total += std::min<size_t>(n, size);
            if (n < size + 2) return total;
        }
        while (buffer_.substr(0, 2) != "\r\n") {
            const auto end = buffer_.find("\r\n");
            if (end != std::string::npos)
                buffer_.erase(0, end + 2);
            else if (!receive())
                return total;
        }
        buffer_.erase(0, 2);
        return total;
    }
    std::string receive_all()  // to the end of the connection
    {
        while (receive()) {
        }
        return std::exchange(buffer_, {});
    }
    std::string send_and_receive(const std::string& bytes)
    {
        send(bytes);
        return receive_message();
    }

  private:
    int fd_;
    std::string buffer_;
    bool at_eof_ = false;
};

// A server that listens on loopback and handles each connection in a thread of its own.
class TestServer
{
  public:
    explicit TestServer(std::function<void(TestConnection&)> handle) : handle_connection_(std::move(handle))
    {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = TestConnection::loopback_address(0);
        bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address);
        socklen_t size = sizeof address;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
        listen(fd_, 64);
        accept_thread_ = std::thread([this] {
            for (int fd; (fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
                connection_threads_.emplace_back([this, fd] {
                    TestConnection connection(fd);
                    handle_connection_(connection);
                });
        });
    }
    ~TestServer()
    {
        shutdown(fd_, SHUT_RDWR);
        accept_thread_.join();
        ::close(fd_);
        for (auto& t : connection_threads_) t.join();
    }
    std::string endpoint() const { return "127.0.0.1:" + std::to_string(port); }
    uint16_t port = 0;

  private:
    std::function<void(TestConnection&)> handle_connection_;
    int fd_;
    std::thread accept_thread_;
    std::vector<std::thread> connection_threads_;
};

// A listening socket whose connections the test accepts itself, between the steps of the code under test.
class TestListener
{
  public:
    TestListener() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        auto address = TestConnection::loopback_address(0);
        bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address);
        socklen_t size = sizeof address;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        listen(fd_, 8);
    }
    TestListener(const TestListener&) = delete;
    TestListener& operator=(const TestListener&) = delete;
    ~TestListener() { ::close(fd_); }

    std::string endpoint() const { return "127.0.0.1:" + std::to_string(port_); }
    TestConnection accept_connection() const
    {
        return TestConnection(accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
    }

  private:
    int fd_;
    uint16_t port_ = 0;
};

inline std::string http_message(const std::string& first, const std::string& body = "",
                                const std::string& more = "")
{
    return first + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Acts as discovery for a list that does not change: answers a request for the full list, and no watch.
inline void serve_unchanging_list(TestConnection& connection, const std::string& list)
{
    for (std::string request; !(request = connection.receive_message()).empty();) {
        if (request.find("after=") != std::string::npos) return (void)connection.receives_eof();
        connection.send(http_message("HTTP/1.1 200 OK", list));
    }
}

inline std::string first_line(const std::string& message)
{
    return message.empty() ? "(nothing)" : message.substr(0, message.find('\r'));
}

inline const std::string status_line_ok = "HTTP/1.1 200 OK";
inline std::string program_path;  // path of the program under test

// Each once; no other test takes it, nor does the system for a connection.
inline uint16_t free_port()
{
    static fault_injection::PortRange ports(static_cast<size_t>(getpid()));
    return ports.next_free_port();
}

// The program under test as a child process, until stop() sends SIGTERM.
struct BalancerProcess {
    // more, settings: further keys of the configuration and of its settings, as JSON text; in_child: runs
    // in the child process before the program starts.
    explicit BalancerProcess(const std::string& discovery, const std::string& sockets = "1024",
                             const std::string& more = "", const std::function<void()>& in_child = {},
                             uint16_t listen_port = 0, const std::string& settings = "",
                             int client_timeout_us = 1'000'000)
        : port(listen_port ? listen_port : free_port())
    {
        char path[] = "/tmp/firtide-test-XXXXXX";
        const int fd = mkstemp(path);
        const auto config = R"({"listen":"127.0.0.1:)" + std::to_string(port) + R"(","discovery":")" +
                            discovery + "\"" + more + R"(,"seed":"1","limits":{"sockets":)" + sockets +
                            R"(},"settings":{)" + settings + R"("operations":[
            {"name":"safe","repeat":"free","client_timeout_us":)" +
                            std::to_string(client_timeout_us) + R"(},
            {"name":"once","repeat":"single_shot","client_timeout_us":)" +
                            std::to_string(client_timeout_us) + R"(}],
            "policy_limits":{"max_forwards":3,"cancel":true,"conn_idle_us":400000,"connect_timeout_us":100000}}})";
        (void)!write(fd, config.data(), config.size());
        close(fd);
        config_path = path, config_text = config;
        if ((pid = fork()) == 0) {
            if (in_child) in_child();
            const char* level = std::getenv("FIRTIDE_TEST_LOG_LEVEL");
            execl(program_path.c_str(), program_path.c_str(), "serve", "--log-level", level ? level : "error",
                  path, nullptr);
            _exit(127);
        }
        for (int i = 0;
             i < 200 && first_line(TestConnection(port).send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n")) !=
                            status_line_ok;
             ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    ~BalancerProcess()
    {
        if (pid) stop();
        unlink(config_path.c_str());
    }
    // Replaces `a` by `b` in the configuration file and sends SIGHUP.
    void edit_config_and_reload(const std::string& a, const std::string& b)
    {
        config_text.replace(config_text.find(a), a.size(), b);
        const std::string new_path = config_path + ".new";
        if (FILE* out = std::fopen(new_path.c_str(), "w"))
            std::fputs(config_text.c_str(), out), std::fclose(out);
        rename(new_path.c_str(), config_path.c_str());
        kill(pid, SIGHUP);
    }
    struct ResourceUsage {
        int status = 0;
        double cpu_seconds = 0;
        long memory_mb = 0;
    };
    ResourceUsage stop()
    {
        int status = 0;
        rusage used{};
        kill(pid, SIGTERM);
        wait4(std::exchange(pid, 0), &status, 0, &used);
        const auto to_seconds = [](timeval t) {
            return static_cast<double>(t.tv_sec) + 1e-6 * static_cast<double>(t.tv_usec);
        };
        return {status, to_seconds(used.ru_utime) + to_seconds(used.ru_stime), used.ru_maxrss / 1024};
    }
    uint16_t port;
    pid_t pid = 0;
    std::string config_path, config_text;
};

inline void sleep_ms(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline bool wait_until(const std::function<bool()>& condition, int ms = 2000)
{
    for (; ms > 0 && !condition(); ms -= 5) sleep_ms(5);
    return condition();
}

}  // namespace firtide
