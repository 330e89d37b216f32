#include "cluster.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

#include "fault_injection/client_call.h"
#include "src/fleet/host/host.h"

namespace firtide::scale
{
namespace
{

constexpr Duration management_timeout = seconds(10);
// The program logs each list at debug level as "fleet list VERSION in force at boot_us TIME".
constexpr std::string_view list_log_prefix = "fleet list ", since_log_prefix = " in force at boot_us ";

std::optional<ListInForce> parse_list_in_force(uint32_t member, std::string_view line)
{
    const auto list = line.find(list_log_prefix), since = line.find(since_log_prefix);
    if (list == std::string_view::npos || since == std::string_view::npos) return {};
    const std::string version(line.substr(list + list_log_prefix.size()));
    const std::string at(line.substr(since + since_log_prefix.size()));
    return ListInForce{member, std::strtoull(version.c_str(), nullptr, 10),
                       TimePoint{std::strtoll(at.c_str(), nullptr, 10)}};
}

std::string last_line(const std::string& path)
{
    std::ifstream file(path);
    std::string last = "no log output";
    for (std::string line; std::getline(file, line);) last = line;
    return last;
}

}  // namespace

Cluster::Cluster(event_base* base, const Options& options, const Layout& layout, ChangeTracker& tracker,
                 std::string own_program)
    : base_(base),
      options_(options),
      layout_(layout),
      tracker_(tracker),
      own_program_(std::move(own_program)),
      traffic_(options.members),
      real_(options.real),
      hollow_(layout.groups().size())
{
}

bool Cluster::start_real(uint32_t member)
{
    int fds[2];
    if (pipe2(fds, O_CLOEXEC) != 0) return false;
    const Descriptor writes(fds[1]);
    Real& real = real_[member];
    real.log = std::make_unique<LineStream>(
        base_, fds[0], [this, member](std::string_view line) { handle_log_line(member, line); });
    real.process = ChildProcess::execute({options_.program, "serve", layout_.config_path(member), "--fleet",
                                          layout_.fleet_path(member), "--log-level", "debug"},
                                         ChildStreams{-1, writes.fd(), writes.fd()});
    tracker_.member_up(member, fleet::fleet_now());
    return true;
}

bool Cluster::start_hollow(size_t group)
{
    int fds[2];
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds) != 0) return false;
    const Descriptor child_end(fds[1]);
    Hollow& hollow = hollow_[group];
    hollow.started = false;
    hollow.connection = std::make_unique<LineStream>(
        base_, fds[0], [this, group](std::string_view line) { handle_report(group, line); });
    const Descriptor log(
        ::open(layout_.log_path(group).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    hollow.process = ChildProcess::execute({own_program_, "hollow", layout_.spec_path(group)},
                                           ChildStreams{child_end.fd(), log.fd(), log.fd()});
    const auto& members = layout_.groups()[group];
    for (uint32_t offset = 0; offset < members.count; ++offset)
        tracker_.member_up(members.first_member + offset, fleet::fleet_now());
    return true;
}

bool Cluster::hollow_started() const
{
    for (const Hollow& hollow : hollow_)
        if (!hollow.started && !hollow.killed) return false;
    return true;
}

void Cluster::handle_log_line(uint32_t member, std::string_view line)
{
    if (const auto list = parse_list_in_force(member, line))
        tracker_.record_list_in_force(member, list->version, list->since);
}

void Cluster::handle_report(size_t group, std::string_view line)
{
    const auto report = decode_report(line);
    if (!report) return;
    Hollow& hollow = hollow_[group];
    if (const auto* list = std::get_if<ListInForce>(&*report)) {
        if (list->member < options_.members)
            tracker_.record_list_in_force(list->member, list->version, list->since);
    } else if (const auto* traffic = std::get_if<MemberTraffic>(&*report)) {
        if (traffic->member < options_.members)
            traffic_[traffic->member].sample(fleet::fleet_now(), traffic->counts);
    } else if (const auto* view = std::get_if<HollowView>(&*report)) {
        hollow.view = *view;
        count_hollow_answer(hollow);
    } else if (std::holds_alternative<TrafficSampled>(*report)) {
        count_hollow_answer(hollow);
    } else {
        hollow.started = true;
    }
}

void Cluster::count_hollow_answer(Hollow& hollow)
{
    if (hollow.pending_answers == 0) return;
    --hollow.pending_answers;
    --pending_answers_;
}

void Cluster::ask_real(uint32_t member)
{
    ++pending_answers_;
    real_[member].view.reset();
    fault_injection::send_and_receive(base_, layout_.management_address(member), "show-fleet\n",
                                      management_timeout, [this, member](const std::string& answer) {
                                          --pending_answers_;
                                          real_[member].view = decode_fleet_view(answer);
                                          const auto& view = real_[member].view;
                                          if (view && view->traffic)
                                              traffic_[member].sample(fleet::fleet_now(), *view->traffic);
                                      });
}

void Cluster::ask_hollow(size_t group, const HollowCommand& command)
{
    Hollow& hollow = hollow_[group];
    if (hollow.killed || !hollow.started) return;
    ++pending_answers_;
    ++hollow.pending_answers;
    hollow.connection->write(encode(command));
}

void Cluster::ask_views()
{
    for (uint32_t member = 0; member < options_.real; ++member) ask_real(member);
    for (size_t group = 0; group < hollow_.size(); ++group) {
        hollow_[group].view.reset();
        ask_hollow(group, ShowView{});
    }
}

void Cluster::ask_traffic()
{
    for (uint32_t member = 0; member < options_.real; ++member) ask_real(member);
    for (size_t group = 0; group < hollow_.size(); ++group) ask_hollow(group, SampleTraffic{});
}

void Cluster::send_management_command(uint32_t member, const std::string& line)
{
    fault_injection::send_and_receive(base_, layout_.management_address(member), line + "\n",
                                      management_timeout, [](const std::string&) {});
}

void Cluster::stop_real(uint32_t member)
{
    real_[member].stopping = true;
    real_[member].process->signal(SIGTERM);
    tracker_.member_down(member, fleet::fleet_now());
    traffic_[member].process_ended();
}

void Cluster::kill_hollow_process(size_t group)
{
    Hollow& hollow = hollow_[group];
    hollow.process->end();
    hollow.connection.reset();
    pending_answers_ -= std::exchange(hollow.pending_answers, 0U);
    const auto& members = layout_.groups()[group];
    for (uint32_t offset = 0; offset < members.count; ++offset) {
        tracker_.member_down(members.first_member + offset, fleet::fleet_now());
        traffic_[members.first_member + offset].process_ended();
    }
}

void Cluster::restart_hollow(size_t group)
{
    kill_hollow_process(group);
    hollow_[group].started = false;
    hollow_[group].process.reset();
}

void Cluster::kill_hollow(size_t group)
{
    hollow_[group].killed = true;
    kill_hollow_process(group);
}

void Cluster::leave(uint32_t member)
{
    for (size_t group = 0; group < hollow_.size(); ++group) {
        const auto& members = layout_.groups()[group];
        if (member < members.first_member || member >= members.first_member + members.count ||
            hollow_[group].killed)
            continue;
        if (hollow_[group].connection) hollow_[group].connection->write(encode(HollowCommand{Leave{member}}));
        tracker_.member_down(member, fleet::fleet_now());
    }
}

void Cluster::join(uint32_t member)
{
    for (size_t group = 0; group < hollow_.size(); ++group) {
        const auto& members = layout_.groups()[group];
        if (member < members.first_member || member >= members.first_member + members.count ||
            hollow_[group].killed)
            continue;
        if (hollow_[group].connection) hollow_[group].connection->write(encode(HollowCommand{Join{member}}));
        tracker_.member_up(member, fleet::fleet_now());
    }
}

bool Cluster::restart_ended_processes()
{
    for (uint32_t member = 0; member < options_.real; ++member) {
        Real& real = real_[member];
        if (!real.stopping || real.process->running()) continue;
        real.stopping = false;
        if (!start_real(member)) return false;
    }
    for (size_t group = 0; group < hollow_.size(); ++group)
        if (!hollow_[group].process && !start_hollow(group)) return false;
    return true;
}

std::optional<std::string> Cluster::failure()
{
    for (uint32_t member = 0; member < options_.real; ++member)
        if (real_[member].process && !real_[member].stopping && !real_[member].process->running())
            return "the process of " + Layout::member_id(member) + " exited unexpectedly";
    for (size_t group = 0; group < hollow_.size(); ++group)
        if (hollow_[group].process && !hollow_[group].killed && !hollow_[group].process->running())
            return "a hollow process exited unexpectedly: " + last_line(layout_.log_path(group));
    return {};
}

void Cluster::read_usage()
{
    for (Real& real : real_)
        if (real.process) real.usage.sample(real.process->id());
    for (Hollow& hollow : hollow_)
        if (hollow.process) hollow.usage.sample(hollow.process->id());
}

void Cluster::reset_peak_memory()
{
    for (Real& real : real_) real.usage.reset_peak_rss();
    for (Hollow& hollow : hollow_) hollow.usage.reset_peak_rss();
}

double Cluster::memory_mb() const
{
    double sum = 0;
    for (const Real& real : real_) sum += real.usage.rss_mb();
    for (const Hollow& hollow : hollow_) sum += hollow.killed ? 0 : hollow.usage.rss_mb();
    return sum;
}

double Cluster::cpu_seconds() const
{
    double sum = 0;
    for (const Real& real : real_) sum += real.usage.cpu_seconds();
    for (const Hollow& hollow : hollow_) sum += hollow.usage.cpu_seconds();
    return sum;
}

}  // namespace firtide::scale
