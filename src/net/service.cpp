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

// After SIGTERM, since callers keep connecting for a moment.
constexpr Duration accept_after_stop = seconds(0.5);
constexpr Duration last_response_grace = seconds(0.15);    // for callers to read the last responses
constexpr Duration check_interval = seconds(0.02);         // of idle connections, and whether all is answered
constexpr Duration process_count_interval = seconds(0.2);  // of the processes of this balancer
// Used while others serve the same callers: a connection that has been idle this long is unlikely to send a
// request just now, and one that has sent nothing since it connected is unlikely to do so at all.
constexpr Duration idle_before_close = seconds(0.3), silent_before_close = seconds(1);
// At the start, for another process of this balancer to be reachable.
constexpr std::chrono::milliseconds join_patience{500};
constexpr Duration warning_interval = seconds(1);  // of the same problem, in the log
constexpr const char* peer_messages_unsupported =
    "settings.policy_limits.peers: messages are not carried on sockets; serving without";
constexpr Duration probe_report_interval = seconds(0.2);  // of the results of duty probes
constexpr size_t max_duty_probes = 256;
constexpr Duration tick_interval = seconds(0.1);  // of what the balancer reports to its fleet
// For the loop, the log, discovery, the listener and the management address.
constexpr size_t reserved_descriptors = 48;
// Largest share of the other descriptors. Together they exceed 1, because either side may use what the
// other leaves free.
constexpr double upstream_share = 0.4, caller_share = 0.7;
// For large messages that are passed on in chunks: a part of what a crowd of callers leaves to upstreams.
constexpr double transfer_share = 0.75 * (1 - caller_share);

EventBasePtr make_event_base()
{
    // Limits how many events run in a row, so that an operator does not wait behind all that callers have
    // sent.
    const std::unique_ptr<event_config, FreeWith<event_config_free>> config(event_config_new());
    const auto between = to_timeval(seconds(0.005));
    event_config_set_max_dispatch_interval(config.get(), &between, 16, 1);
    EventBasePtr base(event_base_new_with_config(config.get()));
    if (!base || event_base_priority_init(base.get(), 2) != 0)
        throw std::runtime_error("cannot create the event loop");
    return base;
}

TimePoint unix_epoch()
{
    using namespace std::chrono;
    const auto unix_now = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
    return monotonic_now() - Duration{unix_now};
}

// Descriptors for callers and upstreams: the smaller of what the configuration and the system allow. Those
// of the fleet are extra.
size_t usable_descriptors(size_t allowed, size_t reserved_for_fleet)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, allowed + reserved_for_fleet);
        setrlimit(RLIMIT_NOFILE, &limit);
        allowed = std::min<size_t>(allowed,
                                   limit.rlim_cur - std::min<rlim_t>(limit.rlim_cur / 2, reserved_for_fleet));
    }
    return allowed > 2 * reserved_descriptors ? allowed - reserved_descriptors : allowed / 2;
}

// At most: a connection to and one from every member, the folder and the log.
size_t fleet_descriptors(const std::optional<std::pair<fleet::FleetConfig, std::string>>& fleet)
{
    return fleet ? fleet->first.members.size() * 3 + fleet->first.duties.size() + 32 : 0;
}

// If one balancer probes for the whole fleet, none probes for itself.
Config adapt_to_fleet(Config config, const fleet::FleetConfig* fleet)
{
    if (fleet && fleet->probe) config.service_config.settings.may_probe = false;
    return config;
}

RequestIdRegistry make_request_ids(SharedRequestIds* shared, uint64_t hash_key)
{
    if (!shared) return RequestIdRegistry(hash_key);
    return RequestIdRegistry(shared->table(), shared->self(),
                             [shared](RequestIdOwner owner) { return shared->is_running(owner); });
}

template <class F>
struct OneShotCallback {
    F callback;
    static void run(evutil_socket_t, short, void* arg)
    {
        const std::unique_ptr<OneShotCallback> self(static_cast<OneShotCallback*>(arg));
        self->callback();
    }
};

}  // namespace

size_t Service::descriptor_share(double part) const
{
    return static_cast<size_t>(static_cast<double>(descriptors_) * part);
}

