#include "membership.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr size_t indirect_probes = 3;  // members asked to probe a silent member
constexpr size_t draws_per_helper = 16;

// In periods, each counted from the end of the one before.
constexpr double silent_after_periods = 3, suspect_after_periods = 1.5, gone_after_periods = 4;
constexpr double stalled_after_periods = 2;   // without a tick: this process was stalled
constexpr double recently_heard_periods = 2;  // recent enough to answer an indirect probe request at once
constexpr double relayed_probe_periods = 3;

constexpr Duration first_exchange_backoff = seconds(1), max_exchange_backoff = seconds(60);

void sort_unique(std::vector<MemberIndex>& members)
{
    std::sort(members.begin(), members.end());
    members.erase(std::unique(members.begin(), members.end()), members.end());
}

}  // namespace

Membership::Membership(const FleetConfig& config, InstanceId instance, Incarnation incarnation,
                       Duration period, uint64_t seed)
    : config_(config),
      self_(config.self),
      period_(period),
      random_(static_cast<uint32_t>(seed ^ seed >> 32)),
      view_(config.members)
{
    view_.set_state(self_, {incarnation, instance, Health::alive, 0});
}

void Membership::start(TimePoint now)
{
    started_ = last_tick_ = earliest_last_heard_ = now;
    view_.start(now);
    contacts_.clear();
    find_monitored_peers();
}

void Membership::seed_members(const std::vector<MemberState>& members)
{
    view_.seed(members, self_);
    find_monitored_peers();
}

// ---- peers ----

// Monitors the nearest members in both directions on each ring that are not gone.
void Membership::find_monitored_peers()
{
    monitored_.clear();
    gossip_targets_.clear();
    for (const auto& [ring, positions] : config_.members.rings()) {
        const size_t own_position = positions[self_];
        const size_t forwards = 1, backwards = ring.size() - 1;
        for (const size_t step : {forwards, backwards}) {
            size_t at = (own_position + step) % ring.size();
            while (ring[at] != self_ && view_.state_of(ring[at]).health == Health::gone)
                at = (at + step) % ring.size();
            if (ring[at] == self_) continue;
            monitored_.push_back(ring[at]);
            if (step == forwards) gossip_targets_.push_back(ring[at]);
        }
    }
    sort_unique(monitored_);
    sort_unique(gossip_targets_);
    monitored_contacts_.clear();
    for (const MemberIndex peer : monitored_) monitored_contacts_.push_back(&contact_of(peer));
}

bool Membership::is_monitored(MemberIndex member) const
{
    return std::binary_search(monitored_.begin(), monitored_.end(), member);
}

Membership::Contact& Membership::contact_of(MemberIndex member)
{
    const auto known = contacts_.find(member);
    if (known != contacts_.end()) return known->second;
    Contact contact;
    contact.last_heard = contact.probe_started = contact.last_exchange = contact.differs_since = started_;
    contact.last_ping = started_ - period_;
    contact.exchange_backoff = first_exchange_backoff;
    return contacts_.emplace(member, contact).first->second;
}

// ---- sending ----

MembershipUpdate Membership::update_of(MemberIndex member) const
{
    const MemberState& state = view_.state_of(member);
    return {config_.members[member].key, static_cast<uint8_t>(state.health), state.incarnation,
            state.instance, state.traffic_weight};
}

MembershipUpdates Membership::full_state(bool reply_requested) const
{
    MembershipUpdates state{{}, reply_requested};
    for (MemberIndex member = 0; member < view_.size(); ++member)
        if (view_.state_of(member).incarnation) state.updates.push_back(update_of(member));
    return state;
}

void Membership::ping(TimePoint now, MemberIndex to, uint64_t acknowledges)
{
    const MemberState& receiver = view_.state_of(to);
    Ping ping;
    ping.number = ++last_ping_number_;
    ping.acknowledges = acknowledges;
    ping.incarnation = incarnation();
    ping.instance = own_state().instance;
    ping.view_digest = view_digest();
    ping.receiver_health = static_cast<uint8_t>(receiver.health);
    ping.receiver_incarnation = receiver.incarnation;
    ping.leader = payload_.leader;
    ping.term = payload_.term;
    ping.list_number = payload_.list_number;
    ping.list_epoch = payload_.list_epoch;
    ping.list_digest = payload_.list_digest;
    ping.weight = own_state().traffic_weight;
    if (!acknowledges) contact_of(to).last_ping = now;
    send(to, ping);
}

void Membership::gossip(const std::vector<MembershipUpdate>& updates, MemberIndex except)
{
    if (updates.empty()) return;
    for (const MemberIndex peer : monitored_)
        if (peer != except) send(peer, MembershipUpdates{updates, false});
}

void Membership::set_weight(uint8_t weight)
{
    MemberState state = own_state();
    ++state.incarnation;
    state.traffic_weight = weight;
    view_.set_state(self_, state);
    gossip({update_of(self_)}, no_member);
}

