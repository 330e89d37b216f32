#include "run.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <random>
#include <thread>

#include "change_tracker.h"
#include "cluster.h"
#include "discovery_standin.h"
#include "estimate.h"
#include "layout.h"
#include "socket_segments.h"
#include "src/fleet/host/host.h"

namespace firtide::scale
{
namespace
{

using fleet::fleet_now;

constexpr Duration poll_every = seconds(0.02), look_every = seconds(0.5), usage_every = seconds(1);
constexpr Duration whole_within = seconds(180);   // from the start: the longest warm-up
constexpr Duration answers_within = seconds(30);  // of all members
constexpr Duration reached_within = seconds(20);  // the last change by all, after the measured time
constexpr Duration returns_after = seconds(1);    // a member that has left
constexpr Duration restart_over = seconds(5);     // all processes, in even steps
constexpr double trouble_at = 0.4;                // of the measured time
constexpr double kb = 1024;
constexpr int status_failed = 1, status_refused = 2, status_of_signal = 128;

double load_average()
{
    double load = 0;
    std::ifstream("/proc/loadavg") >> load;
    return load;
}

// Of all programs on all cores, since the machine's start.
double machine_cpu_seconds()
{
    std::ifstream file("/proc/stat");
    std::string name;
    double user = 0, nice = 0, system = 0, idle = 0, wait = 0, interrupts = 0, soft_interrupts = 0;
    file >> name >> user >> nice >> system >> idle >> wait >> interrupts >> soft_interrupts;
    return (user + nice + system + interrupts + soft_interrupts) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

class Run
{
  public:
    Run(const Options& options, PortClaim claim, const std::string& own_program)
        : options_(options),
          claim_(std::move(claim)),
          base_(event_base_new()),
          discovery_(base_.get()),
          layout_(options, folder_.path(), claim_.port(), discovery_.port()),
          tracker_(options.members),
          cluster_(base_.get(), options_, layout_, tracker_, own_program),
          chance_(options.seed)
    {
        discovery_.list_upstreams(options_, layout_);
        layout_.write_files();
        on_signal(SIGINT);
        on_signal(SIGTERM);
    }

    std::optional<RunFailure> measure(Result& result);

  private:
    using Step = std::optional<RunFailure> (Run::*)(Result& result);

    struct Reading {
        TimePoint at;
        std::vector<TrafficMeter::Reading> traffic;
        std::vector<double> real_cpu, hollow_cpu;
        double own_cpu = 0, all_cpu = 0, machine_cpu = 0;
        std::optional<SocketSegments> segments;
    };

    std::optional<RunFailure> start(Result& result);
    std::optional<RunFailure> warm_up(Result& result);
    std::optional<RunFailure> place_list(Result& result);
    std::optional<RunFailure> read_before(Result& result);
    std::optional<RunFailure> change_and_trouble(Result& result);
    std::optional<RunFailure> read_after(Result& result);
    std::optional<RunFailure> wait_for_last_change(Result& result);
    std::optional<RunFailure> last_views();
    std::optional<RunFailure> conclude(Result& result);

    void on_signal(int number);
    std::optional<RunFailure> failure();
    bool run_for(Duration span);  // false: it has failed
    // failed: what is said where it does not come to be so in time.
    std::optional<RunFailure> until(const std::function<bool()>& so, Duration most,
                                    const std::string& failed);
    std::optional<RunFailure> read(Reading& reading);
    void read_usage();

    std::optional<std::string> lacks() const;
    uint32_t list_member() const;
    std::optional<uint32_t> holder_of(const std::string& duty) const;
    std::optional<uint32_t> leader() const;

    void make_changes(TimePoint began, TimePoint now);
    void make_restarts(TimePoint began, TimePoint now);
    void make_trouble(TimePoint began, TimePoint now);
    void restart_all(TimePoint began, TimePoint now);
    void restart_one();

    bool is_killed(uint32_t member) const;
    std::vector<MemberFigures> figures_of_members() const;
    void fill_roles(Result& result) const;
    void fill_machine(Result& result) const;
    void fill_changes(Result& result) const;
    void fill_traffic(Result& result) const;

    const Options options_;
    const PortClaim claim_;
    TemporaryFolder folder_;
    EventBasePtr base_;
    std::vector<EventPtr> signals_;
    DiscoveryStandIn discovery_;
    const Layout layout_;
    ChangeTracker tracker_;
    Cluster cluster_;
    std::mt19937 chance_;
    std::optional<int> signal_;
    std::optional<std::string> cannot_start_;

    TimePoint looked_, usage_read_, window_began_;
    Reading before_, after_;
    uint64_t changes_made_ = 0, restarts_made_ = 0;
    size_t restarted_ = 0;  // of all processes, in the trouble of that name
    bool trouble_made_ = false;
    struct Return {
        uint32_t member = 0;
        TimePoint at;
    };
    std::vector<Return> returns_;
    uint32_t killed_members_ = 0;
    double peak_memory_ = 0;
    std::string leader_id_, list_holder_id_;
};

void Run::on_signal(int number)
{
    signals_.emplace_back(evsignal_new(
        base_.get(), number,
        [](evutil_socket_t got, short, void* arg) {
            auto* run = static_cast<Run*>(arg);
            run->signal_ = static_cast<int>(got);
            event_base_loopbreak(run->base_.get());
        },
        this));
    event_add(signals_.back().get(), nullptr);
}

std::optional<RunFailure> Run::failure()
{
    if (signal_) return RunFailure{status_of_signal + *signal_, "ended by a signal"};
    if (cannot_start_) return RunFailure{status_failed, *cannot_start_};
    if (const auto what = cluster_.failure()) return RunFailure{status_failed, *what};
    return {};
}

bool Run::run_for(Duration span)
{
    const auto most = to_timeval(span);
    if (!signal_) {
        event_base_loopexit(base_.get(), &most);
        event_base_dispatch(base_.get());
    }
    if (monotonic_now() - usage_read_ >= usage_every) read_usage();
    return !failure();
}

std::optional<RunFailure> Run::until(const std::function<bool()>& so, Duration most,
                                     const std::string& failed)
{
    const TimePoint end = monotonic_now() + most;
    while (!so()) {
        if (!run_for(poll_every)) return failure();
        if (monotonic_now() > end) return RunFailure{status_failed, failed};
    }
    return {};
}

void Run::read_usage()
{
    usage_read_ = monotonic_now();
    cluster_.read_usage();
    const auto own = usage_of(getpid());
    peak_memory_ = std::max(peak_memory_, cluster_.memory_mb() + (own ? own->rss_mb : 0));
}

std::optional<RunFailure> Run::start(Result&)
{
    for (uint32_t member = 0; member < options_.real; ++member)
        if (!cluster_.start_real(member)) return RunFailure{status_failed, "a process cannot be started"};
    for (size_t group = 0; group < layout_.groups().size(); ++group)
        if (!cluster_.start_hollow(group)) return RunFailure{status_failed, "a process cannot be started"};
    return {};
}

// Every member knows a leader and sees all others alive, all duties are held, and all have a list. What it
// lacks; nothing: it is whole.
std::optional<std::string> Run::lacks() const
{
    const auto alive = [this](uint32_t seen) {
        return std::to_string(seen) + " of " + std::to_string(options_.members) + " members alive";
    };
    for (uint32_t member = 0; member < options_.real; ++member) {
        const auto id = Layout::id_of(member);
        const auto& view = cluster_.real_view(member);
        if (!view) return id + " has given no whole answer";
        if (view->leader.empty()) return id + " knows no leader";
        if (view->alive != options_.members) return id + " sees " + alive(view->alive);
        if (view->duties_held != view->duties) return id + " sees a duty that nobody holds";
    }
    for (size_t group = 0; group < layout_.groups().size(); ++group) {
        const auto& view = cluster_.hollow_view(group);
        const auto count = layout_.groups()[group].count;
        if (!view || view->members != count) return "a hollow process has given no whole answer";
        if (view->with_leader != count)
            return std::to_string(count - view->with_leader) + " of a hollow process know no leader";
        if (view->least_alive != options_.members) return "a hollow member sees " + alive(view->least_alive);
    }
    for (uint32_t member = 0; member < options_.members; ++member)
        if (!tracker_.has_list(member)) return Layout::id_of(member) + " has no list";
    return {};
}

std::optional<RunFailure> Run::warm_up(Result& result)
{
    const TimePoint began = monotonic_now();
    const Duration starts = seconds(2 * options_.hollow() / starts_per_second(options_.members));
    auto failed = until([&] { return cluster_.hollow_started(); }, whole_within + starts,
                        "the hollow members have not started in time");
    if (failed) return failed;
    failed = until(
        [&] {
            if (!cluster_.answered() || monotonic_now() - looked_ < look_every) return false;
            if (!lacks()) return true;
            looked_ = monotonic_now();
            cluster_.ask_views();
            return false;
        },
        whole_within, "the fleet has not become whole in time");
    result.warm_up_seconds = (monotonic_now() - began).seconds();
    if (failed && !signal_)
        if (const auto what = lacks()) failed->what += ": " + *what;
    return failed;
}

// A real member without another duty, where there is one: what the list costs is told apart.
uint32_t Run::list_member() const
{
    if (options_.real > options_.voters) return options_.voters;
    const auto leads = leader();
    return leads == 0U ? 1 : 0;
}

std::optional<uint32_t> Run::holder_of(const std::string& duty) const
{
    for (uint32_t member = 0; member < options_.real; ++member) {
        const auto& view = cluster_.real_view(member);
        if (!view) continue;
        const auto& own = view->own_duties;
        if (std::find(own.begin(), own.end(), duty) != own.end()) return member;
    }
    return {};
}

std::optional<uint32_t> Run::leader() const
{
    for (uint32_t member = 0; member < options_.real; ++member) {
        const auto& view = cluster_.real_view(member);
        if (!view) continue;
        for (uint32_t voter = 0; voter < options_.voters; ++voter)
            if (view->leader == Layout::id_of(voter)) return voter;
    }
    return {};
}

std::optional<RunFailure> Run::place_list(Result&)
{
    const uint32_t wanted = list_member();
    const auto order = "hand-over list " + Layout::id_of(wanted);
    TimePoint ordered;
    return until(
        [&] {
            if (!cluster_.answered() || monotonic_now() - looked_ < look_every) return false;
            if (holder_of("list") == wanted && !lacks()) return true;
            if (holder_of("list") != wanted && monotonic_now() - ordered > answers_within * 0.2) {
                ordered = monotonic_now();
                cluster_.order(wanted, order);
            }
            looked_ = monotonic_now();
            cluster_.ask_views();
            return false;
        },
        answers_within, "the duty of the list could not be handed over");
}

std::optional<RunFailure> Run::read(Reading& reading)
{
    cluster_.ask_traffic();
    if (auto failed = until([&] { return cluster_.answered(); }, answers_within,
                            "not all members have told their traffic in time"))
        return failed;
    for (uint32_t member = 0; member < options_.members; ++member)
        reading.traffic.push_back(cluster_.traffic(member));
    return {};
}

std::optional<RunFailure> Run::read_before(Result& result)
{
    const auto leads = leader(), lists = holder_of("list");
    leader_id_ = leads ? Layout::id_of(*leads) : "";
    list_holder_id_ = lists ? Layout::id_of(*lists) : "";
    result.list_bytes = discovery_.list_bytes();
    if (auto failed = read(before_)) return failed;
    read_usage();
    cluster_.forget_greatest_usage();
    for (uint32_t member = 0; member < options_.real; ++member)
        before_.real_cpu.push_back(cluster_.real_usage(member).cpu_seconds());
    for (size_t group = 0; group < layout_.groups().size(); ++group)
        before_.hollow_cpu.push_back(cluster_.hollow_usage(group).cpu_seconds());
    const auto own = usage_of(getpid());
    before_.own_cpu = own ? own->cpu_seconds : 0;
    before_.all_cpu = cluster_.cpu_seconds();
    before_.machine_cpu = machine_cpu_seconds();
    before_.segments = segments_at(claim_.port());
    before_.at = monotonic_now();
    window_began_ = fleet_now();
    return {};
}

void Run::make_changes(TimePoint began, TimePoint now)
{
    const double due = (now - began).seconds() * options_.changes_per_second;
    while (static_cast<double>(changes_made_) + 1 <= due) {
        ++changes_made_;
        const TimePoint at = fleet_now();
        tracker_.changed(discovery_.change_one(), at);
    }
}

void Run::restart_one()
{
    if (options_.hollow() > 0) {
        const auto member =
            std::uniform_int_distribution<uint32_t>(options_.real, options_.members - 1)(chance_);
        const bool away = std::any_of(returns_.begin(), returns_.end(),
                                      [&](const Return& one) { return one.member == member; });
        if (away) return;
        cluster_.leave(member);
        returns_.push_back({member, monotonic_now() + returns_after});
        return;
    }
    cluster_.stop_real(std::uniform_int_distribution<uint32_t>(0, options_.real - 1)(chance_));
}

void Run::make_restarts(TimePoint began, TimePoint now)
{
    const double due = (now - began).seconds() * options_.restarts_per_second;
    while (static_cast<double>(restarts_made_) + 1 <= due) {
        ++restarts_made_;
        restart_one();
    }
    std::erase_if(returns_, [&](const Return& one) {
        if (now < one.at) return false;
        cluster_.join(one.member);
        return true;
    });
}

void Run::restart_all(TimePoint began, TimePoint now)
{
    const size_t groups = layout_.groups().size(), all = options_.real + groups;
    const double part = std::min(1.0, (now - began) / restart_over);
    while (static_cast<double>(restarted_) < part * static_cast<double>(all)) {
        if (restarted_ < options_.real)
            cluster_.stop_real(static_cast<uint32_t>(restarted_));
        else
            cluster_.restart_hollow(restarted_ - options_.real);
        ++restarted_;
        ++restarts_made_;
    }
}

void Run::make_trouble(TimePoint began, TimePoint now)
{
    const TimePoint due = began + seconds(options_.seconds * trouble_at);
    if (options_.trouble == Trouble::none || now < due) return;
    if (options_.trouble == Trouble::restart) return restart_all(due, now);
    if (std::exchange(trouble_made_, true)) return;
    cluster_.kill_hollow(0);
    killed_members_ = layout_.groups()[0].count;
}

std::optional<RunFailure> Run::change_and_trouble(Result&)
{
    const TimePoint began = monotonic_now(), end = began + seconds(options_.seconds);
    bool counted_before_trouble = false;
    while (monotonic_now() < end) {
        if (!run_for(poll_every)) return failure();
        const TimePoint now = monotonic_now();
        make_changes(began, now);
        make_restarts(began, now);
        // What is lost with a process's end is what it carried since it last told.
        const bool soon = now + seconds(1) > began + seconds(options_.seconds * trouble_at);
        if (options_.trouble != Trouble::none && soon && !std::exchange(counted_before_trouble, true))
            cluster_.ask_traffic();
        make_trouble(began, now);
        if (!cluster_.start_again()) cannot_start_ = "a process cannot be started again";
    }
    return {};
}

std::optional<RunFailure> Run::read_after(Result& result)
{
    read_usage();
    after_.at = monotonic_now();
    after_.segments = segments_at(claim_.port());
    after_.machine_cpu = machine_cpu_seconds();
    after_.all_cpu = cluster_.cpu_seconds();
    const auto own = usage_of(getpid());
    after_.own_cpu = own ? own->cpu_seconds : 0;
    for (uint32_t member = 0; member < options_.real; ++member)
        after_.real_cpu.push_back(cluster_.real_usage(member).cpu_seconds());
    for (size_t group = 0; group < layout_.groups().size(); ++group)
        after_.hollow_cpu.push_back(cluster_.hollow_usage(group).cpu_seconds());
    result.measured_seconds = (after_.at - before_.at).seconds();
    return read(after_);
}

// A change that is missing then is counted, and is no failure of the run.
std::optional<RunFailure> Run::wait_for_last_change(Result&)
{
    const TimePoint end = monotonic_now() + reached_within;
    while (monotonic_now() < end) {
        const bool back = returns_.empty() && cluster_.hollow_started();
        if (back && tracker_.all_at_last()) break;
        if (!run_for(poll_every)) return failure();
        make_restarts(monotonic_now(), monotonic_now());
        if (!cluster_.start_again()) cannot_start_ = "a process cannot be started again";
    }
    return {};
}

// Whoever was suspected, or has just returned, is given time to be seen alive again.
std::optional<RunFailure> Run::last_views()
{
    const TimePoint end = monotonic_now() + reached_within;
    for (;;) {
        looked_ = monotonic_now();
        cluster_.ask_views();
        const auto answered = [&] { return cluster_.answered() && monotonic_now() - looked_ >= look_every; };
        if (auto failed = until(answered, answers_within, "not all members have answered in time"))
            return failed;
        const auto leads = leader();
        const uint32_t up = options_.members - killed_members_;
        if (leads && cluster_.real_view(*leads)->alive == up) return {};
        if (monotonic_now() > end) return {};
    }
}

std::optional<RunFailure> Run::conclude(Result& result)
{
    if (auto failed = last_views()) return failed;
    fill_roles(result);
    fill_changes(result);
    fill_traffic(result);
    fill_machine(result);
    result.leader_id = leader_id_;
    result.list_holder_id = list_holder_id_;
    result.restarts = restarts_made_;
    result.killed_members = killed_members_;
    if (const auto leads = leader()) result.leader_sees_alive = cluster_.real_view(*leads)->alive;
    return {};
}

std::vector<MemberFigures> Run::figures_of_members() const
{
    std::vector<MemberFigures> all(options_.members);
    const double span = (after_.at - before_.at).seconds();
    for (uint32_t member = 0; member < options_.members; ++member) {
        const auto &from = before_.traffic[member], &to = after_.traffic[member];
        const double seconds = std::max(1e-3, (to.at - from.at).seconds());
        const auto carried = difference(to.counts, from.counts);
        all[member].kb_in_per_second = static_cast<double>(carried.bytes_in) / kb / seconds;
        all[member].kb_out_per_second = static_cast<double>(carried.bytes_out) / kb / seconds;
        all[member].messages_in_per_second = static_cast<double>(carried.messages_in) / seconds;
        all[member].messages_out_per_second = static_cast<double>(carried.messages_out) / seconds;
    }
    for (uint32_t member = 0; member < options_.real; ++member) {
        all[member].cpu_percent = 100 * (after_.real_cpu[member] - before_.real_cpu[member]) / span;
        all[member].rss_mb = cluster_.real_usage(member).greatest_rss_mb();
    }
    for (size_t group = 0; group < layout_.groups().size(); ++group) {
        const auto& members = layout_.groups()[group];
        const double cpu = 100 * (after_.hollow_cpu[group] - before_.hollow_cpu[group]) / span;
        for (uint32_t place = 0; place < members.count; ++place) {
            auto& one = all[members.first + place];
            one.cpu_percent = cpu / members.count;
            one.rss_mb = cluster_.hollow_usage(group).greatest_rss_mb() / members.count;
        }
    }
    return all;
}

bool Run::is_killed(uint32_t member) const
{
    const auto& groups = layout_.groups();
    if (groups.empty() || !cluster_.killed(0)) return false;
    return member >= groups[0].first && member < groups[0].first + groups[0].count;
}

void Run::fill_roles(Result& result) const
{
    std::vector<MemberFigures> real, leads, votes, lists, others, hollow;
    const auto all = figures_of_members();
    for (uint32_t member = 0; member < options_.members; ++member) {
        const auto id = Layout::id_of(member);
        if (member >= options_.real) {
            if (!is_killed(member)) hollow.push_back(all[member]);
            continue;
        }
        real.push_back(all[member]);
        if (id == leader_id_)
            leads.push_back(all[member]);
        else if (layout_.votes(member))
            votes.push_back(all[member]);
        if (id == list_holder_id_) lists.push_back(all[member]);
        if (id != leader_id_ && id != list_holder_id_ && !layout_.votes(member))
            others.push_back(all[member]);
    }
    result.balancer = figures_of(real);
    result.leader = figures_of(leads);
    result.voter = figures_of(votes);
    result.list_holder = figures_of(lists);
    result.member = figures_of(others);
    result.hollow = figures_of(hollow);
}

void Run::fill_changes(Result& result) const
{
    const auto summary = tracker_.summary(window_began_);
    result.changes.made = changes_made_;
    result.changes.counted = summary.seconds.size();
    result.changes.missing = summary.missing;
    result.changes.p50 = percentile(summary.seconds, 0.5);
    result.changes.p99 = percentile(summary.seconds, 0.99);
    result.changes.max = percentile(summary.seconds, 1);
    result.changes.members_up = summary.members_up;
    result.changes.members_at_last = summary.members_at_last;
}

void Run::fill_traffic(Result& result) const
{
    for (uint32_t member = 0; member < options_.members; ++member)
        result.totals =
            sum(result.totals, difference(after_.traffic[member].counts, before_.traffic[member].counts));
    if (!before_.segments || !after_.segments) return;
    const auto segments = static_cast<double>(segments_between(*before_.segments, *after_.segments));
    result.overhead_kb_per_second = segments * header_bytes / kb / options_.members / result.measured_seconds;
}

void Run::fill_machine(Result& result) const
{
    auto& machine = result.machine;
    const double used = after_.all_cpu - before_.all_cpu + after_.own_cpu - before_.own_cpu;
    const double whole = after_.machine_cpu - before_.machine_cpu;
    machine.cpu_cores = used / result.measured_seconds;
    machine.other_cpu_cores = std::max(0.0, whole - used) / result.measured_seconds;
    machine.cores = std::thread::hardware_concurrency();
    machine.peak_memory_mb = peak_memory_;
    machine.processes = 1 + options_.real + static_cast<uint32_t>(layout_.groups().size());
}

std::optional<RunFailure> Run::measure(Result& result)
{
    constexpr Step steps[] = {&Run::start,
                              &Run::warm_up,
                              &Run::place_list,
                              &Run::read_before,
                              &Run::change_and_trouble,
                              &Run::read_after,
                              &Run::wait_for_last_change,
                              &Run::conclude};
    for (const Step step : steps)
        if (auto failed = (this->*step)(result)) return failed;
    return {};
}

}  // namespace

std::variant<Result, RunFailure> run_scale(const Options& options, const std::string& command,
                                           const std::string& own_program)
{
    const auto needed = estimate(options);
    if (const auto why = refusal(needed, claim_machine())) return RunFailure{status_refused, *why};
    if (access(options.program.c_str(), X_OK) != 0)
        return RunFailure{status_refused, "program: '" + options.program + "' cannot be run"};
    auto claim = PortClaim::claim();
    if (!claim) return RunFailure{status_failed, "no port is free"};
    Result result;
    result.command = command;
    result.options = options;
    result.estimated_memory_mb = needed.memory_mb;
    result.machine.load_before = load_average();
    Run run(options, std::move(*claim), own_program);
    if (auto failed = run.measure(result)) return *failed;
    return result;
}

}  // namespace firtide::scale