Service::Service(Config config, std::function<Config()> reload_config,
                 std::optional<std::pair<fleet::FleetConfig, std::string>> fleet)
    : config_(adapt_to_fleet(std::move(config), fleet ? &fleet->first : nullptr)),
      reload_config_(std::move(reload_config)),
      epoch_(unix_epoch()),
      descriptors_(usable_descriptors(config_.max_descriptors, fleet_descriptors(fleet))),
      base_(make_event_base()),
      memory_(config_.memory_budget_bytes),
      hot_restart_(config_.shared_folder.empty() ? nullptr
                                                 : std::make_unique<HotRestart>(config_.shared_folder)),
      shared_request_ids_(hot_restart_ ? join_request_ids(*hot_restart_, join_patience) : nullptr),
      request_ids_(make_request_ids(shared_request_ids_.get(), config_.seed)),
      reducer_(config_.service_config, config_.seed, to_string(config_.discovery), &memory_, &request_ids_),
      upstreams_(base_.get(), config_.service_config,
                 ConnectionBudget(descriptor_share(upstream_share), descriptors_,
                                  [this] { return downstream_.open_connections(); }),
                 memory_, [this](Event e) { post(std::move(e)); }),
      discovery_(base_.get(), config_, epoch_, [this](Event e) { post(std::move(e)); }),
      downstream_(
          base_.get(), config_,
          ConnectionBudget(descriptor_share(caller_share), descriptors_,
                           [this] { return upstreams_.open_connections(); }),
          memory_, [this] { return reducer_.ready(); }, [this] { free_descriptors(); },
          [this](Event e) { post(std::move(e)); })
{
    std::signal(SIGPIPE, SIG_IGN);
    reducer_.set_max_transfers(descriptor_share(transfer_share));
    if (config_.management)
        admin_.emplace(base_.get(), *config_.management, [this](Event e) {
            const auto* received = std::get_if<AdminCommandReceived>(&e);
            if (fleet_ && received && received->command == AdminCommand::resume)
                fleet_->notify(fleet::AdminRequest{0, fleet::return_drain_permit, "", ""});
            post(std::move(e));
        });
    if (fleet) {
        const auto& file = fleet->first;
        if (file.startup) reducer_.enable_staged_startup(*file.startup);
        if (file.subset || file.outlier_gossip || file.quotas || file.startup)
            reducer_.join_fleet(
                {file.subset, file.outlier_gossip, file.quotas, file.members[file.self].key, {}, {}, 0.1});
        fleet_.emplace(base_.get(), std::move(fleet->first), fleet->second, hooks());
        if (shares_list()) report_lists_to_fleet();
        if (admin_)
            admin_->set_fleet_command_handler(
                [this](AdminConnectionId caller, const auto& words) {
                    return handle_fleet_command(caller, words);
                },
                [this](AdminConnectionId caller) { fleet_->notify(fleet::AdminDisconnected{caller}); });
    }
    periodic_timer_.reset(event_new(
        base_.get(), -1, EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<Service*>(self)->on_timer(); }, this));
    const auto every = to_timeval(check_interval);
    event_add(periodic_timer_.get(), &every);
    const auto stop = [](evutil_socket_t, short, void* self) {
        static_cast<Service*>(self)->start_shutdown();
    };
    add_signal_handler(SIGTERM, stop);
    add_signal_handler(SIGINT, stop);
    if (reload_config_)
        add_signal_handler(SIGHUP,
                           [](evutil_socket_t, short, void* self) { static_cast<Service*>(self)->reload(); });
}

void Service::add_signal_handler(int number, void (*what)(evutil_socket_t, short, void*))
{
    signal_events_.emplace_back(evsignal_new(base_.get(), number, what, this));
    event_add(signal_events_.back().get(), nullptr);
}

Service::~Service() = default;

void Service::report_lists_to_fleet()
{
    if (fleet_->config().endpoint_deltas)
        return discovery_.set_entries_callback([this](uint64_t version, auto lines, auto uids) {
            fleet_->notify(fleet::EndpointListFetched{to_string(config_.discovery), version, "",
                                                      std::move(lines), std::move(uids)});
        });
    discovery_.set_list_callback([this](uint64_t version, std::string text) {
        fleet_->notify(
            fleet::EndpointListFetched{to_string(config_.discovery), version, std::move(text), nullptr, {}});
    });
}

