// State shared by the components of one member: configuration, membership, leases, the time of the current
// event, and the effects that the event has produced so far.
#pragma once

#include "fleet_events.h"
#include "src/fleet/lease/fencing_guard.h"
#include "src/fleet/lease/lease_client.h"
#include "src/fleet/membership/membership.h"

namespace firtide::fleet
{

// Owned by Fleet, and outlives the components that refer to it.
struct FleetContext {
    FleetContext(const FleetConfig& fleet_config, InstanceId instance, Incarnation incarnation,
                 uint64_t seed);

    template <class Effect>
    void emit(Effect effect)
    {
        effects.emplace_back(std::move(effect));
    }
    void send(MemberIndex to, Message message) { emit(OutgoingMessage{to, std::move(message)}); }
    // Sends to the gossip targets, which pass it on to all members. `except`: the member that it came from.
    template <class Content>
    void gossip(const Content& content, MemberIndex except)
    {
        for (const MemberIndex target : membership.gossip_targets())
            if (target != except) send(target, content);
    }
    void reply(uint64_t caller, std::string text) { emit(Reply{caller, std::move(text)}); }
    void log(LogEvent::Kind kind, std::string subject, std::string reason = "");

    [[nodiscard]] std::optional<Epoch> held_epoch(const std::string& duty) const
    {
        return lease_client.held_epoch(now, duty);
    }
    [[nodiscard]] const MemberConfig& own() const { return config.members[self]; }

    const FleetConfig& config;
    const MemberIndex self;
    TimePoint now;
    TimePoint started;
    Membership membership;
    LeaseClient lease_client;
    FencingGuard fencing;
    uint64_t fenced_effects = 0;  // effects of other members that were rejected for an outdated epoch
    bool shutting_down = false;
    std::vector<FleetEffect> effects;
};

}  // namespace firtide::fleet
