#include "test_cluster.h"

#include <event2/buffer.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "client_call.h"

namespace firtide::fault_injection
{

namespace fs = std::filesystem;

namespace
{

TimePoint boot_now()
{
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return {int64_t{at.tv_sec} * 1'000'000 + at.tv_nsec / 1000};
}

}  // namespace

struct TestCluster::Process {
    uint16_t fleet_port = 0, serve_port = 0, management_port = 0;
    pid_t pid = 0;
    std::optional<int> status;
    std::optional<TimePoint> stopped;
    BuffereventPtr log;
    std::string log_text;
    InterposerControl* control = nullptr;
};

TestCluster::TestCluster(ClusterConfig config, std::string program, std::string interposer,
                         size_t preferred_ports)
    : config_(std::move(config)),
      program_(std::move(program)),
      interposer_(std::move(interposer)),
      ports_(preferred_ports),
      base_(event_base_new())
{
    std::signal(SIGPIPE, SIG_IGN);
    char folder[] = "/tmp/firtide-rig-XXXXXX";
    if (!mkdtemp(folder)) throw std::runtime_error("cannot create a temporary folder in /tmp");
    folder_ = folder;
    receiver_ = std::make_unique<Receiver>(
        base_.get(), [this](const std::string& duty, uint64_t epoch, uint64_t number, const std::string&) {
            checker.record_accepted("the receiver", duty, epoch, number);
        });
    discovery_ = std::make_unique<DiscoveryStandIn>(base_.get());
    std::map<std::string, std::pair<uint16_t, std::string>> targets;
    for (size_t i = 0; i < config_.upstreams; ++i) {
        upstreams_.push_back(std::make_unique<Upstream>(
            base_.get(), "u" + std::to_string(i + 1), [this](const std::string& name, size_t concurrent) {
                // Without [probe] each balancer probes independently, so concurrent probes are expected.
                if (config_.extra_fleet_config.find("[probe]") != std::string::npos)
                    checker.record_probe(name, concurrent);
            }));
        targets[upstreams_.back()->name()] = {upstreams_.back()->port(), "ready"};
    }
    discovery_->set_targets(targets);
    for (size_t i = 0; i < config_.members; ++i) {
        auto p = std::make_unique<Process>();
        p->fleet_port = ports_.next_free_port();
        p->serve_port = ports_.next_free_port();
        p->management_port = ports_.next_free_port();
        if (config_.interpose_syscalls) {
            const auto path = folder_ + "/control" + std::to_string(i);
            const Descriptor file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
            if (ftruncate(file.fd(), sizeof(InterposerControl)) != 0)
                throw std::runtime_error("cannot create the interposer's control file");
            void* at =
                mmap(nullptr, sizeof(InterposerControl), PROT_READ | PROT_WRITE, MAP_SHARED, file.fd(), 0);
            if (at == MAP_FAILED) throw std::runtime_error("cannot map the interposer's control file");
            p->control = new (at) InterposerControl;
        }
        processes_.push_back(std::move(p));
    }
    for (size_t a = 0; a < size(); ++a)
        for (size_t b = 0; b < size(); ++b)
            if (a != b)
                proxies_[{a, b}] = std::make_unique<FaultProxy>(base_.get(), processes_[b]->fleet_port);
    write_files();
}

TestCluster::~TestCluster()
{
    for (size_t i = 0; i < size(); ++i) {
        if (processes_[i]->pid) {
            ::kill(processes_[i]->pid, SIGKILL);
            waitpid(processes_[i]->pid, nullptr, 0);
        }
        if (processes_[i]->control) munmap(processes_[i]->control, sizeof(InterposerControl));
    }
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
}

void TestCluster::set_fleet_members(std::vector<size_t> removed, std::vector<size_t> voters)
{
    removed_members_ = std::move(removed);
    voters_ = std::move(voters);
    write_files();
}

void TestCluster::write_files()
{
    for (size_t i = 0; i < size(); ++i) {
        std::ofstream file(folder_ + "/fleet" + std::to_string(i) + ".toml");
        file << "[fleet]\nname = \"rig\"\nid = \"" << id_of(i)
             << "\"\nlisten = \"127.0.0.1:" << processes_[i]->fleet_port << "\"\ndata = \"" << folder(i)
             << "\"\n";
        const auto contains = [](const std::vector<size_t>& all, size_t j) {
            return std::find(all.begin(), all.end(), j) != all.end();
        };
        for (size_t j = 0; j < size(); ++j) {
            if (contains(removed_members_, j) && i != j) continue;
            const bool votes = voters_.empty() ? j < config_.voters : contains(voters_, j);
            file << "[[member]]\nid = \"" << id_of(j) << "\"\naddress = \"127.0.0.1:"
                 << (i == j ? processes_[i]->fleet_port : proxies_[{i, j}]->port()) << "\"\nzone = \"z"
                 << j % 3 << "\"\n"
                 << (votes ? "voter = true\n" : "");
        }
        file << "[lease]\nlength = \"" << config_.lease << "\"\ndrift = " << config_.drift << "\n";
        for (size_t d = 0; d < config_.duties; ++d)
            file << "[[duty]]\nname = \"d" << d + 1 << "\"\ntell = \"127.0.0.1:" << receiver_->port()
                 << "\"\nevery = \"50ms\"\n";
        file << config_.extra_fleet_config;
        std::ofstream config(folder_ + "/config" + std::to_string(i) + ".json");
        config
            << R"({"name":")" << id_of(i) << R"(","listen":"127.0.0.1:)" << processes_[i]->serve_port
            << R"(","discovery":"127.0.0.1:)" << discovery_->port() << R"(","mgmt":"127.0.0.1:)"
            << processes_[i]->management_port << R"(","seed":")" << i + 1
            << R"(","settings":{"operations":[{"name":"safe","repeat":"free","client_timeout_us":1000000}],)"
            << R"("policy_limits":{"max_forwards":3,"cancel":true,"conn_idle_us":400000,"connect_timeout_us":100000)"
            << R"(,"may_probe":true},"telemetry":{"source":"pull","fields":["queue"]})"
            << config_.extra_settings << "}}";
    }
}

