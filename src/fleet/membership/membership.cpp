#include "membership.h"

#include <xxhash.h>

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr size_t helpers = 3;
constexpr size_t draws = 16;  // for one helper, before all members are gone through
constexpr double silent_after = 3, suspect_after = 1.5, gone_after = 4;  // periods: each from the one before
constexpr Span first_exchange = seconds(1), longest_exchange = seconds(60);
constexpr MemberIndex nobody = UINT32_MAX;

}  // namespace

Membership::Membership(const FleetConfig& file, InstanceId instance, Incarnation incarnation, Span period,
                       uint64_t seed)
    : file_(file),
      self_(file.self),
      period_(period),
      chance_(static_cast<uint32_t>(seed ^ seed >> 32)),
      all_(file.members.size())
{
    set(self_, {incarnation, instance, Health::alive, 0});
}

void Membership::start(Point now)
{
    started_ = woken_ = heard_at_least_ = now;
    watch_.clear();
    find_neighbours();
}

void Membership::seed_members(const std::vector<MemberState>& all)
{
    const MemberState own = all_[self_];
    all_ = all;
    all_[self_] = own;
    alive_ = 0;
    digest_ = 0;
    ++version_;
    suspect_since_.clear();
    gone_.clear();
    for (MemberIndex m = 0; m < all_.size(); ++m) {
        const MemberState& one = all_[m];
        alive_ += one.health == Health::alive;
        if (one.incarnation) digest_ += digest_of(m);
        if (one.health == Health::gone) gone_.push_back(m);
        if (one.health == Health::suspect && one.incarnation) suspect_since_[m] = started_;
    }
    find_neighbours();
}

// Of one member's part in the digest, which is the sum of these: so it can be kept as single ones change.
uint64_t Membership::digest_of(MemberIndex m) const
{
    const MemberState& one = all_[m];
    const uint64_t said[] = {file_.members[m].key, one.incarnation * 4 + static_cast<uint64_t>(one.health)};
    return XXH3_64bits(said, sizeof said);
}

void Membership::set(MemberIndex m, const MemberState& next)
{
    MemberState& one = all_[m];
    if (one.incarnation) digest_ -= digest_of(m);
    alive_ -= one.health == Health::alive;
    one = next;
    alive_ += one.health == Health::alive;
    if (one.incarnation) digest_ += digest_of(m);
    ++version_;
}

// Keeps the sets of those that are suspect and gone in step with the records.
void Membership::note_health(Point now, MemberIndex m, Health before)
{
    const MemberState& one = all_[m];
    const auto at = std::lower_bound(gone_.begin(), gone_.end(), m);
    const bool listed = at != gone_.end() && *at == m;
    if (one.health == Health::gone && !listed) gone_.insert(at, m);
    if (one.health != Health::gone && listed) gone_.erase(at);
    if (one.health != Health::suspect)
        suspect_since_.erase(m);
    else if (one.incarnation)
        suspect_since_.try_emplace(m, before == Health::suspect ? started_ : now);
}

// The next and the last on each ring that are not gone.
void Membership::find_neighbours()
{
    neighbours_.clear();
    successors_.clear();
    for (const auto& [ring, place] : file_.members.rings()) {
        const size_t own = place[self_];
        for (const size_t step : {size_t{1}, ring.size() - 1}) {
            size_t at = (own + step) % ring.size();
            while (ring[at] != self_ && all_[ring[at]].health == Health::gone) at = (at + step) % ring.size();
            if (ring[at] == self_) continue;
            neighbours_.push_back(ring[at]);
            if (step == 1) successors_.push_back(ring[at]);
        }
    }
    for (auto* list : {&neighbours_, &successors_}) {
        std::sort(list->begin(), list->end());
        list->erase(std::unique(list->begin(), list->end()), list->end());
    }
    neighbour_watches_.clear();
    for (const MemberIndex m : neighbours_) neighbour_watches_.push_back(&watch(m));
}

bool Membership::is_neighbour(MemberIndex m) const
{
    return std::binary_search(neighbours_.begin(), neighbours_.end(), m);
}

Membership::Watch& Membership::watch(MemberIndex m)
{
    const auto at = watch_.find(m);
    if (at != watch_.end()) return at->second;
    const Watch first{started_, started_ - period_, started_, false, started_, first_exchange, started_};
    return watch_.emplace(m, first).first->second;
}

MembershipUpdate Membership::update_of(MemberIndex m) const
{
    const MemberState& o = all_[m];
    return {file_.members[m].key, static_cast<uint8_t>(o.health), o.incarnation, o.instance, o.weight};
}

