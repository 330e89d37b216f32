#include "service.h"

#include <sys/resource.h>

#include <algorithm>
#include <csignal>

#include "fleet_command.h"
#include "src/io/log.h"

namespace firtide::net
{
namespace
{

constexpr Duration accept_on = seconds(0.5);    // after SIGTERM: callers go on coming for a moment
constexpr Duration last_word = seconds(0.15);   // for callers to read the answers of the last moment
constexpr Duration look_every = seconds(0.02);  // whether all is answered
constexpr Duration count_every = seconds(0.2);  // processes of this balancer
// While others serve the same callers: who has been at rest this long hardly asks just now, and who has come
// and said nothing yet will hardly do so.
constexpr Duration rested = seconds(0.3), silent = seconds(1);
constexpr Duration tell_every = seconds(1);  // of the same trouble in the log
constexpr const char* no_peers =
    "settings.policy_limits.peers: messages are not carried on sockets; serving without";
constexpr Duration pass_on_every = seconds(0.2);  // what probes of the fleet found
constexpr size_t most_stamps = 256;
constexpr Duration tick_every = seconds(0.1);  // of what the balancer tells its fleet
constexpr size_t kept_back = 48;  // descriptors for the loop, the log, discovery, the listener and management
// Of the others, at most; together more than all, for either may need the room that the other leaves.
constexpr double part_of_upstreams = 0.4, part_of_callers = 0.85;

EventBasePtr make_base()
{
    // Guards against an operator who waits behind all that callers have sent meanwhile.
    const std::unique_ptr<event_config, FreeWith<event_config_free>> config(event_config_new());
    const auto between = to_timeval(seconds(0.005));
    event_config_set_max_dispatch_interval(config.get(), &between, 16, 1);
    EventBasePtr base(event_base_new_with_config(config.get()));
    if (!base || event_base_priority_init(base.get(), 2) != 0) throw std::runtime_error("no event loop");
    return base;
}

TimePoint epoch()
{
    using namespace std::chrono;
    const auto unix_now = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
    return monotonic_now() - Duration{unix_now};
}

// Descriptors that callers and upstreams may have: the smaller of what the configuration and the system
// allow. Those of the fleet come besides.
size_t descriptors(size_t allowed, size_t of_fleet)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, allowed + of_fleet);
        setrlimit(RLIMIT_NOFILE, &limit);
        allowed = std::min<size_t>(allowed, limit.rlim_cur - std::min<rlim_t>(limit.rlim_cur / 2, of_fleet));
    }
    return allowed > 2 * kept_back ? allowed - kept_back : allowed / 2;
}

// One way each to and from every member, the folder and the log, at the most.
size_t descriptors_of(const std::optional<std::pair<fleet::FleetConfig, std::string>>& fleet)
{
    return fleet ? fleet->first.members.size() * 3 + fleet->first.duties.size() + 32 : 0;
}

// Where one balancer probes for all, none does for itself.
Config in_fleet(Config config, const fleet::FleetConfig* fleet)
{
    if (fleet && fleet->probe) config.service_config.settings.may_probe = false;
    return config;
}

template <class F>
struct Once {
    F what;
    static void run(evutil_socket_t, short, void* arg)
    {
        const std::unique_ptr<Once> self(static_cast<Once*>(arg));
        self->what();
    }
};

}  // namespace

size_t Service::part(double of) const { return static_cast<size_t>(static_cast<double>(descriptors_) * of); }

