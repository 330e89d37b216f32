#include "duty_runner.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr const char* drain_family = "drain";
constexpr const char* drain_prefix = "drain.";

// The number after the dot, as in "probe.3".
uint32_t partition_of(const std::string& duty)
{
    return static_cast<uint32_t>(std::stoul(duty.substr(duty.find('.') + 1)));
}

}  // namespace

void DutyRunner::tick()
{
    for (auto& [name, task] : tasks_) {
        const auto duty = context_.config.duty_of(name);
        if (duty && context_.now >= task.next_run) run(name, context_.config.duties[*duty], task);
    }
}

void DutyRunner::run(const std::string& name, const Duty& duty, Task& task)
{
    if (duty.kind == DutyKind::probe)
        start_probes(name, task);
    else if (duty.kind == DutyKind::external && !duty.subscriber.empty())
        notify_subscriber(name, duty, task);
}

void DutyRunner::start_probes(const std::string& name, Task& task)
{
    // Based on the scheduled time, so that slices keep their interval although ticks fall between them.
    const Duration slice = context_.config.probe->interval * (1.0 / probe_slices);
    task.next_run = std::max(task.next_run, context_.now - slice) + slice;
    context_.emit(
        LeasedEffect{name, task.epoch, probe_duration, StartProbes{partition_of(name), task.slice}});
    task.slice = (task.slice + 1) % probe_slices;
}

void DutyRunner::notify_subscriber(const std::string& name, const Duty& duty, Task& task)
{
    task.next_run = context_.now + duty.notification_interval;
    const int64_t left_ms = context_.lease_client.time_left(context_.now).us / 1000;
    context_.emit(
        LeasedEffect{name, task.epoch, {}, NotifySubscriber{duty.subscriber, ++task.last_number, left_ms}});
}

void DutyRunner::on_lease_changed(const LeaseChange& change)
{
    const auto duty = context_.config.duty_of(change.duty);
    if (!duty) return;
    const DutyKind kind = context_.config.duties[*duty].kind;
    const bool gained = change.kind == LeaseChange::Kind::gained;
    if (gained) {
        // Waits for probes that the last holder may still have in flight.
        const TimePoint first = kind == DutyKind::probe ? context_.now + probe_duration : context_.now;
        tasks_[change.duty] = {change.epoch, 0, first, 0};
    } else {
        tasks_.erase(change.duty);
    }
    if (kind != DutyKind::drain) return;
    if (gained)
        on_permit_gained(change);
    else
        on_permit_lost();
}

void DutyRunner::on_probes_completed(ProbesCompleted& probes)
{
    if (context_.held_epoch(probes.duty) != probes.epoch) return;
    broadcasts_.publish(broadcasts_.next(probes.duty, probes.epoch, std::move(probes.reports), 0));
}

void DutyRunner::on_effect_refused(const EffectRefused& refused)
{
    if (context_.held_epoch(refused.duty) == refused.epoch)
        context_.lease_client.release(context_.now, refused.duty, "a receiver has seen a higher epoch");
}

// ---- the permit to drain ----

void DutyRunner::request_drain_permit(uint64_t caller)
{
    if (!context_.config.drain) return context_.reply(caller, "FAILURE the fleet file has no [drain]\n");
    if (permit_caller_ || wants_permit_)
        return context_.reply(caller, "FAILURE a turn is asked for, or taken, already\n");
    permit_caller_ = caller;
    wants_permit_ = true;
    context_.lease_client.request_family(drain_family);
}

void DutyRunner::return_drain_permit()
{
    wants_permit_ = false;
    context_.lease_client.cancel_family_request(drain_family);
    if (permit_caller_) context_.reply(*std::exchange(permit_caller_, std::nullopt), "FAILURE called off\n");
    for (const auto& [duty, epoch] : context_.lease_client.held_duties(context_.now))
        if (duty.starts_with(drain_prefix))
            context_.lease_client.release(context_.now, duty, "its turn is over");
}

// A caller that has disconnected no longer needs the permit.
void DutyRunner::on_admin_disconnected(uint64_t caller)
{
    if (permit_caller_ != caller) return;
    permit_caller_.reset();
    wants_permit_ = false;
    context_.lease_client.cancel_family_request(drain_family);
}

void DutyRunner::on_permit_gained(const LeaseChange& change)
{
    if (!wants_permit_)
        return context_.lease_client.release(context_.now, change.duty, "the permit is no longer wanted");
    context_.emit(LeasedEffect{change.duty, change.epoch, {}, StartDrain{}});
    if (permit_caller_)
        context_.reply(*std::exchange(permit_caller_, std::nullopt),
                       "SUCCESS draining at epoch " + std::to_string(change.epoch) + "\n");
}

// Another member may get the permit soon. Ending the drain keeps the number of draining members within the
// limit.
void DutyRunner::on_permit_lost()
{
    if (!wants_permit_) return;
    wants_permit_ = false;
    context_.lease_client.cancel_family_request(drain_family);
    context_.emit(EndDrain{});
}

}  // namespace firtide::fleet
