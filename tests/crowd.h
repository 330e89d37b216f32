// Many clients at once on loopback, driven by one thread, and ordinary callers beside them.
#pragma once

#include <fcntl.h>

#include <algorithm>
#include <fstream>
#include <mutex>

#include "trace.h"

namespace firtide
{

// What one client of a crowd does, again and again: connects, sends its bytes, then waits for the end of its
// connection, or stays.
struct CrowdClient {
    std::string bytes;
    bool stays_after_end = false;   // does not close when the balancer shuts its sending side
    size_t bytes_read_at_once = 0;  // of the response, every crowd_read_interval_ms; 0: none
};

inline constexpr int crowd_read_interval_ms = 100;
enum class CrowdPace { moderate, full_speed };  // full_speed: never rests, and reads what there is at once

// Clients that connect anew as soon as their connection has ended.
class Crowd
{
  public:
    // make_client: called for each connection, with its number.
    Crowd(uint16_t port, size_t connections, std::function<CrowdClient(size_t number)> make_client,
          CrowdPace pace = CrowdPace::moderate)
        : port_(port), pace_(pace), make_client_(std::move(make_client)), clients_(connections)
    {
        thread_ = std::thread([this] { run(); });
    }
    ~Crowd()
    {
        stopping_ = true;
        thread_.join();
        for (Client& client : clients_) client.close();
    }
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    size_t connections_made() const { return connections_made_; }

  private:
    struct Client {
        int fd = -1;
        CrowdClient plan;
        size_t sent = 0;
        std::chrono::steady_clock::time_point read_at{};
        void close()
        {
            if (fd >= 0) ::close(std::exchange(fd, -1));
        }
    };

    void run()
    {
        while (!stopping_) {
            for (Client& client : clients_)
                if (client.fd < 0) open(client);
            poll_clients();
            for (Client& client : clients_) send_more(client);
            if (pace_ == CrowdPace::moderate) sleep_ms(2);
        }
    }
    void open(Client& client)
    {
        client.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int receive_buffer = 4096;
        setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        const auto address = TestConnection::loopback_address(port_);
        (void)!connect(client.fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        client.plan = make_client_(connections_made_++);
        client.sent = 0;
    }
    void poll_clients()
    {
        std::vector<pollfd> polled;
        for (const Client& client : clients_) polled.push_back({client.fd, POLLIN | POLLRDHUP, 0});
        poll(polled.data(), polled.size(), 0);
        for (size_t i = 0; i < polled.size(); ++i) {
            if (polled[i].revents & (POLLERR | POLLHUP)) {
                clients_[i].close();
                continue;
            }
            if (polled[i].revents & POLLIN) read_some(clients_[i]);
            if (polled[i].revents & POLLRDHUP && !clients_[i].plan.stays_after_end) clients_[i].close();
        }
    }
    void read_some(Client& client) const
    {
        const auto now = std::chrono::steady_clock::now();
        const bool waits = pace_ == CrowdPace::moderate && now < client.read_at;
        if (client.plan.bytes_read_at_once == 0 || waits) return;
        client.read_at = now + std::chrono::milliseconds(crowd_read_interval_ms);
        std::string bytes(client.plan.bytes_read_at_once, ' ');
        (void)!recv(client.fd, bytes.data(), bytes.size(), 0);
    }
    static void send_more(Client& client)
    {
        if (client.fd < 0 || client.sent == client.plan.bytes.size()) return;
        const auto n = ::send(client.fd, client.plan.bytes.data() + client.sent,
                              client.plan.bytes.size() - client.sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) client.sent += static_cast<size_t>(n);
    }

    uint16_t port_;
    CrowdPace pace_;
    std::function<CrowdClient(size_t)> make_client_;
    std::vector<Client> clients_;
    std::atomic<size_t> connections_made_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

// What callers got that ask at an even rate, each time on a connection of their own.
struct CallResults {
    size_t calls = 0;
    std::map<std::string, size_t> by_status;  // "(nothing)": no response
    std::vector<double> seconds;              // of those with status 200, sorted

    size_t served() const { return seconds.size(); }
    double served_share() const { return static_cast<double>(served()) / static_cast<double>(calls); }
    double p99_seconds() const { return seconds.empty() ? 0 : seconds[(seconds.size() - 1) * 99 / 100]; }
    std::string text() const
    {
        std::string out = std::to_string(calls) + " calls";
        for (const auto& [status, count] : by_status) out += ", " + status + ": " + std::to_string(count);
        return out;
    }
};

inline constexpr int calls_per_second = 20;

// `request` gives the bytes of a call, by its number.
inline CallResults call_evenly(uint16_t port, double for_seconds,
                               const std::function<std::string(size_t)>& request)
{
    using namespace std::chrono;
    CallResults results;
    std::mutex mutex;
    std::vector<std::thread> threads;
    const auto start = steady_clock::now();
    const auto calls = static_cast<size_t>(for_seconds * calls_per_second);
    for (size_t n = 0; n < calls; ++n) {
        std::this_thread::sleep_until(start + milliseconds(1000 / calls_per_second * n));
        threads.emplace_back([&, n] {
            const auto began = steady_clock::now();
            TestConnection caller(port);
            const auto status = first_line(caller.send_and_receive(request(n)));
            const std::lock_guard lock(mutex);
            ++results.by_status[status];
            if (status == status_line_ok)
                results.seconds.push_back(duration<double>(steady_clock::now() - began).count());
        });
    }
    for (auto& thread : threads) thread.join();
    results.calls = calls;
    std::sort(results.seconds.begin(), results.seconds.end());
    return results;
}

// Peak resident memory of a process in bytes, as the kernel reports it; 0 if it is gone.
inline size_t peak_resident_bytes(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.rfind("VmHWM:", 0) == 0) return std::stoul(line.substr(6)) * 1024;
    return 0;
}

}  // namespace firtide
