#include "test_bed.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "load_generator.h"
#include "src/io/event.h"

namespace firtide::scale
{
namespace
{

using nlohmann::json;

constexpr auto start_timeout = std::chrono::seconds(20);
constexpr auto poll_interval = std::chrono::milliseconds(20);
constexpr time_t receive_timeout_seconds = 2;
// Above the ports of the test cluster, below the ephemeral port range of the kernel.
constexpr uint16_t first_port = 29200;
constexpr uint16_t port_ranges = 8, ports_per_range = 400;
constexpr int64_t cold_window_us = 5'000'000;
constexpr size_t voters = 3;

sockaddr_in loopback(uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

Descriptor stream_socket() { return Descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)); }

std::string endpoint(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// Sends a request and reads until the peer closes. Returns an empty string if there is no answer.
std::string send_and_read_all(uint16_t port, const std::string& request)
{
    const auto socket = stream_socket();
    const timeval limit{receive_timeout_seconds, 0};
    setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const auto address = loopback(port);
    if (connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return {};
    if (send(socket.fd(), request.data(), request.size(), MSG_NOSIGNAL) < 0) return {};
    std::string answer;
    char bytes[4096];
    for (ssize_t size = 0; (size = recv(socket.fd(), bytes, sizeof bytes, 0)) > 0;)
        answer.append(bytes, static_cast<size_t>(size));
    return answer;
}

void wait_until(const std::function<bool()>& condition, const std::string& what)
{
    const auto give_up_at = std::chrono::steady_clock::now() + start_timeout;
    while (!condition()) {
        if (interrupted) throw std::runtime_error("interrupted");
        if (std::chrono::steady_clock::now() > give_up_at) throw std::runtime_error(what);
        std::this_thread::sleep_for(poll_interval);
    }
}

std::string member_id(size_t member) { return "b" + std::to_string(member + 1); }

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream file(path);
    if (!(file << text).flush()) throw std::runtime_error("cannot write " + path);
}

// Parses the lines `duty NAME ... mine`.
std::vector<std::string> duties_of_this_member(const std::string& status)
{
    std::vector<std::string> names;
    std::istringstream lines(status);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::string first, name;
        words >> first >> name;
        if (first == "duty" && line.ends_with(" mine")) names.push_back(name);
    }
    return names;
}

}  // namespace

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = std::filesystem::temp_directory_path().string() + "/firtide-latency-XXXXXX";
    if (!mkdtemp(pattern.data())) throw std::runtime_error("cannot create a temporary directory");
    path_ = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

TestBed::TestBed(const TestBedConfig& bed_config) : upstreams_(bed_config.upstreams, bed_config.service_time)
{
    const size_t count = bed_config.members > 0 ? bed_config.members : bed_config.chain;
    choose_ports(count);
    discovery_ = std::make_unique<DiscoveryProcess>(upstream_lists(bed_config), bed_config.changes_per_second,
                                                    bed_config.seed);
    for (size_t i = 0; i < count; ++i) start_balancer(bed_config, i);
    wait_until_ready();
    if (bed_config.members > 0) wait_until_duties_are_held();
}