std::string TestCluster::folder(size_t member) const { return folder_ + "/data" + std::to_string(member); }

void TestCluster::delete_folder(size_t member) { fs::remove_all(folder(member)); }

void TestCluster::save_folder(size_t member)
{
    fs::remove_all(folder(member) + ".saved");
    fs::copy(folder(member), folder(member) + ".saved", fs::copy_options::recursive);
}

void TestCluster::restore_folder(size_t member)
{
    delete_folder(member);
    fs::copy(folder(member) + ".saved", folder(member), fs::copy_options::recursive);
}

void TestCluster::copy_folder_from(size_t member, size_t source)
{
    delete_folder(member);
    fs::copy(folder(source), folder(member), fs::copy_options::recursive);
}

void TestCluster::truncate_voter_log(size_t member, size_t bytes)
{
    const auto path = folder(member) + "/voter.log";
    const auto size = fs::file_size(path);
    fs::resize_file(path, size - std::min<uintmax_t>(size, bytes));
}

void TestCluster::damage_snapshot(size_t member, const std::string& how, size_t number)
{
    const auto path = folder(member) + "/snapshot";
    if (how == "of") {
        fs::copy_file(folder(number) + "/snapshot", path, fs::copy_options::overwrite_existing);
    } else if (how == "torn") {
        const auto size = fs::file_size(path);
        fs::resize_file(path, size - std::min<uintmax_t>(size, number));
    } else {
        std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
        file.seekg(static_cast<std::streamoff>(number));
        const char original = static_cast<char>(file.get());
        file.seekp(static_cast<std::streamoff>(number));
        file.put(static_cast<char>(original ^ 4));
    }
}

InterposerControl& TestCluster::control(size_t member) { return *processes_[member]->control; }

