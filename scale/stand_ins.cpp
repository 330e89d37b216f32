#include "stand_ins.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <new>
#include <sstream>
#include <stdexcept>

#include "fault_injection/standins.h"
#include "src/io/event.h"

namespace firtide::scale
{
namespace
{

constexpr const char* probe_answer = "depth=1";
constexpr const char* call_answer = "ok\n";
constexpr size_t max_draining_divisor = 4;  // at most a quarter of the upstreams

using Ports = std::vector<uint16_t>;

struct Pipe {
    Pipe()
    {
        int fds[2];
        if (pipe2(fds, O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe");
        reader = Descriptor(fds[0]);
        writer = Descriptor(fds[1]);
    }

    Descriptor reader, writer;
};

void send_ports(const Pipe& pipe, const Ports& ports)
{
    std::string line;
    for (const auto port : ports) line += std::to_string(port) + " ";
    line += "\n";
    if (write(pipe.writer.fd(), line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        throw std::runtime_error("cannot send the ports to the parent process");
}

// Waits for the child to send its ports.
Ports read_ports(Pipe& pipe)
{
    pipe.writer = Descriptor();
    std::string line;
    char byte = 0;
    while (read(pipe.reader.fd(), &byte, 1) == 1 && byte != '\n') line += byte;
    if (byte != '\n') throw std::runtime_error("a stand-in server did not start");
    std::istringstream in(line);
    Ports ports;
    for (uint16_t port = 0; in >> port;) ports.push_back(port);
    return ports;
}

EventBasePtr make_precise_event_base()
{
    event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    EventBasePtr base(event_base_new_with_config(config));
    event_config_free(config);
    return base;
}

void serve_upstreams(size_t upstreams, Duration service_time, const Pipe& pipe)
{
    const auto base = make_precise_event_base();
    const auto serve = [&](evhttp_request* request) {
        const std::string path = evhttp_request_get_uri(request);
        if (path.starts_with("/-/")) return fault_injection::send_response(request, HTTP_OK, probe_answer);
        if (service_time <= Duration{}) return fault_injection::send_response(request, HTTP_OK, call_answer);
        fault_injection::run_after(base.get(), service_time, [request] {
            fault_injection::send_response(request, HTTP_OK, call_answer);
        });
    };
    std::vector<std::unique_ptr<fault_injection::StandInServer>> servers;
    Ports ports;
    for (size_t i = 0; i < upstreams; ++i) {
        servers.push_back(std::make_unique<fault_injection::StandInServer>(base.get(), serve));
        ports.push_back(servers.back()->port());
    }
    send_ports(pipe, ports);
    event_base_dispatch(base.get());
}

std::string upstream_id(size_t upstream) { return "s-" + std::to_string(upstream); }

void apply(const ListChange& change, fault_injection::DiscoveryStandIn& discovery)
{
    const auto id = upstream_id(change.upstream);
    switch (change.kind) {
        case ListChange::Kind::restarted: return discovery.mark_restarted(id);
        case ListChange::Kind::draining: return discovery.set_target_state(id, "draining");
        case ListChange::Kind::ready: return discovery.set_target_state(id, "ready");
    }
}

// Changes a list at random times while the event loop runs.
class ListChanger
{
  public:
    ListChanger(event_base* base, fault_injection::DiscoveryStandIn& discovery, EndpointChanges changes,
                double changes_per_second, std::atomic<uint64_t>& count)
        : base_(base),
          discovery_(discovery),
          changes_(std::move(changes)),
          changes_per_second_(changes_per_second),
          count_(count)
    {
        schedule();
    }

  private:
    void schedule()
    {
        fault_injection::run_after(base_, changes_.next_gap(changes_per_second_), [this] {
            apply(changes_.next(), discovery_);
            ++count_;
            schedule();
        });
    }

    event_base* base_;
    fault_injection::DiscoveryStandIn& discovery_;
    EndpointChanges changes_;
    double changes_per_second_;
    std::atomic<uint64_t>& count_;
};

void serve_discovery(const std::vector<Ports>& lists, double changes_per_second, uint64_t seed,
                     std::atomic<uint64_t>& changes, const Pipe& pipe)
{
    const EventBasePtr base(event_base_new());
    std::vector<std::unique_ptr<fault_injection::DiscoveryStandIn>> servers;
    Ports ports;
    for (const auto& list : lists) {
        std::map<std::string, std::pair<uint16_t, std::string>> targets;
        for (size_t i = 0; i < list.size(); ++i) targets[upstream_id(i)] = {list[i], "ready"};
        servers.push_back(std::make_unique<fault_injection::DiscoveryStandIn>(base.get()));
        servers.back()->set_targets(std::move(targets));
        ports.push_back(servers.back()->port());
    }
    std::unique_ptr<ListChanger> changer;
    if (changes_per_second > 0)
        changer = std::make_unique<ListChanger>(base.get(), *servers.back(),
                                                EndpointChanges(lists.back().size(), seed),
                                                changes_per_second, changes);
    send_ports(pipe, ports);
    event_base_dispatch(base.get());
}

template <class Serve>
ChildProcess start_stand_in(const Serve& serve, Ports& ports)
{
    Pipe pipe;
    auto process = ChildProcess::run([&] { serve(pipe); });
    ports = read_ports(pipe);
    return process;
}

std::atomic<uint64_t>* shared_counter()
{
    void* memory = mmap(nullptr, sizeof(std::atomic<uint64_t>), PROT_READ | PROT_WRITE,
                        MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (memory == MAP_FAILED) throw std::runtime_error("cannot map shared memory");
    return new (memory) std::atomic<uint64_t>(0);
}

}  // namespace

EndpointChanges::EndpointChanges(size_t upstreams, uint64_t seed) : random_(seed), upstreams_(upstreams) {}

ListChange EndpointChanges::next()
{
    const size_t upstream = random_() % upstreams_;
    if (random_() % 2 == 0) return {upstream, ListChange::Kind::restarted};
    const bool is_draining = std::find(draining_.begin(), draining_.end(), upstream) != draining_.end();
    if (!is_draining && draining_.size() < upstreams_ / max_draining_divisor) {
        draining_.push_back(upstream);
        return {upstream, ListChange::Kind::draining};
    }
    if (draining_.empty()) return {upstream, ListChange::Kind::restarted};
    const size_t resumed = draining_.front();
    draining_.erase(draining_.begin());
    return {resumed, ListChange::Kind::ready};
}

Duration EndpointChanges::next_gap(double changes_per_second)
{
    const double uniform = static_cast<double>(random_() >> 11) * 0x1p-53;
    return seconds(-std::log1p(-uniform) / changes_per_second);
}

UpstreamProcess::UpstreamProcess(size_t upstreams, Duration service_time)
    : process_(
          start_stand_in([&](const Pipe& pipe) { serve_upstreams(upstreams, service_time, pipe); }, ports_))
{
}

DiscoveryProcess::DiscoveryProcess(const std::vector<Ports>& lists, double changes_per_second, uint64_t seed)
    : changes_(shared_counter()),
      process_(start_stand_in(
          [&](const Pipe& pipe) { serve_discovery(lists, changes_per_second, seed, *changes_, pipe); },
          ports_))
{
}

DiscoveryProcess::~DiscoveryProcess() { munmap(changes_, sizeof *changes_); }

}  // namespace firtide::scale
