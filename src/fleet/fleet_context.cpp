#include "fleet_context.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

// Interval of failure detection: short enough that a silent member is gone before its lease can be granted to
// another.
Duration monitoring_period(const FleetConfig& config)
{
    return std::clamp(config.lease.duration * 0.125, seconds(0.1), seconds(2));
}

}  // namespace

const char* to_string(LogEvent::Kind kind)
{
    switch (kind) {
        case LogEvent::Kind::member_health: return "member";
        case LogEvent::Kind::elected: return "elected";
        case LogEvent::Kind::stepped_down: return "stepped down";
        case LogEvent::Kind::lease_gained: return "gained";
        case LogEvent::Kind::lease_lost: return "lost";
        case LogEvent::Kind::voter_fault: return "voter";
        case LogEvent::Kind::disk_checked: return "disk";
        case LogEvent::Kind::endpoint_list: return "list";
        case LogEvent::Kind::fault: return "fault";
    }
    return "";
}

FleetContext::FleetContext(const FleetConfig& fleet_config, InstanceId instance, Incarnation incarnation,
                           uint64_t seed)
    : config(fleet_config),
      self(fleet_config.self),
      membership(fleet_config, instance, incarnation, monitoring_period(fleet_config), seed + 1),
      lease_client(fleet_config, instance, seed + 2)
{
}

void FleetContext::log(LogEvent::Kind kind, std::string subject, std::string reason)
{
    emit(LogEvent{kind, std::move(subject), std::move(reason), 0, "", {}});
}

}  // namespace firtide::fleet