void TestCluster::start(size_t member)
{
    Process& p = *processes_[member];
    if (p.pid) return;
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe");
    const auto config = folder_ + "/config" + std::to_string(member) + ".json";
    const auto fleet = folder_ + "/fleet" + std::to_string(member) + ".toml";
    p.status.reset();
    p.stopped.reset();
    const pid_t parent = getpid();
    p.pid = fork();
    if (p.pid == 0) {
        // The process must not outlive the test cluster, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(127);
        dup2(ends[1], 2);
        if (config_.interpose_syscalls) {
            setenv("LD_PRELOAD", interposer_.c_str(), 1);
            setenv("RIG_CONTROL", (folder_ + "/control" + std::to_string(member)).c_str(), 1);
            setenv("RIG_FOLDER", folder(member).c_str(), 1);
        }
        if (config_.use_fleet_file)
            execl(program_.c_str(), program_.c_str(), "serve", config.c_str(), "--fleet", fleet.c_str(),
                  nullptr);
        else
            execl(program_.c_str(), program_.c_str(), "serve", config.c_str(), nullptr);
        _exit(127);
    }
    close(ends[1]);
    evutil_make_socket_nonblocking(ends[0]);
    p.log.reset(bufferevent_socket_new(base_.get(), ends[0], BEV_OPT_CLOSE_ON_FREE));
    struct LogReader {
        TestCluster* cluster;
        size_t member;
    };
    // Never freed: a few bytes for each start.
    auto* reader = new LogReader{this, member};
    bufferevent_setcb(
        p.log.get(),
        [](bufferevent* log, void* arg) {
            auto* r = static_cast<LogReader*>(arg);
            size_t length = 0;
            while (char* line = evbuffer_readln(bufferevent_get_input(log), &length, EVBUFFER_EOL_LF)) {
                const std::string text(line, length);
                std::free(line);
                r->cluster->handle_log_line(r->member, text);
            }
        },
        nullptr, [](bufferevent*, short, void*) {}, reader);
    bufferevent_enable(p.log.get(), EV_READ);
}

void TestCluster::handle_log_line(size_t member, const std::string& line)
{
    processes_[member]->log_text += line + "\n";
    if (line.find("Address already in use") != std::string::npos) port_conflict_ = line;
    if (on_line) on_line(member, line);
    if (line.empty() || line[0] != '{') return;
    const auto entry = nlohmann::json::parse(line, nullptr, false);
    if (!entry.is_object()) return;
    const auto event = entry.value("event", "");
    // Uses the process's own timestamps if its clock runs at the normal rate, else the time of arrival here.
    const bool own_clock = !config_.interpose_syscalls || processes_[member]->control->clock_rate == 1;
    const TimePoint at = own_clock ? TimePoint{entry.value("boot_us", int64_t{0})} : now();
    if (event == "gained")
        checker.record_acquired(at, id_of(member), entry.value("duty", ""),
                                entry.value("epoch", uint64_t{0}));
    if (event == "lost")
        checker.record_lost(own_clock ? TimePoint{entry.value("until_us", int64_t{0})} : at, id_of(member),
                            entry.value("duty", ""), entry.value("epoch", uint64_t{0}));
}

void TestCluster::send_signal(size_t member, int signal)
{
    Process& p = *processes_[member];
    if (!p.pid) return;
    ::kill(p.pid, signal);
    if (signal == SIGSTOP) p.stopped = now();
    if (signal == SIGCONT) p.stopped.reset();
    if (signal != SIGKILL) return;
    waitpid(p.pid, nullptr, 0);
    p.pid = 0;
    run_for(seconds(0.02));  // reads its last log lines
    checker.record_process_end(now(), id_of(member));
}

pid_t TestCluster::pid_of(size_t member) const { return processes_[member]->pid; }
bool TestCluster::is_running(size_t member) const { return processes_[member]->pid != 0; }
std::optional<int> TestCluster::exit_status(size_t member) const { return processes_[member]->status; }
TimePoint TestCluster::now() const { return boot_now(); }
std::string TestCluster::log(size_t member) const { return processes_[member]->log_text; }

void TestCluster::run_for(Duration span)
{
    const auto timeout = to_timeval(span);
    event_base_loopexit(base_.get(), &timeout);
    event_base_dispatch(base_.get());
    for (size_t i = 0; i < size(); ++i) {
        Process& p = *processes_[i];
        int status = 0;
        if (!p.pid || waitpid(p.pid, &status, WNOHANG) != p.pid) continue;
        p.pid = 0;
        p.status = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        checker.record_process_end(now(), id_of(i));
    }
}

bool TestCluster::run_until(const std::function<bool()>& condition, Duration timeout)
{
    const TimePoint end = monotonic_now() + timeout;
    while (!condition()) {
        if (monotonic_now() > end) return false;
        run_for(seconds(0.02));
    }
    return true;
}

LinkConditions TestCluster::link(size_t from, size_t to) const
{
    return proxies_.at({from, to})->conditions();
}
void TestCluster::set_link(size_t from, size_t to, const LinkConditions& conditions)
{
    proxy(from, to).set_conditions(conditions);
}
FaultProxy& TestCluster::proxy(size_t from, size_t to) { return *proxies_.at({from, to}); }

void TestCluster::heal_links()
{
    for (auto& [pair, proxy] : proxies_) proxy->set_conditions({});
}

