// The duty `list`: its holder asks discovery and publishes the list; members use it while it is fresh, and
// ask discovery themselves otherwise. The list goes round whole, as Broadcast, or with [deltas] as
// EndpointDelta.
#include <algorithm>

#include "fleet.h"

namespace firtide::fleet
{
namespace
{

constexpr Span want_again = seconds(0.2);

struct EndpointListBroadcast {
    std::string source;
    uint64_t version = 0;
    std::string whole;
    MSGPACK_DEFINE(source, version, whole)
};

}  // namespace

// ---- from the fleet, as news ----

void Fleet::hear_list(MemberIndex from, const Ping& ping)
{
    if (!file_.list) return;
    if (distribution_) {
        // No digest: a member without [deltas], or an empty list.
        if (ping.list_digest)
            distribution_->hear_revision(now_, from, {ping.list_epoch, ping.list}, ping.list_digest);
        return use_replica();
    }
    // Guards against news that was lost on its way.
    const auto own = newest_.find("list");
    const auto have =
        own == newest_.end() ? std::pair<Epoch, uint64_t>{} : std::pair{own->second.epoch, own->second.base};
    if (std::pair{ping.list_epoch, ping.list} > have && now_ - wanted_news_ > want_again) {
        wanted_news_ = now_;
        effects_.push_back(Send{from, BroadcastRequest{"list"}});
    }
}

void Fleet::hear_list(MemberIndex from, Broadcast& news)
{
    const Span age{std::max<int64_t>(0, news.age_us)};
    if (distribution_) {
        if (!news.bytes.empty()) return;  // of a holder without [deltas]
        if (distribution_->hear_unchanged(now_, from, {news.epoch, news.base})) list_confirmed(age);
        return use_replica();
    }
    const auto own = newest_.find(news.duty);
    const bool have = !news.bytes.empty() || (own != newest_.end() && own->second.epoch == news.epoch &&
                                              own->second.base == news.base);
    if (!have) {
        if (now_ - wanted_news_ > want_again) {
            wanted_news_ = now_;
            effects_.push_back(Send{from, BroadcastRequest{news.duty}});
        }
        return;
    }
    if (!news.bytes.empty()) {
        auto list = unpack<EndpointListBroadcast>(news.bytes);
        if (!list) return;
        // Guards against a holder whose discovery has fallen behind: an older list would bring back what
        // drains.
        if (list->version < list_version_) return;
        newest_[news.duty] = news;
        if (file_.recovery) last_list_ = list->whole;
        if (list->version > list_version_)
            effects_.push_back(ApplyEndpointList{list->version, std::move(list->whole)});
        list_version_ = list->version;
    }
    list_confirmed(age);
}

void Fleet::list_confirmed(Span age)
{
    list_fresh_ = std::max(list_fresh_, now_ - age);
    if (asking_ && !lease_client_.held_epoch(now_, "list"))
        effects_.push_back(SetDiscoveryPolling{asking_ = false});
}

// ---- from the fleet, as deltas ----

void Fleet::hear(MemberIndex from, EndpointDelta& delta)
{
    if (!distribution_) return;
    // Answers may hold deltas of earlier epochs, which lead up to the present one.
    if (!delta.answer && delta.to.epoch < fencing_.epoch("list")) {
        ++refused_;
        return;
    }
    fencing_.observe("list", delta.to.epoch);
    const auto heard = distribution_->hear(now_, from, delta);
    if (heard.pass_on)
        for (const MemberIndex m : members_.successors())
            if (m != from) effects_.push_back(Send{m, delta});
    if (heard.confirmed) list_confirmed({std::max<int64_t>(0, delta.age_us)});
    use_replica();
}

void Fleet::hear(MemberIndex from, const EndpointDeltaRequest& want)
{
    if (!distribution_) return;
    distribution_->hear(now_, from, want, now_ - list_fresh_);
    use_replica();
}

void Fleet::hear(MemberIndex from, const EndpointSnapshotChunk& chunk)
{
    if (!distribution_) return;
    const auto heard = distribution_->hear(now_, from, chunk);
    if (heard.confirmed) list_confirmed({std::max<int64_t>(0, chunk.age_us)});
    use_replica();
}

// What the replica has to say becomes effects.
void Fleet::use_replica()
{
    for (Send& s : distribution_->take_sends()) effects_.push_back(std::move(s));
    auto use = distribution_->take_use();
    if (!use) return;
    list_version_ = use->version;
    list_changed_ = true;
    effects_.push_back(std::move(*use));
}

// ---- from discovery ----

// Guards against a discovery that has fallen behind: an older list would bring back what drains or has gone.
bool Fleet::use_list(const std::string& source, uint64_t version, const std::string& whole)
{
    const bool same = source == list_source_;
    if (same && version < list_version_) return false;
    // Guards against a discovery that has lost its own past: what is remembered is better for a while.
    if (version < hint_version_ && file_.recovery && now_ - begun_ < file_.recovery->wait * 4) return false;
    hint_version_ = 0;
    if (file_.recovery) last_list_ = whole;
    if (!same || version > list_version_) effects_.push_back(ApplyEndpointList{version, whole});
    list_source_ = source;
    list_version_ = version;
    return true;
}

// The same guards. Another agent with a lower number is behind, or numbers anew: the latter is believed once
// the list in use is stale, or where this member's own agent was moved.
bool Fleet::accepts(const EndpointListVersion& version) const
{
    const EndpointListVersion& used = distribution_->version();
    if (version.older_than(used)) return false;
    const bool moved = !list_source_.empty() && list_source_ != version.source;
    if (version.number < used.number && !moved && now_ - list_fresh_ <= file_.list->stale) return false;
    return version.number >= hint_version_ || !file_.recovery || now_ - begun_ >= file_.recovery->wait * 4;
}

void Fleet::on(EndpointListFetched& seen)
{
    if (!file_.list) return;
    if (distribution_) return replicate(seen);
    if (!use_list(seen.source, seen.version, seen.whole)) return;
    list_fresh_ = now_;
    const auto epoch = lease_client_.held_epoch(now_, "list");
    if (!epoch) return;
    auto bytes = pack(EndpointListBroadcast{seen.source, seen.version, std::move(seen.whole)});
    if (bytes == list_published_) return publish("list", *epoch, {});
    list_published_ = bytes;
    publish("list", *epoch, std::move(bytes));
}

void Fleet::replicate(const EndpointListFetched& seen)
{
    const EndpointListVersion version{seen.source, seen.version};
    if (!seen.lines || !accepts(version)) return distribution_->skip();
    hint_version_ = 0;
    list_source_ = seen.source;
    list_fresh_ = now_;
    const auto epoch = lease_client_.held_epoch(now_, "list");
    const bool waits = epoch && distribution_->must_wait_to_publish(now_, *epoch, list_gained_);
    unpublished_list_ = waits ? std::optional(seen) : std::nullopt;
    if (!epoch || waits) {
        distribution_->use_own(version, *seen.lines);
        return use_replica();
    }
    const auto deltas = distribution_->publish(*epoch, version, *seen.lines, seen.changed);
    use_replica();
    push(*epoch, deltas);
}

// The first deltas of a large change are pushed; the others are asked for by whoever has those, so that no
// queue of messages overflows.
void Fleet::push(Epoch epoch, const std::vector<EndpointDelta>& deltas)
{
    constexpr size_t most_pushed = 4;
    list_base_ = distribution_->replica().revision().number;
    fencing_.observe("list", epoch);
    Publish pushed;
    for (size_t i = 0; i < deltas.size() && i < most_pushed; ++i)
        for (const MemberIndex m : members_.successors()) pushed.sends.push_back({m, deltas[i]});
    if (!pushed.sends.empty()) effects_.push_back(LeasedEffect{"list", epoch, {}, std::move(pushed)});
    if (deltas.empty() || deltas.size() > most_pushed) publish("list", epoch, {});
}

void Fleet::list_tick()
{
    if (distribution_) replica_tick();
    if (!file_.list || asking_ || stopping_ || lease_client_.held_epoch(now_, "list")) return;
    if (now_ - list_fresh_ <= file_.list->stale + list_spread_) return;
    effects_.push_back(SetDiscoveryPolling{asking_ = true});
    effects_.push_back(
        LogEvent{"list", "", "it is older than stated: discovery is asked by this member itself", 0, "", {}});
}

void Fleet::replica_tick()
{
    distribution_->tick(now_);
    use_replica();
    if (!unpublished_list_) return;
    const auto epoch = lease_client_.held_epoch(now_, "list");
    if (!epoch) return unpublished_list_.reset();
    if (distribution_->must_wait_to_publish(now_, *epoch, list_gained_)) return;
    replicate(*std::exchange(unpublished_list_, std::nullopt));
}

// ---- shown, and remembered ----

const std::string& Fleet::list_to_remember()
{
    if (distribution_ && std::exchange(list_changed_, false)) last_list_ = distribution_->whole_text();
    return last_list_;
}

std::string Fleet::show_list() const
{
    if (!distribution_) return "";
    const EndpointReplica& replica = distribution_->replica();
    return "list revision " + std::to_string(replica.revision().epoch) + "." +
           std::to_string(replica.revision().number) + " entries " + std::to_string(replica.lines().size()) +
           " behind " + (distribution_->behind() ? "yes" : "no") + "\n";
}

}  // namespace firtide::fleet
