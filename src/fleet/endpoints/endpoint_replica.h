// A member's replica of the list of upstreams: entries at a revision, a log of the last deltas to repair
// others with, and a digest of the state that is kept incrementally. No I/O, no clock.
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

// A whole state, as received in chunks.
struct EndpointSnapshot {
    EndpointRevision revision;
    EndpointListVersion version;
    uint64_t digest = 0;
    bool partial = false;
    EndpointMap endpoints;
};

// Of one entry. The digest of a state is the sum over its entries, whatever their order.
uint64_t digest_of(const std::string& uid, const std::string& text);
uint64_t digest_of(const EndpointMap& texts);

class EndpointReplica
{
  public:
    enum class Result : uint8_t {
        applied,
        adopted,   // its state is what this replica holds already, at another revision
        behind,    // it does not follow this replica's revision
        stale,     // this replica is at that revision, or at a later one
        older,     // its list is older than this one, of the same source
        diverged,  // the state after it would not be what its publisher has
    };

    explicit EndpointReplica(const EndpointDeltaConfig& config) : config_(config) {}

    const EndpointRevision& revision() const { return state_.revision; }
    const EndpointListVersion& version() const { return state_.version; }
    uint64_t digest() const { return digest_; }
    bool partial() const { return state_.partial; }
    const EndpointMap& endpoints() const { return state_.endpoints; }

    // What has to change here to arrive at `whole`.
    EndpointChanges difference(const EndpointMap& whole) const;
    // The same where nothing but the entries of `uids` can differ.
    EndpointChanges difference(const EndpointMap& whole, const std::vector<std::string>& uids) const;

    // As holder at `epoch`: makes one delta of the changes, or several where they exceed a chunk, applies
    // them and returns them. The first of an epoch may be empty.
    std::vector<EndpointDelta> publish(Epoch epoch, const EndpointListVersion& version,
                                       EndpointChanges changes);
    Result apply(const EndpointDelta& delta);

    // Whether the log leads from there to the present revision.
    bool reaches(const EndpointRevision& from) const;
    // The next deltas after `from`, about a chunk of them; empty where the log does not have them.
    std::vector<EndpointDelta> since(const EndpointRevision& from) const;

    std::vector<EndpointSnapshotChunk> snapshot() const;
    // Takes a snapshot's place of the whole state and returns what it changed; nothing where it is not what
    // its digest says, or older than this state.
    std::optional<EndpointChanges> replace(EndpointSnapshot snapshot);

    // Whether the entries are still those that the publisher of this revision had. Goes through all of them.
    bool intact() const { return digest_of(state_.endpoints) == state_.digest; }

    // For tests of divergence: changes an entry as no delta did.
    void corrupt(const std::string& uid, const std::string& text);

  private:
    uint64_t digest_after(const EndpointDelta& delta) const;
    void advance(const EndpointDelta& delta);
    void keep(EndpointDelta delta);
    std::deque<EndpointDelta>::const_iterator logged_after(const EndpointRevision& from) const;

    const EndpointDeltaConfig config_;
    EndpointSnapshot state_;  // its digest: as the publisher has it
    uint64_t digest_ = 0;
    std::deque<EndpointDelta> log_;  // contiguous, up to the present revision
    size_t log_bytes_ = 0;
};

}  // namespace firtide::fleet
