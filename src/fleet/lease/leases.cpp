#include "leases.h"

#include <xxhash.h>

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr double renew_every = 1.0 / 3, try_again = 1.0 / 12, batch_every = 1.0 / 20;  // of a lease's length
constexpr Span longest_batch = seconds(0.15), ask_again = seconds(0.1);
constexpr size_t most_asked = 32;
constexpr Span orders_wait = seconds(1);  // beyond two leases

std::string family_of(const std::string& duty) { return duty.substr(0, duty.find('.')); }

uint64_t rank(const std::string& duty, MemberKey member)
{
    return XXH3_64bits_withSeed(duty.data(), duty.size(), member);
}

}  // namespace

bool FencingGuard::accept(const std::string& duty, Epoch epoch, uint64_t number)
{
    auto& newest = newest_[duty];
    if (std::pair(epoch, number) <= newest) return false;
    newest = {epoch, number};
    return true;
}

Epoch FencingGuard::epoch(const std::string& duty) const
{
    const auto at = newest_.find(duty);
    return at == newest_.end() ? 0 : at->second.first;
}

LeaseClient::LeaseClient(const FleetConfig& file, InstanceId instance, uint64_t seed)
    : file_(file),
      own_(file.members[file.self].key),
      instance_(instance),
      chance_(static_cast<uint32_t>(seed ^ seed >> 32))
{
    for (MemberIndex m = 0; m < file.members.size(); ++m)
        if (file.members[m].voter) voters_.push_back(m);
    std::shuffle(voters_.begin(), voters_.end(), chance_);
}

void LeaseClient::start(Point now) { next_ = until_ = now; }

void LeaseClient::recall(const std::vector<SeenEpoch>& epochs)
{
    for (const SeenEpoch& e : epochs) done_[e.duty] = std::max(done_[e.duty], e.epoch);
}

void LeaseClient::leader_is(MemberKey leader, Term term)
{
    if (!leader || term < leader_term_) return;
    leader_term_ = term;
    if (const auto m = file_.member_of(leader); m && leader_ != *m) {
        leader_ = *m;
        if (!answered_) next_ = Point{};
    }
}

void LeaseClient::renew(Point now)
{
    if (!answered_) leader_.reset();  // it does not answer: another voter may know better
    const MemberIndex to = leader_ ? *leader_ : voters_[next_voter_++ % voters_.size()];
    LeaseRenewRequest r{instance_, ++nonce_, table_.version(), {wants_.begin(), wants_.end()},
                        {},        leaving_, heard_,           {}};
    for (const auto& [duty, epoch] : owed_) r.done.push_back({duty, epoch});
    for (const auto& [duty, epoch] : done_)
        if (epoch > table_.of(duty).epoch) r.seen.push_back({duty, epoch});
    asked_.emplace_back(nonce_, now);
    if (asked_.size() > most_asked) asked_.pop_front();
    sends_.push_back({to, std::move(r)});
    answered_ = false;
    // Spread, so that hundreds do not ask in step.
    const double spread = 0.8 + 0.4 * std::uniform_real_distribution<>(0, 1)(chance_);
    next_ = now + file_.lease.length * (try_again * spread);
}

void LeaseClient::tick(Point now)
{
    now_ = now;
    if (now >= until_ && !held_.empty())
        while (!held_.empty()) lose(held_.begin()->first, "its lease ran out unrenewed");
    if (now >= next_) renew(now);
}

void LeaseClient::lose(const std::string& duty, const std::string& why)
{
    const auto at = held_.find(duty);
    if (at == held_.end()) return;
    auto& done = done_[duty];
    done = std::max(done, at->second);
    owed_[duty] = done;
    changes_.push_back({duty, at->second, false, why, std::min(now_, until_)});
    held_.erase(at);
}

void LeaseClient::send_released(const std::string& duty, Epoch epoch)
{
    if (leader_) sends_.push_back({*leader_, LeaseRelease{duty, epoch, instance_}});
}