MembershipUpdates Membership::all_known(bool answer) const
{
    MembershipUpdates known{{}, answer};
    for (MemberIndex m = 0; m < all_.size(); ++m)
        if (all_[m].incarnation) known.all.push_back(update_of(m));
    return known;
}

void Membership::ping(Point now, MemberIndex to, uint64_t answers)
{
    const MemberState& o = all_[to];
    Ping p;
    p.number = ++pings_, p.answers = answers;
    p.incarnation = incarnation(), p.instance = all_[self_].instance;
    p.view = digest_;
    p.held = static_cast<uint8_t>(o.health), p.held_at = o.incarnation;
    p.leader = carried.leader, p.term = carried.term;
    p.list = carried.list, p.list_epoch = carried.list_epoch, p.list_digest = carried.list_digest;
    p.weight = all_[self_].weight;
    if (!answers) watch(to).pinged = now;
    send(to, p);
}

void Membership::spread(const std::vector<MembershipUpdate>& updates, MemberIndex not_to)
{
    if (updates.empty()) return;
    for (const MemberIndex m : neighbours_)
        if (m != not_to) send(m, MembershipUpdates{updates, false});
}

bool Membership::accept(Point now, MemberIndex m, Health health, Incarnation incarnation, InstanceId instance,
                        uint8_t weight)
{
    const MemberState o = all_[m];
    if (m == self_) {
        // Guards against being taken for gone, and against a past of this id that its disk has forgotten.
        twin_ = twin_ || (instance != 0 && instance != o.instance && incarnation >= o.incarnation &&
                          health == Health::alive);
        if (left_ || incarnation < o.incarnation ||
            (health == Health::alive && (incarnation == o.incarnation || instance == o.instance)))
            return false;
        set(self_, {incarnation + 1, o.instance, o.health, o.weight});
        spread({update_of(self_)}, nobody);
        return false;
    }
    if (incarnation < o.incarnation || (incarnation == o.incarnation && health <= o.health)) return false;
    const bool other = o.health != health;
    set(m, {incarnation, instance ? instance : o.instance, health, weight});
    note_health(now, m, o.health);
    if (health == Health::alive)
        if (const auto at = watch_.find(m); at != watch_.end()) at->second.asking = false;
    // Of those that are gone, only a neighbour leaves a place to be filled.
    const bool gone_now = health == Health::gone;
    if ((o.health == Health::gone) != gone_now && (!gone_now || is_neighbour(m))) find_neighbours();
    if (other) changes_.push_back({m, health, incarnation});
    return true;
}

void Membership::heard(Point now, MemberIndex from)
{
    Watch& w = watch(from);
    w.heard = now;
    w.asking = false;
    std::erase_if(asked_for_, [&](const auto& asked) {
        if (asked.first != from) return false;
        send(asked.second.first, IndirectProbeAck{file_.members[from].key, all_[from].incarnation});
        return true;
    });
}

void Membership::on(Point now, MemberIndex from, const Ping& p)
{
    if (all_[from].incarnation < p.incarnation &&
        accept(now, from, Health::alive, p.incarnation, p.instance, p.weight))
        spread({update_of(from)}, from);
    if (p.held != static_cast<uint8_t>(Health::alive) && p.held_at)
        accept(now, self_, Health::suspect, p.held_at, 0, 0);
    else if (p.held_at > incarnation())
        accept(now, self_, Health::suspect, p.held_at, 0, 0);
    if (!p.answers) ping(now, from, p.number);
    // Repairs what gossip has lost. Guards against telling all, again and again, where files name other
    // members.
    Watch& w = watch(from);
    if (p.view == digest_) {
        w.differs_since = now + period_;
        w.exchange_after = first_exchange;
    } else if (now - w.differs_since > period_ && now - w.exchanged > w.exchange_after) {
        w.exchanged = now;
        w.exchange_after = std::min(longest_exchange, w.exchange_after * 2);
        send(from, all_known(true));
    }
}

void Membership::on(Point now, MemberIndex from, const IndirectProbeRequest& ask)
{
    const auto m = file_.member_of(ask.member);
    if (!m || *m == self_) return;
    if (now - heard_at(watch(*m)) < period_ * 2)
        return send(from, IndirectProbeAck{ask.member, all_[*m].incarnation});
    asked_for_.push_back({*m, {from, now}});
    ping(now, *m);
}

void Membership::on(Point now, MemberIndex, const IndirectProbeAck& reached)
{
    const auto m = file_.member_of(reached.member);
    if (!m || *m == self_) return;
    Watch& w = watch(*m);
    w.asking = false;
    w.heard = now;
}

