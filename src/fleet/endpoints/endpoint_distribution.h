// Distributes the endpoint list at one member: applies and forwards deltas, repairs this member's replica
// from its peers and theirs from its own, and returns the list changes that the balancer has to apply. No
// I/O, no clock of its own.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endpoint_replica.h"
#include "src/fleet/membership/membership.h"

namespace firtide::fleet
{

// Tells the balancer to apply the full endpoint list or the changes since the last one, in discovery's
// format.
struct ApplyEndpointList {
    uint64_t version = 0;  // in force from now on, even if no entry has changed
    std::string text;
    bool is_full = true;
};

class EndpointDistribution
{
  public:
    explicit EndpointDistribution(const EndpointDeltaConfig& config) : config_(config), replica_(config) {}

    // What the caller has to do after a message was handled.
    struct HandleResult {
        bool must_forward = false;  // to the gossip targets
        bool confirmed = false;     // the list in use is as new as the sender's
    };

    // Publishes an answer of discovery as the holder of the duty. Returns the deltas to push to the gossip
    // targets. `uids` names all entries that can differ from the last published answer; without it, any can.
    std::vector<EndpointDelta> publish(Epoch epoch, const EndpointListVersion& version,
                                       const EndpointMap& endpoints,
                                       const std::optional<std::vector<std::string>>& uids);
    // Uses an answer that this member got from discovery itself. It applies to this member alone, until the
    // fleet's list is as new.
    void use_local_list(const EndpointListVersion& version, const EndpointMap& endpoints);

    // To be called when an answer of discovery is rejected: the changes that the next answer names are
    // relative to the rejected one, so the next answer is compared as a whole.
    void on_answer_rejected() { published_revision_.reset(); }

    HandleResult on_delta(TimePoint now, MemberIndex from, const EndpointDelta& delta);
    void on_delta_request(TimePoint now, MemberIndex from, const EndpointDeltaRequest& delta_request,
                          Duration age);
    HandleResult on_snapshot_chunk(TimePoint now, MemberIndex from, const EndpointSnapshotChunk& chunk);
    // Handles the revision and digest of a peer's replica, as its ping reports them.
    void on_peer_revision(TimePoint now, MemberIndex from, const EndpointRevision& revision, uint64_t digest);
    // Handles the holder's notice that its list is unchanged. Returns true if this member uses that list.
    bool on_unchanged(TimePoint now, MemberIndex from, const EndpointRevision& revision);
    void tick(TimePoint now);

    // Whether a new holder should wait for its replica to be repaired: entries that it lacks would be
    // published as removed.
    bool must_wait_to_publish(TimePoint now, Epoch epoch, TimePoint gained) const;
    bool is_behind() const { return needs_snapshot_ || !newer_peers_.empty(); }

    const EndpointReplica& replica() const { return replica_; }
    EndpointReplica& replica() { return replica_; }
    bool uses_local_list() const { return local_.has_value(); }
    const EndpointListVersion& version() const { return local_ ? local_->version : replica_.version(); }
    // The full list that the balancer uses, in discovery's format.
    std::string full_text() const;

    std::vector<OutgoingMessage> take_sends() { return std::exchange(sends_, {}); }
    std::optional<ApplyEndpointList> take_list_update();

  private:
    // A list that this member fetched from discovery itself, stored as differences from the fleet's list.
    struct LocalList {
        EndpointListVersion version;
        // By uid; nullopt: the entry is absent.
        std::map<std::string, std::optional<std::string>> differences;
    };
    struct PendingRequest {
        MemberIndex member = 0;
        TimePoint sent_at;
        bool answered = false;
    };
    // A snapshot that is being received.
    struct SnapshotAssembly {
        MemberIndex from = 0;
        EndpointSnapshot snapshot;
        uint32_t next_chunk = 0, chunk_count = 0;
        size_t bytes = 0;
        uint32_t unanswered_requests = 0;  // in a row
    };
    // A snapshot that is being sent. It stays unchanged while the replica advances.
    struct OutgoingSnapshot {
        std::vector<EndpointSnapshotChunk> chunks;
        TimePoint last_requested;
    };

    void request(TimePoint now, MemberIndex member);
    void request_if_due(TimePoint now, MemberIndex member);
    std::optional<MemberIndex> next_repair_source() const;
    void forget_caught_up_peers();
    void mark_changed(const EndpointChanges& changes);
    void drop_local_list();
    void drop_superseded_local_list(bool by_holder);
    void preserve_local_entries(const EndpointChanges& changes);
    void send_snapshot_chunk(TimePoint now, MemberIndex to, const EndpointDeltaRequest& delta_request,
                             Duration age);
    bool install_snapshot(TimePoint now);  // returns true if the snapshot was installed and is complete
    EndpointMap local_endpoints() const;
    const std::string* find_text(const std::string& uid) const;

    const EndpointDeltaConfig config_;
    EndpointReplica replica_;
    std::optional<LocalList> local_;
    std::optional<EndpointRevision> published_revision_;   // at the last published answer of discovery
    EndpointRevision forwarded_revision_;                  // the newest one
    std::map<MemberIndex, EndpointRevision> newer_peers_;  // peers known to have a newer revision
    bool needs_snapshot_ = false;  // the replica does not match the state of its revision
    std::optional<TimePoint> last_verified_;
    std::optional<PendingRequest> pending_request_;
    std::optional<SnapshotAssembly> assembly_;
    std::optional<OutgoingSnapshot> outgoing_snapshot_;
    std::vector<OutgoingMessage> sends_;

    // What was reported to the balancer.
    bool full_list_reported_ = false, has_unreported_changes_ = false;
    std::set<std::string> changed_uids_;
};

}  // namespace firtide::fleet
