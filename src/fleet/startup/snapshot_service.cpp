#include "snapshot_service.h"

#include <algorithm>

namespace firtide::fleet
{

SnapshotService::SnapshotService(FleetContext& context, EndpointListService& endpoints,
                                 const SharedChoices& choices)
    : context_(context), endpoints_(endpoints), choices_(choices)
{
}

void SnapshotService::start()
{
    last_write_ = context_.now;
    startup_incarnation_ = context_.membership.incarnation();
}

// ---- the snapshot of the last run ----

void SnapshotService::on_loaded(SnapshotLoaded& loaded)
{
    if (const auto* error = std::get_if<SnapshotError>(&loaded.snapshot)) return reject(*error);
    auto* snapshot = std::get_if<MemberSnapshot>(&loaded.snapshot);
    if (!snapshot) {
        restore_report_.emplace_back("no snapshot");
        return;
    }
    if (const auto error = check_snapshot_owner(*snapshot, context_.config.name, context_.config.id))
        return reject(*error);
    restore(std::move(*snapshot), loaded.age);
}

void SnapshotService::reject(const SnapshotError& error)
{
    restore_report_.push_back("refused snapshot: " + error.message);
    context_.log(LogEvent::Kind::fault, context_.config.id, "the snapshot is refused: " + error.message);
}

void SnapshotService::restore(MemberSnapshot snapshot, std::optional<Duration> age)
{
    context_.lease_client.restore_epochs(snapshot.seen_epochs);
    for (const SeenEpoch& seen : snapshot.seen_epochs) context_.fencing.observe_epoch(seen.duty, seen.epoch);
    restore_report_.push_back("trusted epochs of " + std::to_string(snapshot.seen_epochs.size()) + " duties");
    restore_report_.push_back("hint list version " + std::to_string(snapshot.list_version) + ", " +
                              std::to_string(snapshot.list_text.size()) + " bytes");
    restore_report_.push_back("trusted " + std::to_string(snapshot.open_request_ids.size()) +
                              " ids of what may have run");
    // Reductions keep expiring while the process is down; `age` is measured by a clock that keeps running,
    // too.
    std::erase_if(snapshot.reductions, [&](PersistedReduction& reduction) {
        if (!age) return true;
        reduction.remaining_us -= age->us;
        return reduction.remaining_us <= 0;
    });
    restore_report_.push_back(age ? "trusted " + std::to_string(snapshot.reductions.size()) + " reductions"
                                  : "refused reductions: the machine was rebooted");
    endpoints_.set_hint(snapshot.list_version, snapshot.list_text);
    context_.emit(ApplySnapshot{std::move(snapshot)});
}

// ---- snapshots of this run ----

// Reports once that other members have seen a later incarnation of this member than its disk had.
void SnapshotService::report_outdated_disk()
{
    const bool is_early = context_.now - context_.started < context_.config.startup->stage_timeout;
    const Incarnation incarnation = context_.membership.incarnation();
    if (reported_outdated_disk_ || incarnation <= startup_incarnation_ || !is_early) return;
    reported_outdated_disk_ = true;
    restore_report_.push_back("older than others have seen this member: as incarnation " +
                              std::to_string(incarnation));
    context_.log(LogEvent::Kind::fault, context_.config.id,
                 "its disk is older than others have seen this member");
}

FleetState SnapshotService::fleet_state() const
{
    FleetState state;
    state.member_count = context_.config.members.size();
    state.alive_count = context_.membership.alive_count();
    state.has_majority = context_.lease_client.is_lease_valid(context_.now);
    for (const Duty& duty : context_.config.duties) {
        if (duty.kind == DutyKind::drain) continue;
        ++state.duty_count;
        const bool is_held = context_.lease_client.table().entry(duty.name).holder != 0;
        state.held_duty_count += is_held || context_.held_epoch(duty.name);
    }
    return state;
}

MemberSnapshot SnapshotService::make_snapshot()
{
    const LocalObservations& observed = choices_.observations();
    MemberSnapshot snapshot;
    snapshot.fleet = context_.config.name;
    snapshot.member = context_.config.id;
    snapshot.incarnation = context_.membership.incarnation();
    snapshot.written_at_boot_us = context_.now.us;
    snapshot.list_version = endpoints_.version_to_persist();
    snapshot.list_text = endpoints_.list_to_persist();
    snapshot.accepted_rate = observed.accepted_rate;
    snapshot.total_capacity = observed.total_capacity;
    snapshot.peer_count =
        observed.peer_count ? observed.peer_count : static_cast<uint32_t>(context_.membership.alive_count());
    snapshot.reductions = observed.reductions;
    snapshot.open_request_ids = observed.open_request_ids;
    for (const Duty& duty : context_.config.duties) {
        const Epoch granted = context_.lease_client.table().entry(duty.name).epoch;
        const Epoch epoch = std::max(granted, context_.fencing.epoch(duty.name));
        if (epoch) snapshot.seen_epochs.push_back({duty.name, epoch});
    }
    return snapshot;
}

void SnapshotService::tick()
{
    if (!context_.config.startup) return;
    report_outdated_disk();
    context_.emit(ApplyFleetState{fleet_state()});
    if (context_.now - last_write_ < context_.config.startup->snapshot_interval || context_.shutting_down)
        return;
    last_write_ = context_.now;
    context_.emit(WriteSnapshot{make_snapshot()});
}

std::string SnapshotService::status() const
{
    if (!context_.config.startup) return "FAILURE the fleet file has no [recovery]\n";
    std::string text;
    for (const auto& line : choices_.observations().startup_status) text += line + "\n";
    for (const auto& line : restore_report_) text += "memory " + line + "\n";
    return text + "EOT\n";
}

}  // namespace firtide::fleet
