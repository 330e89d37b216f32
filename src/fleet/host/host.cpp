#include "host.h"

#include <nlohmann/json.hpp>
#include <random>

#include "src/io/log.h"

namespace firtide::fleet
{
namespace
{

constexpr Duration tick_interval = seconds(0.05);

uint64_t random_seed()
{
    std::random_device device;
    return uint64_t{device()} << 32 | device();
}

}  // namespace

Host::Host(event_base* base, FleetConfig config, const std::string& path, Hooks hooks)
    : base_(base),
      config_(std::move(config)),
      hooks_(std::move(hooks)),
      directory_(config_, path),
      instance_(random_seed() | 1),
      fleet_(config_, instance_, directory_.next_incarnation(), random_seed()),
      peers_(base, config_, instance_, random_seed(),
             [this](MemberIndex from, Message message) {
                 notify(MessageReceived{from, std::move(message)});
             }),
      duty_notifier_(base, [this](const std::string& duty, Epoch epoch) {
          notify(EffectRefused{duty, epoch});
      })
{
    store_incarnation();
    const auto on_tick = [](evutil_socket_t, short, void* self) { static_cast<Host*>(self)->tick(); };
    tick_timer_.reset(event_new(base_, -1, EV_PERSIST, on_tick, this));
}

Host::~Host() = default;

void Host::start()
{
    if (config_.members[config_.self].is_voter) {
        const auto on_effect = [this](VoterAgentEffect effect) {
            notify(VoterAgentReported{std::move(effect)});
        };
        voter_agent_ =
            std::make_unique<VoterAgentThread>(base_, config_, directory_.files(), random_seed(), on_effect);
    }
    if (config_.startup) {
        notify(load_snapshot());
        snapshot_writer_ = std::make_unique<SnapshotWriter>(directory_.files(), boot_id());
    }
    notify(StartupEvent{});
    const auto interval = to_timeval(tick_interval);
    event_add(tick_timer_.get(), &interval);
}

void Host::notify(FleetEvent event)
{
    if (auto* request = std::get_if<AdminRequest>(&event)) request->traffic = peers_.counts();
    events_.push_back(std::move(event));
    if (is_processing_) return;
    is_processing_ = true;
    while (!events_.empty()) {
        FleetEvent next = std::move(events_.front());
        events_.pop_front();
        auto effects = fleet_.reduce(fleet_now(), std::move(next));
        for (FleetEffect& effect : effects) std::visit([this](auto& each) { on(each); }, effect);
    }
    is_processing_ = false;
}

bool Host::authorize(const std::string& duty, Epoch epoch, Duration duration) const
{
    return fleet_.lease_allows(fleet_now(), duty, epoch, duration);
}

void Host::tick()
{
    notify(Tick{});
    store_incarnation();
    if (snapshot_writer_) report_snapshot_errors();
}

// A failing disk is tolerable: the member then has to learn its last incarnation from other members.
void Host::store_incarnation()
{
    if (const auto error = directory_.store_incarnation(fleet_.incarnation())) {
        LogEvent event;
        event.subject = config_.id;
        event.reason = "the incarnation cannot be stored: " + error.message();
        on(event);
    }
}

void Host::report_snapshot_errors()
{
    const auto error = snapshot_writer_->last_error();
    if (error == reported_snapshot_error_) return;
    reported_snapshot_error_ = error;
    LogEvent event;
    event.subject = config_.id;
    event.reason = error ? "the snapshot is not kept: " + error.message() : "the snapshot is kept again";
    on(event);
}

SnapshotLoaded Host::load_snapshot()
{
    std::optional<std::string> bytes;
    if (const auto error = directory_.files().read(snapshot_file_name, bytes))
        return {SnapshotError{"it cannot be read: " + error.message()}, {}};
    if (!bytes) return {};
    auto decoded = decode_member_snapshot(*bytes);
    if (auto* error = std::get_if<SnapshotError>(&decoded)) return {std::move(*error), {}};
    auto& snapshot = std::get<MemberSnapshot>(decoded);
    // The boot clock is valid until the next boot. Wall clocks are not used.
    std::optional<Duration> age;
    const Duration since{fleet_now().us - snapshot.written_at_boot_us};
    if (snapshot.boot_id == boot_id() && since >= Duration{}) age = since;
    return {std::move(snapshot), age};
}

// ---- effects of duties ----

void Host::on(LeasedEffect& effect)
{
    if (const auto* notification = std::get_if<NotifySubscriber>(&effect.action))
        return notify_subscriber(effect, *notification);
    if (!authorize(effect.duty, effect.epoch, effect.duration)) return;
    if (const auto* publish = std::get_if<Publish>(&effect.action)) {
        for (const OutgoingMessage& send : publish->sends) peers_.send(send.to, send.message);
    } else if (const auto* probes = std::get_if<StartProbes>(&effect.action)) {
        if (hooks_.start_probes) hooks_.start_probes(*probes, effect.duty, effect.epoch);
    } else if (hooks_.start_drain) {
        hooks_.start_drain();
    }
}

// Checks the lease right before the bytes are sent, because connecting takes time.
void Host::notify_subscriber(const LeasedEffect& effect, const NotifySubscriber& notification)
{
    const DutyNotification message{effect.duty, config_.id, effect.epoch, notification.number,
                                   notification.remaining_ms};
    duty_notifier_.notify(notification.address, message,
                          [&] { return authorize(effect.duty, effect.epoch, effect.duration); });
}

// ---- other effects ----

void Host::on(CallVoterAgent& call)
{
    if (voter_agent_) voter_agent_->call(std::move(call.call));
}

void Host::on(EndDrain& /*end*/)
{
    if (hooks_.end_drain) hooks_.end_drain();
}

void Host::on(SetDiscoveryPolling& polling)
{
    if (hooks_.set_discovery_polling) hooks_.set_discovery_polling(polling.enabled);
}

void Host::on(ApplyEndpointList& list)
{
    if (hooks_.apply_endpoint_list) hooks_.apply_endpoint_list(list);
}

void Host::on(ApplyProbeReports& reports)
{
    if (hooks_.apply_probe_reports) hooks_.apply_probe_reports(reports);
}

void Host::on(Reply& reply)
{
    if (hooks_.reply) hooks_.reply(reply.caller, reply.text);
}

void Host::on(ApplySubsetPeers& peers)
{
    if (hooks_.apply_subset_peers) hooks_.apply_subset_peers(peers);
}

void Host::on(ApplyOutlierReports& reports)
{
    if (hooks_.apply_outlier_reports) hooks_.apply_outlier_reports(reports);
}

void Host::on(ApplyQuotas& quotas)
{
    if (hooks_.apply_quotas) hooks_.apply_quotas(quotas);
}

void Host::on(ApplySnapshot& snapshot)
{
    if (hooks_.apply_snapshot) hooks_.apply_snapshot(snapshot);
}

void Host::on(ApplyFleetState& state)
{
    if (hooks_.apply_fleet_state) hooks_.apply_fleet_state(state);
}

void Host::on(WriteSnapshot& write)
{
    if (snapshot_writer_) snapshot_writer_->write(std::move(write.snapshot));
}

// Writes one line of JSON per event, for later tracing.
void Host::on(LogEvent& event)
{
    if (!spdlog::should_log(spdlog::level::info)) return;
    nlohmann::ordered_json line{{"boot_us", fleet_now().us},
                                {"fleet", config_.name},
                                {"member", config_.id},
                                {"event", to_string(event.kind)}};
    const bool is_lease =
        event.kind == LogEvent::Kind::lease_gained || event.kind == LogEvent::Kind::lease_lost;
    if (is_lease) {
        line["duty"] = event.subject;
        line["epoch"] = event.number;
        line["until_us"] = event.until.us;
    } else {
        if (!event.subject.empty()) line["subject"] = event.subject;
        if (!event.health.empty()) line["health"] = event.health;
        if (event.number) line["number"] = event.number;
    }
    if (!event.reason.empty()) line["why"] = event.reason;
    log_raw_line(line.dump());
}

}  // namespace firtide::fleet
