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
class Stage : public BalancerHost
{
  public:
    using BalancerHost::BalancerHost;

    void say(const std::string& text) { std::printf("-- %s\n", text.c_str()); }
    static void print(const char* what, const std::map<UpstreamId, int>& got)
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
class Wire
{
  public:
    explicit Wire(int fd) : fd_(fd) {}
    explicit Wire(uint16_t port) : fd_(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto at = address(port);
        if (connect(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) close();
    }
    Wire(Wire&& other) : fd_(std::exchange(other.fd_, -1)), text_(std::move(other.text_)) {}
    ~Wire() { close(); }

    static sockaddr_in address(uint16_t port)
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return at;
    }
    bool open() const { return fd_ >= 0; }
    void close()
    {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    void end_sending() const { shutdown(fd_, SHUT_WR); }
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
    bool more(int ms = 2000)
    {
        pollfd at{fd_, POLLIN, 0};
        char bytes[16384];
        if (!open() || poll(&at, 1, ms) <= 0) return false;
        const auto n = recv(fd_, bytes, sizeof bytes, 0);
        if (n > 0) text_.append(bytes, static_cast<size_t>(n));
        ended_ = n <= 0;
        return n > 0;
    }
    bool ended(int ms = 2000) { return !more(ms) && ended_; }
    bool over() const { return ended_; }
    bool was_reset() const
    {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
        return error != 0;
    }
    // One message with Content-Length or without a body; empty where none comes whole.
    std::string message()
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
            if (!more()) return {};
        }
    }
    // A head, without what follows it.
    std::string head()
    {
        while (text_.find("\r\n\r\n") == std::string::npos)
            if (!more()) return {};
        const auto all = text_.substr(0, text_.find("\r\n\r\n") + 4);
        text_.erase(0, all.size());
        return all;
    }
    // So many bytes, which are not kept; how many there were.
    size_t skip(size_t bytes)
    {
        size_t got = 0;
        for (;;) {
            const auto n = std::min(bytes - got, text_.size());
            got += n;
            text_.erase(0, n);
            if (got == bytes || !more()) return got;
        }
    }
    // A body in chunks: the bytes in it.
    size_t chunks()
    {
        size_t got = 0;
        for (;;) {
            while (text_.find("\r\n") == std::string::npos)
                if (!more()) return got;
            const auto size = std::stoul(text_, nullptr, 16);
            text_.erase(0, text_.find("\r\n") + 2);
            if (size == 0) break;
            const auto n = skip(size + 2);
            got += std::min<size_t>(n, size);
            if (n < size + 2) return got;
        }
        while (text_.substr(0, 2) != "\r\n") {
            const auto end = text_.find("\r\n");
            if (end != std::string::npos)
                text_.erase(0, end + 2);
            else if (!more())
                return got;
        }
        text_.erase(0, 2);
        return got;
    }
    std::string rest()  // to the end of the connection
    {
        while (more()) {
        }
        return std::exchange(text_, {});
    }
    std::string ask(const std::string& bytes)
    {
        send(bytes);
        return message();
    }

  private:
    int fd_;
    std::string text_;
    bool ended_ = false;
};

// A stand-in: listens on loopback and handles each connection in a thread of its own.
class StandIn
{
  public:
    explicit StandIn(std::function<void(Wire&)> serve) : serve_(std::move(serve))
    {
        fd_ = socket(AF_INET, SOCK_STREAM, 0);
        auto at = Wire::address(0);
        bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at);
        socklen_t size = sizeof at;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
        port = ntohs(at.sin_port);
        listen(fd_, 64);
        accepting_ = std::thread([this] {
            for (int fd; (fd = accept(fd_, nullptr, nullptr)) >= 0;)
                serving_.emplace_back([this, fd] {
                    Wire wire(fd);
                    serve_(wire);
                });
        });
    }
    ~StandIn()
    {
        shutdown(fd_, SHUT_RDWR);
        accepting_.join();
        ::close(fd_);
        for (auto& t : serving_) t.join();
    }
    std::string endpoint() const { return "127.0.0.1:" + std::to_string(port); }
    uint16_t port = 0;

  private:
    std::function<void(Wire&)> serve_;
    int fd_;
    std::thread accepting_;
    std::vector<std::thread> serving_;
};

inline std::string http(const std::string& first, const std::string& body = "", const std::string& more = "")
{
    return first + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string first_line(const std::string& message)
{
    return message.empty() ? "(nothing)" : message.substr(0, message.find('\r'));
}

inline const std::string ok = "HTTP/1.1 200 OK";
inline std::string program;  // under test

inline uint16_t free_port()
{
    return StandIn([](Wire&) {}).port;
}

// The program in a process of its own, until SIGTERM.
struct Running {
    // more, settings: further keys of the configuration and of its settings; in_child: what is to be done
    // before the program starts.
    explicit Running(const std::string& discovery, const std::string& sockets = "1024",
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
        file = path, text = config;
        if ((process = fork()) == 0) {
            if (in_child) in_child();
            execl(program.c_str(), program.c_str(), "serve", "--log-level", "error", path, nullptr);
            _exit(127);
        }
        for (int i = 0; i < 200 && first_line(Wire(port).ask("GET /-/ready HTTP/1.1\r\n\r\n")) != ok; ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    ~Running()
    {
        if (process) stop();
        unlink(file.c_str());
    }
    // Replaces `a` by `b` in the file of the configuration, and says so.
    void reread(const std::string& a, const std::string& b)
    {
        text.replace(text.find(a), a.size(), b);
        const std::string fresh = file + ".new";
        if (FILE* out = std::fopen(fresh.c_str(), "w")) std::fputs(text.c_str(), out), std::fclose(out);
        rename(fresh.c_str(), file.c_str());
        kill(process, SIGHUP);
    }
    struct Used {
        int status = 0;
        double cpu = 0;  // seconds
        long memory_mb = 0;
    };
    Used stop()
    {
        int status = 0;
        rusage used{};
        kill(process, SIGTERM);
        wait4(std::exchange(process, 0), &status, 0, &used);
        const auto s = [](timeval t) {
            return static_cast<double>(t.tv_sec) + 1e-6 * static_cast<double>(t.tv_usec);
        };
        return {status, s(used.ru_utime) + s(used.ru_stime), used.ru_maxrss / 1024};
    }
    uint16_t port;
    pid_t process = 0;
    std::string file, text;
};

inline void pause(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline bool until(const std::function<bool()>& so, int ms = 2000)
{
    for (; ms > 0 && !so(); ms -= 5) pause(5);
    return so();
}

}  // namespace firtide
