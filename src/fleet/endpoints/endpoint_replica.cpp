#include "endpoint_replica.h"

#include <xxhash.h>

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr size_t max_log_bytes = 8 << 20;
constexpr size_t entry_overhead = 8;  // upper bound of the encoding overhead of one entry

size_t size_of(const EndpointEntry& entry) { return entry.uid.size() + entry.text.size() + entry_overhead; }

size_t size_of(const EndpointDelta& delta)
{
    size_t size = sizeof delta + delta.version.source.size();
    for (const EndpointEntry& entry : delta.changed) size += size_of(entry);
    for (const std::string& uid : delta.removed) size += uid.size() + entry_overhead;
    return size;
}

}  // namespace

uint64_t digest_of(const std::string& uid, const std::string& text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), XXH3_64bits(uid.data(), uid.size()));
}

uint64_t digest_of(const EndpointMap& endpoints)
{
    uint64_t digest = 0;
    for (const auto& [uid, text] : endpoints) digest += digest_of(uid, text);
    return digest;
}

EndpointChanges EndpointReplica::difference(const EndpointMap& new_endpoints) const
{
    EndpointChanges changes;
    auto current = state_.endpoints.begin();
    const auto end = state_.endpoints.end();
    for (const auto& [uid, text] : new_endpoints) {
        for (; current != end && current->first < uid; ++current) changes.removed.push_back(current->first);
        const bool known = current != end && current->first == uid;
        if (!known || current->second != text) changes.changed.push_back({uid, text});
        if (known) ++current;
    }
    for (; current != end; ++current) changes.removed.push_back(current->first);
    return changes;
}

EndpointChanges EndpointReplica::difference(const EndpointMap& new_endpoints,
                                            const std::vector<std::string>& uids) const
{
    EndpointChanges changes;
    for (const std::string& uid : uids) {
        const auto current = state_.endpoints.find(uid);
        const auto updated = new_endpoints.find(uid);
        const bool is_known = current != state_.endpoints.end();
        if (updated == new_endpoints.end()) {
            if (is_known) changes.removed.push_back(uid);
        } else if (!is_known || current->second != updated->second) {
            changes.changed.push_back({uid, updated->second});
        }
    }
    return changes;
}

// New entries precede removals, so no intermediate state has fewer upstreams than the smaller of the old and
// the new list.
std::vector<EndpointDelta> EndpointReplica::publish(Epoch epoch, const EndpointListVersion& version,
                                                    EndpointChanges changes)
{
    // The digest that a new holder publishes must be that of the entries it has, whatever digests it received
    // before.
    if (state_.revision.epoch != epoch) digest_ = digest_of(state_.endpoints);
    std::vector<EndpointDelta> deltas(1);
    size_t bytes = 0;
    const auto start_new_delta_if_full = [&](size_t size) {
        if (bytes > 0 && bytes + size > config_.chunk_bytes) {
            deltas.emplace_back();
            bytes = 0;
        }
        bytes += size;
    };
    for (EndpointEntry& entry : changes.changed) {
        start_new_delta_if_full(size_of(entry));
        deltas.back().changed.push_back(std::move(entry));
    }
    for (std::string& uid : changes.removed) {
        start_new_delta_if_full(uid.size() + entry_overhead);
        deltas.back().removed.push_back(std::move(uid));
    }
    for (EndpointDelta& delta : deltas) {
        delta.from = state_.revision;
        delta.to = {epoch, delta.from.epoch == epoch ? delta.from.number + 1 : 1};
        delta.partial = &delta != &deltas.back();
        delta.version = delta.partial ? state_.version : version;
        delta.digest = digest_after(delta);
        apply_unchecked(delta);
    }
    return deltas;
}

uint64_t EndpointReplica::digest_after(const EndpointDelta& delta) const
{
    uint64_t digest = digest_;
    const auto subtract_digest = [&](const std::string& uid) {
        const auto current = state_.endpoints.find(uid);
        if (current != state_.endpoints.end()) digest -= digest_of(uid, current->second);
    };
    for (const EndpointEntry& entry : delta.changed) {
        subtract_digest(entry.uid);
        digest += digest_of(entry.uid, entry.text);
    }
    for (const std::string& uid : delta.removed) subtract_digest(uid);
    return digest;
}

