// The duty "list": its holder polls discovery and distributes the endpoint list. Other members use that list
// while it is fresh, and poll discovery themselves otherwise. The list is sent as a whole in broadcasts, or
// with [deltas] as replicated deltas (EndpointDistribution).
#pragma once

#include <optional>
#include <random>
#include <string>

#include "endpoint_distribution.h"
#include "src/fleet/duty_broadcasts.h"
#include "src/fleet/fleet_context.h"

namespace firtide::fleet
{

class EndpointListService
{
  public:
    // Both arguments must outlive the service.
    EndpointListService(FleetContext& context, DutyBroadcasts& broadcasts);

    // `random`: 0 to 1, spreads the members' own polling over time.
    void start(double random);
    void tick();
    void on_lease_changed(LeaseChange::Kind kind);

    void on_ping(MemberIndex from, const Ping& ping);
    void on_broadcast(MemberIndex from, Broadcast& broadcast);
    void on_broadcast_request(MemberIndex from, const BroadcastRequest& request);
    void on_delta(MemberIndex from, const EndpointDelta& delta);
    void on_delta_request(MemberIndex from, const EndpointDeltaRequest& request);
    void on_snapshot_chunk(MemberIndex from, const EndpointSnapshotChunk& chunk);
    void on_fetched(EndpointListFetched& fetched);

    // A list from before this start. It is a hint; a list with a lower version does not replace it for a
    // while.
    void set_hint(uint64_t version, const std::string& full_text);
    // The newest list and its version, to be persisted for the next start.
    [[nodiscard]] const std::string& list_to_persist();
    [[nodiscard]] uint64_t version_to_persist() const { return std::max(version_, hint_version_); }

    // Adds the revision of this member's list.
    void fill_ping_payload(PingPayload& payload) const;
    // For show-fleet.
    [[nodiscard]] std::string status() const;
    // Null without [deltas].
    [[nodiscard]] const EndpointReplica* replica() const;
    [[nodiscard]] EndpointReplica* replica_to_corrupt();

  private:
    // The content of a list broadcast.
    struct FullList {
        std::string source;
        uint64_t version = 0;
        std::string full_text;
        MSGPACK_DEFINE(source, version, full_text)
    };

    void set_polling(bool on);
    void confirm_list(Duration age);
    void request_broadcast(MemberIndex from);
    bool has_content(const Broadcast& broadcast) const;
    bool apply_broadcast_list(const Broadcast& broadcast);
    void publish(Epoch epoch, std::string content);

    // ---- lists from this member's own discovery ----
    bool hint_protects(uint64_t version) const;
    bool apply_fetched_list(const EndpointListFetched& fetched);
    bool accepts_version(const EndpointListVersion& version) const;
    void use_or_publish(const EndpointListFetched& fetched);
    void push_deltas(Epoch epoch, const std::vector<EndpointDelta>& deltas);
    void publish_postponed_list();
    // Emits the messages and the list changes that the replica has produced.
    void emit_replica_effects();

    FleetContext& context_;
    DutyBroadcasts& broadcasts_;
    std::optional<EndpointDistribution> distribution_;  // with [deltas]

    std::string source_;  // address of the discovery that this member's own list came from
    uint64_t version_ = 0;
    TimePoint confirmed_at_;  // when the list in use was last confirmed
    Duration poll_delay_;     // in addition to the configured maximum age; differs between members
    bool polling_ = false;
    TimePoint last_broadcast_request_;

    std::optional<Broadcast> newest_broadcast_;  // the last one with content
    std::string last_published_content_;
    uint64_t published_number_ = 0;
    TimePoint lease_gained_;
    std::optional<EndpointListFetched> postponed_list_;  // by a holder whose replica has to be repaired first

    uint64_t hint_version_ = 0;
    std::string persisted_list_;
    bool changed_since_persisted_ = false;
};

}  // namespace firtide::fleet