void Membership::depart()
{
    departed_ = true;
    MembershipUpdate update = update_of(self_);
    update.health = static_cast<uint8_t>(Health::gone);
    gossip({update}, no_member);
}

// ---- receiving ----

bool Membership::accept(TimePoint now, MemberIndex member, const MemberState& update)
{
    if (member == self_) {
        refute(update);
        return false;
    }
    const MemberState before = view_.state_of(member);
    const bool is_newer = update.incarnation > before.incarnation ||
                          (update.incarnation == before.incarnation && update.health > before.health);
    if (!is_newer) return false;
    MemberState next = update;
    if (!next.instance) next.instance = before.instance;
    view_.set_state(member, next);
    view_.update_health_sets(now, member, before.health);
    if (next.health == Health::alive)
        if (const auto contact = contacts_.find(member); contact != contacts_.end())
            contact->second.probing = false;
    // Among gone members, only a monitored one has to be replaced.
    const bool is_gone = next.health == Health::gone, was_gone = before.health == Health::gone;
    if (is_gone != was_gone && (!is_gone || is_monitored(member))) find_monitored_peers();
    if (next.health != before.health) changes_.push_back({member, next.health, next.incarnation});
    return true;
}

// Answers an update about this member that claims it is suspect or gone, or that comes from an earlier run
// which its disk no longer records, with a higher incarnation.
void Membership::refute(const MemberState& update)
{
    const MemberState state = own_state();
    const bool is_alive = update.health == Health::alive;
    const bool is_other_instance = update.instance != 0 && update.instance != state.instance;
    if (is_other_instance && update.incarnation >= state.incarnation && is_alive) duplicate_identity_ = true;
    if (departed_ || update.incarnation < state.incarnation) return;
    const bool agrees =
        is_alive && (update.incarnation == state.incarnation || update.instance == state.instance);
    if (agrees) return;
    view_.set_state(self_, {update.incarnation + 1, state.instance, state.health, state.traffic_weight});
    gossip({update_of(self_)}, no_member);
}

void Membership::on_message(TimePoint now, MemberIndex from)
{
    Contact& contact = contact_of(from);
    contact.last_heard = now;
    contact.probing = false;
    std::erase_if(relayed_probes_, [&](const RelayedProbe& probe) {
        if (probe.subject != from) return false;
        send(probe.requester, IndirectProbeAck{config_.members[from].key, view_.state_of(from).incarnation});
        return true;
    });
}

void Membership::on_ping(TimePoint now, MemberIndex from, const Ping& ping_received)
{
    const MemberState sender{ping_received.incarnation, ping_received.instance, Health::alive,
                             ping_received.weight};
    if (view_.state_of(from).incarnation < sender.incarnation && accept(now, from, sender))
        gossip({update_of(from)}, from);
    const bool thinks_alive = ping_received.receiver_health == static_cast<uint8_t>(Health::alive);
    const bool must_refute = (!thinks_alive && ping_received.receiver_incarnation) ||
                             ping_received.receiver_incarnation > incarnation();
    if (must_refute) accept(now, self_, {ping_received.receiver_incarnation, 0, Health::suspect, 0});
    if (!ping_received.acknowledges) ping(now, from, ping_received.number);
    reconcile(now, from, ping_received.view_digest);
}

// Repairs updates that gossip has lost. Backs off, because two members whose fleet files name different
// members differ permanently.
void Membership::reconcile(TimePoint now, MemberIndex from, uint64_t other_digest)
{
    Contact& contact = contact_of(from);
    if (other_digest == view_digest()) {
        contact.differs_since = now + period_;
        contact.exchange_backoff = first_exchange_backoff;
        return;
    }
    const bool differs_for_long = now - contact.differs_since > period_;
    if (!differs_for_long || now - contact.last_exchange <= contact.exchange_backoff) return;
    contact.last_exchange = now;
    contact.exchange_backoff = std::min(max_exchange_backoff, contact.exchange_backoff * 2);
    send(from, full_state(true));
}

void Membership::on_indirect_probe(TimePoint now, MemberIndex from, const IndirectProbeRequest& request)
{
    const auto subject = config_.member_of(request.member);
    if (!subject || *subject == self_) return;
    if (now - last_heard(contact_of(*subject)) < period_ * recently_heard_periods)
        return send(from, IndirectProbeAck{request.member, view_.state_of(*subject).incarnation});
    relayed_probes_.push_back({*subject, from, now});
    ping(now, *subject);
}

void Membership::on_indirect_ack(TimePoint now, const IndirectProbeAck& ack)
{
    const auto subject = config_.member_of(ack.member);
    if (!subject || *subject == self_) return;
    Contact& contact = contact_of(*subject);
    contact.probing = false;
    contact.last_heard = now;
}