void LeaseClient::release(Point now, const std::string& duty, const std::string& why)
{
    now_ = now;
    const auto at = held_.find(duty);
    if (at == held_.end()) return;
    const Epoch epoch = at->second;
    lose(duty, why);
    send_released(duty, epoch);
}

void LeaseClient::leave(Point now)
{
    now_ = now;
    leaving_ = true;
    wants_.clear();
    while (!held_.empty()) release(now, held_.begin()->first, "this process stops");
    renew(now);
}

void LeaseClient::want(const std::string& family, bool wanted)
{
    if (wanted)
        wants_.insert(family);
    else
        wants_.erase(family);
    next_ = Point{};
}

void LeaseClient::on(Point now, MemberIndex from, const LeaseRenewResponse& renewed)
{
    now_ = now;
    if (renewed.term < term_) return;
    if (renewed.term > term_) term_ = renewed.term, leader_term_ = std::max(leader_term_, term_);
    leader_ = from;
    if (renewed.nonce) {
        const auto asked = std::find_if(asked_.begin(), asked_.end(),
                                        [&](const auto& a) { return a.first == renewed.nonce; });
        if (asked == asked_.end()) return;
        until_ = std::max(until_, asked->second + file_.lease.of_holder());
        asked_.erase(asked_.begin(), asked + 1);
        answered_ = true;
        const bool first = std::exchange(heard_, renewed.nonce) == 0;
        const double spread = 0.9 + 0.2 * std::uniform_real_distribution<>(0, 1)(chance_);
        next_ = std::max(now, until_ - file_.lease.of_holder() + file_.lease.length * (renew_every * spread));
        // Only who is known to hear answers can be granted anything.
        if (first) next_ = now;
    }
    if (now >= until_ || renewed.table < table_.version()) return;
    if (renewed.whole) {
        std::vector<LeaseRecord> rows = renewed.rows;
        LeaseTable fresh;
        fresh.take(rows, renewed.table);
        table_ = std::move(fresh);
    }
    std::set<std::string> listed;
    for (const LeaseRecord& row : renewed.rows) {
        if (row.holder != own_) continue;
        if (row.instance != instance_) continue;  // of a process before this one: its lease has to run out
        listed.insert(row.duty);
        if (held_.count(row.duty) && held_[row.duty] == row.epoch) continue;
        const auto done = done_.find(row.duty);
        if (leaving_ || !file_.duty_of(row.duty) || (done != done_.end() && row.epoch <= done->second)) {
            // Also where it was said before and got lost.
            done_[row.duty] = owed_[row.duty] = std::max(row.epoch, done_[row.duty]);
            send_released(row.duty, row.epoch);
            continue;
        }
        lose(row.duty, "it was granted anew");
        held_[row.duty] = row.epoch;
        changes_.push_back({row.duty, row.epoch, true,
                            "granted by the leader of term " + std::to_string(renewed.term), until_});
    }
    if (!renewed.nonce) return;
    std::erase_if(owed_, [&](const auto& owed) { return !listed.count(owed.first); });
    for (const auto& [duty, epoch] : std::map(held_))
        if (!listed.count(duty)) lose(duty, "it is not this member's any more");
}

void LeaseClient::on(Point now, MemberIndex from, const LeaderRedirect& refer)
{
    const auto leader = refer.leader ? file_.member_of(refer.leader) : std::nullopt;
    if (leader && *leader != from) {
        if (refer.term < leader_term_) return;
        leader_term_ = refer.term;
        leader_ = *leader;
        answered_ = true;
        next_ = now;
    } else if (leader_ == from) {
        leader_.reset();
    }
}

