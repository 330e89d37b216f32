// The one file of helpers: a stage that plays a host to the module and prints what it decides, line by line;
// and stand-ins on loopback for the callers, upstreams and discovery of the service.
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
#include "src/balance/balancer.h"

namespace firtide
{

// Prints each decision as a line.
class TracingHost : public BalancerHost
{
  public:
    using BalancerHost::BalancerHost;

    void print_heading(const std::string& text) { std::printf("-- %s\n", text.c_str()); }
    static void print_counts(const char* what, const std::map<UpstreamId, int>& got)
    {
        std::printf("%s:", what);
        for (const auto& [t, n] : got) std::printf(" u%u=%d", t, n);
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

// A connection with blocking reads that never wait for longer than two seconds.
class TestConnection
{
  public:
    explicit TestConnection(int fd) : fd_(fd) {}
    explicit TestConnection(uint16_t port) : fd_(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto at = loopback_address(port);
        if (connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) close();
    }
    TestConnection(TestConnection&& other) : fd_(std::exchange(other.fd_, -1)), text_(std::move(other.text_))
    {
    }
    ~TestConnection() { close(); }

    static sockaddr_in loopback_address(uint16_t port)
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return at;
    }
    bool is_open() const { return fd_ >= 0; }
    void close()
    {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    void shutdown_write() const { shutdown(fd_, SHUT_WR); }
    void reset()
    {
        const linger none{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        close();
    }
    void send(const std::string& bytes) const
    {
        (void)!::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    bool receive(int ms = 2000)
    {
        pollfd at{fd_, POLLIN, 0};
        char bytes[16384];
        if (!is_open() || poll(&at, 1, ms) <= 0) return false;
        const auto n = recv(fd_, bytes, sizeof bytes, 0);
        if (n > 0) text_.append(bytes, static_cast<size_t>(n));
        ended_ = n <= 0;
        return n > 0;
    }
    bool receives_eof(int ms = 2000) { return !receive(ms) && ended_; }
    bool at_eof() const { return ended_; }
    bool was_reset() const
    {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
        return error != 0;
    }
    // One message with Content-Length or without a body; empty where none comes whole.
    std::string receive_message()
    {
        for (;;) {
            const auto head = text_.find("\r\n\r\n");
            if (head != std::string::npos) {
                const auto at = text_.find("Content-Length: ");
                const auto body = at < head ? std::stoul(text_.substr(at + 16)) : 0;
                if (text_.size() >= head + 4 + body) {
                    const auto whole = text_.substr(0, head + 4 + body);
                    text_.erase(0, whole.size());
                    return whole;
                }
            }
            if (!receive()) return {};
        }
    }
    // A head, without what follows it.
    std::string receive_head()
    {
        while (text_.find("\r\n\r\n") == std::string::npos)
            if (!receive()) return {};
        const auto all = text_.substr(0, text_.find("\r\n\r\n") + 4);
        text_.erase(0, all.size());
        return all;
    }
    // So many bytes, which are not kept; how many there were.
    size_t discard(size_t bytes)
    {
        size_t got = 0;
        for (;;) {
            const auto n = std::min(bytes - got, text_.size());
            got += n;
            text_.erase(0, n);
            if (got == bytes || !receive()) return got;
        }
    }
    // A body in chunks: the bytes in it.
    size_t receive_chunked_body()
    {
        size_t got = 0;
        for (;;) {
            while (text_.find("\r\n") == std::string::npos)
                if (!receive()) return got;
            const auto size = std::stoul(text_, nullptr, 16);
            text_.erase(0, text_.find("\r\n") + 2);
            if (size == 0) break;
            const auto n = discard(size + 2);
            got += std::min<size_t>(n, size);
            if (n < size + 2) return got;
        }
        while (text_.substr(0, 2) != "\r\n") {
            const auto end = text_.find("\r\n");
            if (end != std::string::npos)
                text_.erase(0, end + 2);
            else if (!receive())
                return got;
        }
        text_.erase(0, 2);
        return got;
    }
    std::string receive_all()  // to the end of the connection
    {
        while (receive()) {
        }
        return std::exchange(text_, {});
    }
    std::string send_and_receive(const std::string& bytes)
    {
        send(bytes);
        return receive_message();
    }

  private:
    int fd_;
    std::string text_;
    bool ended_ = false;
};

// A stand-in: listens on loopback and handles each connection in a thread of its own.
class TestServer
{
  public:
    explicit TestServer(std::function<void(TestConnection&)> serve) : serve_(std::move(serve))
    {
        fd_ = socket(AF_INET, SOCK_STREAM, 0);
        auto at = TestConnection::loopback_address(0);
        bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at);
        socklen_t size = sizeof at;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        port = ntohs(at.sin_port);
        listen(fd_, 64);
        accepting_ = std::thread([this] {
            for (int fd; (fd = accept(fd_, nullptr, nullptr)) >= 0;)
                serving_.emplace_back([this, fd] {
                    TestConnection wire(fd);
                    serve_(wire);
                });
        });
    }
    ~TestServer()
    {
        shutdown(fd_, SHUT_RDWR);
        accepting_.join();
        ::close(fd_);
        for (auto& t : serving_) t.join();
    }
    std::string endpoint() const { return "127.0.0.1:" + std::to_string(port); }
    uint16_t port = 0;

  private:
    std::function<void(TestConnection&)> serve_;
    int fd_;
    std::thread accepting_;
    std::vector<std::thread> serving_;
};

inline std::string http_message(const std::string& first, const std::string& body = "",
                                const std::string& more = "")
{
    return first + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string first_line(const std::string& message)
{
    return message.empty() ? "(nothing)" : message.substr(0, message.find('\r'));
}

inline const std::string status_line_ok = "HTTP/1.1 200 OK";
inline std::string program_path;  // under test

inline uint16_t free_port()
{
    return TestServer([](TestConnection&) {}).port;
}

// The program in a process of its own, until SIGTERM.
struct BalancerProcess {
    // more, settings: further keys of the configuration and of its settings; in_child: what is to be done
    // before the program starts.
    explicit BalancerProcess(const std::string& discovery, const std::string& sockets = "1024",
                             const std::string& more = "", const std::function<void()>& in_child = {},
                             uint16_t at = 0, const std::string& settings = "")
        : port(at ? at : free_port())
    {
        char path[] = "/tmp/firtide-test-XXXXXX";
        const int fd = mkstemp(path);
        const auto config = R"({"listen":"127.0.0.1:)" + std::to_string(port) + R"(","discovery":")" +
                            discovery + "\"" + more + R"(,"seed":"1","limits":{"sockets":)" + sockets +
                            R"(},"settings":{)" + settings + R"("operations":[
            {"name":"safe","repeat":"free","client_timeout_us":1000000},
            {"name":"once","repeat":"single_shot","client_timeout_us":1000000}],
            "policy_limits":{"max_forwards":3,"cancel":true,"conn_idle_us":400000,"connect_timeout_us":100000}}})";
        (void)!write(fd, config.data(), config.size());
        close(fd);
        config_path = path, config_text = config;
        if ((pid = fork()) == 0) {
            if (in_child) in_child();
            execl(program_path.c_str(), program_path.c_str(), "serve", "--log-level", "error", path, nullptr);
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
    // Replaces `a` by `b` in the file of the configuration, and says so.
    void edit_config_and_reload(const std::string& a, const std::string& b)
    {
        config_text.replace(config_text.find(a), a.size(), b);
        const std::string fresh = config_path + ".new";
        if (FILE* out = std::fopen(fresh.c_str(), "w"))
            std::fputs(config_text.c_str(), out), std::fclose(out);
        rename(fresh.c_str(), config_path.c_str());
        kill(pid, SIGHUP);
    }
    struct ResourceUsage {
        int status = 0;
        double cpu_seconds = 0;  // seconds
        long memory_mb = 0;
    };
    ResourceUsage stop()
    {
        int status = 0;
        rusage used{};
        kill(pid, SIGTERM);
        wait4(std::exchange(pid, 0), &status, 0, &used);
        const auto s = [](timeval t) {
            return static_cast<double>(t.tv_sec) + 1e-6 * static_cast<double>(t.tv_usec);
        };
        return {status, s(used.ru_utime) + s(used.ru_stime), used.ru_maxrss / 1024};
    }
    uint16_t port;
    pid_t pid = 0;
    std::string config_path, config_text;
};

inline void sleep_ms(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline bool wait_until(const std::function<bool()>& so, int ms = 2000)
{
    for (; ms > 0 && !so(); ms -= 5) sleep_ms(5);
    return so();
}

}  // namespace firtide
