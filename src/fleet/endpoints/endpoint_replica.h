// A member's replica of the endpoint list: the entries at a revision, a log of the last deltas to repair
// other members with, and a digest that is updated incrementally. No I/O, no clock.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "endpoint_text.h"
#include "src/fleet/config.h"
#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

struct EndpointChanges {
    std::vector<EndpointEntry> changed;
    std::vector<std::string> removed;  // uids
    bool empty() const { return changed.empty() && removed.empty(); }
};

// A complete state, as received in chunks.
struct EndpointSnapshot {
    EndpointRevision revision;
    EndpointListVersion version;
    uint64_t digest = 0;
    bool partial = false;
    EndpointMap endpoints;
};

// The digest of one entry. The digest of a state is the sum over its entries, in any order.
uint64_t digest_of(const std::string& uid, const std::string& text);
uint64_t digest_of(const EndpointMap& endpoints);

class EndpointReplica
{
  public:
    enum class ApplyResult : uint8_t {
        applied,
        adopted,   // this replica already had that state, at another revision
        behind,    // the delta does not start at this replica's revision
        stale,     // this replica is at the delta's revision or a later one
        older,     // the delta's list is older than this one, from the same source
        diverged,  // the state after the delta would not match its publisher's digest
    };

    explicit EndpointReplica(const EndpointDeltaConfig& config) : config_(config) {}

    const EndpointRevision& revision() const { return state_.revision; }
    const EndpointListVersion& version() const { return state_.version; }
    uint64_t digest() const { return digest_; }
    bool partial() const { return state_.partial; }
    const EndpointMap& endpoints() const { return state_.endpoints; }

    // The changes that turn this replica's entries into `new_endpoints`.
    EndpointChanges difference(const EndpointMap& new_endpoints) const;
    // The same if only the entries of `uids` can differ.
    EndpointChanges difference(const EndpointMap& new_endpoints, const std::vector<std::string>& uids) const;

    // Publishes changes as holder at `epoch`: splits them into deltas of about one chunk, applies the deltas
    // and returns them. The first delta of an epoch may be empty.
    std::vector<EndpointDelta> publish(Epoch epoch, const EndpointListVersion& version,
                                       EndpointChanges changes);
    ApplyResult apply(const EndpointDelta& delta);

    // Whether the log leads from `from` to the present revision.
    bool can_catch_up_from(const EndpointRevision& from) const;
    // The next deltas after `from`, about one chunk of them; empty if the log does not have them.
    std::vector<EndpointDelta> deltas_since(const EndpointRevision& from) const;

    std::vector<EndpointSnapshotChunk> snapshot() const;
    // Replaces the whole state and returns what has changed. Returns nullopt if the snapshot does not match
    // its digest or is older than this state.
    std::optional<EndpointChanges> replace(EndpointSnapshot snapshot);

    // Whether the entries match the digest that the publisher of this revision stated. Reads all entries.
    bool is_intact() const { return digest_of(state_.endpoints) == state_.digest; }

    // For tests of divergence: changes an entry without a delta.
    void corrupt(const std::string& uid, const std::string& text);

  private:
    uint64_t digest_after(const EndpointDelta& delta) const;
    void apply_unchecked(const EndpointDelta& delta);
    void append_to_log(EndpointDelta delta);
    std::deque<EndpointDelta>::const_iterator find_logged_after(const EndpointRevision& from) const;

    const EndpointDeltaConfig config_;
    EndpointSnapshot state_;  // its digest is the one that the publisher stated
    uint64_t digest_ = 0;
    std::deque<EndpointDelta> log_;  // contiguous, up to the present revision
    size_t log_bytes_ = 0;
};

}  // namespace firtide::fleet
