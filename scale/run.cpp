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

constexpr Duration poll_interval = seconds(0.02), view_interval = seconds(0.5), usage_interval = seconds(1);
constexpr Duration warm_up_timeout = seconds(180);         // per phase; the first adds time for hollow starts
constexpr Duration answer_timeout = seconds(30);           // for all members to answer
constexpr Duration convergence_timeout = seconds(20);      // for the last change, after the measured time
constexpr Duration rejoin_delay = seconds(1);              // after a member has left
constexpr Duration rolling_restart_duration = seconds(5);  // all processes, at an even rate
constexpr double disruption_start_fraction = 0.4;          // of the measured time
constexpr double kb = 1024;
constexpr int status_failed = 1, status_refused = 2, status_signal_base = 128;

double load_average()
{
    double load = 0;
    std::ifstream("/proc/loadavg") >> load;
    return load;
}

// CPU time of all programs on all cores since boot.
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
    Run(const Options& options, PortReservation port_reservation, const std::string& own_program)
        : options_(options),
          port_(std::move(port_reservation)),
          base_(event_base_new()),
          discovery_(base_.get()),
          layout_(options, folder_.path(), port_.port(), discovery_.port()),
          tracker_(options.members),
          cluster_(base_.get(), options_, layout_, tracker_, own_program),
          random_(options.seed)
    {
        discovery_.set_upstreams(options_, layout_);
        layout_.write_files();
        install_signal_handler(SIGINT);
        install_signal_handler(SIGTERM);
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
    std::optional<RunFailure> move_list_duty(Result& result);
    std::optional<RunFailure> read_before(Result& result);
    std::optional<RunFailure> run_measurement_window(Result& result);
    std::optional<RunFailure> read_after(Result& result);
    std::optional<RunFailure> wait_for_last_change(Result& result);
    std::optional<RunFailure> request_final_views();
    std::optional<RunFailure> fill_result(Result& result);

    void install_signal_handler(int number);
    std::optional<RunFailure> failure();
    bool run_for(Duration span);  // false if the run has failed
    // Fails with the message `failed` if the condition does not hold within the timeout.
    std::optional<RunFailure> wait_until(const std::function<bool()>& condition, Duration timeout,
                                         const std::string& failed);
    std::optional<RunFailure> read_traffic(Reading& reading);
    void read_usage();

    std::optional<std::string> missing_for_warm_up() const;
    uint32_t preferred_list_holder() const;
    std::optional<uint32_t> holder_of(const std::string& duty) const;
    std::optional<uint32_t> leader() const;

    void make_due_changes(TimePoint began, TimePoint now);
    void make_due_restarts(TimePoint began, TimePoint now);
    void apply_disruption(TimePoint began, TimePoint now);
    void make_due_rolling_restarts(TimePoint began, TimePoint now);
    void restart_random_member();

    bool is_killed(uint32_t member) const;
    std::vector<MemberMetrics> member_metrics() const;
    void fill_roles(Result& result) const;
    void fill_machine(Result& result) const;
    void fill_changes(Result& result) const;
    void fill_traffic(Result& result) const;

    const Options options_;
    const PortReservation port_;
    TemporaryFolder folder_;
    EventBasePtr base_;
    std::vector<EventPtr> signals_;
    DiscoveryStandIn discovery_;
    const Layout layout_;
    ChangeTracker tracker_;
    Cluster cluster_;
    std::mt19937 random_;
    std::optional<int> signal_;
    std::optional<std::string> start_failure_;

    TimePoint views_requested_at_, usage_read_at_, window_start_;
    Reading before_, after_;
    uint64_t changes_made_ = 0, restarts_made_ = 0;
    size_t rolling_restarts_made_ = 0;  // processes restarted so far by the disruption `restart`
    bool kill_done_ = false;
    struct PendingRejoin {
        uint32_t member = 0;
        TimePoint at;
    };
    std::vector<PendingRejoin> pending_rejoins_;
    uint32_t killed_members_ = 0;
    double peak_memory_mb_ = 0;
    std::string leader_id_, list_holder_id_;
};

void Run::install_signal_handler(int number)
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
    if (signal_) return RunFailure{status_signal_base + *signal_, "interrupted by a signal"};
    if (start_failure_) return RunFailure{status_failed, *start_failure_};
    if (const auto what = cluster_.failure()) return RunFailure{status_failed, *what};
    return {};
}

