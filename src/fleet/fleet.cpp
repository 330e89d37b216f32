#include "fleet.h"

#include <algorithm>
#include <cmath>

namespace firtide::fleet
{
namespace
{

constexpr Span order_waits = seconds(10);  // for the leader, beyond three leases
constexpr Span first_list = seconds(1.5);  // after the start, before discovery is asked all the same
constexpr MemberIndex nobody = UINT32_MAX;
constexpr Span weigh_every = seconds(10), sharers_every = seconds(0.2);
constexpr double most_off = 1.5;  // steps of a weight

// Of invocations a second: four steps double it.
double weight_steps(double rate) { return std::clamp(100 + 4 * std::log2(std::max(rate, 1e-6)), 1.0, 255.0); }
double weight_of(uint8_t steps) { return std::exp2((steps - 100) / 4.0); }

Span period_of(const FleetConfig& file)
{
    return std::clamp(file.lease.length * 0.125, seconds(0.1), seconds(2));
}

template <class... F>
struct Cases : F... {
    using F::operator()...;
};

}  // namespace

Fleet::Fleet(const FleetConfig& file, InstanceId instance, Incarnation incarnation, uint64_t seed)
    : file_(file),
      self_(file.self),
      chance_(static_cast<uint32_t>(seed ^ seed >> 32)),
      members_(file, instance, incarnation, period_of(file), seed + 1),
      lease_client_(file, instance, seed + 2),
      lease_manager_(file, seed + 3)
{
    lease_manager_.set_table(table_);
    if (file_.deltas) distribution_.emplace(*file_.deltas);
    if (file_.signals) signals_.emplace(*file_.signals, file_.members[self_].key, instance);
    if (file_.turns) {
        shares_.emplace(*file_.turns, file_.members.size(), instance);
        allocator_.emplace(*file_.turns, file_.lease.drift);
    }
}

std::vector<FleetEffect> Fleet::reduce(Point now, FleetEvent event)
{
    now_ = now;
    std::visit([this](auto& e) { on(e); }, event);
    settle();
    return std::exchange(effects_, {});
}

bool Fleet::lease_allows(Point now, const LeasedEffect& act) const
{
    return lease_client_.holds(now + act.lasts, act.duty, act.epoch);
}

MemberKey Fleet::leader_key() const
{
    if (!standing_ || standing_->stage != VoterStage::voting || !standing_->raft.leader) return 0;
    for (const VoterConfig& s : standing_->raft.voters)
        if (s.disk == standing_->raft.leader) return key_of(s.member);
    return 0;
}

// What the parts have to say becomes effects; what they say to this member is heard at once.
void Fleet::settle()
{
    for (bool more = true; more;) {
        more = false;
        std::vector<Send> sends = members_.take_sends();
        for (auto* part : {&lease_client_}) {
            auto some = part->take_sends();
            sends.insert(sends.end(), std::make_move_iterator(some.begin()),
                         std::make_move_iterator(some.end()));
        }
        auto some = lease_manager_.take_sends();
        sends.insert(sends.end(), std::make_move_iterator(some.begin()), std::make_move_iterator(some.end()));
        for (Send& s : sends) {
            if (s.to != self_) {
                effects_.push_back(std::move(s));
                continue;
            }
            more = true;
            MessageReceived own{self_, std::move(s.message)};
            on(own);
        }
        for (Proposal& p : lease_manager_.take_proposals()) effects_.push_back(CallVoterAgent{std::move(p)});
        for (const LeaseChange& c : lease_client_.take_changes()) changed(c), more = true;
        for (const HealthChange& h : members_.take_changes())
            effects_.push_back(
                LogEvent{"member", file_.members[h.member].id, "", h.incarnation, text_of(h.health), {}});
    }
}

void Fleet::on(const StartupEvent&)
{
    members_.start(now_);
    lease_client_.start(now_);
    begun_ = kept_at_ = now_;
    began_as_ = members_.incarnation();
    list_fresh_ = now_;
    list_spread_ =
        file_.list ? file_.list->stale * (0.5 * std::uniform_real_distribution<>(0, 1)(chance_)) : Span{};
    if (file_.list) list_fresh_ = now_ - file_.list->stale + first_list;
}

void Fleet::on(MessageReceived& heard)
{
    const MemberIndex from = heard.from;
    if (from != self_) members_.heard(now_, from);
    std::visit(Cases{
                   [&](const Hello&) {},
                   [&](const Ping& p) {
                       members_.on(now_, from, p);
                       lease_client_.set_leader(p.leader, p.term);
                       hear_list(from, p);
                   },
                   [&](const IndirectProbeRequest& a) { members_.on(now_, from, a); },
                   [&](const IndirectProbeAck& r) { members_.on(now_, from, r); },
                   [&](const MembershipUpdates& r) { members_.on(now_, from, r); },
                   [&](RaftMessage& r) {
                       disks_[r.from] = from;
                       effects_.push_back(CallVoterAgent{std::move(r)});
                   },
                   [&](DiskReport& w) {
                       disks_[w.disk] = from;
                       effects_.push_back(CallVoterAgent{DiskReportReceived{from, std::move(w)}});
                   },
                   [&](BootstrapConfig& f) {
                       effects_.push_back(CallVoterAgent{BootstrapReceived{from, std::move(f)}});
                   },
                   [&](const LeaseRenewRequest& r) {
                       if (lease_manager_.is_leader()) return lease_manager_.on_renew_request(now_, from, r);
                       const LeaderRedirect refer{leader_key(), standing_ ? standing_->raft.term : 0};
                       if (from != self_) return effects_.push_back(Send{from, refer});
                       if (refer.leader != file_.members[self_].key)
                           lease_client_.on_redirect(now_, self_, refer);
                   },
                   [&](const LeaseRenewResponse& r) { lease_client_.on_renew_response(now_, from, r); },
                   [&](const LeaderRedirect& r) { lease_client_.on_redirect(now_, from, r); },
                   [&](const LeaseRevoke& r) { lease_client_.on_revoke(now_, from, r); },
                   [&](const LeaseRelease& r) { lease_manager_.on_release(now_, from, r); },
                   [&](const AdminCommand& o) { hear(from, o); },
                   [&](const AdminCommandResult& o) { hear(from, o); },
                   [&](Broadcast& n) { hear(from, n); },
                   [&](const BroadcastRequest& w) {
                       if (const auto at = newest_.find(w.duty); at != newest_.end())
                           effects_.push_back(Send{from, at->second});
                   },
                   [&](const OutlierDigest& d) {
                       if (signals_) signals_->heard(now_, d);
                   },
                   [&](const QuotaRequest& w) { hear(from, w); },
                   [&](const QuotaResponse& g) {
                       if (shares_) shares_->given_to(now_, g);
                   },
                   [&](EndpointDelta& d) { hear(from, d); },
                   [&](const EndpointDeltaRequest& w) { hear(from, w); },
                   [&](const EndpointSnapshotChunk& c) { hear(from, c); },
               },
               heard.message);
}

void Fleet::on(VoterAgentReported& said)
{
    std::visit(
        Cases{
            [&](SendRaft& s) {
                // Whoever is being let in knows nobody but those that it has heard of.
                if (const auto at = disks_.find(s.to); standing_ && at != disks_.end())
                    effects_.push_back(
                        Send{at->second, RaftMessage{standing_->disk, s.to, s.writes, std::move(s.bytes)}});
            },
            [&](BroadcastDiskReport& s) {
                for (MemberIndex m = 0; m < file_.members.size(); ++m)
                    if (m != self_ && file_.members[m].voter) effects_.push_back(Send{m, s.report});
            },
            [&](BroadcastBootstrapConfig& s) {
                for (MemberIndex m = 0; m < file_.members.size(); ++m)
                    if (m != self_ && file_.members[m].voter) effects_.push_back(Send{m, s.config});
            },
            [&](TableUpdated& t) { table_ = std::move(t.table); },
            [&](const ProposalResult& p) {
                if (const auto at = voter_orders_.find(p.id); at != voter_orders_.end()) {
                    const auto [member, number] = at->second;
                    voter_orders_.erase(at);
                    const AdminCommandResult obeyed{number, p.committed, p.committed ? "done" : p.error};
                    if (member == self_)
                        hear(self_, obeyed);
                    else
                        effects_.push_back(Send{member, obeyed});
                    return;
                }
                lease_manager_.on_proposal_result(table_, p.id, p.committed);
            },
            [&](VoterStatus& s) {
                const bool led = lease_manager_.is_leader();
                const Term before = standing_ ? standing_->raft.term : 0;
                const auto fault = standing_ ? standing_->fault : std::nullopt;
                if (s.fault != fault)
                    effects_.push_back(
                        LogEvent{"voter", text_of(s.stage), s.fault ? s.fault->text : "", 0, "", {}});
                standing_ = std::move(s);
                const auto& st = standing_->raft;
                if (st.role != RaftRole::leader) {
                    lease_manager_.on_stepped_down();
                } else if (!led || st.term != before) {
                    lease_manager_.on_stepped_down();
                    lease_manager_.on_elected(now_, st.term);
                }
                if (led != lease_manager_.is_leader())
                    effects_.push_back(LogEvent{lease_manager_.is_leader() ? "office" : "out of office",
                                                file_.id,
                                                "",
                                                st.term,
                                                "",
                                                {}});
                lease_client_.set_leader(leader_key(), st.term);
            },
        },
        said.effect);
}

void Fleet::on(const Tick&)
{
    members_.carried.leader = leader_key();
    members_.carried.term = standing_ ? standing_->raft.term : 0;
    if (const auto own = newest_.find("list"); own != newest_.end()) {
        members_.carried.list = own->second.base;
        members_.carried.list_epoch = own->second.epoch;
    }
    if (distribution_) {
        members_.carried.list = distribution_->replica().revision().number;
        members_.carried.list_epoch = distribution_->replica().revision().epoch;
        members_.carried.list_digest = distribution_->replica().digest();
    }
    members_.tick(now_);
    lease_client_.tick(now_);
    lease_manager_.tick(now_);
    list_tick();
    choices_tick();
    recovery_tick();
    beat();
    if (members_.twin() && !std::exchange(twin_told_, true))
        effects_.push_back(
            LogEvent{"trouble", file_.id, "another process has been seen under this id", 0, "", {}});
    for (auto at = callers_.begin(); at != callers_.end();) {
        if (now_ < at->second.until) {
            ++at;
            continue;
        }
        reply(at->second.caller, "FAILURE no leader has answered in time\n");
        at = callers_.erase(at);
    }
}

// Of what is held: what has to be done again and again.
void Fleet::beat()
{
    for (auto& [name, b] : beats_) {
        const auto d = file_.duty_of(name);
        if (!d || now_ < b.next) continue;
        const Duty& duty = file_.duties[*d];
        if (duty.kind == DutyKind::probe) {
            // In step, though ticks come between its times.
            const Span slice = file_.probe->every * (1.0 / probe_slices);
            b.next = std::max(b.next, now_ - slice) + slice;
            effects_.push_back(LeasedEffect{
                name, b.epoch, probe_lasts,
                StartProbes{static_cast<uint32_t>(std::stoul(name.substr(name.find('.') + 1))), b.slice}});
            b.slice = (b.slice + 1) % probe_slices;
        } else if (duty.kind == DutyKind::other && !duty.tell.empty()) {
            b.next = now_ + duty.every;
            effects_.push_back(LeasedEffect{
                name,
                b.epoch,
                {},
                NotifySubscriber{duty.tell, ++b.number, lease_client_.time_left(now_).us / 1000}});
        }
    }
}

void Fleet::changed(const LeaseChange& c)
{
    const bool gained = c.kind == LeaseChange::Kind::gained;
    effects_.push_back(LogEvent{gained ? "gained" : "lost", c.duty, c.reason, c.epoch, "", c.until});
    const auto d = file_.duty_of(c.duty);
    if (!d) return;
    const DutyKind kind = file_.duties[*d].kind;
    // Guards against a probe that is still out as its prober gives the duty up.
    if (gained)
        beats_[c.duty] = {c.epoch, 0, kind == DutyKind::probe ? now_ + probe_lasts : now_, 0};
    else
        beats_.erase(c.duty);
    if (kind == DutyKind::list) {
        list_published_.clear();
        numbers_[c.duty] = 0;
        list_gained_ = now_;
        if (asking_ != gained) effects_.push_back(SetDiscoveryPolling{asking_ = gained});
        list_fresh_ = std::max(list_fresh_, now_ - file_.list->stale * 0.5);
    } else if (kind == DutyKind::parts) {
        if (gained) allocator_->begin(now_, c.epoch);
    } else if (kind == DutyKind::drain && gained) {
        if (wants_turn_) {
            effects_.push_back(LeasedEffect{c.duty, c.epoch, {}, StartDrain{}});
            if (turn_)
                reply(*std::exchange(turn_, std::nullopt),
                      "SUCCESS draining at epoch " + std::to_string(c.epoch) + "\n");
        } else {
            lease_client_.release(now_, c.duty, "nobody waits for it any more");
        }
    } else if (kind == DutyKind::drain && wants_turn_) {
        // Guards against more being drained than may be: another may have this turn before long.
        wants_turn_ = false;
        lease_client_.cancel_request("drain");
        effects_.push_back(EndDrain{});
    }
}

void Fleet::publish(const std::string& duty, Epoch epoch, std::string bytes)
{
    Broadcast n{duty, epoch, ++numbers_[duty], 0, 0, std::move(bytes)};
    n.base = n.bytes.empty() ? list_base_ : n.number;
    (void)fencing_.accept(duty, epoch, n.number);
    if (duty == "list" && !n.bytes.empty()) {
        list_base_ = n.number;
        newest_[duty] = n;
    }
    Publish p;
    for (const MemberIndex m : members_.successors()) p.sends.push_back({m, n});
    effects_.push_back(LeasedEffect{duty, epoch, {}, std::move(p)});
}

void Fleet::pass_on(const Broadcast& news, MemberIndex not_to)
{
    for (const MemberIndex m : members_.successors())
        if (m != not_to) effects_.push_back(Send{m, news});
}

void Fleet::hear(MemberIndex from, Broadcast& news)
{
    const auto d = file_.duty_of(news.duty);
    if (!d) return;
    if (!fencing_.accept(news.duty, news.epoch, news.number)) {
        refused_ += news.epoch < fencing_.epoch(news.duty);
        return;
    }
    pass_on(news, from);
    const Span age{std::max<int64_t>(0, news.age_us)};
    if (file_.duties[*d].kind == DutyKind::probe)
        return effects_.push_back(ApplyProbeReports{news.duty, std::move(news.bytes), age});
    if (file_.duties[*d].kind == DutyKind::list) hear_list(from, news);
}

void Fleet::on(ProbesCompleted& seen)
{
    if (lease_client_.held_epoch(now_, seen.duty) != seen.epoch) return;
    publish(seen.duty, seen.epoch, std::move(seen.bytes));
}

void Fleet::on(const EffectRefused& refused)
{
    if (lease_client_.held_epoch(now_, refused.duty) == refused.epoch)
        lease_client_.release(now_, refused.duty, "a receiver has met a higher epoch");
}

void Fleet::on(const ShutdownRequested&)
{
    stopping_ = true;
    lease_client_.depart(now_);
    members_.leave(now_);
}

void Fleet::on(const AdminDisconnected& left)
{
    std::erase_if(callers_, [&](const auto& c) { return c.second.caller == left.caller; });
    // Whoever waited for a turn and is gone needs none.
    if (turn_ == left.caller) {
        turn_.reset();
        wants_turn_ = false;
        lease_client_.cancel_request("drain");
    }
}

void Fleet::on(const AdminRequest& asked)
{
    if (asked.what == "show-fleet") return reply(asked.caller, show(asked.traffic));
    if (asked.what == "show-recovery") return reply(asked.caller, show_recovery());
    if (asked.what == "turn") {
        if (!file_.drain) return reply(asked.caller, "FAILURE the fleet file has no [drain]\n");
        if (turn_ || wants_turn_)
            return reply(asked.caller, "FAILURE a turn is asked for, or taken, already\n");
        turn_ = asked.caller;
        wants_turn_ = true;
        return lease_client_.request("drain");
    }
    if (asked.what == "turn-over") {
        wants_turn_ = false;
        lease_client_.cancel_request("drain");
        if (turn_) reply(*std::exchange(turn_, std::nullopt), "FAILURE called off\n");
        for (const auto& [duty, epoch] : lease_client_.held_duties(now_))
            if (duty.starts_with("drain.")) lease_client_.release(now_, duty, "its turn is over");
        return;
    }
    if (asked.what == "let-in" && !file_.member_of(std::string_view(asked.first)))
        return reply(asked.caller, "FAILURE no such member\n");
    if (asked.what == "hand-over" && !file_.duty_of(asked.first))
        return reply(asked.caller, "FAILURE no such duty\n");
    order(asked.caller, asked.what, asked.first, asked.second);
}

void Fleet::order(uint64_t caller, const std::string& what, const std::string& first,
                  const std::string& second)
{
    const AdminCommand o{next_order_++, what, first, second};
    callers_[o.number] = {caller, now_ + file_.lease.length * 3 + order_waits};
    if (lease_manager_.is_leader()) return hear(self_, o);
    MemberKey leader = leader_key();
    if (!leader) leader = lease_client_.leader() ? file_.members[*lease_client_.leader()].key : 0;
    const auto m = leader ? file_.member_of(leader) : std::nullopt;
    if (m && *m != self_) return effects_.push_back(Send{*m, o});
    callers_.erase(o.number);
    reply(caller, "FAILURE no leader is known\n");
}

void Fleet::hear(MemberIndex from, const AdminCommand& o)
{
    if (o.what == "hand-over") return lease_manager_.transfer(now_, from, o);
    // A vote can be taken from whoever has one, also from who has left the fleet file.
    const auto m = file_.member_of(std::string_view(o.first));
    const bool in = o.what == "let-in";
    const char* why = !lease_manager_.is_leader()              ? "this member does not lead"
                      : in && (!m || !file_.members[*m].voter) ? "the leader's fleet file has no such voter"
                                                               : nullptr;
    if (why) {
        const AdminCommandResult no{o.number, false, why};
        if (from == self_) return hear(self_, no);
        return effects_.push_back(Send{from, no});
    }
    const auto name = next_voter_order_++;
    voter_orders_[name] = {from, o.number};
    effects_.push_back(CallVoterAgent{VoterConfigChange{
        name, in ? VoterConfigChange::Kind::add : VoterConfigChange::Kind::remove, o.first}});
}

void Fleet::hear(MemberIndex, const AdminCommandResult& o)
{
    const auto at = callers_.find(o.number);
    if (at == callers_.end()) return;
    reply(at->second.caller, (o.success ? "SUCCESS " : "FAILURE ") + o.text + "\n");
    callers_.erase(at);
}

// ---- choices that add up ----

void Fleet::on(LocalObservations& observed)
{
    if (signals_) signals_->seen(now_, observed.evidence);
    if (shares_) shares_->asked(now_, observed.asked);
    // Weights move in steps, and seldom: each step moves the subsets of all a little.
    const double steps = weight_steps(observed.rate);
    const auto held = members_.of(self_).weight;
    if (file_.subset && observed.rate > 0 && std::abs(steps - held) >= (held ? most_off : 0) &&
        (!held || now_ - weighed_ > weigh_every)) {
        members_.weigh(static_cast<uint8_t>(std::lround(steps)));
        weighed_ = now_;
    }
    observed_ = std::move(observed);
}

// Suspects stay until they are gone, and after a start whoever was not heard of yet: guards against subsets
// that move for a moment's silence, and against all that start together having the same one.
void Fleet::tell_sharers()
{
    if (!file_.subset || now_ - sharers_at_ < sharers_every) return;
    sharers_at_ = now_;
    if (sharers_version_ == members_.version()) return;
    sharers_version_ = members_.version();
    std::vector<SubsetPeer> now;
    double sum = 0, known = 0;
    for (MemberIndex m = 0; m < file_.members.size(); ++m) {
        const auto& one = members_.of(m);
        if (m != self_ && one.health == Health::gone) continue;
        now.push_back({file_.members[m].key, file_.members[m].zone == file_.members[self_].zone,
                       one.weight ? weight_of(one.weight) : 0});
        if (one.weight) sum += weight_of(one.weight), ++known;
    }
    for (SubsetPeer& s : now)
        if (s.weight <= 0) s.weight = known > 0 ? sum / known : 1;
    if (now == sharers_) return;
    sharers_ = now;
    effects_.push_back(ApplySubsetPeers{std::move(now)});
}

void Fleet::choices_tick()
{
    tell_sharers();
    if (signals_) {
        const auto& to = members_.successors();
        const OutlierDigest digest = signals_->take(now_, to.size());
        if (!digest.all.empty())
            for (const MemberIndex m : to) effects_.push_back(Send{m, digest});
        auto results = signals_->results(now_);
        if (std::exchange(signalled_, !results.empty()) || signalled_)
            effects_.push_back(ApplyOutlierReports{std::move(results)});
    }
    if (!shares_) return;
    if (now_ - wanted_parts_ >= file_.turns->length * 0.25 && !stopping_) {
        wanted_parts_ = now_;
        const auto own = lease_client_.held_epoch(now_, "parts");
        const auto entry = lease_client_.table().entry("parts");
        const auto holder = own            ? std::optional(self_)
                            : entry.holder ? file_.member_of(entry.holder)
                                           : std::nullopt;
        if (holder) {
            auto want = shares_->want(now_, own ? *own : entry.epoch);
            if (*holder == self_)
                hear(self_, want);
            else
                effects_.push_back(Send{*holder, std::move(want)});
        }
    }
    effects_.push_back(ApplyQuotas{shares_->parts(now_)});
}

void Fleet::hear(MemberIndex from, const QuotaRequest& want)
{
    const auto epoch = lease_client_.held_epoch(now_, "parts");
    if (!allocator_ || !epoch || *epoch != allocator_->epoch()) return;
    auto parts = allocator_->answer(now_, file_.members[from].key, want);
    if (parts.all.empty()) return;
    if (from == self_) return shares_->given_to(now_, parts);
    Publish p;
    p.sends.push_back({from, std::move(parts)});
    effects_.push_back(LeasedEffect{"parts", *epoch, {}, std::move(p)});
}

std::string Fleet::show_choices() const
{
    std::string out;
    const auto number = [](double x) {
        char text[32];
        std::snprintf(text, sizeof text, "%.2f", x);
        return std::string(text);
    };
    if (file_.subset)
        out += "subset upstreams " + std::to_string(observed_.shown) + " of " +
               std::to_string(observed_.listed) + " wider " + std::to_string(observed_.wider) + " sharers " +
               std::to_string(sharers_.size()) + " weight " +
               number(members_.of(self_).weight ? weight_of(members_.of(self_).weight) : 0) + "\n";
    if (signals_) {
        const auto results = signals_->results(now_);
        for (const auto& [upstream, name] : observed_.names) {
            const auto counts = results.find(upstream);
            for (const auto& t : signals_->told(now_, upstream)) {
                const auto by = file_.member_of(t.by);
                out += "told " + name + " by " + (by ? file_.members[*by].id : "-") + " reduction " +
                       number(t.reduction) + " age_ms " + std::to_string(t.age.us / 1000) + " counts " +
                       number(counts == results.end() ? 0 : counts->second.reduction) + "\n";
            }
        }
    }
    if (shares_)
        for (const QuotaLease& p : shares_->parts(now_)) {
            std::string which = text_of(p.name.of);
            if (const auto at = observed_.names.find(p.name.which); p.name.of == Budget::cold)
                which += "." + (at == observed_.names.end() ? "-" : at->second);
            for (const auto& [name, rate] : file_.turns->whole)
                if (p.name.of == Budget::tenant && name.starts_with("tenant.") &&
                    key_of(name.substr(7)) == p.name.which)
                    which = name;
            out += "part " + which + " rate " + number(p.at(now_)) + " floor " + number(p.floor) +
                   " left_ms " + std::to_string(std::max<int64_t>(0, (p.none_from - now_).us / 1000)) + "\n";
        }
    return out;
}

// ---- its return, and what it remembers ----

void Fleet::on(SnapshotLoaded& recalled)
{
    if (const auto* why = std::get_if<std::string>(&recalled.memory)) {
        recalled_.push_back("refused snapshot: " + *why);
        effects_.push_back(LogEvent{"trouble", file_.id, "the snapshot is refused: " + *why, 0, "", {}});
        return;
    }
    auto* memory = std::get_if<MemberSnapshot>(&recalled.memory);
    if (!memory) return recalled_.push_back("no snapshot");
    if (const auto why = not_of(*memory, file_.name, file_.id); !why.empty()) {
        recalled.memory = why;
        return on(recalled);
    }
    lease_client_.restore_epochs(memory->epochs);
    for (const SeenEpoch& e : memory->epochs) fencing_.observe(e.duty, e.epoch);
    recalled_.push_back("trusted epochs of " + std::to_string(memory->epochs.size()) + " duties");
    recalled_.push_back("hint list version " + std::to_string(memory->list_version) + ", " +
                        std::to_string(memory->list.size()) + " bytes");
    recalled_.push_back("trusted " + std::to_string(memory->open.size()) + " ids of what may have run");
    // Reductions count from when they were written, by a clock that has gone on since.
    std::erase_if(memory->reductions, [&](PersistedReduction& r) {
        if (!recalled.ago) return true;
        r.left_us -= recalled.ago->us;
        return r.left_us <= 0;
    });
    recalled_.push_back(recalled.ago ? "trusted " + std::to_string(memory->reductions.size()) + " reductions"
                                     : "refused reductions: the machine was started anew");
    hint_version_ = memory->list_version;
    last_list_ = memory->list;
    effects_.push_back(ApplySnapshot{std::move(*memory)});
}

void Fleet::recovery_tick()
{
    if (!file_.recovery) return;
    if (!older_told_ && members_.incarnation() > began_as_ && now_ - begun_ < file_.recovery->wait) {
        // Others have seen this member later than its disk has it.
        older_told_ = true;
        recalled_.push_back("older than others have seen this member: as incarnation " +
                            std::to_string(members_.incarnation()));
        effects_.push_back(
            LogEvent{"trouble", file_.id, "its disk is older than others have seen this member", 0, "", {}});
    }
    FleetState state;
    state.members = file_.members.size(), state.alive = members_.alive();
    state.majority = lease_client_.is_confirmed(now_);
    for (const Duty& d : file_.duties) {
        if (d.kind == DutyKind::drain) continue;
        ++state.duties;
        state.held +=
            lease_client_.table().entry(d.name).holder != 0 || lease_client_.held_epoch(now_, d.name);
    }
    effects_.push_back(ApplyFleetState{state});
    if (now_ - kept_at_ < file_.recovery->every || stopping_) return;
    kept_at_ = now_;
    MemberSnapshot m;
    m.fleet = file_.name, m.member = file_.id, m.incarnation = members_.incarnation();
    m.boot_us = now_.us;
    m.list_version = std::max(list_version_, hint_version_), m.list = list_to_remember();
    m.rate = observed_.accepted, m.size = observed_.size,
    m.sharers = observed_.sharers ? observed_.sharers : static_cast<uint32_t>(members_.alive());
    m.reductions = observed_.reductions, m.open = observed_.open;
    for (const Duty& d : file_.duties)
        if (const Epoch e = std::max(lease_client_.table().entry(d.name).epoch, fencing_.epoch(d.name)))
            m.epochs.push_back({d.name, e});
    effects_.push_back(WriteSnapshot{std::move(m)});
}

std::string Fleet::show_recovery() const
{
    if (!file_.recovery) return "FAILURE the fleet file has no [recovery]\n";
    std::string out;
    for (const auto& line : observed_.recovery) out += line + "\n";
    for (const auto& line : recalled_) out += "memory " + line + "\n";
    return out + "EOT\n";
}

std::string Fleet::show(const std::optional<TrafficCounts>& traffic) const
{
    const Term term = std::max(lease_client_.term(), standing_ ? standing_->raft.term : 0);
    MemberKey leader = leader_key();
    if (!leader && lease_client_.is_confirmed(now_) && lease_client_.leader())
        leader = file_.members[*lease_client_.leader()].key;
    const auto leader_at = leader ? file_.member_of(leader) : std::nullopt;
    std::string out = "me " + file_.id + " incarnation " + std::to_string(members_.incarnation()) + " term " +
                      std::to_string(term) + " leader " +
                      (leader_at ? file_.members[*leader_at].id : "none") + " majority " +
                      (lease_client_.is_confirmed(now_) ? "yes" : "no");
    if (standing_) {
        out += std::string(" voter ") + text_of(standing_->stage);
        if (standing_->fault) out += " trouble: " + standing_->fault->text;
    }
    out += "\n";
    if (traffic) out += text_of(*traffic);
    for (MemberIndex m = 0; m < file_.members.size(); ++m) {
        const auto& one = members_.of(m);
        // Whoever was never heard of is not there, whatever becomes of it later.
        const Health health = one.incarnation || m == self_ ? one.health : Health::gone;
        out += "member " + file_.members[m].id + " " + text_of(health) + " zone " +
               (file_.members[m].zone.empty() ? "-" : file_.members[m].zone) + " incarnation " +
               std::to_string(one.incarnation) + (file_.members[m].voter ? " votes" : "") + "\n";
    }
    const LeaseTable& table = lease_client_.table();
    for (const Duty& d : file_.duties) {
        const auto e = table.entry(d.name);
        const auto own = lease_client_.held_epoch(now_, d.name);
        const auto holder = e.holder ? file_.member_of(e.holder) : std::nullopt;
        const Epoch epoch = own ? *own : e.epoch;
        out += "duty " + d.name + " holder " +
               (own      ? file_.id
                : holder ? file_.members[*holder].id
                         : "none") +
               " epoch " + std::to_string(epoch) + " left_ms " +
               std::to_string(own ? lease_client_.time_left(now_).us / 1000 : 0) + (own ? " mine" : "") +
               "\n";
    }
    return out + show_list() + show_choices() + "EOT\n";
}

}  // namespace firtide::fleet