void LeaseClient::on(Point now, MemberIndex from, const LeaseRevoke& revoke)
{
    now_ = now;
    const auto at = held_.find(revoke.duty);
    if (at != held_.end() && at->second == revoke.epoch) {
        leader_ = from;
        return release(now, revoke.duty, "the leader asked for it");
    }
    if (const auto done = done_.find(revoke.duty); done != done_.end() && revoke.epoch <= done->second)
        sends_.push_back({from, LeaseRelease{revoke.duty, revoke.epoch, instance_}});
}

bool LeaseClient::holds(Point now, const std::string& duty, Epoch epoch) const
{
    const auto at = held_.find(duty);
    return at != held_.end() && at->second == epoch && now < until_;
}

std::optional<Epoch> LeaseClient::mine(Point now, const std::string& duty) const
{
    const auto at = held_.find(duty);
    if (at == held_.end() || now >= until_) return {};
    return at->second;
}

std::map<std::string, Epoch> LeaseClient::held(Point now) const
{
    return now < until_ ? held_ : std::map<std::string, Epoch>{};
}

LeaseManager::LeaseManager(const FleetConfig& file, uint64_t seed)
    : file_(file), chance_(static_cast<uint32_t>(seed ^ seed >> 32))
{
    name_ = uint64_t{chance_()} << 32;
}

// Whoever led before may have let others renew until just now.
void LeaseManager::on_elected(Point now, Term term)
{
    is_leader_ = true;
    term_ = term;
    since_ = balanced_ = now;
    proposed_at_ = now - longest_batch;
    sessions_.clear();
    received_.clear();
    waiting_.clear();
    out_.clear();
    in_log_.clear();
    moving_.clear();
}

void LeaseManager::on_stepped_down()
{
    if (!std::exchange(is_leader_, false)) return;
    for (const auto& [duty, m] : moving_) obey(m.order, false, "the leader lost its office");
    moving_.clear();
    waiting_.clear();
    out_.clear();
    in_log_.clear();
}

bool LeaseManager::fresh(Point now, MemberIndex m) const
{
    const auto at = sessions_.find(m);
    return at != sessions_.end() && !at->second.leaving && at->second.heard_at &&
           now - at->second.received < file_.lease.length * 0.6 &&
           now - *at->second.heard_at < file_.lease.length * 0.6;
}

// Nobody can hold it any more, at whatever clock within the drift.
bool LeaseManager::over(Point now, const LeaseTable::Entry& e) const
{
    const auto at = received_.find({e.holder, e.instance});
    Point last = at == received_.end() ? since_ : std::max(since_, at->second);
    if (disabled_checks.wait_in_office && at == received_.end()) last = since_ - file_.lease.length;
    const Span wait = file_.lease.length * (disabled_checks.expiry ? 0.3 : 1);
    return now - last > wait;
}

void LeaseManager::on(Point now, MemberIndex from, const LeaseRenewRequest& renew)
{
    if (!is_leader_) return;
    Session& s = sessions_[from];
    if (s.instance != renew.instance) s = {renew.instance, now, now, renew.heard, {}, false, {}};
    if (renew.heard > s.heard || (renew.heard && renew.heard + 1 == renew.nonce))
        s.heard = renew.heard, s.heard_at = now;
    s.received = now;
    s.leaving = renew.leaving;
    std::map<std::string, Point> wants;
    for (const auto& w : renew.wants) {
        const auto at = s.wants.find(w);
        wants[w] = at == s.wants.end() ? now : at->second;
    }
    s.wants = std::move(wants);
    received_[{file_.members[from].key, renew.instance}] = now;
    for (const SeenEpoch& seen : renew.seen) floors_[seen.duty] = std::max(floors_[seen.duty], seen.epoch);
    for (const SeenEpoch& done : renew.done) take_back(now, from, renew.instance, done.duty, done.epoch);
    std::erase_if(waiting_,
                  [&](const Waiting& w) { return w.from == from && w.renew.instance == renew.instance; });
    waiting_.push_back({from, renew});
    if (disabled_checks.confirm && table_) {
        answer(waiting_.back(), *table_);
        waiting_.pop_back();
    }
}