void Membership::on(Point now, MemberIndex from, const MembershipUpdates& updates)
{
    std::vector<MembershipUpdate> news;
    for (const MembershipUpdate& r : updates.all) {
        const auto m = file_.member_of(r.member);
        if (!m || r.health > static_cast<uint8_t>(Health::gone)) continue;
        if (accept(now, *m, static_cast<Health>(r.health), r.incarnation, r.instance, r.weight))
            news.push_back(update_of(*m));
    }
    spread(news, from);
    if (updates.answer) send(from, all_known(false));
}

void Membership::weigh(uint8_t weight)
{
    const MemberState& o = all_[self_];
    set(self_, {o.incarnation + 1, o.instance, o.health, weight});
    spread({update_of(self_)}, nobody);
}

void Membership::leave(Point)
{
    left_ = true;
    MembershipUpdate r = update_of(self_);
    r.health = static_cast<uint8_t>(Health::gone);
    spread({r}, nobody);
}

// Up to three others that are alive, drawn alike from all.
std::vector<MemberIndex> Membership::draw_helpers(MemberIndex subject)
{
    std::vector<MemberIndex> drawn;
    const auto suits = [&](MemberIndex m) {
        return m != subject && m != self_ && all_[m].health == Health::alive &&
               std::find(drawn.begin(), drawn.end(), m) == drawn.end();
    };
    std::uniform_int_distribution<MemberIndex> any(0, static_cast<MemberIndex>(all_.size() - 1));
    for (size_t i = 0; i < helpers * draws && drawn.size() < helpers; ++i)
        if (const MemberIndex m = any(chance_); suits(m)) drawn.push_back(m);
    if (drawn.size() == helpers) return drawn;
    // Few are alive: those that are left, in a random order.
    std::vector<MemberIndex> left;
    for (MemberIndex m = 0; m < all_.size(); ++m)
        if (suits(m)) left.push_back(m);
    std::shuffle(left.begin(), left.end(), chance_);
    left.resize(std::min(left.size(), helpers - drawn.size()));
    drawn.insert(drawn.end(), left.begin(), left.end());
    return drawn;
}

// In the order of the file.
std::vector<MemberIndex> Membership::overdue_suspects(Point now)
{
    std::vector<MemberIndex> overdue;
    for (const auto& [m, since] : suspect_since_)
        if (now - since > period_ * gone_after) overdue.push_back(m);
    if (!unheard_are_suspect_ || now - started_ <= period_ * gone_after) return overdue;
    unheard_are_suspect_ = false;
    for (MemberIndex m = 0; m < all_.size(); ++m)
        if (all_[m].health == Health::suspect && all_[m].incarnation == 0) overdue.push_back(m);
    std::sort(overdue.begin(), overdue.end());
    return overdue;
}

// They are taken in turn.
std::optional<MemberIndex> Membership::next_gone() const
{
    if (gone_.empty()) return {};
    return gone_[next_gone_ % gone_.size()];
}

void Membership::tick(Point now)
{
    // Guards against blaming all others for a stall of this process: whoever stood still has heard nobody.
    if (now - woken_ > period_ * 2) heard_at_least_ = now - period_;
    woken_ = now;
    std::erase_if(asked_for_, [&](const auto& a) { return now - a.second.second > period_ * 3; });
    std::vector<MembershipUpdate> found;
    const auto neighbours = neighbours_;  // a finding below may change them
    const auto watches = neighbour_watches_;
    for (size_t i = 0; i < neighbours.size(); ++i) {
        const MemberIndex m = neighbours[i];
        Watch& w = *watches[i];
        if (now - w.pinged >= period_) ping(now, m);
        if (all_[m].health != Health::alive) continue;
        if (!w.asking && now - heard_at(w) > period_ * silent_after) {
            w.asking = true;
            w.asked = now;
            for (const MemberIndex o : draw_helpers(m)) send(o, IndirectProbeRequest{file_.members[m].key});
        } else if (w.asking && now - w.asked > period_ * suspect_after) {
            w.asking = false;
            if (accept(now, m, Health::suspect, all_[m].incarnation, 0, all_[m].weight))
                found.push_back(update_of(m));
        }
    }
    const auto gone_before = next_gone();
    for (const MemberIndex m : overdue_suspects(now)) {
        const bool known = all_[m].incarnation > 0;
        if (accept(now, m, Health::gone, all_[m].incarnation, 0, all_[m].weight) && known)
            found.push_back(update_of(m));
    }
    spread(found, nobody);
    // Those that are gone are tried in turn: two halves that hold each other for gone find together again.
    if (gone_before && now - gone_pinged_ >= period_) {
        ping(now, *gone_before);
        ++next_gone_;
        gone_pinged_ = now;
    }
}

}  // namespace firtide::fleet
