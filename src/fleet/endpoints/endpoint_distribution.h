// A member's part in distributing the list of upstreams: it applies deltas and passes them on, repairs its
// replica from its peers' and theirs from its own, and returns what its balancer has to use. No I/O, no clock
// of its own.
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

// For the balancer: in discovery's form, the whole list or what has changed since the last one.
struct ApplyEndpointList {
    uint64_t version = 0;  // in force from now on, also where nothing has changed
    std::string text;
    bool is_full = true;
};

class EndpointDistribution
{
  public:
    explicit EndpointDistribution(const EndpointDeltaConfig& config) : config_(config), replica_(config) {}

    // What to do about a message that was received.
    struct Reaction {
        bool pass_on = false;    // to the successors
        bool confirmed = false;  // the list in use is as new as the sender's
    };

    // Discovery's answer at the holder: the deltas to push to the successors. `uids`: all that can differ
    // from the last answer that was published; nothing: any.
    std::vector<EndpointDelta> publish(Epoch epoch, const EndpointListVersion& version,
                                       const EndpointMap& texts,
                                       const std::optional<std::vector<std::string>>& uids);
    // Discovery's answer at a member that asks on its own: used here alone, until the fleet's list is as new.
    void use_local(const EndpointListVersion& version, const EndpointMap& texts);

    // An answer of discovery was refused: what the next one names as changed counts from that one.
    void skip() { followed_.reset(); }

    Reaction handle(TimePoint now, MemberIndex from, const EndpointDelta& delta);
    void handle(TimePoint now, MemberIndex from, const EndpointDeltaRequest& want, Duration age);
    Reaction handle(TimePoint now, MemberIndex from, const EndpointSnapshotChunk& chunk);
    // What another member's ping tells of its replica.
    void on_peer_revision(TimePoint now, MemberIndex from, const EndpointRevision& revision, uint64_t digest);
    // The holder's word that its list is unchanged. True: this member uses that list.
    bool on_unchanged(TimePoint now, MemberIndex from, const EndpointRevision& revision);
    void tick(TimePoint now);

    // Whether a new holder should be repaired before it publishes: what it lacks would be published as
    // removed.
    bool must_wait_to_publish(TimePoint now, Epoch epoch, TimePoint gained) const;
    bool behind() const { return needs_snapshot_ || !newer_.empty(); }

    const EndpointReplica& replica() const { return replica_; }
    EndpointReplica& replica() { return replica_; }
    bool uses_local() const { return local_.has_value(); }
    const EndpointListVersion& version() const { return local_ ? local_->version : replica_.version(); }
    // The whole list that the balancer uses, in discovery's form.
    std::string full_text() const;

    std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
    std::optional<ApplyEndpointList> take_use();

  private:
    // The differences of a list that this member has asked for itself from the fleet's.
    struct LocalList {
        EndpointListVersion version;
        std::map<std::string, std::optional<std::string>> differences;  // by uid; nothing: it is not there
    };
    struct PendingRequest {
        MemberIndex member = 0;
        TimePoint at;
        bool answered = false;
    };
    // A snapshot that is being received.
    struct Assembly {
        MemberIndex from = 0;
        EndpointSnapshot snapshot;
        uint32_t next = 0, count = 0;
        size_t bytes = 0;
        uint32_t attempts = 0;  // in a row that were not answered
    };
    // A snapshot that is being sent: it stays as it is while the replica goes on.
    struct Offer {
        std::vector<EndpointSnapshotChunk> chunks;
        TimePoint asked;
    };

    void request(TimePoint now, MemberIndex member);
    void request_if_due(TimePoint now, MemberIndex member);
    std::optional<MemberIndex> next_source() const;
    void forget_reached();
    void mark_changed(const EndpointChanges& changes);
    void drop_local();
    void drop_local_if_reached(bool by_holder);
    void keep_local_of(const EndpointChanges& changes);
    void answer_with_snapshot(TimePoint now, MemberIndex to, const EndpointDeltaRequest& want, Duration age);
    bool finish(TimePoint now);  // true: the snapshot is in its place
    EndpointMap local_texts() const;
    const std::string* text_of_uid(const std::string& uid) const;

    const EndpointDeltaConfig config_;
    EndpointReplica replica_;
    std::optional<LocalList> local_;
    std::optional<EndpointRevision> followed_;       // as of the last answer of discovery that was published
    EndpointRevision passed_on_;                     // the newest
    std::map<MemberIndex, EndpointRevision> newer_;  // who is known to have a newer revision
    bool needs_snapshot_ = false;                    // the replica is not what its revision should be
    std::optional<TimePoint> verified_;
    std::optional<PendingRequest> pending_request_;
    std::optional<Assembly> assembly_;
    std::optional<Offer> offer_;
    std::vector<Send> sends_;

    // What the balancer has.
    bool reported_ = false, unreported_ = false;
    std::set<std::string> changed_uids_;
};

}  // namespace firtide::fleet