Service::Service(Config config, std::function<Config()> read_again,
                 std::optional<std::pair<fleet::FleetConfig, std::string>> fleet)
    : config_(in_fleet(std::move(config), fleet ? &fleet->first : nullptr)),
      read_again_(std::move(read_again)),
      epoch_(epoch()),
      descriptors_(descriptors(config_.descriptors, descriptors_of(fleet))),
      base_(make_base()),
      reducer_(config_.service_config, config_.seed, to_string(config_.discovery), config_.bodies),
      upstreams_(base_.get(), config_.service_config,
                 ConnectionBudget(part(part_of_upstreams), descriptors_, [this] { return callers_.open(); }),
                 [this](Event e) { post(std::move(e)); }),
      discovery_(base_.get(), config_, epoch_, [this](Event e) { post(std::move(e)); }),
      callers_(
          base_.get(), config_,
          ConnectionBudget(part(part_of_callers), descriptors_, [this] { return upstreams_.open(); }),
          [this] { return reducer_.ready(); }, [this] { make_room(); },
          [this](Event e) { post(std::move(e)); })
{
    std::signal(SIGPIPE, SIG_IGN);
    if (!config_.shared_folder.empty()) handover_.emplace(config_.shared_folder);
    if (config_.management)
        management_.emplace(base_.get(), *config_.management, [this](Event e) {
            const auto* ordered = std::get_if<AdminCommandReceived>(&e);
            if (fleet_ && ordered && ordered->command == AdminCommand::resume)
                fleet_->notify(fleet::AdminRequest{0, fleet::return_drain_permit, "", ""});
            post(std::move(e));
        });
    if (fleet) {
        const auto& file = fleet->first;
        if (file.recovery) reducer_.enable_staged_startup(*file.recovery);
        if (file.subset || file.signals || file.turns || file.recovery)
            reducer_.join_fleet(
                {file.subset, file.signals, file.turns, file.members[file.self].key, 0, {}, 0.1});
        fleet_.emplace(base_.get(), std::move(fleet->first), fleet->second, hooks());
        if (shares_list()) tell_lists_to_fleet();
        if (management_)
            management_->fleet_orders(
                [this](AdminConnectionId caller, const auto& words) { return ordered(caller, words); },
                [this](AdminConnectionId caller) { fleet_->notify(fleet::AdminDisconnected{caller}); });
    }
    look_.reset(event_new(
        base_.get(), -1, EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<Service*>(self)->look(); }, this));
    const auto every = to_timeval(look_every);
    event_add(look_.get(), &every);
    const auto stop = [](evutil_socket_t, short, void* self) { static_cast<Service*>(self)->stop(); };
    on_signal(SIGTERM, stop);
    on_signal(SIGINT, stop);
    if (read_again_)
        on_signal(SIGHUP, [](evutil_socket_t, short, void* self) { static_cast<Service*>(self)->reread(); });
}

void Service::on_signal(int number, void (*what)(evutil_socket_t, short, void*))
{
    signals_.emplace_back(evsignal_new(base_.get(), number, what, this));
    event_add(signals_.back().get(), nullptr);
}

Service::~Service() = default;

void Service::tell_lists_to_fleet()
{
    if (fleet_->config().deltas)
        return discovery_.set_entries_callback([this](uint64_t version, auto lines, auto uids) {
            fleet_->notify(fleet::EndpointListFetched{to_string(config_.discovery), version, "",
                                                      std::move(lines), std::move(uids)});
        });
    discovery_.set_list_callback([this](uint64_t version, std::string text) {
        fleet_->notify(
            fleet::EndpointListFetched{to_string(config_.discovery), version, std::move(text), nullptr, {}});
    });
}

