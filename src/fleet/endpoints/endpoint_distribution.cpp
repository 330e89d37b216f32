#include "endpoint_distribution.h"

#include <utility>

namespace firtide::fleet
{
namespace
{

constexpr size_t max_snapshot_bytes = 32 << 20;
// Unanswered requests for one chunk before the snapshot is requested from another member.
constexpr uint32_t max_unanswered_requests = 3;
constexpr Duration outgoing_snapshot_lifetime = seconds(5);  // since the last request for it
constexpr double max_publish_wait_factor = 3;                // in units of `repair`
constexpr double max_empty_publish_wait_factor = 1;          // the same, if no member is known to have a list

}  // namespace

// ---- from discovery ----

std::vector<EndpointDelta> EndpointDistribution::publish(Epoch epoch, const EndpointListVersion& version,
                                                         const EndpointMap& endpoints,
                                                         const std::optional<std::vector<std::string>>& uids)
{
    const bool follows = uids && published_revision_ == replica_.revision() && !needs_snapshot_;
    EndpointChanges changes =
        follows ? replica_.difference(endpoints, *uids) : replica_.difference(endpoints);
    drop_local_list();
    const bool first = replica_.revision().epoch != epoch;
    const bool unchanged = changes.empty() && version == replica_.version() && !replica_.partial();
    std::vector<EndpointDelta> deltas;
    if (first || !unchanged) {
        mark_changed(changes);
        deltas = replica_.publish(epoch, version, std::move(changes));
        has_unreported_changes_ = true;
    }
    forwarded_revision_ = replica_.revision();
    published_revision_ = replica_.revision();
    needs_snapshot_ = false;
    forget_caught_up_peers();
    return deltas;
}

void EndpointDistribution::use_local_list(const EndpointListVersion& version, const EndpointMap& endpoints)
{
    drop_local_list();
    published_revision_.reset();
    has_unreported_changes_ = true;
    if (version == replica_.version() && !replica_.partial() && replica_.endpoints() == endpoints) return;
    LocalList local{version, {}};
    const EndpointChanges changes = replica_.difference(endpoints);
    mark_changed(changes);
    for (const EndpointEntry& entry : changes.changed) local.differences[entry.uid] = entry.text;
    for (const std::string& uid : changes.removed) local.differences[uid] = std::nullopt;
    local_ = std::move(local);
}

void EndpointDistribution::drop_local_list()
{
    if (!local_) return;
    for (const auto& [uid, text] : local_->differences) changed_uids_.insert(uid);
    local_.reset();
    has_unreported_changes_ = true;
}

bool EndpointDistribution::must_wait_to_publish(TimePoint now, Epoch epoch, TimePoint gained) const
{
    if (replica_.revision().epoch == epoch) return false;
    const bool progresses =
        assembly_ && pending_request_ && now - pending_request_->sent_at < config_.repair_interval;
    if (progresses) return true;
    if (is_behind()) return now - gained < config_.repair_interval * max_publish_wait_factor;
    return replica_.revision() == EndpointRevision{} &&
           now - gained < config_.repair_interval * max_empty_publish_wait_factor;
}

// ---- deltas ----

EndpointDistribution::HandleResult EndpointDistribution::on_delta(TimePoint now, MemberIndex from,
                                                                  const EndpointDelta& delta)
{
    if (delta.is_response) {
        if (!pending_request_ || pending_request_->member != from) return {};
        pending_request_->answered = true;
    }
    // Each revision is forwarded once, even if it cannot be applied here yet: the receivers may lack only
    // this one.
    const bool must_forward = !delta.is_response && delta.to > forwarded_revision_;
    if (must_forward) forwarded_revision_ = delta.to;
    const EndpointChanges changes{delta.changed, delta.removed};
    preserve_local_entries(changes);
    switch (replica_.apply(delta)) {
        case EndpointReplica::ApplyResult::applied:
        case EndpointReplica::ApplyResult::adopted: break;
        case EndpointReplica::ApplyResult::diverged: needs_snapshot_ = true; [[fallthrough]];
        case EndpointReplica::ApplyResult::behind:
            newer_peers_[from] = delta.to;
            request_if_due(now, from);
            return {must_forward, false};
        case EndpointReplica::ApplyResult::stale:
        case EndpointReplica::ApplyResult::older: return {must_forward, false};
    }
    mark_changed(changes);
    forget_caught_up_peers();
    drop_superseded_local_list(!delta.is_response);
    if (delta.has_more) request(now, from);
    return {must_forward, !local_ && !delta.partial && !delta.has_more};
}

// Keeps the values that the balancer uses while the fleet's older list changes below the newer local one.
void EndpointDistribution::preserve_local_entries(const EndpointChanges& changes)
{
    if (!local_) return;
    const auto keep = [&](const std::string& uid) {
        const auto* text = find_text(uid);
        local_->differences.emplace(uid, text ? std::optional(*text) : std::nullopt);
    };
    for (const EndpointEntry& entry : changes.changed) keep(entry.uid);
    for (const std::string& uid : changes.removed) keep(uid);
}

// A repair may come from a member that is behind itself, so only version numbers are compared then, even
// between sources.
void EndpointDistribution::drop_superseded_local_list(bool by_holder)
{
    if (!local_ || replica_.partial()) return;
    const bool older = by_holder ? replica_.version().older_than(local_->version)
                                 : replica_.version().number < local_->version.number;
    if (!older) drop_local_list();
}

void EndpointDistribution::mark_changed(const EndpointChanges& changes)
{
    for (const EndpointEntry& entry : changes.changed) changed_uids_.insert(entry.uid);
    for (const std::string& uid : changes.removed) changed_uids_.insert(uid);
    has_unreported_changes_ = true;
}

bool EndpointDistribution::on_unchanged(TimePoint now, MemberIndex from, const EndpointRevision& revision)
{
    if (revision > replica_.revision()) {
        newer_peers_[from] = revision;
        request_if_due(now, from);
    }
    if (revision != replica_.revision() || needs_snapshot_) return false;
    drop_superseded_local_list(true);
    // False if the holder's discovery is behind this member's own.
    return !local_;
}

void EndpointDistribution::on_peer_revision(TimePoint now, MemberIndex from, const EndpointRevision& revision,
                                            uint64_t digest)
{
    if (revision < replica_.revision()) return (void)newer_peers_.erase(from);
    if (revision > replica_.revision()) {
        newer_peers_[from] = revision;
        return request_if_due(now, from);
    }
    // If two replicas differ at the same revision, the one that does not match the publisher's digest is
    // wrong.
    if (digest != replica_.digest() &&
        (!last_verified_ || now - *last_verified_ >= config_.repair_interval)) {
        last_verified_ = now;
        needs_snapshot_ = needs_snapshot_ || !replica_.is_intact();
    }
    if (!needs_snapshot_ || digest == replica_.digest()) return;
    newer_peers_[from] = revision;
    request_if_due(now, from);
}

// ---- repair of this replica ----

void EndpointDistribution::forget_caught_up_peers()
{
    std::erase_if(newer_peers_, [&](const auto& known) { return known.second <= replica_.revision(); });
}

void EndpointDistribution::request(TimePoint now, MemberIndex member)
{
    pending_request_ = PendingRequest{member, now, false};
    EndpointDeltaRequest delta_request;
    delta_request.from = replica_.revision();
    delta_request.version = replica_.version();
    delta_request.digest = replica_.digest();
    delta_request.needs_snapshot = needs_snapshot_;
    if (assembly_ && assembly_->from == member) {
        delta_request.snapshot = assembly_->snapshot.revision;
        delta_request.next_chunk = assembly_->next_chunk;
    }
    sends_.push_back({member, std::move(delta_request)});
}

void EndpointDistribution::request_if_due(TimePoint now, MemberIndex member)
{
    if (!pending_request_ || now - pending_request_->sent_at >= config_.repair_interval) request(now, member);
}

// Picks another member than the last one, if there is one.
std::optional<MemberIndex> EndpointDistribution::next_repair_source() const
{
    if (newer_peers_.empty()) return {};
    if (!pending_request_) return newer_peers_.begin()->first;
    const auto next = newer_peers_.upper_bound(pending_request_->member);
    return next == newer_peers_.end() ? newer_peers_.begin()->first : next->first;
}

void EndpointDistribution::tick(TimePoint now)
{
    if (outgoing_snapshot_ && now - outgoing_snapshot_->last_requested > outgoing_snapshot_lifetime)
        outgoing_snapshot_.reset();
    if (!is_behind() || (pending_request_ && now - pending_request_->sent_at < config_.repair_interval))
        return;
    if (pending_request_ && !pending_request_->answered && assembly_ &&
        assembly_->from == pending_request_->member &&
        ++assembly_->unanswered_requests < max_unanswered_requests)
        return request(now, pending_request_->member);
    assembly_.reset();
    const auto source = next_repair_source();
    // A member that did not answer reports its revision again with its next ping.
    if (pending_request_ && !pending_request_->answered) newer_peers_.erase(pending_request_->member);
    if (source) request(now, *source);
}

EndpointDistribution::HandleResult EndpointDistribution::on_snapshot_chunk(TimePoint now, MemberIndex from,
                                                                           const EndpointSnapshotChunk& chunk)
{
    if (!pending_request_ || pending_request_->member != from) return {};
    pending_request_->answered = true;
    if (chunk.version.older_than(replica_.version())) return {};
    const bool known = assembly_ && assembly_->from == from && assembly_->snapshot.revision == chunk.revision;
    if (chunk.index == 0 && !known) {
        assembly_ = SnapshotAssembly{};
        assembly_->from = from;
        assembly_->chunk_count = chunk.count;
        assembly_->snapshot = {chunk.revision, chunk.version, chunk.digest, chunk.partial, {}};
    } else if (!known || chunk.index != assembly_->next_chunk) {
        return {};  // repeated, or of a snapshot that its sender has dropped
    }
    SnapshotAssembly& assembly = *assembly_;
    for (const EndpointEntry& entry : chunk.entries) {
        assembly.bytes += entry.uid.size() + entry.text.size();
        assembly.snapshot.endpoints[entry.uid] = entry.text;
    }
    assembly.unanswered_requests = 0;
    if (assembly.bytes > max_snapshot_bytes) {
        assembly_.reset();
        newer_peers_.erase(from);
        return {};
    }
    if (++assembly.next_chunk < assembly.chunk_count) {
        request(now, from);
        return {};
    }
    return {false, install_snapshot(now) && !local_};
}

bool EndpointDistribution::install_snapshot(TimePoint now)
{
    const SnapshotAssembly assembly = std::move(*std::exchange(assembly_, std::nullopt));
    if (local_) preserve_local_entries(replica_.difference(assembly.snapshot.endpoints));
    const auto changes = replica_.replace(assembly.snapshot);
    if (!changes) {
        newer_peers_.erase(assembly.from);
        return false;
    }
    needs_snapshot_ = false;
    mark_changed(*changes);
    forget_caught_up_peers();
    drop_superseded_local_list(false);
    if (newer_peers_.count(assembly.from)) request(now, assembly.from);  // for changes since the snapshot
    return !replica_.partial();
}

// ---- repair of others ----

void EndpointDistribution::on_delta_request(TimePoint now, MemberIndex from,
                                            const EndpointDeltaRequest& delta_request, Duration age)
{
    // A replica that is wrong or older than the receiver's cannot repair it.
    if (needs_snapshot_ || replica_.version().older_than(delta_request.version)) return;
    if (delta_request.next_chunk > 0) return send_snapshot_chunk(now, from, delta_request, age);
    if (delta_request.needs_snapshot ? delta_request.from > replica_.revision()
                                     : delta_request.from >= replica_.revision())
        return;
    if (delta_request.needs_snapshot) return send_snapshot_chunk(now, from, delta_request, age);
    if (delta_request.digest == replica_.digest()) {
        EndpointDelta empty_delta;
        empty_delta.from = delta_request.from;
        empty_delta.to = replica_.revision();
        empty_delta.version = replica_.version();
        empty_delta.digest = replica_.digest();
        empty_delta.partial = replica_.partial();
        empty_delta.is_response = true;
        empty_delta.age_us = age.us;
        return sends_.push_back({from, std::move(empty_delta)});
    }
    auto deltas = replica_.deltas_since(delta_request.from);
    if (deltas.empty()) return send_snapshot_chunk(now, from, delta_request, age);
    deltas.back().has_more = deltas.back().to < replica_.revision();
    for (EndpointDelta& delta : deltas) {
        delta.is_response = true;
        delta.age_us = age.us;
        sends_.push_back({from, std::move(delta)});
    }
}

// Sends one chunk per request, so that a slow connection is never filled faster than its receiver reads.
void EndpointDistribution::send_snapshot_chunk(TimePoint now, MemberIndex to,
                                               const EndpointDeltaRequest& delta_request, Duration age)
{
    const auto offered =
        outgoing_snapshot_ ? outgoing_snapshot_->chunks.front().revision : EndpointRevision{};
    const bool continues_snapshot = outgoing_snapshot_ && delta_request.next_chunk > 0 &&
                                    delta_request.snapshot == offered &&
                                    delta_request.next_chunk < outgoing_snapshot_->chunks.size();
    const bool is_reusable =
        outgoing_snapshot_ && offered >= delta_request.from && replica_.can_catch_up_from(offered);
    if (!continues_snapshot && !is_reusable) outgoing_snapshot_ = OutgoingSnapshot{replica_.snapshot(), now};
    outgoing_snapshot_->last_requested = now;
    EndpointSnapshotChunk chunk =
        outgoing_snapshot_->chunks[continues_snapshot ? delta_request.next_chunk : 0];
    chunk.age_us = age.us;
    sends_.push_back({to, std::move(chunk)});
}

// ---- what the balancer uses ----

const std::string* EndpointDistribution::find_text(const std::string& uid) const
{
    if (local_)
        if (const auto at = local_->differences.find(uid); at != local_->differences.end())
            return at->second ? &*at->second : nullptr;
    const auto at = replica_.endpoints().find(uid);
    return at == replica_.endpoints().end() ? nullptr : &at->second;
}

EndpointMap EndpointDistribution::local_endpoints() const
{
    EndpointMap endpoints = replica_.endpoints();
    for (const auto& [uid, text] : local_->differences)
        if (text)
            endpoints[uid] = *text;
        else
            endpoints.erase(uid);
    return endpoints;
}

std::string EndpointDistribution::full_text() const
{
    if (local_) return encode_full_list(local_->version.number, local_endpoints());
    return encode_full_list(replica_.version().number, replica_.endpoints());
}

std::optional<ApplyEndpointList> EndpointDistribution::take_list_update()
{
    // A version that was received only in part is not used yet.
    if (!has_unreported_changes_ || (replica_.partial() && !local_)) return {};
    has_unreported_changes_ = false;
    const uint64_t number = version().number;
    const auto uids = std::exchange(changed_uids_, {});
    if (!std::exchange(full_list_reported_, true)) return ApplyEndpointList{number, full_text(), true};
    EndpointMap changed;
    for (const std::string& uid : uids)
        if (const auto* text = find_text(uid)) changed[uid] = *text;
    return ApplyEndpointList{number, encode_list_changes(number, uids, changed), false};
}

}  // namespace firtide::fleet