// Callbacks through which the fleet acts on this balancer.
fleet::Host::Hooks Service::hooks()
{
    fleet::Host::Hooks h;
    h.reply = [this](uint64_t caller, const std::string& text) {
        if (admin_) admin_->answer(caller, text);
    };
    h.start_drain = [this] { post(AdminCommandReceived{no_admin_connection, AdminCommand::drain}); };
    h.end_drain = [this] { post(AdminCommandReceived{no_admin_connection, AdminCommand::resume}); };
    h.set_discovery_polling = [this](bool on) {
        on ? discovery_.start_polling() : discovery_.stop_polling();
    };
    h.apply_endpoint_list = [this](const fleet::ApplyEndpointList& list) {
        auto decoded = decode_list(list.text, epoch_);
        if (!decoded) return;
        post(std::move(decoded->update));
        spdlog::debug("fleet list {} in force at boot_us {}", list.version, fleet::fleet_now().us);
    };
    h.start_probes = [this](const fleet::StartProbes& now, const std::string& duty, fleet::Epoch epoch) {
        duty_probes_[next_fencing_token_] = {duty, epoch};
        while (duty_probes_.size() > max_duty_probes) duty_probes_.erase(duty_probes_.begin());
        post(ProbesDue{now.shard, fleet_->config().probe->shards, now.slice, fleet::probe_slices,
                       next_fencing_token_++});
    };
    h.apply_fleet_state = [this](const fleet::ApplyFleetState& uses) { post(FleetStateUpdated{uses.state}); };
    h.apply_snapshot = [this](fleet::ApplySnapshot& uses) {
        const auto list = std::exchange(uses.snapshot.list_text, {});
        post(SnapshotRestored{std::move(uses.snapshot)});
        if (list.empty()) return;
        if (auto decoded = decode_list(list, epoch_))
            post(EndpointListRestored{std::move(decoded->update.entries)});
    };
    h.apply_subset_peers = [this](fleet::ApplySubsetPeers& uses) {
        post(SubsetPeersUpdated{std::move(uses.peers)});
    };
    h.apply_outlier_reports = [this](fleet::ApplyOutlierReports& uses) {
        post(OutlierReportsUpdated{std::move(uses.verdicts)});
    };
    h.apply_quotas = [this](fleet::ApplyQuotas& uses) {
        // Converts from the fleet's clock, which also counts time while the machine was suspended, to the
        // loop's.
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

// A write for a duty is authorized by the fleet once more, right before its bytes leave, because getting a
// connection takes time.
void Service::execute(WriteUpstream& write)
{
    const auto found = duty_probes_.find(write.fencing_token);
    if (!write.fencing_token ||
        (found != duty_probes_.end() &&
         fleet_->authorize(found->second.duty, found->second.epoch, fleet::probe_duration)))
        return upstreams_.write(std::move(write));
    upstreams_.abandon(write.attempt);
    post(AttemptFailed{write.attempt, {AttemptProgress::not_connected, FailureCause::no_descriptor}});
}

void Service::execute(AdminCommandResult& result)
{
    if (!admin_) return;
    if (result.resources) {
        downstream_.add_metrics(*result.resources);
        result.resources->add_gauge("upstream_connections", upstreams_.open_connections());
        result.resources->add_gauge("request_ids_shared", all_share_request_ids_);
    }
    admin_->answer(result);
}

void Service::execute(ProbeCompleted& probed)
{
    const auto found = duty_probes_.find(probed.fencing_token);
    if (found == duty_probes_.end()) return;
    auto& [epoch, reports] = probe_reports_[found->second.duty];
    if (epoch != found->second.epoch) reports.clear();
    epoch = found->second.epoch;
    reports.push_back({std::move(probed.uid), probed.success, std::move(probed.load_report)});
}

// Reports several results at a time, because each report goes over every link of the fleet.
void Service::report_probes()
{
    const TimePoint now = monotonic_now();
    if (probe_reports_.empty() || now - probes_reported_at_ < probe_report_interval) return;
    probes_reported_at_ = now;
    for (auto& [duty, reports] : std::exchange(probe_reports_, {}))
        fleet_->notify(fleet::ProbesCompleted{duty, reports.first, fleet::pack(reports.second)});
}

// Returns false if it is not a fleet command.
bool Service::handle_fleet_command(AdminConnectionId caller, const std::vector<std::string>& words)
{
    auto request = decode_fleet_command(caller, words);
    if (!request) return false;
    fleet_->notify(std::move(*request));
    return true;
}

// No descriptor is left: closes idle connections.
void Service::free_descriptors()
{
    if (const auto now = monotonic_now(); now - descriptors_warned_at_ > warning_interval) {
        descriptors_warned_at_ = now;
        spdlog::warn("no descriptor left: {} callers, {} upstream connections open",
                     downstream_.open_connections(), upstreams_.open_connections());
    }
    if (downstream_.evict(16) == 0) upstreams_.close_oldest_idle(16);
}

// Events that arrive while effects are executed are queued.
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
        // An exception ends the connection that it arose on, and no other.
        try {
            auto effects = reducer_.reduce(monotonic_now(), std::move(next));
            for (Effect& effect : effects) execute(effect);
        } catch (const std::exception& e) {
            spdlog::error("an event could not be handled: {}", e.what());
            if (caller) downstream_.answer(SendResponse{caller, {500, false, {}, {}, "errored\n"}, true});
        }
    }
    reducing_ = false;
}