void EndpointReplica::apply_unchecked(const EndpointDelta& delta)
{
    for (const EndpointEntry& entry : delta.changed) state_.endpoints[entry.uid] = entry.text;
    for (const std::string& uid : delta.removed) state_.endpoints.erase(uid);
    state_.revision = delta.to;
    state_.version = delta.version;
    state_.partial = delta.partial;
    state_.digest = digest_ = delta.digest;
    append_to_log(delta);
}

void EndpointReplica::append_to_log(EndpointDelta delta)
{
    delta.is_response = delta.has_more = false;
    delta.age_us = 0;
    log_bytes_ += size_of(delta);
    log_.push_back(std::move(delta));
    while (log_.size() > config_.history_size || (log_bytes_ > max_log_bytes && !log_.empty())) {
        log_bytes_ -= size_of(log_.front());
        log_.pop_front();
    }
}

EndpointReplica::ApplyResult EndpointReplica::apply(const EndpointDelta& delta)
{
    if (delta.to <= state_.revision) return ApplyResult::stale;
    if (delta.version.older_than(state_.version)) return ApplyResult::older;
    if (delta.from == state_.revision) {
        if (digest_after(delta) != delta.digest) return ApplyResult::diverged;
        apply_unchecked(delta);
        return ApplyResult::applied;
    }
    if (delta.digest != digest_) return ApplyResult::behind;
    EndpointDelta bridge = delta;
    bridge.from = state_.revision;
    bridge.changed.clear();
    bridge.removed.clear();
    apply_unchecked(bridge);
    return ApplyResult::adopted;
}

std::deque<EndpointDelta>::const_iterator EndpointReplica::find_logged_after(
    const EndpointRevision& from) const
{
    const auto at =
        std::lower_bound(log_.begin(), log_.end(), from,
                         [](const EndpointDelta& d, const EndpointRevision& r) { return d.from < r; });
    return at != log_.end() && at->from == from ? at : log_.end();
}

bool EndpointReplica::can_catch_up_from(const EndpointRevision& from) const
{
    return from == state_.revision || find_logged_after(from) != log_.end();
}

std::vector<EndpointDelta> EndpointReplica::deltas_since(const EndpointRevision& from) const
{
    std::vector<EndpointDelta> deltas;
    size_t bytes = 0;
    for (auto next = find_logged_after(from); next != log_.end(); ++next) {
        bytes += size_of(*next);
        if (!deltas.empty() && bytes > config_.chunk_bytes) break;
        deltas.push_back(*next);
    }
    return deltas;
}

std::vector<EndpointSnapshotChunk> EndpointReplica::snapshot() const
{
    EndpointSnapshotChunk header;
    header.revision = state_.revision;
    header.version = state_.version;
    header.digest = state_.digest;
    header.partial = state_.partial;
    std::vector<EndpointSnapshotChunk> chunks{header};
    size_t bytes = 0;
    for (const auto& [uid, text] : state_.endpoints) {
        EndpointEntry entry{uid, text};
        if (bytes > 0 && bytes + size_of(entry) > config_.chunk_bytes) {
            header.index = static_cast<uint32_t>(chunks.size());
            chunks.push_back(header);
            bytes = 0;
        }
        bytes += size_of(entry);
        chunks.back().entries.push_back(std::move(entry));
    }
    for (EndpointSnapshotChunk& chunk : chunks) chunk.count = static_cast<uint32_t>(chunks.size());
    return chunks;
}

std::optional<EndpointChanges> EndpointReplica::replace(EndpointSnapshot snapshot)
{
    if (snapshot.revision < state_.revision || snapshot.version.older_than(state_.version)) return {};
    if (digest_of(snapshot.endpoints) != snapshot.digest) return {};
    EndpointChanges changes = difference(snapshot.endpoints);
    state_ = std::move(snapshot);
    digest_ = state_.digest;
    log_.clear();
    log_bytes_ = 0;
    return changes;
}

void EndpointReplica::corrupt(const std::string& uid, const std::string& text)
{
    state_.endpoints[uid] = text;
    digest_ = digest_of(state_.endpoints);
}

}  // namespace firtide::fleet
