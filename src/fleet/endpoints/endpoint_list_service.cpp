#include "endpoint_list_service.h"

#include <algorithm>

#include "src/fleet/transport/pack.h"

namespace firtide::fleet
{
namespace
{

constexpr const char* duty = "list";
constexpr Duration broadcast_request_interval = seconds(0.2);
constexpr Duration first_poll_after = seconds(1.5);  // after the start, if no list has come from the fleet
constexpr double max_poll_spread = 0.5;              // of the configured maximum age
// Of the configured maximum age: the list counts as no older than this when the holder changes.
constexpr double max_age_after_change = 0.5;
constexpr double hint_lifetime_factor = 4;  // in units of `recovery.wait`
constexpr size_t max_pushed_deltas = 4;     // receivers request further ones, so that no send queue overflows

}  // namespace

EndpointListService::EndpointListService(FleetContext& context, DutyBroadcasts& broadcasts)
    : context_(context), broadcasts_(broadcasts)
{
    if (context.config.endpoint_deltas) distribution_.emplace(*context.config.endpoint_deltas);
}

void EndpointListService::start(double random)
{
    confirmed_at_ = context_.now;
    if (!context_.config.endpoint_list) return;
    const Duration stale = context_.config.endpoint_list->stale_after;
    poll_delay_ = stale * (max_poll_spread * random);
    confirmed_at_ = context_.now - stale + first_poll_after;
}

void EndpointListService::set_polling(bool on)
{
    polling_ = on;
    context_.emit(SetDiscoveryPolling{on});
}

void EndpointListService::on_lease_changed(LeaseChange::Kind kind)
{
    const bool gained = kind == LeaseChange::Kind::gained;
    last_published_content_.clear();
    broadcasts_.restart(duty);
    lease_gained_ = context_.now;
    if (polling_ != gained) set_polling(gained);
    confirmed_at_ = std::max(
        confirmed_at_, context_.now - context_.config.endpoint_list->stale_after * max_age_after_change);
}

void EndpointListService::tick()
{
    if (distribution_) {
        distribution_->tick(context_.now);
        emit_replica_effects();
        publish_postponed_list();
    }
    if (!context_.config.endpoint_list || polling_ || context_.shutting_down || context_.held_epoch(duty))
        return;
    if (context_.now - confirmed_at_ <= context_.config.endpoint_list->stale_after + poll_delay_) return;
    set_polling(true);
    context_.log(LogEvent::Kind::endpoint_list, "",
                 "it is older than the configured maximum age: this member polls discovery itself");
}

// ---- lists from the fleet, as broadcasts ----

void EndpointListService::on_ping(MemberIndex from, const Ping& ping)
{
    if (!context_.config.endpoint_list) return;
    if (distribution_) {
        // The digest is zero if the sender has no [deltas] or an empty list.
        if (ping.list_digest)
            distribution_->on_peer_revision(context_.now, from, {ping.list_epoch, ping.list_number},
                                            ping.list_digest);
        return emit_replica_effects();
    }
    // An earlier broadcast may have been lost.
    const std::pair<Epoch, uint64_t> own{newest_broadcast_ ? newest_broadcast_->epoch : 0,
                                         newest_broadcast_ ? newest_broadcast_->content_number : 0};
    if (std::pair{ping.list_epoch, ping.list_number} > own) request_broadcast(from);
}

void EndpointListService::request_broadcast(MemberIndex from)
{
    if (context_.now - last_broadcast_request_ <= broadcast_request_interval) return;
    last_broadcast_request_ = context_.now;
    context_.send(from, BroadcastRequest{duty});
}

void EndpointListService::on_broadcast_request(MemberIndex from, const BroadcastRequest& request)
{
    if (newest_broadcast_ && request.duty == duty) context_.send(from, *newest_broadcast_);
}

bool EndpointListService::has_content(const Broadcast& broadcast) const
{
    if (!broadcast.content.empty()) return true;
    return newest_broadcast_ && newest_broadcast_->epoch == broadcast.epoch &&
           newest_broadcast_->content_number == broadcast.content_number;
}

void EndpointListService::on_broadcast(MemberIndex from, Broadcast& broadcast)
{
    const Duration age{std::max<int64_t>(0, broadcast.age_us)};
    if (distribution_) {
        if (!broadcast.content.empty()) return;  // from a holder without [deltas]
        const EndpointRevision revision{broadcast.epoch, broadcast.content_number};
        if (distribution_->on_unchanged(context_.now, from, revision)) confirm_list(age);
        return emit_replica_effects();
    }
    if (!has_content(broadcast)) return request_broadcast(from);
    if (!broadcast.content.empty() && !apply_broadcast_list(broadcast)) return;
    confirm_list(age);
}

// Returns false if the content is not a list, or is an older one: that would bring back upstreams that have
// drained.
bool EndpointListService::apply_broadcast_list(const Broadcast& broadcast)
{
    auto list = unpack<FullList>(broadcast.content);
    if (!list || list->version < version_) return false;
    newest_broadcast_ = broadcast;
    if (context_.config.startup) persisted_list_ = list->full_text;
    if (list->version > version_) context_.emit(ApplyEndpointList{list->version, std::move(list->full_text)});
    version_ = list->version;
    return true;
}

void EndpointListService::confirm_list(Duration age)
{
    confirmed_at_ = std::max(confirmed_at_, context_.now - age);
    if (polling_ && !context_.held_epoch(duty)) set_polling(false);
}

// ---- lists from the fleet, as deltas ----

void EndpointListService::on_delta(MemberIndex from, const EndpointDelta& delta)
{
    if (!distribution_) return;
    // Answers may hold deltas of earlier epochs, which lead up to the present one.
    if (!delta.is_response && delta.to.epoch < context_.fencing.epoch(duty)) {
        ++context_.fenced_effects;
        return;
    }
    context_.fencing.observe_epoch(duty, delta.to.epoch);
    const auto result = distribution_->on_delta(context_.now, from, delta);
    if (result.must_forward) context_.gossip(delta, from);
    if (result.confirmed) confirm_list({std::max<int64_t>(0, delta.age_us)});
    emit_replica_effects();
}

void EndpointListService::on_delta_request(MemberIndex from, const EndpointDeltaRequest& request)
{
    if (!distribution_) return;
    distribution_->on_delta_request(context_.now, from, request, context_.now - confirmed_at_);
    emit_replica_effects();
}

void EndpointListService::on_snapshot_chunk(MemberIndex from, const EndpointSnapshotChunk& chunk)
{
    if (!distribution_) return;
    const auto result = distribution_->on_snapshot_chunk(context_.now, from, chunk);
    if (result.confirmed) confirm_list({std::max<int64_t>(0, chunk.age_us)});
    emit_replica_effects();
}

void EndpointListService::emit_replica_effects()
{
    for (OutgoingMessage& send : distribution_->take_sends()) context_.emit(std::move(send));
    auto update = distribution_->take_list_update();
    if (!update) return;
    version_ = update->version;
    changed_since_persisted_ = true;
    context_.emit(std::move(*update));
}

// ---- lists from this member's own discovery ----

// For a while after the start, a discovery service that has lost its state must not replace the persisted
// list.
bool EndpointListService::hint_protects(uint64_t version) const
{
    if (version >= hint_version_ || !context_.config.startup) return false;
    return context_.now - context_.started < context_.config.startup->stage_timeout * hint_lifetime_factor;
}

void EndpointListService::on_fetched(EndpointListFetched& fetched)
{
    if (!context_.config.endpoint_list) return;
    if (distribution_) return use_or_publish(fetched);
    if (!apply_fetched_list(fetched)) return;
    confirmed_at_ = context_.now;
    const auto epoch = context_.held_epoch(duty);
    if (!epoch) return;
    auto content = pack(FullList{fetched.source, fetched.version, std::move(fetched.full_text)});
    if (content == last_published_content_) return publish(*epoch, {});
    last_published_content_ = content;
    publish(*epoch, std::move(content));
}

// Returns false if discovery has fallen behind: an older list would bring back upstreams that are draining or
// gone.
bool EndpointListService::apply_fetched_list(const EndpointListFetched& fetched)
{
    const bool same_source = fetched.source == source_;
    if (same_source && fetched.version < version_) return false;
    if (hint_protects(fetched.version)) return false;
    hint_version_ = 0;
    if (context_.config.startup) persisted_list_ = fetched.full_text;
    if (!same_source || fetched.version > version_)
        context_.emit(ApplyEndpointList{fetched.version, fetched.full_text});
    source_ = fetched.source;
    version_ = fetched.version;
    return true;
}

void EndpointListService::publish(Epoch epoch, std::string content)
{
    const bool has_content = !content.empty();
    const Broadcast broadcast = broadcasts_.next(duty, epoch, std::move(content), published_number_);
    if (has_content) {
        published_number_ = broadcast.number;
        newest_broadcast_ = broadcast;
    }
    broadcasts_.publish(broadcast);
}

// Another discovery agent with a lower version number is either behind or has restarted its numbering. The
// latter is assumed once the list in use is stale, or if this member was given another agent.
bool EndpointListService::accepts_version(const EndpointListVersion& version) const
{
    const EndpointListVersion& used = distribution_->version();
    if (version.older_than(used)) return false;
    const bool agent_moved = !source_.empty() && source_ != version.source;
    const bool is_fresh = context_.now - confirmed_at_ <= context_.config.endpoint_list->stale_after;
    if (version.number < used.number && !agent_moved && is_fresh) return false;
    return !hint_protects(version.number);
}

void EndpointListService::use_or_publish(const EndpointListFetched& fetched)
{
    const EndpointListVersion version{fetched.source, fetched.version};
    if (!fetched.texts || !accepts_version(version)) return distribution_->on_answer_rejected();
    hint_version_ = 0;
    source_ = fetched.source;
    confirmed_at_ = context_.now;
    const auto epoch = context_.held_epoch(duty);
    const bool must_postpone =
        epoch && distribution_->must_wait_to_publish(context_.now, *epoch, lease_gained_);
    postponed_list_ = must_postpone ? std::optional(fetched) : std::nullopt;
    if (!epoch || must_postpone) {
        distribution_->use_local_list(version, *fetched.texts);
        return emit_replica_effects();
    }
    const auto deltas = distribution_->publish(*epoch, version, *fetched.texts, fetched.changed);
    emit_replica_effects();
    push_deltas(*epoch, deltas);
}

// Pushes the first deltas of a large change; the receivers request the rest.
void EndpointListService::push_deltas(Epoch epoch, const std::vector<EndpointDelta>& deltas)
{
    published_number_ = distribution_->replica().revision().number;
    context_.fencing.observe_epoch(duty, epoch);
    Publish pushed;
    for (size_t i = 0; i < deltas.size() && i < max_pushed_deltas; ++i)
        for (const MemberIndex target : context_.membership.gossip_targets())
            pushed.sends.push_back({target, deltas[i]});
    if (!pushed.sends.empty()) context_.emit(LeasedEffect{duty, epoch, {}, std::move(pushed)});
    if (deltas.empty() || deltas.size() > max_pushed_deltas) publish(epoch, {});
}

void EndpointListService::publish_postponed_list()
{
    if (!postponed_list_) return;
    const auto epoch = context_.held_epoch(duty);
    if (!epoch) return postponed_list_.reset();
    if (distribution_->must_wait_to_publish(context_.now, *epoch, lease_gained_)) return;
    use_or_publish(*std::exchange(postponed_list_, std::nullopt));
}

// ---- persistence and status ----

void EndpointListService::set_hint(uint64_t version, const std::string& full_text)
{
    hint_version_ = version;
    persisted_list_ = full_text;
}

const std::string& EndpointListService::list_to_persist()
{
    if (distribution_ && std::exchange(changed_since_persisted_, false))
        persisted_list_ = distribution_->full_text();
    return persisted_list_;
}

void EndpointListService::fill_ping_payload(PingPayload& payload) const
{
    if (newest_broadcast_) {
        payload.list_number = newest_broadcast_->content_number;
        payload.list_epoch = newest_broadcast_->epoch;
    }
    if (!distribution_) return;
    payload.list_number = distribution_->replica().revision().number;
    payload.list_epoch = distribution_->replica().revision().epoch;
    payload.list_digest = distribution_->replica().digest();
}

std::string EndpointListService::status() const
{
    if (!distribution_) return "";
    const EndpointReplica& replica = distribution_->replica();
    return "list revision " + std::to_string(replica.revision().epoch) + "." +
           std::to_string(replica.revision().number) + " entries " +
           std::to_string(replica.endpoints().size()) + " behind " +
           (distribution_->is_behind() ? "yes" : "no") + "\n";
}

const EndpointReplica* EndpointListService::replica() const
{
    return distribution_ ? &distribution_->replica() : nullptr;
}

EndpointReplica* EndpointListService::replica_to_corrupt()
{
    return distribution_ ? &distribution_->replica() : nullptr;
}

}  // namespace firtide::fleet