void TestBed::choose_ports(size_t balancers)
{
    static uint16_t next = static_cast<uint16_t>(first_port + getpid() % port_ranges * ports_per_range);
    const auto free_port = [] {
        for (;;) {
            const uint16_t port = next++;
            const auto socket = stream_socket();
            const auto address = loopback(port);
            if (bind(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
                return port;
        }
    };
    for (size_t i = 0; i < balancers; ++i) balancers_.push_back({free_port(), free_port(), free_port()});
}

std::vector<std::vector<uint16_t>> TestBed::upstream_lists(const TestBedConfig& bed_config) const
{
    std::vector<std::vector<uint16_t>> all;
    if (bed_config.members == 0)
        for (size_t i = 1; i < balancers_.size(); ++i) all.push_back({balancers_[i].serve_port});
    all.push_back(upstreams_.ports());
    return all;
}

std::string TestBed::write_config(const TestBedConfig& bed_config, size_t balancer) const
{
    const Balancer& of = balancers_[balancer];
    const size_t list = bed_config.members > 0 ? 0 : balancer;
    const bool calls_upstreams = bed_config.members > 0 || balancer + 1 == balancers_.size();
    const json operation = {{"name", "lookup"}, {"repeat", "free"}, {"client_timeout_us", 10'000'000}};
    const json limits = {{"max_forwards", 3},
                         {"cancel", true},
                         {"conn_idle_us", 5'000'000},
                         {"connect_timeout_us", 1'000'000},
                         {"may_probe", calls_upstreams}};
    const json settings = {
        {"tier", list},
        {"balancers", std::max<size_t>(bed_config.members, 1)},
        {"self_index", bed_config.members > 0 ? balancer : 0},
        {"operations", json::array({operation})},
        {"policy_limits", limits},
        {"contract", {{"cold_us", cold_window_us}}},
        {"telemetry", {{"source", calls_upstreams ? "pull" : "silent"}, {"fields", json::array({"depth"})}}}};
    const json config = {{"name", member_id(balancer)},
                         {"listen", endpoint(of.serve_port)},
                         {"discovery", endpoint(discovery_->port(list))},
                         {"mgmt", endpoint(of.management_port)},
                         {"seed", std::to_string(balancer + 1)},
                         {"settings", settings}};
    const auto path = folder_.path() + "/" + member_id(balancer) + ".json";
    write_file(path, config.dump());
    return path;
}

std::string TestBed::write_fleet_file(size_t member) const
{
    std::ostringstream out;
    out << "[fleet]\nname = \"latency\"\nid = \"" << member_id(member) << "\"\nlisten = \""
        << endpoint(balancers_[member].fleet_port) << "\"\ndata = \"" << folder_.path() << "/"
        << member_id(member) << "\"\n";
    for (size_t i = 0; i < balancers_.size(); ++i)
        out << "[[member]]\nid = \"" << member_id(i) << "\"\naddress = \""
            << endpoint(balancers_[i].fleet_port) << "\"\nzone = \"a\"\n"
            << (i < voters ? "voter = true\n" : "");
    out << "[lease]\nlength = \"3s\"\n"
        << "[[duty]]\nname = \"report\"\n[[duty]]\nname = \"clean-up\"\n"
        << "[list]\nstale = \"4s\"\n[probe]\nevery = \"1s\"\nparts = 4\n";
    const auto path = folder_.path() + "/" + member_id(member) + ".toml";
    write_file(path, out.str());
    return path;
}

void TestBed::start_balancer(const TestBedConfig& bed_config, size_t balancer)
{
    std::vector<std::string> arguments{bed_config.program, "serve", write_config(bed_config, balancer)};
    if (bed_config.members > 0) {
        arguments.push_back("--fleet");
        arguments.push_back(write_fleet_file(balancer));
    }
    processes_.push_back(
        ChildProcess::execute(arguments, folder_.path() + "/" + member_id(balancer) + ".log"));
}

void TestBed::wait_until_ready()
{
    for (size_t i = 0; i < balancers_.size(); ++i) {
        const auto name = "balancer " + member_id(i);
        const auto ready = [&] {
            if (!processes_[i].running()) throw std::runtime_error(name + " exited during startup");
            const auto answer = send_and_read_all(
                balancers_[i].serve_port, "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            return answer.starts_with("HTTP/1.1 200");
        };
        wait_until(ready, "timed out waiting for " + name + " to become ready");
    }
}

void TestBed::wait_until_duties_are_held()
{
    const auto held = [this] {
        for (size_t i = 0; i < balancers_.size(); ++i)
            if (!duties_of_this_member(management_answer(i, "show-fleet")).empty()) return true;
        return false;
    };
    wait_until(held, "timed out waiting for a member to hold a duty");
}

std::string TestBed::management_answer(size_t balancer, const std::string& line) const
{
    return send_and_read_all(balancers_[balancer].management_port, line + "\n");
}

std::vector<std::string> TestBed::held_duties() const
{
    return duties_of_this_member(management_answer(0, "show-fleet"));
}

}  // namespace firtide::scale