void TestCluster::start_management_command(size_t member, const std::string& line,
                                           std::function<void(std::string)> on_answer)
{
    send_and_receive(base_.get(), loopback_address(processes_[member]->management_port), line + "\n",
                     seconds(60), std::move(on_answer));
}

std::string TestCluster::management_command(size_t member, const std::string& line, Duration timeout)
{
    auto response = std::make_shared<std::optional<std::string>>();
    send_and_receive(base_.get(), loopback_address(processes_[member]->management_port), line + "\n", timeout,
                     [response](std::string text) { *response = std::move(text); });
    run_until([&] { return response->has_value(); }, timeout + seconds(0.5));
    return response->value_or("");
}

int TestCluster::request(size_t member, Duration timeout)
{
    static uint64_t next_id = 1;
    auto response = std::make_shared<std::optional<std::string>>();
    send_and_receive(
        base_.get(), loopback_address(processes_[member]->serve_port),
        "GET /safe/x HTTP/1.1\r\nReq-Id: " + std::to_string(next_id++) + "\r\nConnection: close\r\n\r\n",
        timeout, [response](std::string text) { *response = std::move(text); });
    run_until([&] { return response->has_value(); }, timeout + seconds(0.5));
    const auto text = response->value_or("");
    return text.size() > 12 && text.starts_with("HTTP/1.1 ") ? std::atoi(text.c_str() + 9) : 0;
}

void TestCluster::start_request(size_t member, const std::string& tenant)
{
    send_and_receive(
        base_.get(), loopback_address(processes_[member]->serve_port),
        "GET /safe/x HTTP/1.1\r\nReq-Id: l" + id_of(member) + "-" + std::to_string(++started_requests_) +
            (tenant.empty() ? "" : "\r\nReq-Owner: " + tenant) + "\r\nConnection: close\r\n\r\n",
        seconds(1.5), [this](const std::string& text) {
            ++response_counts[text.size() > 12 && text.starts_with("HTTP/1.1 ") ? std::atoi(text.c_str() + 9)
                                                                                : 0];
        });
}

void TestCluster::send_raw_bytes(size_t member, const std::string& bytes)
{
    send_and_receive(base_.get(), loopback_address(processes_[member]->fleet_port), bytes, seconds(0.3),
                     [](const std::string&) {});
}

size_t TestCluster::index_of(const std::string& id) const
{
    for (size_t i = 0; i < size(); ++i)
        if (id_of(i) == id) return i;
    throw std::runtime_error("'" + id + "' is not a member of the cluster");
}

// The member that says of itself that it leads; others may still name one that has been killed and started
// again.
std::optional<size_t> TestCluster::leader()
{
    std::optional<size_t> found;
    unsigned long best = 0;
    for (size_t i = 0; i < size(); ++i) {
        if (!is_running(i) || processes_[i]->stopped) continue;
        const auto text = management_command(i, "show-fleet", seconds(0.4));
        const auto at = text.find(" leader "), term = text.find(" term ");
        if (at == std::string::npos || term == std::string::npos) continue;
        const auto id = text.substr(at + 8, text.find(' ', at + 8) - at - 8);
        const auto number = std::strtoul(text.c_str() + term + 6, nullptr, 10);
        if (id == id_of(i) && number >= best) best = number, found = i;
    }
    return found;
}

std::optional<size_t> TestCluster::holder(const std::string& duty)
{
    for (size_t i = 0; i < size(); ++i) {
        if (!is_running(i) || processes_[i]->stopped) continue;
        const auto text = management_command(i, "show-fleet", seconds(0.4));
        const auto at = text.find("duty " + duty + " ");
        if (at == std::string::npos) continue;
        const auto line = text.substr(at, text.find('\n', at) - at);
        if (line.ends_with(" mine")) return i;
    }
    return {};
}

std::vector<std::string> TestCluster::finish_and_check()
{
    for (size_t i = 0; i < size(); ++i)
        if (processes_[i]->stopped) send_signal(i, SIGCONT);
    run_for(seconds(0.5));
    auto violations = checker.violations(now());
    for (size_t i = 0; i < size(); ++i)
        if (const auto status = processes_[i]->status; status && *status != 0 && *status != 2)
            violations.push_back(id_of(i) + " ended unexpectedly, with status " + std::to_string(*status));
    return violations;
}

}  // namespace firtide::fault_injection