void Membership::on_updates(TimePoint now, MemberIndex from, const MembershipUpdates& updates)
{
    std::vector<MembershipUpdate> accepted;
    for (const MembershipUpdate& update : updates.updates) {
        const auto member = config_.member_of(update.member);
        if (!member || update.health > static_cast<uint8_t>(Health::gone)) continue;
        const MemberState state{update.incarnation, update.instance, static_cast<Health>(update.health),
                                update.weight};
        if (accept(now, *member, state)) accepted.push_back(update_of(*member));
    }
    gossip(accepted, from);
    if (updates.reply_requested) send(from, full_state(false));
}

// ---- monitoring ----

void Membership::tick(TimePoint now)
{
    // After a stall of this process no member has been heard, which is not their fault.
    if (now - last_tick_ > period_ * stalled_after_periods) earliest_last_heard_ = now - period_;
    last_tick_ = now;
    std::erase_if(relayed_probes_, [&](const RelayedProbe& probe) {
        return now - probe.requested > period_ * relayed_probe_periods;
    });
    std::vector<MembershipUpdate> detected = monitor_peers(now);
    const auto gone_member = next_gone_member();
    expire_suspects(now, detected);
    gossip(detected, no_member);
    ping_gone_member(now, gone_member);
}

std::vector<MembershipUpdate> Membership::monitor_peers(TimePoint now)
{
    std::vector<MembershipUpdate> detected;
    const auto peers = monitored_;  // monitor() may change them
    const auto contacts = monitored_contacts_;
    for (size_t i = 0; i < peers.size(); ++i) monitor(now, peers[i], *contacts[i], detected);
    return detected;
}

void Membership::monitor(TimePoint now, MemberIndex peer, Contact& contact,
                         std::vector<MembershipUpdate>& detected)
{
    if (now - contact.last_ping >= period_) ping(now, peer);
    if (view_.state_of(peer).health != Health::alive) return;
    if (!contact.probing) {
        if (now - last_heard(contact) > period_ * silent_after_periods) probe_indirectly(now, peer, contact);
        return;
    }
    if (now - contact.probe_started <= period_ * suspect_after_periods) return;
    contact.probing = false;
    const MemberState state = view_.state_of(peer);
    if (accept(now, peer, {state.incarnation, 0, Health::suspect, state.traffic_weight}))
        detected.push_back(update_of(peer));
}

void Membership::probe_indirectly(TimePoint now, MemberIndex peer, Contact& contact)
{
    contact.probing = true;
    contact.probe_started = now;
    for (const MemberIndex helper : draw_probe_helpers(peer))
        send(helper, IndirectProbeRequest{config_.members[peer].key});
}

void Membership::expire_suspects(TimePoint now, std::vector<MembershipUpdate>& detected)
{
    for (const MemberIndex member : view_.overdue_suspects(now, period_ * gone_after_periods)) {
        const MemberState state = view_.state_of(member);
        const bool was_heard_of = state.incarnation > 0;
        if (accept(now, member, {state.incarnation, 0, Health::gone, state.traffic_weight}) && was_heard_of)
            detected.push_back(update_of(member));
    }
}

std::optional<MemberIndex> Membership::next_gone_member() const
{
    const auto& gone = view_.gone();
    if (gone.empty()) return {};
    return gone[next_gone_ % gone.size()];
}

// Pings gone members in turn, so that two partitions that consider each other gone merge again.
void Membership::ping_gone_member(TimePoint now, std::optional<MemberIndex> member)
{
    if (!member || now - last_gone_ping_ < period_) return;
    ping(now, *member);
    ++next_gone_;
    last_gone_ping_ = now;
}

// Up to three other alive members, drawn uniformly.
std::vector<MemberIndex> Membership::draw_probe_helpers(MemberIndex subject)
{
    std::vector<MemberIndex> drawn;
    const auto is_candidate = [&](MemberIndex member) {
        return member != subject && member != self_ && view_.state_of(member).health == Health::alive &&
               std::find(drawn.begin(), drawn.end(), member) == drawn.end();
    };
    std::uniform_int_distribution<MemberIndex> any_member(0, static_cast<MemberIndex>(view_.size() - 1));
    for (size_t i = 0; i < indirect_probes * draws_per_helper && drawn.size() < indirect_probes; ++i)
        if (const MemberIndex member = any_member(random_); is_candidate(member)) drawn.push_back(member);
    if (drawn.size() == indirect_probes) return drawn;
    // Few members are alive: take the remaining ones in random order.
    std::vector<MemberIndex> remaining;
    for (MemberIndex member = 0; member < view_.size(); ++member)
        if (is_candidate(member)) remaining.push_back(member);
    std::shuffle(remaining.begin(), remaining.end(), random_);
    remaining.resize(std::min(remaining.size(), indirect_probes - drawn.size()));
    drawn.insert(drawn.end(), remaining.begin(), remaining.end());
    return drawn;
}

}  // namespace firtide::fleet