// What the fleet asks of this balancer.
fleet::Host::Hooks Service::hooks()
{
    fleet::Host::Hooks h;
    h.reply = [this](uint64_t caller, const std::string& text) {
        if (management_) management_->answer(caller, text);
    };
    h.start_drain = [this] { post(AdminCommandReceived{0, AdminCommand::drain}); };
    h.end_drain = [this] { post(AdminCommandReceived{0, AdminCommand::resume}); };
    h.set_discovery_polling = [this](bool on) {
        on ? discovery_.start_polling() : discovery_.stop_polling();
    };
    h.apply_endpoint_list = [this](const fleet::ApplyEndpointList& list) {
        auto decoded = decode_list(config_.service_config, list.text, epoch_);
        if (!decoded) return;
        post(std::move(decoded->update));
        spdlog::debug("fleet list {} in force at boot_us {}", list.version, fleet::fleet_now().us);
    };
    h.start_probes = [this](const fleet::StartProbes& now, const std::string& duty, fleet::Epoch epoch) {
        stamps_[next_stamp_] = {duty, epoch};
        while (stamps_.size() > most_stamps) stamps_.erase(stamps_.begin());
        post(ProbesDue{now.part, fleet_->config().probe->parts, now.slice, fleet::probe_slices,
                       next_stamp_++});
    };
    h.apply_fleet_state = [this](const fleet::ApplyFleetState& uses) { post(FleetStateUpdated{uses.state}); };
    h.apply_snapshot = [this](fleet::ApplySnapshot& uses) {
        const auto list = std::exchange(uses.snapshot.list_text, {});
        post(SnapshotRestored{std::move(uses.snapshot)});
        if (list.empty()) return;
        if (auto decoded = decode_list(config_.service_config, list, epoch_))
            post(EndpointListRestored{std::move(decoded->update.entries)});
    };
    h.apply_subset_peers = [this](fleet::ApplySubsetPeers& uses) {
        post(SubsetPeersUpdated{std::move(uses.peers)});
    };
    h.apply_outlier_reports = [this](fleet::ApplyOutlierReports& uses) {
        post(OutlierReportsUpdated{std::move(uses.verdicts)});
    };
    h.apply_quotas = [this](fleet::ApplyQuotas& uses) {
        // Of the fleet's clock, which also counts what the machine was suspended for, to the loop's.
        const Duration apart = monotonic_now() - fleet::fleet_now();
        for (fleet::QuotaLease& p : uses.leases)
            p.full_rate_until = p.full_rate_until + apart, p.expires_at = p.expires_at + apart;
        post(QuotasUpdated{std::move(uses.leases)});
    };
    h.apply_probe_reports = [this](const fleet::ApplyProbeReports& reports) {
        const auto all = fleet::unpack<std::vector<fleet::ProbeReport>>(reports.reports);
        if (!all) return;
        for (const auto& r : *all) post(ProbeReportReceived{r.upstream, r.success, r.report});
    };
    return h;
}

// What leaves for a duty authorize the fleet's gate once more, right before its bytes: getting a connection
// takes time.
void Service::carry_out(const WriteUpstream& write)
{
    const auto at = stamps_.find(write.fencing_token);
    if (!write.fencing_token ||
        (at != stamps_.end() && fleet_->authorize(at->second.duty, at->second.epoch, fleet::probe_duration)))
        return upstreams_.write(write);
    upstreams_.hang_up(write.attempt);
    post(AttemptFailed{write.attempt, {AttemptProgress::not_connected, FailureCause::no_descriptor}});
}

void Service::carry_out(ProbeCompleted& probed)
{
    const auto at = stamps_.find(probed.fencing_token);
    if (at == stamps_.end()) return;
    auto& [epoch, reports] = found_[at->second.duty];
    if (epoch != at->second.epoch) reports.clear();
    epoch = at->second.epoch;
    reports.push_back({std::move(probed.uid), probed.success, std::move(probed.load_report)});
}

// Several at a time: each goes over every link of the fleet.
void Service::pass_on_probes()
{
    const TimePoint now = monotonic_now();
    if (found_.empty() || now - passed_on_ < pass_on_every) return;
    passed_on_ = now;
    for (auto& [duty, found] : std::exchange(found_, {}))
        fleet_->notify(fleet::ProbesCompleted{duty, found.first, fleet::pack(found.second)});
}

// Returns false where it is no command about the fleet.
bool Service::ordered(AdminConnectionId caller, const std::vector<std::string>& words)
{
    auto request = decode_fleet_command(caller, words);
    if (!request) return false;
    fleet_->notify(std::move(*request));
    return true;
}

// No descriptor is left: what stands idle goes.
void Service::make_room()
{
    if (const auto now = monotonic_now(); now - told_of_no_room_ > tell_every) {
        told_of_no_room_ = now;
        spdlog::warn("no descriptor left: {} callers, {} upstream connections open", callers_.open(),
                     upstreams_.open());
    }
    if (callers_.make_room(16) == 0) upstreams_.close_oldest_idle(16);
}