void Service::execute(Effect& effect)
{
    if (auto* answer = std::get_if<SendResponse>(&effect)) return downstream_.answer(*answer);
    if (auto* result = std::get_if<AdminCommandResult>(&effect)) return execute(*result);
    if (auto* chunk = std::get_if<SendResponseChunk>(&effect)) return downstream_.send_chunk(*chunk);
    if (auto* abort = std::get_if<AbortResponse>(&effect)) return downstream_.abort_response(abort->caller);
    if (auto* reading = std::get_if<SetRequestReading>(&effect))
        return downstream_.set_request_reading(*reading);
    if (auto* timeout = std::get_if<SetAttemptTimeout>(&effect)) return upstreams_.set_timeout(*timeout);
    if (auto* reading = std::get_if<SetResponseReading>(&effect))
        return upstreams_.set_response_reading(*reading);
    if (auto* connect = std::get_if<ConnectUpstream>(&effect)) return upstreams_.start_attempt(*connect);
    if (auto* write = std::get_if<WriteUpstream>(&effect)) return execute(*write);
    if (auto* probed = std::get_if<ProbeCompleted>(&effect)) return execute(*probed);
    if (auto* observed = std::get_if<LocalObservations>(&effect)) return fleet_->notify(std::move(*observed));
    if (auto* close = std::get_if<CloseUpstream>(&effect)) return upstreams_.abandon(close->attempt);
    if (auto* cancel = std::get_if<CancelWrite>(&effect)) return upstreams_.cancel_write(cancel->attempt);
    if (auto* idle = std::get_if<CloseIdle>(&effect)) return upstreams_.close_idle(idle->upstream_id);
    if (std::get_if<WatchEndpointList>(&effect)) return shares_list() ? void() : discovery_.start_polling();
    if (auto* to = std::get_if<MoveEndpointWatch>(&effect))
        return discovery_.change_address(decode_address(to->discovery_address, "discovery"));
    const auto timer = std::get<StartTimer>(effect);
    const auto callback = [this, id = timer.timer_id] { post(TimerFired{id}); };
    const auto after = to_timeval(timer.at - monotonic_now());
    event_base_once(base_.get(), -1, EV_TIMEOUT, OneShotCallback<decltype(callback)>::run,
                    new OneShotCallback<decltype(callback)>{callback}, &after);
}

void Service::run()
{
    spdlog::info("serving on {}:{}, tier {}, balancer {} of {}", config_.listen.host, config_.listen.port,
                 config_.service_config.settings.tier, config_.service_config.settings.self_index,
                 config_.service_config.settings.balancer_count);
    if (config_.allows_peer_messages) spdlog::warn(peer_messages_unsupported);
    post(ServiceStarted{});
    if (!config_.known_list.empty()) {
        if (auto list = decode_list(config_.known_list, epoch_)) {
            post(EndpointListRestored{std::move(list->update.entries)});
            if (config_.service_config.settings.must_watch_endpoint_list && !shares_list())
                discovery_.resume_from(list->version);
        } else
            spdlog::warn("known: is no list of upstreams; starting without it");
    }
    if (fleet_) fleet_->start();
    if (!config_.service_config.settings.must_watch_endpoint_list && !shares_list())
        discovery_.start_polling();
    event_base_dispatch(base_.get());
    spdlog::info("stopped");
}

