#include "list_replica.h"

#include <xxhash.h>

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr size_t most_log_bytes = 8 << 20;
constexpr size_t entry_overhead = 8;  // of one in a message, at most

size_t size_of(const ListEntry& entry) { return entry.uid.size() + entry.text.size() + entry_overhead; }

size_t size_of(const ListDelta& delta)
{
    size_t size = sizeof delta + delta.version.source.size();
    for (const ListEntry& entry : delta.changed) size += size_of(entry);
    for (const std::string& uid : delta.removed) size += uid.size() + entry_overhead;
    return size;
}

}  // namespace

uint64_t digest_of(const std::string& uid, const std::string& text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), XXH3_64bits(uid.data(), uid.size()));
}

uint64_t digest_of(const ListLines& lines)
{
    uint64_t sum = 0;
    for (const auto& [uid, text] : lines) sum += digest_of(uid, text);
    return sum;
}

ListChanges ListReplica::difference(const ListLines& whole) const
{
    ListChanges changes;
    auto held = state_.lines.begin();
    const auto end = state_.lines.end();
    for (const auto& [uid, text] : whole) {
        for (; held != end && held->first < uid; ++held) changes.removed.push_back(held->first);
        const bool known = held != end && held->first == uid;
        if (!known || held->second != text) changes.changed.push_back({uid, text});
        if (known) ++held;
    }
    for (; held != end; ++held) changes.removed.push_back(held->first);
    return changes;
}

ListChanges ListReplica::difference(const ListLines& whole, const std::vector<std::string>& uids) const
{
    ListChanges changes;
    for (const std::string& uid : uids) {
        const auto held = state_.lines.find(uid);
        const auto seen = whole.find(uid);
        const bool is_held = held != state_.lines.end();
        if (seen == whole.end()) {
            if (is_held) changes.removed.push_back(uid);
        } else if (!is_held || held->second != seen->second) {
            changes.changed.push_back({uid, seen->second});
        }
    }
    return changes;
}

// New entries come before removals: no state in between has fewer upstreams than both ends.
std::vector<ListDelta> ListReplica::publish(Epoch epoch, const ListVersion& version, ListChanges changes)
{
    // What a new holder states has to be what it holds, whatever it was told before.
    if (state_.revision.epoch != epoch) digest_ = digest_of(state_.lines);
    std::vector<ListDelta> deltas(1);
    size_t bytes = 0;
    const auto make_room = [&](size_t size) {
        if (bytes > 0 && bytes + size > rule_.chunk) {
            deltas.emplace_back();
            bytes = 0;
        }
        bytes += size;
    };
    for (ListEntry& entry : changes.changed) {
        make_room(size_of(entry));
        deltas.back().changed.push_back(std::move(entry));
    }
    for (std::string& uid : changes.removed) {
        make_room(uid.size() + entry_overhead);
        deltas.back().removed.push_back(std::move(uid));
    }
    for (ListDelta& delta : deltas) {
        delta.from = state_.revision;
        delta.to = {epoch, delta.from.epoch == epoch ? delta.from.number + 1 : 1};
        delta.partial = &delta != &deltas.back();
        delta.version = delta.partial ? state_.version : version;
        delta.digest = digest_after(delta);
        advance(delta);
    }
    return deltas;
}

uint64_t ListReplica::digest_after(const ListDelta& delta) const
{
    uint64_t digest = digest_;
    const auto take_out = [&](const std::string& uid) {
        const auto held = state_.lines.find(uid);
        if (held != state_.lines.end()) digest -= digest_of(uid, held->second);
    };
    for (const ListEntry& entry : delta.changed) {
        take_out(entry.uid);
        digest += digest_of(entry.uid, entry.text);
    }
    for (const std::string& uid : delta.removed) take_out(uid);
    return digest;
}

void ListReplica::advance(const ListDelta& delta)
{
    for (const ListEntry& entry : delta.changed) state_.lines[entry.uid] = entry.text;
    for (const std::string& uid : delta.removed) state_.lines.erase(uid);
    state_.revision = delta.to;
    state_.version = delta.version;
    state_.partial = delta.partial;
    state_.digest = digest_ = delta.digest;
    keep(delta);
}

void ListReplica::keep(ListDelta delta)
{
    delta.answer = delta.more = false;
    delta.age_us = 0;
    log_bytes_ += size_of(delta);
    log_.push_back(std::move(delta));
    while (log_.size() > rule_.history || (log_bytes_ > most_log_bytes && !log_.empty())) {
        log_bytes_ -= size_of(log_.front());
        log_.pop_front();
    }
}

ListReplica::Result ListReplica::apply(const ListDelta& delta)
{
    if (delta.to <= state_.revision) return Result::stale;
    if (delta.version.older_than(state_.version)) return Result::older;
    if (delta.from == state_.revision) {
        if (digest_after(delta) != delta.digest) return Result::diverged;
        advance(delta);
        return Result::applied;
    }
    if (delta.digest != digest_) return Result::behind;
    ListDelta bridge = delta;
    bridge.from = state_.revision;
    bridge.changed.clear();
    bridge.removed.clear();
    advance(bridge);
    return Result::adopted;
}

std::deque<ListDelta>::const_iterator ListReplica::logged_after(const ListRevision& from) const
{
    const auto at = std::lower_bound(log_.begin(), log_.end(), from,
                                     [](const ListDelta& d, const ListRevision& r) { return d.from < r; });
    return at != log_.end() && at->from == from ? at : log_.end();
}

bool ListReplica::reaches(const ListRevision& from) const
{
    return from == state_.revision || logged_after(from) != log_.end();
}

std::vector<ListDelta> ListReplica::since(const ListRevision& from) const
{
    std::vector<ListDelta> deltas;
    size_t bytes = 0;
    for (auto next = logged_after(from); next != log_.end(); ++next) {
        bytes += size_of(*next);
        if (!deltas.empty() && bytes > rule_.chunk) break;
        deltas.push_back(*next);
    }
    return deltas;
}

std::vector<ListSnapshotChunk> ListReplica::snapshot() const
{
    ListSnapshotChunk head;
    head.revision = state_.revision;
    head.version = state_.version;
    head.digest = state_.digest;
    head.partial = state_.partial;
    std::vector<ListSnapshotChunk> chunks{head};
    size_t bytes = 0;
    for (const auto& [uid, text] : state_.lines) {
        ListEntry entry{uid, text};
        if (bytes > 0 && bytes + size_of(entry) > rule_.chunk) {
            head.index = static_cast<uint32_t>(chunks.size());
            chunks.push_back(head);
            bytes = 0;
        }
        bytes += size_of(entry);
        chunks.back().entries.push_back(std::move(entry));
    }
    for (ListSnapshotChunk& chunk : chunks) chunk.count = static_cast<uint32_t>(chunks.size());
    return chunks;
}

std::optional<ListChanges> ListReplica::replace(ListSnapshot snapshot)
{
    if (snapshot.revision < state_.revision || snapshot.version.older_than(state_.version)) return {};
    if (digest_of(snapshot.lines) != snapshot.digest) return {};
    ListChanges changes = difference(snapshot.lines);
    state_ = std::move(snapshot);
    digest_ = state_.digest;
    log_.clear();
    log_bytes_ = 0;
    return changes;
}

void ListReplica::corrupt(const std::string& uid, const std::string& text)
{
    state_.lines[uid] = text;
    digest_ = digest_of(state_.lines);
}

}  // namespace firtide::fleet