// Events that come while effects are carried out wait for their turn.
void Service::post(Event event)
{
    events_.push_back(std::move(event));
    if (reducing_) return;
    reducing_ = true;
    while (!events_.empty()) {
        Event next = std::move(events_.front());
        events_.pop_front();
        if (const auto* failed = std::get_if<AttemptFailed>(&next))
            spdlog::debug("attempt {} failed: progress {}, cause {}", failed->attempt,
                          static_cast<int>(failed->error.progress), static_cast<int>(failed->error.cause));
        const auto* arrived = std::get_if<RequestReceived>(&next);
        const RequestId caller = arrived ? arrived->caller : 0;
        // An exception costs the connection that it came up on, and no other.
        try {
            auto effects = reducer_.reduce(monotonic_now(), std::move(next));
            for (Effect& effect : effects) carry_out(effect);
        } catch (const std::exception& e) {
            spdlog::error("an event could not be dealt with: {}", e.what());
            if (caller) callers_.answer(SendResponse{caller, {500, false, {}, {}, "errored\n"}, true});
        }
    }
    reducing_ = false;
}

void Service::carry_out(Effect& effect)
{
    if (auto* answer = std::get_if<SendResponse>(&effect)) return callers_.answer(*answer);
    if (auto* obeyed = std::get_if<AdminCommandResult>(&effect)) return management_->answer(*obeyed);
    if (auto* pass = std::get_if<SendResponseChunk>(&effect)) return callers_.pass(*pass);
    if (auto* cut = std::get_if<AbortResponse>(&effect)) return callers_.cut(cut->caller);
    if (auto* hear = std::get_if<SetRequestReading>(&effect)) return callers_.hear(*hear);
    if (auto* limit = std::get_if<SetAttemptTimeout>(&effect)) return upstreams_.limit(*limit);
    if (auto* read = std::get_if<SetResponseReading>(&effect)) return upstreams_.read(*read);
    if (auto* dial = std::get_if<ConnectUpstream>(&effect)) return upstreams_.dial(*dial);
    if (auto* write = std::get_if<WriteUpstream>(&effect)) return carry_out(*write);
    if (auto* probed = std::get_if<ProbeCompleted>(&effect)) return carry_out(*probed);
    if (auto* observed = std::get_if<LocalObservations>(&effect)) return fleet_->notify(std::move(*observed));
    if (auto* up = std::get_if<CloseUpstream>(&effect)) return upstreams_.hang_up(up->attempt);
    if (auto* back = std::get_if<CancelWrite>(&effect)) return upstreams_.withdraw(back->attempt);
    if (auto* idle = std::get_if<CloseIdle>(&effect)) return upstreams_.close_idle(idle->upstream_id);
    if (std::get_if<WatchEndpointList>(&effect)) return shares_list() ? void() : discovery_.start_polling();
    if (auto* to = std::get_if<MoveEndpointWatch>(&effect))
        return discovery_.change_address(decode_address(to->discovery_address, "discovery"));
    const auto wake = std::get<StartTimer>(effect);
    const auto what = [this, name = wake.timer_id] { post(TimerFired{name}); };
    const auto after = to_timeval(wake.at - monotonic_now());
    event_base_once(base_.get(), -1, EV_TIMEOUT, Once<decltype(what)>::run, new Once<decltype(what)>{what},
                    &after);
}

void Service::run()
{
    spdlog::info("serving on {}:{}, tier {}, balancer {} of {}", config_.listen.host, config_.listen.port,
                 config_.service_config.settings.tier, config_.service_config.settings.self_index,
                 config_.service_config.settings.balancer_count);
    if (config_.peers) spdlog::warn(no_peers);
    post(ServiceStarted{});
    if (!config_.known.empty()) {
        if (auto list = decode_list(config_.service_config, config_.known, epoch_)) {
            post(EndpointListRestored{std::move(list->update.entries)});
            if (config_.service_config.settings.must_watch_endpoint_list && !shares_list())
                discovery_.resume_from(list->version);
        } else
            spdlog::warn("known: is no list of upstreams; starting without");
    }
    if (fleet_) fleet_->start();
    if (!config_.service_config.settings.must_watch_endpoint_list && !shares_list())
        discovery_.start_polling();
    event_base_dispatch(base_.get());
    spdlog::info("stopped");
}