// Handles SIGHUP. If the file is invalid or incomplete, nothing changes.
void Service::reload()
{
    try {
        Config new_config = reload_config_();
        check_reloadable(config_, new_config);
        const bool settings_changed =
            new_config.settings_text != std::exchange(config_.settings_text, new_config.settings_text);
        spdlog::info("configuration read again{}", settings_changed ? ", new settings in force" : "");
        if (new_config.allows_peer_messages) spdlog::warn(peer_messages_unsupported);
        new_config = adapt_to_fleet(std::move(new_config), fleet_ ? &fleet_->config() : nullptr);
        config_.discovery = new_config.discovery;
        post(ConfigReloaded{
            to_string(new_config.discovery),
            settings_changed ? std::optional(std::move(new_config.service_config)) : std::nullopt});
    } catch (const std::exception& e) {
        spdlog::error("configuration kept as it was: {}", e.what());
    }
}

void Service::start_shutdown()
{
    if (stopping_) return;
    stopping_ = true;
    stopping_since_ = monotonic_now();
    spdlog::info("stopping: {} in flight; what still comes is answered within {} ms", reducer_.in_flight(),
                 reducer_.shutdown_response_time().us / 1000);
    if (fleet_) fleet_->notify(fleet::ShutdownRequested{});
    post(ShutdownStarted{config_.passed_socket.has_value()});
    if (config_.passed_socket) return stop_accepting();
    stop_accepting_timer_.reset(evtimer_new(
        base_.get(), [](evutil_socket_t, short, void* arg) { static_cast<Service*>(arg)->stop_accepting(); },
        this));
    const auto on = to_timeval(accept_after_stop);
    event_add(stop_accepting_timer_.get(), &on);
}

// Connections that the system has already accepted are still served; if the listening socket is shared, by
// the other process.
void Service::stop_accepting()
{
    if (!config_.passed_socket && downstream_.has_pending_connections()) {
        const auto soon = to_timeval(check_interval);
        event_add(stop_accepting_timer_.get(), &soon);
        return;
    }
    downstream_.stop_listening();
    stopped_accepting_ = true;
}

// During a hot restart each of the two processes gets half of the balancer's limits.
void Service::update_process_count()
{
    const TimePoint now = monotonic_now();
    if (!hot_restart_ || now - processes_counted_at_ < process_count_interval) return;
    processes_counted_at_ = now;
    hot_restart_->register_process();
    hot_restart_->retry_publication();
    request_ids_.renew_open_claims();
    check_request_id_sharing();
    const size_t processes = hot_restart_->another_process_runs() ? 2 : 1;
    if (std::exchange(processes_, processes) == processes) return;
    spdlog::info("{}", processes > 1 ? "another process of this balancer runs: half of memory and descriptors"
                                     : "the only process of this balancer: all of memory and descriptors");
    post(ProcessCountChanged{processes});
    downstream_.set_process_count(processes);
    upstreams_.set_process_count(processes);
}

void Service::check_request_id_sharing()
{
    const bool all_share = shared_request_ids_
                               ? !has_strangers(*hot_restart_, shared_request_ids_->table().table_id)
                               : !hot_restart_->another_process_runs();
    if (std::exchange(all_share_request_ids_, all_share) && !all_share)
        spdlog::warn(
            "another process of this balancer shares no request ids: one that it has may run here too");
}

// Closes idle connections while draining or stopping; once stopped and done, leaves the loop.
void Service::on_timer()
{
    update_process_count();
    report_probes();
    if (fleet_ && monotonic_now() - ticked_at_ >= tick_interval) {
        ticked_at_ = monotonic_now();
        post(Tick{});
    }
    // In a rolling restart the next balancer may not be back yet: callers that are connected are served for
    // as long as their responses can still come in time.
    if (!reducer_.should_close_connections(monotonic_now())) return;
    const bool others_serve = !stopping_ || config_.passed_socket;
    downstream_.close_idle(others_serve ? idle_before_close : Duration{},
                           others_serve ? silent_before_close : Duration{});
    if (!stopped_accepting_) return;
    // A caller that stops within a request must not hold up the whole restart.
    const Duration since = monotonic_now() - stopping_since_, answers = reducer_.shutdown_response_time();
    if (since >= answers) downstream_.reject_incomplete_requests();
    // Does not exit while the last response is still in the loop's buffers or not yet read by its caller.
    // Requests that came before the signal and have more time are served for as long as the process is left
    // running.
    if (reducer_.in_flight() > 0 || downstream_.is_sending()) return;
    if (downstream_.open_connections() == 0 || since > answers + last_response_grace)
        event_base_loopbreak(base_.get());
}

}  // namespace firtide::net
