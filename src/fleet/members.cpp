#include "members.h"

#include <xxhash.h>

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr size_t ring_count = 3, helpers = 3;
constexpr double silent_after = 3, suspect_after = 1.5, gone_after = 4;  // periods: each from the one before
constexpr Span first_exchange = seconds(1), longest_exchange = seconds(60);
constexpr Member nobody = UINT32_MAX;

}  // namespace

Members::Members(const FleetFile& file, Life life, Incarnation incarnation, Span period, uint64_t seed)
    : file_(file),
      self_(file.self),
      period_(period),
      chance_(static_cast<uint32_t>(seed ^ seed >> 32)),
      all_(file.members.size()),
      watch_(file.members.size())
{
    all_[self_] = {Health::alive, incarnation, life, {}, 0};
    for (Member m = 0; m < all_.size(); ++m) by_key_.push_back(m);
    std::sort(by_key_.begin(), by_key_.end(),
              [&](Member a, Member b) { return file_.members[a].key < file_.members[b].key; });
    // The same rings at every member, whatever the order of its file.
    for (uint64_t ring = 0; ring < ring_count; ++ring) {
        std::vector<std::pair<uint64_t, Member>> order;
        for (Member m = 0; m < all_.size(); ++m)
            order.emplace_back(
                XXH3_64bits_withSeed(file_.members[m].id.data(), file_.members[m].id.size(), ring + 1), m);
        std::sort(order.begin(), order.end());
        rings_.emplace_back();
        for (const auto& [hash, m] : order) rings_.back().push_back(m);
    }
}

void Members::start(Point now)
{
    woken_ = now;
    for (Member m = 0; m < all_.size(); ++m) {
        all_[m].since = now;
        watch_[m] = {now, now - period_, now, false, now, first_exchange, now};
    }
    find_neighbours();
}

size_t Members::alive() const
{
    return static_cast<size_t>(
        std::count_if(all_.begin(), all_.end(), [](const One& o) { return o.health == Health::alive; }));
}