std::map<MemberIndex, size_t> LeaseManager::loads(Point now) const
{
    std::map<MemberIndex, size_t> loads;
    for (const auto& [m, s] : sessions_)
        if (fresh(now, m)) loads[m] = 0;
    for (const auto& [duty, e] : table_->entries())
        if (const auto m = e.holder ? file_.member_of(e.holder) : std::nullopt; m && loads.count(*m))
            ++loads[*m];
    return loads;
}

// Of those with the fewest, where all are brought to the same, the one that ranks highest for this duty.
std::optional<MemberIndex> LeaseManager::choose(const std::string& duty,
                                                const std::map<MemberIndex, size_t>& loads) const
{
    if (loads.empty()) return {};
    size_t spread = 0;
    for (const Duty& d : file_.duties) spread += d.kind != DutyKind::drain;
    const size_t most = (spread + loads.size() - 1) / loads.size();
    std::optional<MemberIndex> best;
    for (const auto& [m, load] : loads) {
        if (load >= most) continue;
        if (!best || rank(duty, file_.members[m].key) > rank(duty, file_.members[*best].key)) best = m;
    }
    return best;
}

void LeaseManager::grant(Point, std::vector<LeaseCommand>& commands, const std::string& duty, MemberIndex to,
                         const std::string& why)
{
    const auto floor = floors_.find(duty);
    const auto moving = moving_.find(duty);
    const bool placed = moving != moving_.end() && moving->second.order && moving->second.to == to;
    commands.push_back({LeaseCommand::grant, duty, floor == floors_.end() ? 0 : floor->second,
                        file_.members[to].key, sessions_.at(to).instance, why, placed});
    in_log_.insert(duty);
}

void LeaseManager::assign(Point now)
{
    std::vector<LeaseCommand> commands;
    // Guards against giving all to the first that ask: who is there shows within one renewal.
    const bool settled = now - since_ > file_.lease.length * (renew_every * 1.2);
    auto load = loads(now);
    for (const Duty& d : file_.duties) {
        if (in_log_.count(d.name)) continue;
        const auto e = table_->of(d.name);
        if (e.holder) {
            if (!over(now, e)) continue;
            commands.push_back({LeaseCommand::release, d.name, e.epoch, 0, 0, "its lease ran out", false});
            in_log_.insert(d.name);
            // Guards against renewing what is being taken away.
            const auto m = file_.member_of(e.holder);
            if (m) load.erase(*m);
        } else if (!settled) {
            continue;
        }
        const auto moving = moving_.find(d.name);
        if (d.kind == DutyKind::drain) {
            std::optional<MemberIndex> first;
            const auto family = family_of(d.name);
            for (const auto& [m, s] : sessions_) {
                if (!fresh(now, m) || !s.wants.count(family)) continue;
                bool has = false;
                for (const auto& [duty, held] : table_->entries())
                    has |= family_of(duty) == family && held.holder == file_.members[m].key &&
                           held.instance == s.instance;
                for (const LeaseCommand& c : commands)
                    has |= family_of(c.duty) == family && c.holder == file_.members[m].key;
                for (const auto& [name, out] : out_)
                    for (const LeaseCommand& c : out.commands)
                        has |= family_of(c.duty) == family && c.holder == file_.members[m].key;
                if (!has && (!first || s.wants.at(family) < sessions_.at(*first).wants.at(family))) first = m;
            }
            if (first) grant(now, commands, d.name, *first, "its turn");
            continue;
        }
        std::optional<MemberIndex> to =
            moving != moving_.end() && moving->second.to && fresh(now, *moving->second.to)
                ? moving->second.to
                : choose(d.name, load);
        if (!to) continue;
        ++load[*to];
        grant(now, commands, d.name, *to, moving != moving_.end() ? "handed over" : "nobody held it");
    }
    if (!commands.empty()) propose(now, std::move(commands));
}

