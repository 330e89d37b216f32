#include "simulated_cluster.h"

#include <algorithm>

#include "src/net/discovery.h"

namespace firtide::simulation
{
namespace
{

bool is_of_replicas(const Message& message)
{
    return std::get_if<EndpointDelta>(&message) || std::get_if<EndpointDeltaRequest>(&message) ||
           std::get_if<EndpointSnapshotChunk>(&message);
}

}  // namespace

std::error_code Disk::read(const std::string& name, std::optional<std::string>& into)
{
    into.reset();
    if (broken) return std::make_error_code(std::errc::io_error);
    if (const auto at = now_.find(name); at != now_.end()) into = at->second;
    return {};
}

std::error_code Disk::append(const std::string& name, std::string_view bytes)
{
    if (broken) return std::make_error_code(std::errc::io_error);
    if (full) {
        now_[name].append(bytes.substr(0, bytes.size() / 2));  // as much as there was room for
        return std::make_error_code(std::errc::no_space_on_device);
    }
    now_[name].append(bytes);
    return {};
}

std::error_code Disk::sync(const std::string& name)
{
    waited = waited + sync_takes;
    if (broken) return std::make_error_code(std::errc::io_error);
    if (!lies) kept_[name] = now_[name];
    return {};
}

std::error_code Disk::replace(const std::string& name, std::string_view bytes)
{
    waited = waited + sync_takes;
    if (broken) return std::make_error_code(std::errc::io_error);
    if (full) return std::make_error_code(std::errc::no_space_on_device);
    now_[name] = std::string(bytes);
    if (!lies) kept_[name] = now_[name];
    return {};
}

void Disk::lose_power()
{
    for (auto& [name, bytes] : now_) {
        auto& kept = kept_[name];
        if (bytes.size() > kept.size() && bytes.starts_with(kept) && tear != SIZE_MAX)
            kept = bytes.substr(0, std::min(bytes.size(), kept.size() + tear));
        bytes = kept;
    }
}

struct SimulatedCluster::Node {
    FleetConfig file;
    Disk disk;
    std::unique_ptr<Fleet> fleet;
    std::unique_ptr<VoterAgent> voter_agent;
    uint64_t run = 0;
    Incarnation incarnation = 0;
    bool up = false;
    TimePoint frozen_until, voter_agent_free;
    double rate = 1;
    TimePoint clock_from, clock_was;  // true time, and its own at that
    std::optional<Duration> freeze_at_effect;
    std::unordered_map<size_t, TimePoint> arrives;  // of the last message from each: links keep their order
    uint32_t region = 0;
    InstanceId instance = 0;
    size_t candidate_of = 0;  // duties
    bool asking = false;
    std::optional<MemberSnapshot> memory;
    uint64_t list = 0, ticks = 0;
    // With deltas: what its balancer uses, what discovery told last, and the version of its agent.
    EndpointMap shown;
    std::shared_ptr<const EndpointMap> seen;
    std::optional<uint64_t> discovery;
    bool list_corrupted = false;
};

SimulatedCluster::SimulatedCluster(Options options, uint64_t seed)
    : options_(std::move(options)), chance_(static_cast<uint32_t>(seed * 2654435761u + 1))
{
    FleetConfig file;
    file.name = "lab";
    for (size_t i = 0; i < options_.members; ++i) {
        MemberConfig m;
        m.id = "m" + std::to_string(i + 1);
        m.key = key_of(m.id);
        m.zone = "z" + std::to_string(i % options_.zones);
        m.is_voter = i < options_.voters;
        file.members.push_back(std::move(m));
    }
    file.lease = options_.lease;
    for (size_t i = 0; i < options_.duties; ++i)
        file.duties.push_back({"d" + std::to_string(i + 1), DutyKind::other, "receiver", seconds(0.1), 0});
    if (options_.list) {
        file.list = EndpointListConfig{};
        file.deltas = options_.deltas;
        file.duties.push_back({"list", DutyKind::list, "", {}, 0});
    }
    if (options_.probe_parts) {
        file.probe = ProbeConfig{seconds(1), *options_.probe_parts};
        for (uint32_t i = 0; i < *options_.probe_parts; ++i)
            file.duties.push_back({"probe." + std::to_string(i), DutyKind::probe, "", {}, 0});
    }
    if (options_.drain_most) {
        file.drain = DrainConfig{*options_.drain_most};
        for (uint32_t i = 0; i < *options_.drain_most; ++i)
            file.duties.push_back({"drain." + std::to_string(i), DutyKind::drain, "", {}, 0});
    }
    file.recovery = options_.recovery;
    file.subset = options_.subset, file.signals = options_.signals, file.turns = options_.turns;
    if (file.turns) file.duties.push_back({"parts", DutyKind::parts, "", {}, 0});
    sent.resize(options_.members);
    traffic.resize(options_.members);
    for (size_t i = 0; i < options_.members; ++i) {
        auto node = std::make_unique<Node>();
        node->file = file;
        node->file.self = static_cast<MemberIndex>(i);
        node->file.id = file.members[i].id;
        node->clock_from = now_;
        node->clock_was = TimePoint{5'000'000} + seconds(100 * roll());
        nodes_.push_back(std::move(node));
    }
    for (const Duty& d : file.duties)
        if (d.kind != DutyKind::drain) watched_[d.name].without = now_;
}

SimulatedCluster::~SimulatedCluster() = default;

TimePoint SimulatedCluster::clock_of(size_t node) const
{
    const Node& n = *nodes_[node];
    return n.clock_was + (now_ - n.clock_from) * n.rate;
}

void SimulatedCluster::clock(size_t node, double rate)
{
    Node& n = *nodes_[node];
    n.clock_was = clock_of(node);
    n.clock_from = now_;
    n.rate = rate;
    check_due_ = true;
}

void SimulatedCluster::note(const std::string& text)
{
    if (!traced) return;
    char at[32];
    std::snprintf(at, sizeof at, "%9.3f ", (now_ - TimePoint{1'000'000'000}).seconds());
    trace_.push_back(at + text);
}

void SimulatedCluster::breaks(const std::string& rule)
{
    note("BROKEN " + rule);
    broken_.push_back({rule, now_});
}

void SimulatedCluster::later(Duration after, size_t node, std::function<void()> what, bool checked)
{
    events_.push({now_ + std::max(after, Duration{}), order_++, node, node < size() ? nodes_[node]->run : 0,
                  std::move(what), checked});
}

bool SimulatedCluster::step(TimePoint until)
{
    if (events_.empty() || events_.top().at > until) return false;
    Event e = events_.top();
    events_.pop();
    now_ = std::max(now_, e.at);
    if (e.node >= size()) {
        e.what();
        return true;
    }
    Node& n = *nodes_[e.node];
    if (n.run != e.run) return true;
    if (now_ < n.frozen_until) {  // it waits, in its order, for the process to go on
        e.at = n.frozen_until;
        events_.push(std::move(e));
        return true;
    }
    e.what();
    check_due_ |= n.candidate_of > 0;  // a renewal may have come after the lease had ended
    if (e.checked && options_.deltas) check_replica(e.node);
    if (e.checked) check();
    return true;
}

void SimulatedCluster::run_until(TimePoint until)
{
    while (step(until)) {
    }
    now_ = std::max(now_, until);
}

void SimulatedCluster::start(size_t node)
{
    Node& n = *nodes_[node];
    if (n.up) return;
    ++n.run;
    n.up = true;
    n.frozen_until = n.voter_agent_free = now_;
    n.asking = false;
    n.list = 0;
    n.shown.clear();
    n.seen.reset();
    n.list_corrupted = false;
    n.freeze_at_effect.reset();
    n.instance = uint64_t{chance_()} << 24 | chance_();
    n.fleet =
        std::make_unique<Fleet>(n.file, n.instance, ++n.incarnation, uint64_t{chance_()} << 24 | chance_());
    if (options_.lease_manager) options_.lease_manager(n.fleet->lease_manager());
    note(n.file.id + " starts");
    if (n.file.members[node].is_voter) {
        n.voter_agent = std::make_unique<VoterAgent>(n.file, n.disk, options_.voters_times,
                                                     uint64_t{chance_()} << 24 | chance_());
        later({}, node, [this, node] {
            call_voter_agent(node, [this, node](TimePoint p) { return nodes_[node]->voter_agent->start(p); });
        });
    }
    later({}, node, [this, node] {
        // A power loss: its clock begins anew.
        if (options_.recovery && nodes_[node]->memory) tell(node, SnapshotLoaded{*nodes_[node]->memory, {}});
        tell(node, StartupEvent{});
    });
    later(options_.tick * roll(), node, [this, node] { tick(node); });
}

void SimulatedCluster::start_all_with_known_members()
{
    auto members = std::make_shared<std::vector<MemberState>>();
    for (size_t i = 0; i < size(); ++i) {
        start(i);
        members->push_back({nodes_[i]->incarnation, nodes_[i]->instance, Health::alive, 0});
    }
    for (size_t i = 0; i < size(); ++i)
        later({}, i, [this, i, members] { tell(i, SeedMembership{members}); });
}

// Another way for a process to go on than to go on.
bool SimulatedCluster::forked_turn(size_t node)
{
    const Duration lease = options_.lease.length;
    switch (fork(Fork::turn)) {
        case 1: freeze(node, lease * 0.7); break;
        case 2: freeze(node, lease * 1.4); break;
        case 3:
            crash(node);
            start(node);
            return true;
        case 4: crash(node); return true;
        default: return false;
    }
    later({}, node, [this, node] { tick(node); });
    return true;
}

void SimulatedCluster::tick(size_t node)
{
    Node& n = *nodes_[node];
    if (options_.fork && ++n.ticks % 10 == 0 && forked_turn(node)) return;
    tell(node, Tick{});
    if (n.voter_agent) call_voter_agent(node, [&n](TimePoint p) { return n.voter_agent->tick(p); });
    later(options_.tick, node, [this, node] { tick(node); });
}

void SimulatedCluster::crash(size_t node, bool power)
{
    Node& n = *nodes_[node];
    if (!n.up) return;
    note(n.file.id + (power ? " loses its power" : " is killed"));
    ++n.run;
    n.up = false;
    n.fleet.reset();
    n.voter_agent.reset();
    for (auto& [duty, watched] : watched_) std::erase(watched.candidates, node);
    n.candidate_of = 0;
    check_due_ = true;
    if (power) n.disk.lose_power();
}

void SimulatedCluster::stop(size_t node)
{
    if (!nodes_[node]->up) return;
    note(nodes_[node]->file.id + " stops");
    tell(node, ShutdownRequested{});
    later(seconds(0.3), node, [this, node] { crash(node); });
}

void SimulatedCluster::freeze(size_t node, Duration span)
{
    Node& n = *nodes_[node];
    note(n.file.id + " stands still for " + std::to_string(span.us / 1000) + " ms");
    n.frozen_until = std::max(n.frozen_until, now_ + span);
}

void SimulatedCluster::freeze_in_effect(size_t node, Duration span) { nodes_[node]->freeze_at_effect = span; }

void SimulatedCluster::isolate(size_t node, bool cut)
{
    note(nodes_[node]->file.id + (cut ? " is cut off" : " is joined again"));
    for (size_t i = 0; i < size(); ++i)
        if (i != node) link(i, node).cut = link(node, i).cut = cut;
}

void SimulatedCluster::heal()
{
    note("all links are whole");
    links_.clear();
    for (auto& node : nodes_) node->region = 0;
}

void SimulatedCluster::set_region(size_t node, uint32_t region) { nodes_[node]->region = region; }

const Link& SimulatedCluster::link_between(size_t from, size_t to) const
{
    static const Link whole, between_regions{true, 0, {}, {}, 0};
    if (nodes_[from]->region != nodes_[to]->region) return between_regions;
    const auto at = links_.find(from * nodes_.size() + to);
    return at == links_.end() ? whole : at->second;
}

Disk& SimulatedCluster::disk(size_t node) { return nodes_[node]->disk; }
bool SimulatedCluster::up(size_t node) const { return nodes_[node]->up; }
Fleet& SimulatedCluster::fleet(size_t node) { return *nodes_[node]->fleet; }
uint64_t SimulatedCluster::list_of(size_t node) const { return nodes_[node]->list; }

void SimulatedCluster::ask(size_t node, const std::string& what, const std::string& first,
                           const std::string& second)
{
    later({}, node, [=, this] { tell(node, AdminRequest{1, what, first, second}); });
}

std::string SimulatedCluster::show(size_t node)
{
    last_reply.clear();
    tell(node, AdminRequest{1, "show-fleet", "", ""});
    return last_reply;
}

std::optional<size_t> SimulatedCluster::leader() const
{
    for (size_t i = 0; i < size(); ++i)
        if (nodes_[i]->up && nodes_[i]->fleet->lease_manager().is_leader()) return i;
    return {};
}

std::vector<size_t> SimulatedCluster::holders(const std::string& duty) const
{
    std::vector<size_t> out;
    for (size_t i = 0; i < size(); ++i)
        if (nodes_[i]->up && nodes_[i]->fleet->holds(clock_of(i), duty)) out.push_back(i);
    return out;
}

void SimulatedCluster::tell(size_t node, FleetEvent event)
{
    Node& n = *nodes_[node];
    if (!n.up) return;
    carry_out(node, n.fleet->reduce(clock_of(node), std::move(event)));
}

void SimulatedCluster::call_voter_agent(size_t node,
                                        const std::function<std::vector<VoterAgentEffect>(TimePoint)>& call)
{
    Node& n = *nodes_[node];
    // The voter agent has a thread of its own, that may wait for the disk.
    if (now_ < n.voter_agent_free)
        return later(n.voter_agent_free - now_, node, [this, node, call] { call_voter_agent(node, call); });
    n.disk.waited = {};
    auto effects = call(clock_of(node));
    n.voter_agent_free = now_ + n.disk.waited;
    if (effects.empty()) return;
    later(n.disk.waited, node, [this, node, effects = std::move(effects)]() mutable {
        for (VoterAgentEffect& e : effects) tell(node, VoterAgentReported{std::move(e)});
    });
}

void SimulatedCluster::send(size_t from, const Send& s)
{
    const size_t to = s.to;
    const Link l = link_between(from, to);
    const auto frame = std::make_shared<const std::string>(encode_frame(s.message, 0));
    ++count.messages, ++sent[from];
    count.bytes += frame->size();
    ++traffic[from].messages_out;
    traffic[from].bytes_out += frame->size();
    if (is_of_replicas(s.message)) count.list_bytes += frame->size();
    if (l.cut || !nodes_[to]->up || roll() < l.loss) return;
    Duration takes = l.least + (l.most - l.least) * roll();
    if (options_.fork && urgency_of(s.message) == Urgency::leases) {
        const size_t way = fork(Fork::message);
        if (way == 1)
            return note(nodes_[from]->file.id + " to " + nodes_[to]->file.id + ": a message is lost");
        if (way > 1)
            takes = options_.lease.length * (way == 2 ? 0.6 : 1.3),
            note(nodes_[from]->file.id + " to " + nodes_[to]->file.id + ": a message is late");
    }
    TimePoint& before = nodes_[to]->arrives[from];
    const TimePoint at = std::max(before, now_ + takes);
    before = at;
    const auto deliver = [this, to, from, frame] {
        ++traffic[to].messages_in;
        traffic[to].bytes_in += frame->size();
        FrameReader reader;
        reader.take(*frame);
        if (reader.next() == FrameReader::State::message)
            tell(to, MessageReceived{static_cast<MemberIndex>(from), std::move(reader.message())});
    };
    later(at - now_, to, deliver);
    if (l.repeat > 0 && roll() < l.repeat) later(at - now_ + seconds(0.5 * roll()), to, deliver);
}

void SimulatedCluster::act(size_t node, const LeasedEffect& a, Duration travels)
{
    Node& n = *nodes_[node];
    if (options_.gate && !n.fleet->lease_allows(clock_of(node), a.duty, a.epoch, a.duration)) {
        ++count.stopped_at_gate;
        return;
    }
    ++count.effects;
    if (!n.fleet->holds(clock_of(node), a.duty))
        breaks(n.file.id + " let an effect of " + a.duty + " leave without its lease");
    if (const auto* publish = std::get_if<Publish>(&a.action)) {
        for (const Send& s : publish->sends) send(node, s);
    } else if (const auto* told = std::get_if<NotifySubscriber>(&a.action)) {
        // To a receiver outside the fleet, that knows nothing but the epochs that it has met.
        later(travels + seconds(0.0002 + 0.002 * roll()), node,
              [this, node, duty = a.duty, epoch = a.epoch, number = told->number] {
                  auto& taken = taken_[duty];
                  if (options_.fences && epoch < taken.first) {
                      ++count.refused;
                      tell(node, EffectRefused{duty, epoch});
                      return;
                  }
                  if (epoch < taken.first)
                      breaks("a receiver took epoch " + std::to_string(epoch) + " of " + duty + " after " +
                             std::to_string(taken.first));
                  if (!effects_.insert({duty, epoch, number}).second)
                      breaks("a receiver took effect " + std::to_string(number) + " of " + duty +
                             " twice at one epoch");
                  taken = std::max(taken, {epoch, number});
              });
    } else if (std::get_if<StartProbes>(&a.action)) {
        ++count.probes;
    }
}

void SimulatedCluster::ask_discovery(size_t node)
{
    Node& n = *nodes_[node];
    if (!n.asking) return;
    ++count.list_calls;
    if (!discovery_answers || discovery_answers(node)) tell(node, discovery_answer(node));
    later(seconds(0.5), node, [this, node] { ask_discovery(node); });
}

void SimulatedCluster::discovery_of(size_t node, std::optional<uint64_t> version)
{
    nodes_[node]->discovery = version;
}
const EndpointMap& SimulatedCluster::shown_list(size_t node) const { return nodes_[node]->shown; }

void SimulatedCluster::corrupt_list(size_t node, const std::string& uid, const std::string& text)
{
    nodes_[node]->list_corrupted = true;
    nodes_[node]->fleet->replica_to_corrupt()->corrupt(uid, text);
}

EndpointMap SimulatedCluster::discovery_lines(uint64_t version) const
{
    EndpointMap lines;
    const uint64_t entries = options_.list_entries;
    for (uint64_t entry = 0; entry < entries; ++entry) {
        const uint64_t changes = version < entry ? 0 : (version - entry) / entries + 1;
        if (changes % 4 == 3) continue;  // gone
        const auto uid = "u" + std::to_string(entry);
        lines[uid] = R"({"changes":)" + std::to_string(changes) + R"(,"state":"ready","uid":")" + uid + "\"}";
    }
    return lines;
}

EndpointListFetched SimulatedCluster::discovery_answer(size_t node)
{
    Node& n = *nodes_[node];
    const uint64_t version = n.discovery.value_or(discovery_);
    if (!options_.deltas) {
        const bool newest = version == discovery_;
        return {"", version, newest ? discovery_list_ : "list " + std::to_string(version), nullptr, {}};
    }
    const auto before = std::exchange(n.seen, std::make_shared<const EndpointMap>(discovery_lines(version)));
    if (!before) return {"", version, "", n.seen, {}};
    std::vector<std::string> uids;
    for (size_t entry = 0; entry < options_.list_entries; ++entry) {
        const auto uid = "u" + std::to_string(entry);
        const auto was = before->find(uid), is = n.seen->find(uid);
        const bool known = was != before->end(), there = is != n.seen->end();
        if (known != there || (known && was->second != is->second)) uids.push_back(uid);
    }
    return {"", version, "", n.seen, std::move(uids)};
}

void SimulatedCluster::use_list(size_t node, const ApplyEndpointList& use)
{
    Node& n = *nodes_[node];
    if (use.version < n.list) breaks("an older list was taken");
    n.list = use.version;
    if (!options_.deltas) return;
    net::apply_list_update(n.shown, use.text);
    if (n.shown != discovery_lines(use.version))
        breaks(n.file.id + " uses a list that is not that of version " + std::to_string(use.version));
}

void SimulatedCluster::carry_out(size_t node, std::vector<FleetEffect> effects)
{
    Node& n = *nodes_[node];
    for (FleetEffect& e : effects) {
        if (on_effect) on_effect(node, e);
        if (auto* s = std::get_if<Send>(&e)) {
            send(node, *s);
        } else if (auto* d = std::get_if<CallVoterAgent>(&e)) {
            if (!n.voter_agent) continue;
            call_voter_agent(node, [&n, call = std::move(d->call)](TimePoint p) {
                return n.voter_agent->handle(p, call);
            });
        } else if (auto* a = std::get_if<LeasedEffect>(&e)) {
            const size_t way = options_.fork ? fork(Fork::effect) : 0;
            if (way == 1 || way == 2) n.freeze_at_effect = options_.lease.length * (way == 1 ? 0.7 : 1.4);
            if (n.freeze_at_effect) {
                freeze(node, *std::exchange(n.freeze_at_effect, std::nullopt));
                later({}, node, [this, node, held = *a] { act(node, held); });
            } else {
                act(node, *a, way == 3 ? options_.lease.length * 1.4 : Duration{});
            }
        } else if (auto* q = std::get_if<SetDiscoveryPolling>(&e)) {
            const bool was = std::exchange(n.asking, q->on);
            n.seen.reset();
            if (q->on && !was) later(seconds(0.005), node, [this, node] { ask_discovery(node); });
        } else if (auto* keep = std::get_if<WriteSnapshot>(&e)) {
            n.memory = std::move(keep->snapshot);
        } else if (auto* u = std::get_if<ApplyEndpointList>(&e)) {
            use_list(node, *u);
        } else if (auto* r = std::get_if<Reply>(&e)) {
            last_reply = r->text;
            note(n.file.id + " answers " + r->text.substr(0, r->text.find('\n')));
        } else if (auto* m = std::get_if<LogEvent>(&e)) {
            holders_changed(node, *m);
            note(n.file.id + " " + std::string(to_string(m->kind)) + " " + m->subject + " " + m->health +
                 (m->number ? " " + std::to_string(m->number) : "") +
                 (m->reason.empty() ? "" : ": " + m->reason));
        }
    }
}

// Replicas at one revision have one state. Nothing but its own events changes a member's.
void SimulatedCluster::check_replica(size_t at_node)
{
    Node& node = *nodes_[at_node];
    if (!node.up || !node.fleet->replica()) return;
    const EndpointReplica& replica = *node.fleet->replica();
    const auto at = digests_.emplace(replica.revision(), replica.digest()).first;
    if (at->second == replica.digest())
        node.list_corrupted = false;
    else if (!node.list_corrupted)
        breaks(node.file.id + " has another list than others have at revision " +
               std::to_string(replica.revision().epoch) + "." + std::to_string(replica.revision().number));
}

void SimulatedCluster::holders_changed(size_t node, const LogEvent& noted)
{
    if (noted.kind != LogEvent::Kind::lease_gained && noted.kind != LogEvent::Kind::lease_lost) return;
    check_due_ = true;
    const auto at = watched_.find(noted.subject);
    if (at == watched_.end()) return;
    auto& candidates = at->second.candidates;
    size_t& candidate_of = nodes_[node]->candidate_of;
    candidate_of -= std::erase(candidates, node);
    if (noted.kind == LogEvent::Kind::lease_lost) return;
    candidates.insert(std::upper_bound(candidates.begin(), candidates.end(), node), node);
    ++candidate_of;
}

// No later than its lease ends, in true time.
TimePoint SimulatedCluster::lease_ends(size_t node) const
{
    const Node& n = *nodes_[node];
    const Duration left = n.fleet->lease_client().time_left(clock_of(node));
    return now_ + left * (1 / n.rate) - Duration{2};
}

// At every moment, by each one's own clock. Between events of those that were granted something and the end
// of a lease nothing can be other than it was.
void SimulatedCluster::check()
{
    if (!check_due_ && now_ < check_at_) return;
    check_due_ = false;
    check_at_ = TimePoint{INT64_MAX};
    for (auto& [duty, watched] : watched_) {
        std::vector<size_t> by;
        for (const size_t i : watched.candidates) {
            if (!nodes_[i]->fleet->holds(clock_of(i), duty)) continue;
            by.push_back(i);
            check_at_ = std::min(check_at_, lease_ends(i));
        }
        if (by.size() > 1) {
            std::string all;
            for (const size_t i : by) all += " " + nodes_[i]->file.id;
            breaks("two hold " + duty + " at once:" + all);
        }
        if (!by.empty() && watched.without.us) {
            gaps.push_back(now_ - watched.without);
            watched.without = {};
        } else if (by.empty() && !watched.without.us) {
            watched.without = now_;
        }
    }
}

std::map<std::string, Duration> SimulatedCluster::longest_gap() const
{
    std::map<std::string, Duration> out;
    for (const auto& [duty, watched] : watched_)
        out[duty] = watched.without.us ? now_ - watched.without : Duration{};
    return out;
}

}  // namespace firtide::simulation