// The next and the last on each ring that are not gone.
void Members::find_neighbours()
{
    neighbours_.clear();
    successors_.clear();
    for (const auto& ring : rings_) {
        const auto own = static_cast<size_t>(std::find(ring.begin(), ring.end(), self_) - ring.begin());
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
}

bool Members::looked_after(Member m) const
{
    return std::binary_search(neighbours_.begin(), neighbours_.end(), m);
}

// Of what it holds of all members, in an order that all share.
uint64_t Members::view() const
{
    std::vector<uint64_t> said;
    for (const Member m : by_key_) {
        if (all_[m].incarnation == 0) continue;
        said.push_back(file_.members[m].key);
        said.push_back(all_[m].incarnation * 4 + static_cast<uint64_t>(all_[m].health));
    }
    return XXH3_64bits(said.data(), said.size() * sizeof(uint64_t));
}

MembershipUpdate Members::update_of(Member m) const
{
    const One& o = all_[m];
    return {file_.members[m].key, static_cast<uint8_t>(o.health), o.incarnation, o.life, o.weight};
}

void Members::ping(Point now, Member to, uint64_t answers)
{
    const One& o = all_[to];
    Ping p;
    p.number = ++pings_, p.answers = answers;
    p.incarnation = incarnation(), p.life = all_[self_].life;
    p.view = view();
    p.held = static_cast<uint8_t>(o.health), p.held_at = o.incarnation;
    p.leader = carried.leader, p.term = carried.term;
    p.list = carried.list, p.list_epoch = carried.list_epoch, p.list_digest = carried.list_digest;
    p.weight = all_[self_].weight;
    if (!answers) watch_[to].pinged = now;
    send(to, p);
}

void Members::spread(const std::vector<MembershipUpdate>& updates, Member not_to)
{
    if (updates.empty()) return;
    for (const Member m : neighbours_)
        if (m != not_to) send(m, MembershipUpdates{updates, false});
}

bool Members::accept(Point now, Member m, Health health, Incarnation incarnation, Life life, uint8_t weight)
{
    One& o = all_[m];
    if (m == self_) {
        // Guards against being taken for gone, and against a past of this id that its disk has forgotten.
        twin_ =
            twin_ || (life != 0 && life != o.life && incarnation >= o.incarnation && health == Health::alive);
        if (left_ || incarnation < o.incarnation ||
            (health == Health::alive && (incarnation == o.incarnation || life == o.life)))
            return false;
        o.incarnation = incarnation + 1;
        spread({update_of(self_)}, nobody);
        return false;
    }
    if (incarnation < o.incarnation || (incarnation == o.incarnation && health <= o.health)) return false;
    const bool gone_before = o.health == Health::gone;
    const bool other = o.health != health;
    o = {health, incarnation, life ? life : o.life, other ? now : o.since, weight};
    if (health == Health::alive) watch_[m].asking = false;
    if (gone_before != (health == Health::gone)) find_neighbours();
    if (other) changes_.push_back({m, health, incarnation});
    return true;
}

void Members::heard(Point now, Member from)
{
    Watch& w = watch_[from];
    w.heard = now;
    w.asking = false;
    std::erase_if(asked_for_, [&](const auto& asked) {
        if (asked.first != from) return false;
        send(asked.second.first, Reached{file_.members[from].key, all_[from].incarnation});
        return true;
    });
}

void Members::on(Point now, Member from, const Ping& p)
{
    if (all_[from].incarnation < p.incarnation &&
        accept(now, from, Health::alive, p.incarnation, p.life, p.weight))
        spread({update_of(from)}, from);
    if (p.held != static_cast<uint8_t>(Health::alive) && p.held_at)
        accept(now, self_, Health::suspect, p.held_at, 0, 0);
    else if (p.held_at > incarnation())
        accept(now, self_, Health::suspect, p.held_at, 0, 0);
    if (!p.answers) ping(now, from, p.number);
    // Repairs what gossip has lost. Guards against telling all, again and again, where files name other
    // members.
    Watch& w = watch_[from];
    if (p.view == view()) {
        w.differs_since = now + period_;
        w.exchange_after = first_exchange;
    } else if (now - w.differs_since > period_ && now - w.exchanged > w.exchange_after) {
        w.exchanged = now;
        w.exchange_after = std::min(longest_exchange, w.exchange_after * 2);
        MembershipUpdates all{{}, true};
        for (Member m = 0; m < all_.size(); ++m)
            if (all_[m].incarnation) all.all.push_back(update_of(m));
        send(from, std::move(all));
    }
}

void Members::on(Point now, Member from, const Ask& ask)
{
    const auto m = file_.member_of(ask.member);
    if (!m || *m == self_) return;
    if (now - watch_[*m].heard < period_ * 2) return send(from, Reached{ask.member, all_[*m].incarnation});
    asked_for_.push_back({*m, {from, now}});
    ping(now, *m);
}

void Members::on(Point now, Member, const Reached& reached)
{
    const auto m = file_.member_of(reached.member);
    if (!m || *m == self_) return;
    watch_[*m].asking = false;
    watch_[*m].heard = now;
}

void Members::on(Point now, Member from, const MembershipUpdates& updates)
{
    std::vector<MembershipUpdate> news;
    for (const MembershipUpdate& r : updates.all) {
        const auto m = file_.member_of(r.member);
        if (!m || r.health > static_cast<uint8_t>(Health::gone)) continue;
        if (accept(now, *m, static_cast<Health>(r.health), r.incarnation, r.life, r.weight))
            news.push_back(update_of(*m));
    }
    spread(news, from);
    if (!updates.answer) return;
    MembershipUpdates back{{}, false};
    for (Member m = 0; m < all_.size(); ++m)
        if (all_[m].incarnation) back.all.push_back(update_of(m));
    send(from, std::move(back));
}

void Members::weigh(uint8_t weight)
{
    One& o = all_[self_];
    o.weight = weight;
    ++o.incarnation;
    spread({update_of(self_)}, nobody);
}

void Members::leave(Point)
{
    left_ = true;
    MembershipUpdate r = update_of(self_);
    r.health = static_cast<uint8_t>(Health::gone);
    spread({r}, nobody);
}

void Members::tick(Point now)
{
    // Guards against blaming all others for a stall of this process: whoever stood still has heard nobody.
    if (now - woken_ > period_ * 2)
        for (Watch& w : watch_) w.heard = std::max(w.heard, now - period_);
    woken_ = now;
    std::erase_if(asked_for_, [&](const auto& a) { return now - a.second.second > period_ * 3; });
    std::vector<MembershipUpdate> found;
    for (const Member m : std::vector<Member>(neighbours_)) {
        Watch& w = watch_[m];
        if (now - w.pinged >= period_) ping(now, m);
        if (all_[m].health != Health::alive) continue;
        if (!w.asking && now - w.heard > period_ * silent_after) {
            w.asking = true;
            w.asked = now;
            std::vector<Member> others;
            for (Member o = 0; o < all_.size(); ++o)
                if (o != m && o != self_ && all_[o].health == Health::alive) others.push_back(o);
            std::shuffle(others.begin(), others.end(), chance_);
            others.resize(std::min(others.size(), helpers));
            for (const Member o : others) send(o, Ask{file_.members[m].key});
        } else if (w.asking && now - w.asked > period_ * suspect_after) {
            w.asking = false;
            if (accept(now, m, Health::suspect, all_[m].incarnation, 0, all_[m].weight))
                found.push_back(update_of(m));
        }
    }
    std::vector<Member> gone;
    for (Member m = 0; m < all_.size(); ++m) {
        if (all_[m].health == Health::gone) gone.push_back(m);
        if (all_[m].health != Health::suspect || now - all_[m].since <= period_ * gone_after) continue;
        const bool known = all_[m].incarnation > 0;
        if (accept(now, m, Health::gone, all_[m].incarnation, 0, all_[m].weight) && known)
            found.push_back(update_of(m));
    }
    spread(found, nobody);
    // Those that are gone are tried in turn: two halves that hold each other for gone find together again.
    if (!gone.empty()) {
        const Member m = gone[next_gone_ % gone.size()];
        if (now - gone_pinged_ >= period_) ping(now, m), ++next_gone_, gone_pinged_ = now;
    }
}

}  // namespace firtide::fleet