// One duty at a time goes from who has the most to who has the fewest, while they are two apart.
void LeaseManager::balance(Point now)
{
    if (now - balanced_ < file_.lease.length * (renew_every / 4) || !moving_.empty()) return;
    balanced_ = now;
    const auto load = loads(now);
    if (load.size() < 2) return;
    const auto by_load = [](const auto& a, const auto& b) { return a.second < b.second; };
    const auto least = *std::min_element(load.begin(), load.end(), by_load);
    const auto most = *std::max_element(load.begin(), load.end(), by_load);
    if (most.second < least.second + 2) return;
    const Duty* best = nullptr;
    const MemberKey to = file_.members[least.first].key;
    for (const Duty& d : file_.duties) {
        if (d.kind == DutyKind::drain || in_log_.count(d.name) ||
            table_->of(d.name).holder != file_.members[most.first].key || table_->of(d.name).placed)
            continue;
        if (!best || rank(d.name, to) > rank(best->name, to)) best = &d;
    }
    if (best) moving_[best->name] = {least.first, table_->of(best->name).epoch, now, {}, {}};
}

void LeaseManager::hand_over(Point now, MemberIndex from, const AdminCommand& order)
{
    const std::pair<MemberIndex, uint64_t> who{from, order.number};
    if (!is_leader_ || !table_) return obey(who, false, "this member does not lead");
    const auto duty = file_.duty_of(order.first);
    if (!duty || file_.duties[*duty].kind == DutyKind::drain)
        return obey(who, false, "no such duty to hand over");
    std::optional<MemberIndex> to;
    if (!order.second.empty()) {
        to = file_.member_of(std::string_view(order.second));
        if (!to) return obey(who, false, "no such member");
        if (!fresh(now, *to)) return obey(who, false, "that member renews no lease");
    }
    const auto e = table_->of(order.first);
    if (to && e.holder == file_.members[*to].key && sessions_.at(*to).instance == e.instance)
        return obey(who, true, "it holds it already");
    if (!to) {
        auto load = loads(now);
        if (const auto m = file_.member_of(e.holder)) load.erase(*m);
        size_t least = SIZE_MAX;
        for (const auto& [m, n] : load)
            if (n < least) least = n, to = m;
        if (!to) return obey(who, false, "there is no other member to hold it");
    }
    if (const auto before = moving_.find(order.first); before != moving_.end())
        obey(before->second.order, false, "another hand-over came after it");
    moving_[order.first] = {to, e.epoch, now, {}, who};
}

void LeaseManager::on(Point now, MemberIndex from, const LeaseRelease& released)
{
    if (is_leader_) take_back(now, from, released.instance, released.duty, released.epoch);
}

// Its holder says that it does not hold it any more.
void LeaseManager::take_back(Point now, MemberIndex from, InstanceId instance, const std::string& name,
                             Epoch epoch)
{
    if (!table_) return;
    const auto e = table_->of(name);
    if (e.holder != file_.members[from].key || e.instance != instance || e.epoch != epoch ||
        in_log_.count(name))
        return;
    std::vector<LeaseCommand> commands{{LeaseCommand::release, name, epoch, 0, 0, "released", false}};
    in_log_.insert(name);
    // Guards against a gap: who comes next is in the same entry of the log.
    const auto duty = file_.duty_of(name);
    if (duty && file_.duties[*duty].kind != DutyKind::drain) {
        auto load = loads(now);
        const auto moving = moving_.find(name);
        std::optional<MemberIndex> to;
        if (moving != moving_.end() && moving->second.to && fresh(now, *moving->second.to))
            to = moving->second.to;
        load.erase(from);
        if (!to) to = choose(name, load);
        if (!to && !load.empty()) to = load.begin()->first;
        if (to) grant(now, commands, name, *to, moving != moving_.end() ? "handed over" : "released");
    }
    propose(now, std::move(commands));
}