// SIGHUP. Guards against a file that is wrong or half there: all stays as it was.
void Service::reread()
{
    try {
        Config read = read_again_();
        check_reloadable(config_, read);
        const bool others = read.settings != std::exchange(config_.settings, read.settings);
        spdlog::info("configuration read again{}", others ? ", new settings in force" : "");
        if (read.peers) spdlog::warn(no_peers);
        read = in_fleet(std::move(read), fleet_ ? &fleet_->config() : nullptr);
        config_.discovery = read.discovery;
        post(ConfigReloaded{to_string(read.discovery),
                            others ? std::optional(std::move(read.service_config)) : std::nullopt});
    } catch (const std::exception& e) {
        spdlog::error("configuration kept as it was: {}", e.what());
    }
}

void Service::stop()
{
    if (stopping_) return;
    stopping_ = true;
    stopping_since_ = monotonic_now();
    spdlog::info("stopping: {} in flight; what still comes is answered within {} ms", reducer_.in_flight(),
                 reducer_.shutdown_response_time().us / 1000);
    if (fleet_) fleet_->notify(fleet::ShutdownRequested{});
    post(ShutdownStarted{config_.passed_socket.has_value()});
    if (config_.passed_socket) return stop_accepting();
    stop_accepting_.reset(evtimer_new(
        base_.get(), [](evutil_socket_t, short, void* arg) { static_cast<Service*>(arg)->stop_accepting(); },
        this));
    const auto on = to_timeval(accept_on);
    event_add(stop_accepting_.get(), &on);
}

// Whoever the system has let in by now is still served; where the listening socket goes on without this
// process, by the other one.
void Service::stop_accepting()
{
    if (!config_.passed_socket && callers_.someone_waits()) {
        const auto soon = to_timeval(look_every);
        event_add(stop_accepting_.get(), &soon);
        return;
    }
    callers_.stop_listening();
    stopped_accepting_ = true;
}

// Two processes of one upgrade have half of what the balancer may have each.
void Service::count_processes()
{
    const TimePoint now = monotonic_now();
    if (!handover_ || now - counted_processes_ < count_every) return;
    counted_processes_ = now;
    const size_t processes = handover_->another_runs() ? 2 : 1;
    if (std::exchange(processes_, processes) == processes) return;
    spdlog::info("{}", processes > 1 ? "another process of this balancer runs: half of memory and descriptors"
                                     : "the only process of this balancer: all of memory and descriptors");
    post(ProcessCountChanged{processes});
    callers_.share(processes);
    upstreams_.share(processes);
}

// Who rests is closed while turned out; once stopped and done, the loop is left.
void Service::look()
{
    count_processes();
    pass_on_probes();
    if (fleet_ && monotonic_now() - ticked_ >= tick_every) {
        ticked_ = monotonic_now();
        post(Tick{});
    }
    // Guards against turning callers out while the next balancer of a rolling restart is not back yet: those
    // that are here are served for as long as their answers can still come in time.
    if (!reducer_.should_close_connections(monotonic_now())) return;
    const bool gentle = !stopping_ || config_.passed_socket;
    callers_.close_idle(gentle ? rested : Duration{}, gentle ? silent : Duration{});
    if (!stopped_accepting_) return;
    // Guards against a caller that stops within a request and would hold the whole restart up.
    const Duration since = monotonic_now() - stopping_since_, answers = reducer_.shutdown_response_time();
    if (since >= answers) callers_.end_begun();
    // Guards against leaving with the last answer handed to the loop and not yet to its caller, or read by
    // nobody yet. What had come before the signal and has longer is seen to for as long as the process is let
    // live.
    if (reducer_.in_flight() > 0 || callers_.telling_any()) return;
    if (callers_.open() == 0 || since > answers + last_word) event_base_loopbreak(base_.get());
}

}  // namespace firtide::net