bool Run::run_for(Duration span)
{
    const auto timeout = to_timeval(span);
    if (!signal_) {
        event_base_loopexit(base_.get(), &timeout);
        event_base_dispatch(base_.get());
    }
    if (monotonic_now() - usage_read_at_ >= usage_interval) read_usage();
    return !failure();
}

std::optional<RunFailure> Run::wait_until(const std::function<bool()>& condition, Duration timeout,
                                          const std::string& failed)
{
    const TimePoint end = monotonic_now() + timeout;
    while (!condition()) {
        if (!run_for(poll_interval)) return failure();
        if (monotonic_now() > end) return RunFailure{status_failed, failed};
    }
    return {};
}

void Run::read_usage()
{
    usage_read_at_ = monotonic_now();
    cluster_.read_usage();
    const auto own = usage_of(getpid());
    peak_memory_mb_ = std::max(peak_memory_mb_, cluster_.memory_mb() + (own ? own->rss_mb : 0));
}

std::optional<RunFailure> Run::start(Result&)
{
    for (uint32_t member = 0; member < options_.real; ++member)
        if (!cluster_.start_real(member)) return RunFailure{status_failed, "cannot start a process"};
    for (size_t group = 0; group < layout_.groups().size(); ++group)
        if (!cluster_.start_hollow(group)) return RunFailure{status_failed, "cannot start a process"};
    return {};
}

// The warm-up is complete once every member knows a leader and sees all others alive, all duties are held,
// and all members have a list. Returns the first condition that is not met, or nothing.
std::optional<std::string> Run::missing_for_warm_up() const
{
    const auto alive = [this](uint32_t seen) {
        return std::to_string(seen) + " of " + std::to_string(options_.members) + " members alive";
    };
    for (uint32_t member = 0; member < options_.real; ++member) {
        const auto id = Layout::member_id(member);
        const auto& view = cluster_.real_view(member);
        if (!view) return id + " has not answered show-fleet completely";
        if (view->leader.empty()) return id + " knows no leader";
        if (view->alive != options_.members) return id + " sees " + alive(view->alive);
        if (view->duties_held != view->duties) return id + " sees a duty without a holder";
    }
    for (size_t group = 0; group < layout_.groups().size(); ++group) {
        const auto& view = cluster_.hollow_view(group);
        const auto count = layout_.groups()[group].count;
        if (!view || view->members != count) return "a hollow process has not reported on all of its members";
        if (view->with_leader != count)
            return std::to_string(count - view->with_leader) + " members of a hollow process know no leader";
        if (view->min_alive != options_.members) return "a hollow member sees " + alive(view->min_alive);
    }
    for (uint32_t member = 0; member < options_.members; ++member)
        if (!tracker_.has_list(member)) return Layout::member_id(member) + " has no list";
    return {};
}

std::optional<RunFailure> Run::warm_up(Result& result)
{
    const TimePoint began = monotonic_now();
    const Duration starts = seconds(2 * options_.hollow() / starts_per_second(options_.members));
    auto failed = wait_until([&] { return cluster_.hollow_started(); }, warm_up_timeout + starts,
                             "timed out waiting for the hollow members to start");
    if (failed) return failed;
    failed = wait_until(
        [&] {
            if (!cluster_.all_answered() || monotonic_now() - views_requested_at_ < view_interval)
                return false;
            if (!missing_for_warm_up()) return true;
            views_requested_at_ = monotonic_now();
            cluster_.ask_views();
            return false;
        },
        warm_up_timeout, "timed out waiting for the fleet to be complete");
    result.warm_up_seconds = (monotonic_now() - began).seconds();
    if (failed && !signal_)
        if (const auto what = missing_for_warm_up()) failed->message += ": " + *what;
    return failed;
}

// Prefers a real member without another role, so that the cost of the list duty is measured separately.
uint32_t Run::preferred_list_holder() const
{
    if (options_.real > options_.voters) return options_.voters;
    return leader() == 0U ? 1 : 0;
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
            if (view->leader == Layout::member_id(voter)) return voter;
    }
    return {};
}

