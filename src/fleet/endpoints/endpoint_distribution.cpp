#include "endpoint_distribution.h"

#include <utility>

namespace firtide::fleet
{
namespace
{

constexpr size_t max_snapshot_bytes = 32 << 20;
// Unanswered requests for one chunk before the snapshot is requested from another member.
constexpr uint32_t max_attempts = 3;
constexpr Duration offer_lifetime = seconds(5);  // since the last request for it
constexpr double wait_to_publish = 3;            // in units of `repair`
constexpr double wait_while_empty = 1;           // the same, if no member is known to have a list

}  // namespace

// ---- from discovery ----

std::vector<EndpointDelta> EndpointDistribution::publish(Epoch epoch, const EndpointListVersion& version,
                                                         const EndpointMap& texts,
                                                         const std::optional<std::vector<std::string>>& uids)
{
    const bool follows = uids && followed_ == replica_.revision() && !needs_snapshot_;
    EndpointChanges changes = follows ? replica_.difference(texts, *uids) : replica_.difference(texts);
    drop_local();
    const bool first = replica_.revision().epoch != epoch;
    const bool unchanged = changes.empty() && version == replica_.version() && !replica_.partial();
    std::vector<EndpointDelta> deltas;
    if (first || !unchanged) {
        mark_changed(changes);
        deltas = replica_.publish(epoch, version, std::move(changes));
        unreported_ = true;
    }
    passed_on_ = replica_.revision();
    followed_ = replica_.revision();
    needs_snapshot_ = false;
    forget_reached();
    return deltas;
}

void EndpointDistribution::use_local(const EndpointListVersion& version, const EndpointMap& texts)
{
    drop_local();
    followed_.reset();
    unreported_ = true;
    if (version == replica_.version() && !replica_.partial() && replica_.endpoints() == texts) return;
    LocalList own{version, {}};
    const EndpointChanges changes = replica_.difference(texts);
    mark_changed(changes);
    for (const EndpointEntry& entry : changes.changed) own.differences[entry.uid] = entry.text;
    for (const std::string& uid : changes.removed) own.differences[uid] = std::nullopt;
    local_ = std::move(own);
}

void EndpointDistribution::drop_local()
{
    if (!local_) return;
    for (const auto& [uid, text] : local_->differences) changed_uids_.insert(uid);
    local_.reset();
    unreported_ = true;
}

bool EndpointDistribution::must_wait_to_publish(TimePoint now, Epoch epoch, TimePoint gained) const
{
    if (replica_.revision().epoch == epoch) return false;
    const bool progresses = assembly_ && pending_request_ && now - pending_request_->at < config_.repair;
    if (progresses) return true;
    if (behind()) return now - gained < config_.repair * wait_to_publish;
    return replica_.revision() == EndpointRevision{} && now - gained < config_.repair * wait_while_empty;
}

// ---- deltas ----

EndpointDistribution::Reaction EndpointDistribution::handle(TimePoint now, MemberIndex from,
                                                            const EndpointDelta& delta)
{
    if (delta.answer) {
        if (!pending_request_ || pending_request_->member != from) return {};
        pending_request_->answered = true;
    }
    // Each revision is forwarded once, even if it cannot be applied here yet: the receivers may lack only
    // this one.
    const bool pass_on = !delta.answer && delta.to > passed_on_;
    if (pass_on) passed_on_ = delta.to;
    const EndpointChanges changes{delta.changed, delta.removed};
    keep_local_of(changes);
    switch (replica_.apply(delta)) {
        case EndpointReplica::Result::applied:
        case EndpointReplica::Result::adopted: break;
        case EndpointReplica::Result::diverged: needs_snapshot_ = true; [[fallthrough]];
        case EndpointReplica::Result::behind:
            newer_[from] = delta.to;
            request_if_due(now, from);
            return {pass_on, false};
        case EndpointReplica::Result::stale:
        case EndpointReplica::Result::older: return {pass_on, false};
    }
    mark_changed(changes);
    forget_reached();
    drop_local_if_reached(!delta.answer);
    if (delta.more) request(now, from);
    return {pass_on, !local_ && !delta.partial && !delta.more};
}

// Keeps the values that the balancer uses while the fleet's older list changes below the newer local one.
void EndpointDistribution::keep_local_of(const EndpointChanges& changes)
{
    if (!local_) return;
    const auto keep = [&](const std::string& uid) {
        const auto* line = text_of_uid(uid);
        local_->differences.emplace(uid, line ? std::optional(*line) : std::nullopt);
    };
    for (const EndpointEntry& entry : changes.changed) keep(entry.uid);
    for (const std::string& uid : changes.removed) keep(uid);
}

// A repair may come from a member that is behind itself, so only version numbers are compared then, even
// between sources.
void EndpointDistribution::drop_local_if_reached(bool by_holder)
{
    if (!local_ || replica_.partial()) return;
    const bool older = by_holder ? replica_.version().older_than(local_->version)
                                 : replica_.version().number < local_->version.number;
    if (!older) drop_local();
}

void EndpointDistribution::mark_changed(const EndpointChanges& changes)
{
    for (const EndpointEntry& entry : changes.changed) changed_uids_.insert(entry.uid);
    for (const std::string& uid : changes.removed) changed_uids_.insert(uid);
    unreported_ = true;
}

bool EndpointDistribution::on_unchanged(TimePoint now, MemberIndex from, const EndpointRevision& revision)
{
    if (revision > replica_.revision()) {
        newer_[from] = revision;
        request_if_due(now, from);
    }
    if (revision != replica_.revision() || needs_snapshot_) return false;
    drop_local_if_reached(true);
    // False if the holder's discovery is behind this member's own.
    return !local_;
}

void EndpointDistribution::on_peer_revision(TimePoint now, MemberIndex from, const EndpointRevision& revision,
                                            uint64_t digest)
{
    if (revision < replica_.revision()) return (void)newer_.erase(from);
    if (revision > replica_.revision()) {
        newer_[from] = revision;
        return request_if_due(now, from);
    }
    // If two replicas differ at the same revision, the one that does not match the publisher's digest is
    // wrong.
    if (digest != replica_.digest() && (!verified_ || now - *verified_ >= config_.repair)) {
        verified_ = now;
        needs_snapshot_ = needs_snapshot_ || !replica_.intact();
    }
    if (!needs_snapshot_ || digest == replica_.digest()) return;
    newer_[from] = revision;
    request_if_due(now, from);
}

// ---- repair of this replica ----

void EndpointDistribution::forget_reached()
{
    std::erase_if(newer_, [&](const auto& known) { return known.second <= replica_.revision(); });
}

void EndpointDistribution::request(TimePoint now, MemberIndex member)
{
    pending_request_ = PendingRequest{member, now, false};
    EndpointDeltaRequest want;
    want.from = replica_.revision();
    want.version = replica_.version();
    want.digest = replica_.digest();
    want.whole = needs_snapshot_;
    if (assembly_ && assembly_->from == member) {
        want.snapshot = assembly_->snapshot.revision;
        want.chunk = assembly_->next;
    }
    sends_.push_back({member, std::move(want)});
}

void EndpointDistribution::request_if_due(TimePoint now, MemberIndex member)
{
    if (!pending_request_ || now - pending_request_->at >= config_.repair) request(now, member);
}

// Picks another member than the last one, if there is one.
std::optional<MemberIndex> EndpointDistribution::next_source() const
{
    if (newer_.empty()) return {};
    if (!pending_request_) return newer_.begin()->first;
    const auto next = newer_.upper_bound(pending_request_->member);
    return next == newer_.end() ? newer_.begin()->first : next->first;
}

void EndpointDistribution::tick(TimePoint now)
{
    if (offer_ && now - offer_->asked > offer_lifetime) offer_.reset();
    if (!behind() || (pending_request_ && now - pending_request_->at < config_.repair)) return;
    if (pending_request_ && !pending_request_->answered && assembly_ &&
        assembly_->from == pending_request_->member && ++assembly_->attempts < max_attempts)
        return request(now, pending_request_->member);
    assembly_.reset();
    const auto source = next_source();
    // A member that did not answer reports its revision again with its next ping.
    if (pending_request_ && !pending_request_->answered) newer_.erase(pending_request_->member);
    if (source) request(now, *source);
}

EndpointDistribution::Reaction EndpointDistribution::handle(TimePoint now, MemberIndex from,
                                                            const EndpointSnapshotChunk& chunk)
{
    if (!pending_request_ || pending_request_->member != from) return {};
    pending_request_->answered = true;
    if (chunk.version.older_than(replica_.version())) return {};
    const bool known = assembly_ && assembly_->from == from && assembly_->snapshot.revision == chunk.revision;
    if (chunk.index == 0 && !known) {
        assembly_ = Assembly{};
        assembly_->from = from;
        assembly_->count = chunk.count;
        assembly_->snapshot = {chunk.revision, chunk.version, chunk.digest, chunk.partial, {}};
    } else if (!known || chunk.index != assembly_->next) {
        return {};  // repeated, or of a snapshot that its sender has dropped
    }
    Assembly& assembly = *assembly_;
    for (const EndpointEntry& entry : chunk.entries) {
        assembly.bytes += entry.uid.size() + entry.text.size();
        assembly.snapshot.endpoints[entry.uid] = entry.text;
    }
    assembly.attempts = 0;
    if (assembly.bytes > max_snapshot_bytes) {
        assembly_.reset();
        newer_.erase(from);
        return {};
    }
    if (++assembly.next < assembly.count) {
        request(now, from);
        return {};
    }
    return {false, finish(now) && !local_};
}

bool EndpointDistribution::finish(TimePoint now)
{
    const Assembly assembly = std::move(*std::exchange(assembly_, std::nullopt));
    if (local_) keep_local_of(replica_.difference(assembly.snapshot.endpoints));
    const auto changes = replica_.replace(assembly.snapshot);
    if (!changes) {
        newer_.erase(assembly.from);
        return false;
    }
    needs_snapshot_ = false;
    mark_changed(*changes);
    forget_reached();
    drop_local_if_reached(false);
    if (newer_.count(assembly.from)) request(now, assembly.from);  // for changes since the snapshot
    return !replica_.partial();
}

// ---- repair of others ----

void EndpointDistribution::handle(TimePoint now, MemberIndex from, const EndpointDeltaRequest& want,
                                  Duration age)
{
    // A replica that is wrong or older than the receiver's cannot repair it.
    if (needs_snapshot_ || replica_.version().older_than(want.version)) return;
    if (want.chunk > 0) return answer_with_snapshot(now, from, want, age);
    if (want.whole ? want.from > replica_.revision() : want.from >= replica_.revision()) return;
    if (want.whole) return answer_with_snapshot(now, from, want, age);
    if (want.digest == replica_.digest()) {
        EndpointDelta same;
        same.from = want.from;
        same.to = replica_.revision();
        same.version = replica_.version();
        same.digest = replica_.digest();
        same.partial = replica_.partial();
        same.answer = true;
        same.age_us = age.us;
        return sends_.push_back({from, std::move(same)});
    }
    auto deltas = replica_.since(want.from);
    if (deltas.empty()) return answer_with_snapshot(now, from, want, age);
    deltas.back().more = deltas.back().to < replica_.revision();
    for (EndpointDelta& delta : deltas) {
        delta.answer = true;
        delta.age_us = age.us;
        sends_.push_back({from, std::move(delta)});
    }
}

// Sends one chunk per request, so that a slow connection is never filled faster than its receiver reads.
void EndpointDistribution::answer_with_snapshot(TimePoint now, MemberIndex to,
                                                const EndpointDeltaRequest& want, Duration age)
{
    const auto offered = offer_ ? offer_->chunks.front().revision : EndpointRevision{};
    const bool goes_on =
        offer_ && want.chunk > 0 && want.snapshot == offered && want.chunk < offer_->chunks.size();
    const bool usable = offer_ && offered >= want.from && replica_.reaches(offered);
    if (!goes_on && !usable) offer_ = Offer{replica_.snapshot(), now};
    offer_->asked = now;
    EndpointSnapshotChunk chunk = offer_->chunks[goes_on ? want.chunk : 0];
    chunk.age_us = age.us;
    sends_.push_back({to, std::move(chunk)});
}

// ---- what the balancer uses ----

const std::string* EndpointDistribution::text_of_uid(const std::string& uid) const
{
    if (local_)
        if (const auto at = local_->differences.find(uid); at != local_->differences.end())
            return at->second ? &*at->second : nullptr;
    const auto at = replica_.endpoints().find(uid);
    return at == replica_.endpoints().end() ? nullptr : &at->second;
}

EndpointMap EndpointDistribution::local_texts() const
{
    EndpointMap texts = replica_.endpoints();
    for (const auto& [uid, text] : local_->differences)
        if (text)
            texts[uid] = *text;
        else
            texts.erase(uid);
    return texts;
}

std::string EndpointDistribution::full_text() const
{
    if (local_) return encode_full_list(local_->version.number, local_texts());
    return encode_full_list(replica_.version().number, replica_.endpoints());
}

std::optional<ApplyEndpointList> EndpointDistribution::take_use()
{
    // A version that was received only in part is not used yet.
    if (!unreported_ || (replica_.partial() && !local_)) return {};
    unreported_ = false;
    const uint64_t number = version().number;
    const auto uids = std::exchange(changed_uids_, {});
    if (!std::exchange(reported_, true)) return ApplyEndpointList{number, full_text(), true};
    EndpointMap changed;
    for (const std::string& uid : uids)
        if (const auto* line = text_of_uid(uid)) changed[uid] = *line;
    return ApplyEndpointList{number, encode_list_changes(number, uids, changed), false};
}

}  // namespace firtide::fleet
