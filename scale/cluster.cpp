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

constexpr Duration door_answers_within = seconds(10);
// What the program logs at the level debug for each list.
constexpr std::string_view list_words = "fleet list ", since_words = " in force at boot_us ";

std::optional<ListInForce> list_in_force(uint32_t member, std::string_view line)
{
    const auto list = line.find(list_words), since = line.find(since_words);
    if (list == std::string_view::npos || since == std::string_view::npos) return {};
    const std::string version(line.substr(list + list_words.size()));
    const std::string at(line.substr(since + since_words.size()));
    return ListInForce{member, std::strtoull(version.c_str(), nullptr, 10),
                       TimePoint{std::strtoll(at.c_str(), nullptr, 10)}};
}

std::string last_line(const std::string& path)
{
    std::ifstream file(path);
    std::string last = "it has logged nothing";
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
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) return false;
    const Descriptor writes(ends[1]);
    Real& real = real_[member];
    real.log = std::make_unique<LineStream>(
        base_, ends[0], [this, member](std::string_view line) { heard_log(member, line); });
    real.process = ChildProcess::execute({options_.program, "serve", layout_.config_path(member), "--fleet",
                                          layout_.fleet_path(member), "--log-level", "debug"},
                                         ChildStreams{-1, writes.fd(), writes.fd()});
    tracker_.member_up(member, fleet::fleet_now());
    return true;
}

bool Cluster::start_hollow(size_t group)
{
    int ends[2];
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0) return false;
    const Descriptor child_end(ends[1]);
    Hollow& hollow = hollow_[group];
    hollow.started = false;
    hollow.line = std::make_unique<LineStream>(base_, ends[0],
                                               [this, group](std::string_view line) { heard(group, line); });
    const Descriptor log(
        ::open(layout_.log_path(group).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    hollow.process = ChildProcess::execute({own_program_, "hollow", layout_.spec_path(group)},
                                           ChildStreams{child_end.fd(), log.fd(), log.fd()});
    const auto& members = layout_.groups()[group];
    for (uint32_t place = 0; place < members.count; ++place)
        tracker_.member_up(members.first + place, fleet::fleet_now());
    return true;
}

bool Cluster::hollow_started() const
{
    for (const Hollow& hollow : hollow_)
        if (!hollow.started && !hollow.killed) return false;
    return true;
}

void Cluster::heard_log(uint32_t member, std::string_view line)
{
    if (const auto list = list_in_force(member, line)) tracker_.in_force(member, list->version, list->since);
}

void Cluster::heard(size_t group, std::string_view line)
{
    const auto report = decode_report(line);
    if (!report) return;
    Hollow& hollow = hollow_[group];
    if (const auto* list = std::get_if<ListInForce>(&*report)) {
        if (list->member < options_.members) tracker_.in_force(list->member, list->version, list->since);
    } else if (const auto* traffic = std::get_if<MemberTraffic>(&*report)) {
        if (traffic->member < options_.members)
            traffic_[traffic->member].take(fleet::fleet_now(), traffic->counts);
    } else if (const auto* view = std::get_if<View>(&*report)) {
        hollow.view = *view;
        hollow_answered(hollow);
    } else if (std::holds_alternative<TrafficSampled>(*report)) {
        hollow_answered(hollow);
    } else {
        hollow.started = true;
    }
}

void Cluster::hollow_answered(Hollow& hollow)
{
    if (hollow.asked == 0) return;
    --hollow.asked;
    --waiting_;
}

void Cluster::ask_real(uint32_t member)
{
    ++waiting_;
    real_[member].view.reset();
    fault_injection::call(base_, layout_.door(member), "show-fleet\n", door_answers_within,
                          [this, member](const std::string& answer) {
                              --waiting_;
                              real_[member].view = decode_fleet_view(answer);
                              const auto& view = real_[member].view;
                              if (view && view->traffic)
                                  traffic_[member].take(fleet::fleet_now(), *view->traffic);
                          });
}

void Cluster::ask_hollow(size_t group, const HollowCommand& command)
{
    Hollow& hollow = hollow_[group];
    if (hollow.killed || !hollow.started) return;
    ++waiting_;
    ++hollow.asked;
    hollow.line->write(encode(command));
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

void Cluster::order(uint32_t member, const std::string& line)
{
    fault_injection::call(base_, layout_.door(member), line + "\n", door_answers_within,
                          [](const std::string&) {});
}

void Cluster::stop_real(uint32_t member)
{
    real_[member].stopping = true;
    real_[member].process->signal(SIGTERM);
    tracker_.member_down(member, fleet::fleet_now());
    traffic_[member].life_ended();
}

void Cluster::end_hollow(size_t group)
{
    Hollow& hollow = hollow_[group];
    hollow.process->end();
    hollow.line.reset();
    waiting_ -= std::exchange(hollow.asked, 0U);
    const auto& members = layout_.groups()[group];
    for (uint32_t place = 0; place < members.count; ++place) {
        tracker_.member_down(members.first + place, fleet::fleet_now());
        traffic_[members.first + place].life_ended();
    }
}

void Cluster::restart_hollow(size_t group)
{
    end_hollow(group);
    hollow_[group].started = false;
    hollow_[group].process.reset();
}

void Cluster::kill_hollow(size_t group)
{
    hollow_[group].killed = true;
    end_hollow(group);
}

void Cluster::leave(uint32_t member)
{
    for (size_t group = 0; group < hollow_.size(); ++group) {
        const auto& members = layout_.groups()[group];
        if (member < members.first || member >= members.first + members.count || hollow_[group].killed)
            continue;
        if (hollow_[group].line) hollow_[group].line->write(encode(HollowCommand{Leave{member}}));
        tracker_.member_down(member, fleet::fleet_now());
    }
}

void Cluster::join(uint32_t member)
{
    for (size_t group = 0; group < hollow_.size(); ++group) {
        const auto& members = layout_.groups()[group];
        if (member < members.first || member >= members.first + members.count || hollow_[group].killed)
            continue;
        if (hollow_[group].line) hollow_[group].line->write(encode(HollowCommand{Join{member}}));
        tracker_.member_up(member, fleet::fleet_now());
    }
}

bool Cluster::start_again()
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
            return "the process of " + Layout::id_of(member) + " has ended by itself";
    for (size_t group = 0; group < hollow_.size(); ++group)
        if (hollow_[group].process && !hollow_[group].killed && !hollow_[group].process->running())
            return "a process of hollow members has ended by itself: " + last_line(layout_.log_path(group));
    return {};
}

void Cluster::read_usage()
{
    for (Real& real : real_)
        if (real.process) real.usage.take(real.process->id());
    for (Hollow& hollow : hollow_)
        if (hollow.process) hollow.usage.take(hollow.process->id());
}

void Cluster::forget_greatest_usage()
{
    for (Real& real : real_) real.usage.forget_greatest();
    for (Hollow& hollow : hollow_) hollow.usage.forget_greatest();
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