std::optional<RunFailure> Run::move_list_duty(Result&)
{
    const uint32_t target_member = preferred_list_holder();
    const auto handover_command = "hand-over list " + Layout::member_id(target_member);
    TimePoint ordered;
    return wait_until(
        [&] {
            if (!cluster_.all_answered() || monotonic_now() - views_requested_at_ < view_interval)
                return false;
            if (holder_of("list") == target_member && !missing_for_warm_up()) return true;
            if (holder_of("list") != target_member && monotonic_now() - ordered > answer_timeout * 0.2) {
                ordered = monotonic_now();
                cluster_.send_management_command(target_member, handover_command);
            }
            views_requested_at_ = monotonic_now();
            cluster_.ask_views();
            return false;
        },
        answer_timeout, "timed out handing over the list duty");
}

std::optional<RunFailure> Run::read_traffic(Reading& reading)
{
    cluster_.ask_traffic();
    if (auto failed = wait_until([&] { return cluster_.all_answered(); }, answer_timeout,
                                 "timed out waiting for the traffic counts of all members"))
        return failed;
    for (uint32_t member = 0; member < options_.members; ++member)
        reading.traffic.push_back(cluster_.traffic(member));
    return {};
}

std::optional<RunFailure> Run::read_before(Result& result)
{
    const auto leading = leader(), list_holder = holder_of("list");
    leader_id_ = leading ? Layout::member_id(*leading) : "";
    list_holder_id_ = list_holder ? Layout::member_id(*list_holder) : "";
    result.list_bytes = discovery_.list_bytes();
    if (auto failed = read_traffic(before_)) return failed;
    read_usage();
    cluster_.reset_peak_memory();
    for (uint32_t member = 0; member < options_.real; ++member)
        before_.real_cpu.push_back(cluster_.real_usage(member).cpu_seconds());
    for (size_t group = 0; group < layout_.groups().size(); ++group)
        before_.hollow_cpu.push_back(cluster_.hollow_usage(group).cpu_seconds());
    const auto own = usage_of(getpid());
    before_.own_cpu = own ? own->cpu_seconds : 0;
    before_.all_cpu = cluster_.cpu_seconds();
    before_.machine_cpu = machine_cpu_seconds();
    before_.segments = segments_at(port_.port());
    before_.at = monotonic_now();
    window_start_ = fleet_now();
    return {};
}

void Run::make_due_changes(TimePoint began, TimePoint now)
{
    const double due = (now - began).seconds() * options_.changes_per_second;
    while (static_cast<double>(changes_made_) + 1 <= due) {
        ++changes_made_;
        const TimePoint at = fleet_now();
        tracker_.record_change(discovery_.toggle_random_upstream(), at);
    }
}

void Run::restart_random_member()
{
    if (options_.hollow() > 0) {
        const auto member =
            std::uniform_int_distribution<uint32_t>(options_.real, options_.members - 1)(random_);
        const bool already_left =
            std::any_of(pending_rejoins_.begin(), pending_rejoins_.end(),
                        [&](const PendingRejoin& rejoin) { return rejoin.member == member; });
        if (already_left) return;
        cluster_.leave(member);
        pending_rejoins_.push_back({member, monotonic_now() + rejoin_delay});
        return;
    }
    cluster_.stop_real(std::uniform_int_distribution<uint32_t>(0, options_.real - 1)(random_));
}

void Run::make_due_restarts(TimePoint began, TimePoint now)
{
    const double due = (now - began).seconds() * options_.restarts_per_second;
    while (static_cast<double>(restarts_made_) + 1 <= due) {
        ++restarts_made_;
        restart_random_member();
    }
    std::erase_if(pending_rejoins_, [&](const PendingRejoin& rejoin) {
        if (now < rejoin.at) return false;
        cluster_.join(rejoin.member);
        return true;
    });
}

void Run::make_due_rolling_restarts(TimePoint began, TimePoint now)
{
    const size_t groups = layout_.groups().size(), all = options_.real + groups;
    const double fraction = std::min(1.0, (now - began) / rolling_restart_duration);
    while (static_cast<double>(rolling_restarts_made_) < fraction * static_cast<double>(all)) {
        if (rolling_restarts_made_ < options_.real)
            cluster_.stop_real(static_cast<uint32_t>(rolling_restarts_made_));
        else
            cluster_.restart_hollow(rolling_restarts_made_ - options_.real);
        ++rolling_restarts_made_;
        ++restarts_made_;
    }
}