// Renewals that wait are confirmed by whatever is committed next.
void LeaseManager::propose(Point now, std::vector<LeaseCommand> commands)
{
    if (commands.empty()) commands.push_back({});
    const uint64_t name = ++name_;
    out_[name] = {std::exchange(waiting_, {}), commands};
    proposed_at_ = now;
    proposals_.push_back({name, std::move(commands)});
}

void LeaseManager::answer(const Waiting& w, const LeaseTable& table)
{
    LeaseRenewResponse r{term_, w.renew.nonce, table.version(), w.renew.table != table.version(), {}};
    for (const auto& [duty, e] : table.entries())
        if (r.whole || (e.holder == file_.members[w.from].key && e.instance == w.renew.instance))
            r.rows.push_back({duty, e.holder, e.instance, e.epoch});
    sends_.push_back({w.from, std::move(r)});
}

void LeaseManager::proposed(Point now, const LeaseTable& table, uint64_t name, bool well)
{
    const auto at = out_.find(name);
    if (at == out_.end()) return;
    const Out out = std::move(at->second);
    out_.erase(at);
    for (const LeaseCommand& c : out.commands) in_log_.erase(c.duty);
    if (!is_leader_) return;
    if (!well) return;
    for (const Waiting& w : out.waiting) answer(w, table);
    // Who was granted something hears of it at once; that renews nothing.
    std::set<MemberIndex> told;
    for (const LeaseCommand& c : out.commands) {
        if (c.what != LeaseCommand::grant) continue;
        const auto e = table.of(c.duty);
        const auto m = file_.member_of(c.holder);
        if (!m || e.holder != c.holder || e.instance != c.instance || !told.insert(*m).second) continue;
        LeaseRenewResponse r{term_, 0, table.version(), false, {}};
        for (const auto& [duty, held] : table.entries())
            if (held.holder == c.holder && held.instance == c.instance)
                r.rows.push_back({duty, held.holder, held.instance, held.epoch});
        sends_.push_back({*m, std::move(r)});
    }
    for (const LeaseCommand& c : out.commands) {
        const auto moving = moving_.find(c.duty);
        if (c.what != LeaseCommand::grant || moving == moving_.end()) continue;
        const auto e = table.of(c.duty);
        const auto m = file_.member_of(e.holder);
        obey(moving->second.order, m == moving->second.to,
             m ? "now held by " + file_.members[*m].id + " at epoch " + std::to_string(e.epoch)
               : "nobody holds it");
        moving_.erase(moving);
    }
    (void)now;
}

void LeaseManager::obey(const std::optional<std::pair<MemberIndex, uint64_t>>& order, bool well,
                        const std::string& text)
{
    if (order) sends_.push_back({order->first, AdminCommandResult{order->second, well, text}});
}

void LeaseManager::tick(Point now)
{
    if (!is_leader_ || !table_) return;
    for (auto at = moving_.begin(); at != moving_.end();) {
        Moving& m = at->second;
        const auto e = table_->of(at->first);
        const auto holder = e.holder ? file_.member_of(e.holder) : std::nullopt;
        if (now - m.since > file_.lease.length * 2 + orders_wait) {
            obey(m.order, false, "it could not be handed over in time");
            at = moving_.erase(at);
            continue;
        }
        if (holder && e.epoch == m.epoch && now - m.asked >= ask_again) {
            m.asked = now;
            sends_.push_back({*holder, LeaseRevoke{at->first, e.epoch}});
        }
        ++at;
    }
    assign(now);
    balance(now);
    const Span window = std::min(longest_batch, file_.lease.length * batch_every);
    if (!waiting_.empty() && now - proposed_at_ >= window) propose(now, {});
    // Of sessions and lives that are over nothing is kept.
    std::erase_if(sessions_, [&](const auto& s) { return now - s.second.received > file_.lease.length * 2; });
    std::erase_if(received_, [&](const auto& r) { return now - r.second > file_.lease.length * 4; });
}

}  // namespace firtide::fleet
