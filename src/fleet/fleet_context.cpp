#include "fleet_context.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

// Of monitoring: so that a silent member is gone before its lease can be granted again.
Duration monitoring_period(const FleetConfig& config)
{
    return std::clamp(config.lease.length * 0.125, seconds(0.1), seconds(2));
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
        case LogEvent::Kind::endpoint_list: return "list";
        case LogEvent::Kind::fault: return "fault";
    }
    return "";
}

FleetContext::FleetContext(const FleetConfig& file, InstanceId instance, Incarnation incarnation,
                           uint64_t seed)
    : config(file),
      self(file.self),
      membership(file, instance, incarnation, monitoring_period(file), seed + 1),
      lease_client(file, instance, seed + 2)
{
}

void FleetContext::log(LogEvent::Kind kind, std::string subject, std::string reason)
{
    emit(LogEvent{kind, std::move(subject), std::move(reason), 0, "", {}});
}

}  // namespace firtide::fleet