void Run::apply_disruption(TimePoint began, TimePoint now)
{
    const TimePoint due = began + seconds(options_.seconds * disruption_start_fraction);
    if (options_.disruption == Disruption::none || now < due) return;
    if (options_.disruption == Disruption::restart) return make_due_rolling_restarts(due, now);
    if (std::exchange(kill_done_, true)) return;
    cluster_.kill_hollow(0);
    killed_members_ = layout_.groups()[0].count;
}

std::optional<RunFailure> Run::run_measurement_window(Result&)
{
    const TimePoint began = monotonic_now(), end = began + seconds(options_.seconds);
    bool traffic_read_before_disruption = false;
    while (monotonic_now() < end) {
        if (!run_for(poll_interval)) return failure();
        const TimePoint now = monotonic_now();
        make_due_changes(began, now);
        make_due_restarts(began, now);
        // The counts of a process since its last report are lost when it ends, so they are read just before.
        const bool disruption_is_near =
            now + seconds(1) > began + seconds(options_.seconds * disruption_start_fraction);
        if (options_.disruption != Disruption::none && disruption_is_near &&
            !std::exchange(traffic_read_before_disruption, true))
            cluster_.ask_traffic();
        apply_disruption(began, now);
        if (!cluster_.restart_ended_processes()) start_failure_ = "cannot restart a process";
    }
    return {};
}

std::optional<RunFailure> Run::read_after(Result& result)
{
    read_usage();
    after_.at = monotonic_now();
    after_.segments = segments_at(port_.port());
    after_.machine_cpu = machine_cpu_seconds();
    after_.all_cpu = cluster_.cpu_seconds();
    const auto own = usage_of(getpid());
    after_.own_cpu = own ? own->cpu_seconds : 0;
    for (uint32_t member = 0; member < options_.real; ++member)
        after_.real_cpu.push_back(cluster_.real_usage(member).cpu_seconds());
    for (size_t group = 0; group < layout_.groups().size(); ++group)
        after_.hollow_cpu.push_back(cluster_.hollow_usage(group).cpu_seconds());
    result.measured_seconds = (after_.at - before_.at).seconds();
    return read_traffic(after_);
}

// A change that is still missing afterwards is counted and does not fail the run.
std::optional<RunFailure> Run::wait_for_last_change(Result&)
{
    const TimePoint end = monotonic_now() + convergence_timeout;
    while (monotonic_now() < end) {
        const bool all_rejoined = pending_rejoins_.empty() && cluster_.hollow_started();
        if (all_rejoined && tracker_.all_at_last_version()) break;
        if (!run_for(poll_interval)) return failure();
        make_due_restarts(monotonic_now(), monotonic_now());
        if (!cluster_.restart_ended_processes()) start_failure_ = "cannot restart a process";
    }
    return {};
}

// Allows time for members that were suspected or have just rejoined to be seen alive again.
std::optional<RunFailure> Run::request_final_views()
{
    const TimePoint end = monotonic_now() + convergence_timeout;
    for (;;) {
        views_requested_at_ = monotonic_now();
        cluster_.ask_views();
        const auto answered = [&] {
            return cluster_.all_answered() && monotonic_now() - views_requested_at_ >= view_interval;
        };
        if (auto failed =
                wait_until(answered, answer_timeout, "timed out waiting for the views of all members"))
            return failed;
        const auto leader_index = leader();
        const uint32_t expected_alive = options_.members - killed_members_;
        if (leader_index && cluster_.real_view(*leader_index)->alive == expected_alive) return {};
        if (monotonic_now() > end) return {};
    }
}

std::optional<RunFailure> Run::fill_result(Result& result)
{
    if (auto failed = request_final_views()) return failed;
    fill_roles(result);
    fill_changes(result);
    fill_traffic(result);
    fill_machine(result);
    result.leader_id = leader_id_;
    result.list_holder_id = list_holder_id_;
    result.restarts = restarts_made_;
    result.killed_members = killed_members_;
    if (const auto leader_index = leader())
        result.leader_sees_alive = cluster_.real_view(*leader_index)->alive;
    return {};
}

std::vector<MemberMetrics> Run::member_metrics() const
{
    std::vector<MemberMetrics> all(options_.members);
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
        all[member].rss_mb = cluster_.real_usage(member).peak_rss_mb();
    }
    for (size_t group = 0; group < layout_.groups().size(); ++group) {
        const auto& members = layout_.groups()[group];
        const double cpu = 100 * (after_.hollow_cpu[group] - before_.hollow_cpu[group]) / span;
        for (uint32_t offset = 0; offset < members.count; ++offset) {
            auto& metrics = all[members.first_member + offset];
            metrics.cpu_percent = cpu / members.count;
            metrics.rss_mb = cluster_.hollow_usage(group).peak_rss_mb() / members.count;
        }
    }
    return all;
}

bool Run::is_killed(uint32_t member) const
{
    const auto& groups = layout_.groups();
    if (groups.empty() || !cluster_.killed(0)) return false;
    return member >= groups[0].first_member && member < groups[0].first_member + groups[0].count;
}

void Run::fill_roles(Result& result) const
{
    std::vector<MemberMetrics> real, leaders, other_voters, list_holders, others, hollow;
    const auto all = member_metrics();
    for (uint32_t member = 0; member < options_.members; ++member) {
        const auto id = Layout::member_id(member);
        if (member >= options_.real) {
            if (!is_killed(member)) hollow.push_back(all[member]);
            continue;
        }
        real.push_back(all[member]);
        if (id == leader_id_)
            leaders.push_back(all[member]);
        else if (layout_.is_voter(member))
            other_voters.push_back(all[member]);
        if (id == list_holder_id_) list_holders.push_back(all[member]);
        if (id != leader_id_ && id != list_holder_id_ && !layout_.is_voter(member))
            others.push_back(all[member]);
    }
    result.balancer = summarize_role(real);
    result.leader = summarize_role(leaders);
    result.voter = summarize_role(other_voters);
    result.list_holder = summarize_role(list_holders);
    result.member = summarize_role(others);
    result.hollow = summarize_role(hollow);
}

void Run::fill_changes(Result& result) const
{
    const auto summary = tracker_.summary(window_start_);
    result.changes.made = changes_made_;
    result.changes.counted = summary.seconds.size();
    result.changes.missing = summary.missing;
    result.changes.p50 = percentile(summary.seconds, 0.5);
    result.changes.p99 = percentile(summary.seconds, 0.99);
    result.changes.max = percentile(summary.seconds, 1);
    result.changes.members_up = summary.members_up;
    result.changes.members_at_last_version = summary.members_at_last_version;
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
    const double machine_used = after_.machine_cpu - before_.machine_cpu;
    machine.cpu_cores = used / result.measured_seconds;
    machine.other_cpu_cores = std::max(0.0, machine_used - used) / result.measured_seconds;
    machine.cores = std::thread::hardware_concurrency();
    machine.peak_memory_mb = peak_memory_mb_;
    machine.processes = 1 + options_.real + static_cast<uint32_t>(layout_.groups().size());
}

std::optional<RunFailure> Run::measure(Result& result)
{
    constexpr Step steps[] = {&Run::start,
                              &Run::warm_up,
                              &Run::move_list_duty,
                              &Run::read_before,
                              &Run::run_measurement_window,
                              &Run::read_after,
                              &Run::wait_for_last_change,
                              &Run::fill_result};
    for (const Step step : steps)
        if (auto failed = (this->*step)(result)) return failed;
    return {};
}

}  // namespace

std::variant<Result, RunFailure> run_scale(const Options& options, const std::string& command,
                                           const std::string& own_program)
{
    const auto needed = estimate(options);
    if (const auto why = exceeded_limit(needed, raise_descriptor_limit()))
        return RunFailure{status_refused, *why};
    if (access(options.program.c_str(), X_OK) != 0)
        return RunFailure{status_refused, "program: '" + options.program + "' is not executable"};
    auto port_reservation = PortReservation::reserve();
    if (!port_reservation) return RunFailure{status_failed, "no free port range"};
    Result result;
    result.command = command;
    result.options = options;
    result.estimated_memory_mb = needed.memory_mb;
    result.machine.load_before = load_average();
    Run run(options, std::move(*port_reservation), own_program);
    if (auto failed = run.measure(result)) return *failed;
    return result;
}

}  // namespace firtide::scale
