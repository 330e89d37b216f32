#include "simulated_cluster.h"

#include <algorithm>

#include "src/net/discovery.h"

namespace firtide::simulation
{
namespace
{

bool is_replication_message(const Message& message)
{
    return std::get_if<EndpointDelta>(&message) || std::get_if<EndpointDeltaRequest>(&message) ||
           std::get_if<EndpointSnapshotChunk>(&message);
}

}  // namespace

std::error_code Disk::read(const std::string& name, std::optional<std::string>& into)
{
    into.reset();
    if (io_error) return std::make_error_code(std::errc::io_error);
    if (const auto at = written_.find(name); at != written_.end()) into = at->second;
    return {};
}

std::error_code Disk::append(const std::string& name, std::string_view bytes)
{
    if (io_error) return std::make_error_code(std::errc::io_error);
    if (full) {
        written_[name].append(
            bytes.substr(0, bytes.size() / 2));  // a partial write: half fits on the full disk
        return std::make_error_code(std::errc::no_space_on_device);
    }
    written_[name].append(bytes);
    return {};
}

std::error_code Disk::sync(const std::string& name)
{
    time_waited = time_waited + sync_duration;
    if (io_error) return std::make_error_code(std::errc::io_error);
    if (!ignores_sync) durable_[name] = written_[name];
    return {};
}

std::error_code Disk::replace(const std::string& name, std::string_view bytes)
{
    time_waited = time_waited + sync_duration;
    if (io_error) return std::make_error_code(std::errc::io_error);
    if (full) return std::make_error_code(std::errc::no_space_on_device);
    written_[name] = std::string(bytes);
    if (!ignores_sync) durable_[name] = written_[name];
    return {};
}

void Disk::lose_power()
{
    for (auto& [name, bytes] : written_) {
        auto& kept = durable_[name];
        if (bytes.size() > kept.size() && bytes.starts_with(kept) && surviving_bytes != SIZE_MAX)
            kept = bytes.substr(0, std::min(bytes.size(), kept.size() + surviving_bytes));
        bytes = kept;
    }
}

void Disk::lose_synced_bytes(const std::string& name, size_t bytes)
{
    std::string& kept = durable_[name];
    kept.resize(kept.size() - std::min(kept.size(), bytes));
    written_[name] = kept;
}

struct SimulatedCluster::Node {
    FleetConfig config;
    Disk disk;
    std::unique_ptr<Fleet> fleet;
    std::unique_ptr<VoterAgent> voter_agent;
    uint64_t generation = 0;
    Incarnation incarnation = 0;
    bool up = false;
    TimePoint frozen_until, voter_agent_idle_at;
    double rate = 1;
    TimePoint rate_set_at, clock_at_rate_set;  // true time of the last rate change, and the local time at it
    std::optional<Duration> freeze_at_effect;
    std::unordered_map<size_t, TimePoint>
        last_arrival;  // of the last message from each sender; links deliver in order
    uint32_t region = 0;
    InstanceId instance = 0;
    size_t candidacies = 0;  // number of duties
    bool polling_discovery = false;
    std::optional<MemberSnapshot> snapshot;
    uint64_t list_version = 0, ticks = 0;
    // With deltas: the list that its balancer uses, the last list fetched from discovery, and the version its
    // discovery agent serves.
    EndpointMap applied_list;
    std::shared_ptr<const EndpointMap> last_fetched;
    std::optional<uint64_t> agent_version;
    bool list_corrupted = false;
};

SimulatedCluster::SimulatedCluster(Options options, uint64_t seed)
    : options_(std::move(options)), random_(static_cast<uint32_t>(seed * 2654435761u + 1))
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
        file.duties.push_back({"d" + std::to_string(i + 1), DutyKind::external, "receiver", seconds(0.1), 0});
    if (options_.replicate_list) {
        file.endpoint_list = EndpointListConfig{};
        file.endpoint_deltas = options_.deltas;
        file.duties.push_back({"list", DutyKind::list, "", {}, 0});
    }
    if (options_.probe_parts) {
        file.probe = ProbeConfig{seconds(1), *options_.probe_parts};
        for (uint32_t i = 0; i < *options_.probe_parts; ++i)
            file.duties.push_back({"probe." + std::to_string(i), DutyKind::probe, "", {}, 0});
    }
    if (options_.drain_limit) {
        file.drain = DrainConfig{*options_.drain_limit};
        for (uint32_t i = 0; i < *options_.drain_limit; ++i)
            file.duties.push_back({"drain." + std::to_string(i), DutyKind::drain, "", {}, 0});
    }
    file.startup = options_.recovery;
    file.subset = options_.subset, file.outlier_gossip = options_.outlier_gossip,
    file.quotas = options_.quotas;
    if (file.quotas) file.duties.push_back({"parts", DutyKind::quota_allocation, "", {}, 0});
    messages_sent.resize(options_.members);
    traffic.resize(options_.members);
    for (size_t i = 0; i < options_.members; ++i) {
        auto node = std::make_unique<Node>();
        node->config = file;
        node->config.self = static_cast<MemberIndex>(i);
        node->config.id = file.members[i].id;
        node->rate_set_at = now_;
        node->clock_at_rate_set = TimePoint{5'000'000} + seconds(100 * uniform());
        nodes_.push_back(std::move(node));
    }
    for (const Duty& d : file.duties)
        if (d.kind != DutyKind::drain) watched_duties_[d.name].vacant_since = now_;
}

SimulatedCluster::~SimulatedCluster() = default;

TimePoint SimulatedCluster::local_time(size_t node) const
{
    const Node& n = *nodes_[node];
    return n.clock_at_rate_set + (now_ - n.rate_set_at) * n.rate;
}

void SimulatedCluster::set_clock_rate(size_t node, double rate)
{
    Node& n = *nodes_[node];
    n.clock_at_rate_set = local_time(node);
    n.rate_set_at = now_;
    n.rate = rate;
    check_due_ = true;
}

void SimulatedCluster::add_trace(const std::string& text)
{
    if (!trace_enabled) return;
    char at[32];
    std::snprintf(at, sizeof at, "%9.3f ", (now_ - TimePoint{1'000'000'000}).seconds());
    trace_.push_back(at + text);
}

void SimulatedCluster::report_violation(const std::string& rule)
{
    add_trace("VIOLATION: " + rule);
    violations_.push_back({rule, now_});
}

void SimulatedCluster::schedule_event(Duration after, size_t node, std::function<void()> what,
                                      bool may_change_holders)
{
    events_.push({now_ + std::max(after, Duration{}), next_order_++, node,
                  node < size() ? nodes_[node]->generation : 0, std::move(what), may_change_holders});
}

bool SimulatedCluster::step(TimePoint until)
{
    if (events_.empty() || events_.top().at > until) return false;
    Event e = events_.top();
    events_.pop();
    now_ = std::max(now_, e.at);
    if (e.node >= size()) {
        e.action();
        return true;
    }
    Node& n = *nodes_[e.node];
    if (n.generation != e.generation) return true;
    if (now_ < n.frozen_until) {  // deferred, in order, until the process resumes
        e.at = n.frozen_until;
        events_.push(std::move(e));
        return true;
    }
    e.action();
    check_due_ |= n.candidacies > 0;  // a renewal may have arrived after the lease had expired
    if (e.may_change_holders && options_.deltas) check_replica(e.node);
    if (e.may_change_holders) check_holders();
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
    ++n.generation;
    n.up = true;
    n.frozen_until = n.voter_agent_idle_at = now_;
    n.polling_discovery = false;
    n.list_version = 0;
    n.applied_list.clear();
    n.last_fetched.reset();
    n.list_corrupted = false;
    n.freeze_at_effect.reset();
    n.instance = random_48_bits(random_);
    n.fleet = std::make_unique<Fleet>(n.config, n.instance, ++n.incarnation, random_48_bits(random_));
    if (options_.configure_lease_manager) options_.configure_lease_manager(n.fleet->lease_manager());
    add_trace(n.config.id + " starts");
    if (n.config.members[node].is_voter) {
        n.voter_agent =
            std::make_unique<VoterAgent>(n.config, n.disk, options_.voter_timing, random_48_bits(random_));
        schedule_event({}, node, [this, node] {
            call_voter_agent(node, [this, node](TimePoint p) { return nodes_[node]->voter_agent->start(p); });
        });
    }
    schedule_event({}, node, [this, node] {
        // As after a power loss: the clock has started anew, so the age of the snapshot is unknown.
        if (options_.recovery && nodes_[node]->snapshot)
            dispatch(node, SnapshotLoaded{*nodes_[node]->snapshot, {}});
        dispatch(node, StartupEvent{});
    });
    schedule_event(options_.tick * uniform(), node, [this, node] { tick(node); });
}

void SimulatedCluster::start_all_with_known_members()
{
    auto members = std::make_shared<std::vector<MemberState>>();
    for (size_t i = 0; i < size(); ++i) {
        start(i);
        members->push_back({nodes_[i]->incarnation, nodes_[i]->instance, Health::alive, 0});
    }
    for (size_t i = 0; i < size(); ++i)
        schedule_event({}, i, [this, i, members] { dispatch(i, SeedMembership{members}); });
}

// Lets the model checker freeze, restart or crash the process. Returns whether it did.
bool SimulatedCluster::inject_tick_fault(size_t node)
{
    const Duration lease = options_.lease.duration;
    switch (choose(ChoicePoint::tick)) {
        case 1: freeze(node, lease * 0.7); break;
        case 2: freeze(node, lease * 1.4); break;
        case 3:
            crash(node);
            start(node);
            return true;
        case 4: crash(node); return true;
        default: return false;
    }
    schedule_event({}, node, [this, node] { tick(node); });
    return true;
}

void SimulatedCluster::tick(size_t node)
{
    Node& n = *nodes_[node];
    if (options_.choose && ++n.ticks % 10 == 0 && inject_tick_fault(node)) return;
    dispatch(node, Tick{});
    if (n.voter_agent) call_voter_agent(node, [&n](TimePoint p) { return n.voter_agent->tick(p); });
    schedule_event(options_.tick, node, [this, node] { tick(node); });
}

void SimulatedCluster::crash(size_t node, bool power)
{
    Node& n = *nodes_[node];
    if (!n.up) return;
    add_trace(n.config.id + (power ? " loses power" : " is killed"));
    ++n.generation;
    n.up = false;
    n.fleet.reset();
    n.voter_agent.reset();
    for (auto& [duty, watched] : watched_duties_) std::erase(watched.candidates, node);
    n.candidacies = 0;
    check_due_ = true;
    if (power) n.disk.lose_power();
}

void SimulatedCluster::stop(size_t node)
{
    if (!nodes_[node]->up) return;
    add_trace(nodes_[node]->config.id + " stops");
    dispatch(node, ShutdownRequested{});
    schedule_event(seconds(0.3), node, [this, node] { crash(node); });
}

void SimulatedCluster::freeze(size_t node, Duration span)
{
    Node& n = *nodes_[node];
    add_trace(n.config.id + " freezes for " + std::to_string(span.us / 1000) + " ms");
    n.frozen_until = std::max(n.frozen_until, now_ + span);
}

void SimulatedCluster::freeze_at_next_effect(size_t node, Duration span)
{
    nodes_[node]->freeze_at_effect = span;
}

void SimulatedCluster::set_isolated(size_t node, bool cut)
{
    add_trace(nodes_[node]->config.id + (cut ? " is isolated" : " is reconnected"));
    for (size_t i = 0; i < size(); ++i)
        if (i != node) link(i, node).blocked = link(node, i).blocked = cut;
}

void SimulatedCluster::restore_links()
{
    add_trace("all links are restored");
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
bool SimulatedCluster::is_up(size_t node) const { return nodes_[node]->up; }
Fleet& SimulatedCluster::fleet(size_t node) { return *nodes_[node]->fleet; }
uint64_t SimulatedCluster::list_version(size_t node) const { return nodes_[node]->list_version; }

void SimulatedCluster::send_admin_request(size_t node, const std::string& what, const std::string& first,
                                          const std::string& second)
{
    schedule_event({}, node, [=, this] { dispatch(node, AdminRequest{1, what, first, second}); });
}

std::string SimulatedCluster::fleet_status(size_t node)
{
    last_reply.clear();
    dispatch(node, AdminRequest{1, "show-fleet", "", ""});
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
        if (nodes_[i]->up && nodes_[i]->fleet->holds(local_time(i), duty)) out.push_back(i);
    return out;
}

void SimulatedCluster::dispatch(size_t node, FleetEvent event)
{
    Node& n = *nodes_[node];
    if (!n.up) return;
    apply_effects(node, n.fleet->reduce(local_time(node), std::move(event)));
}

void SimulatedCluster::call_voter_agent(size_t node,
                                        const std::function<std::vector<VoterAgentEffect>(TimePoint)>& call)
{
    Node& n = *nodes_[node];
    // The voter agent runs on its own thread, which may block on the disk.
    if (now_ < n.voter_agent_idle_at)
        return schedule_event(n.voter_agent_idle_at - now_, node,
                              [this, node, call] { call_voter_agent(node, call); });
    n.disk.time_waited = {};
    auto effects = call(local_time(node));
    n.voter_agent_idle_at = now_ + n.disk.time_waited;
    if (effects.empty()) return;
    schedule_event(n.disk.time_waited, node, [this, node, effects = std::move(effects)]() mutable {
        for (const VoterAgentEffect& e : effects)
            if (const auto* status = std::get_if<VoterStatus>(&e)) check_leader(node, *status);
        for (VoterAgentEffect& e : effects) dispatch(node, VoterAgentReported{std::move(e)});
    });
}

void SimulatedCluster::check_leader(size_t node, const VoterStatus& status)
{
    if (status.raft.role != RaftRole::leader) return;
    const auto [known, first] = leader_of_term_.try_emplace(status.raft.term, status.disk);
    if (!first && known->second != status.disk)
        report_violation(nodes_[node]->config.id + " is a second leader in term " +
                         std::to_string(status.raft.term));
}

void SimulatedCluster::send(size_t from, const OutgoingMessage& s)
{
    const size_t to = s.to;
    const Link l = link_between(from, to);
    const auto frame = std::make_shared<const std::string>(encode_frame(s.message, 0));
    ++count.messages, ++messages_sent[from];
    count.bytes += frame->size();
    ++traffic[from].messages_out;
    traffic[from].bytes_out += frame->size();
    if (is_replication_message(s.message)) count.list_bytes += frame->size();
    if (l.blocked || !nodes_[to]->up || uniform() < l.loss_probability) return;
    Duration takes = l.min_latency + (l.max_latency - l.min_latency) * uniform();
    if (options_.choose && urgency_of(s.message) == Urgency::leases) {
        const size_t alternative = choose(ChoicePoint::message);
        if (alternative == 1)
            return add_trace(nodes_[from]->config.id + " to " + nodes_[to]->config.id + ": message lost");
        if (alternative > 1)
            takes = options_.lease.duration * (alternative == 2 ? 0.6 : 1.3),
            add_trace(nodes_[from]->config.id + " to " + nodes_[to]->config.id + ": message delayed");
    }
    TimePoint& before = nodes_[to]->last_arrival[from];
    const TimePoint at = std::max(before, now_ + takes);
    before = at;
    const auto deliver = [this, to, from, frame] {
        ++traffic[to].messages_in;
        traffic[to].bytes_in += frame->size();
        FrameReader reader;
        reader.append(*frame);
        if (reader.next() == FrameReader::State::message)
            dispatch(to, MessageReceived{static_cast<MemberIndex>(from), std::move(reader.message())});
    };
    schedule_event(at - now_, to, deliver);
    if (l.duplicate_probability > 0 && uniform() < l.duplicate_probability)
        schedule_event(at - now_ + seconds(0.5 * uniform()), to, deliver);
}

void SimulatedCluster::perform_effect(size_t node, const LeasedEffect& a, Duration delay)
{
    Node& n = *nodes_[node];
    if (options_.lease_gate && !n.fleet->lease_allows(local_time(node), a.duty, a.epoch, a.duration)) {
        ++count.blocked_effects;
        return;
    }
    ++count.effects;
    if (!n.fleet->holds(local_time(node), a.duty))
        report_violation(n.config.id + " performed an effect of " + a.duty + " without its lease");
    if (const auto* publish = std::get_if<Publish>(&a.action)) {
        for (const OutgoingMessage& s : publish->sends) send(node, s);
    } else if (const auto* told = std::get_if<NotifySubscriber>(&a.action)) {
        // Delivered to a receiver outside the fleet, which knows only the epochs that it has seen.
        schedule_event(delay + seconds(0.0002 + 0.002 * uniform()), node,
                       [this, node, duty = a.duty, epoch = a.epoch, number = told->number] {
                           auto& taken = accepted_[duty];
                           if (options_.fencing && epoch < taken.first) {
                               ++count.refused_effects;
                               dispatch(node, EffectRefused{duty, epoch});
                               return;
                           }
                           if (epoch < taken.first)
                               report_violation("a receiver accepted epoch " + std::to_string(epoch) +
                                                " of " + duty + " after " + std::to_string(taken.first));
                           if (!accepted_effects_.insert({duty, epoch, number}).second)
                               report_violation("a receiver accepted effect " + std::to_string(number) +
                                                " of " + duty + " twice in the same epoch");
                           taken = std::max(taken, {epoch, number});
                       });
    } else if (std::get_if<StartProbes>(&a.action)) {
        ++count.probes;
    }
}

void SimulatedCluster::poll_discovery(size_t node)
{
    Node& n = *nodes_[node];
    if (!n.polling_discovery) return;
    ++count.discovery_calls;
    if (!discovery_answers || discovery_answers(node)) dispatch(node, fetch_list(node));
    schedule_event(seconds(0.5), node, [this, node] { poll_discovery(node); });
}

void SimulatedCluster::set_agent_version(size_t node, std::optional<uint64_t> version)
{
    nodes_[node]->agent_version = version;
}
const EndpointMap& SimulatedCluster::applied_list(size_t node) const { return nodes_[node]->applied_list; }

void SimulatedCluster::corrupt_list(size_t node, const std::string& uid, const std::string& text)
{
    nodes_[node]->list_corrupted = true;
    nodes_[node]->fleet->replica_to_corrupt()->corrupt(uid, text);
}

EndpointMap SimulatedCluster::discovery_entries(uint64_t version) const
{
    EndpointMap lines;
    const uint64_t entries = options_.list_entries;
    for (uint64_t entry = 0; entry < entries; ++entry) {
        const uint64_t changes = version < entry ? 0 : (version - entry) / entries + 1;
        if (changes % 4 == 3) continue;  // removed
        const auto uid = "u" + std::to_string(entry);
        lines[uid] = R"({"changes":)" + std::to_string(changes) + R"(,"state":"ready","uid":")" + uid + "\"}";
    }
    return lines;
}

EndpointListFetched SimulatedCluster::fetch_list(size_t node)
{
    Node& n = *nodes_[node];
    const uint64_t version = n.agent_version.value_or(discovery_version_);
    if (!options_.deltas) {
        const bool newest = version == discovery_version_;
        return {"", version, newest ? discovery_list_ : "list " + std::to_string(version), nullptr, {}};
    }
    const auto before =
        std::exchange(n.last_fetched, std::make_shared<const EndpointMap>(discovery_entries(version)));
    if (!before) return {"", version, "", n.last_fetched, {}};
    std::vector<std::string> uids;
    for (size_t entry = 0; entry < options_.list_entries; ++entry) {
        const auto uid = "u" + std::to_string(entry);
        const auto was = before->find(uid), is = n.last_fetched->find(uid);
        const bool known = was != before->end(), there = is != n.last_fetched->end();
        if (known != there || (known && was->second != is->second)) uids.push_back(uid);
    }
    return {"", version, "", n.last_fetched, std::move(uids)};
}

void SimulatedCluster::apply_list(size_t node, const ApplyEndpointList& use)
{
    Node& n = *nodes_[node];
    if (use.version < n.list_version) report_violation("an older list was applied");
    n.list_version = use.version;
    if (!options_.deltas) return;
    net::apply_list_update(n.applied_list, use.text);
    if (n.applied_list != discovery_entries(use.version))
        report_violation(n.config.id + " applied a list that differs from version " +
                         std::to_string(use.version));
}

void SimulatedCluster::apply_effects(size_t node, std::vector<FleetEffect> effects)
{
    Node& n = *nodes_[node];
    for (FleetEffect& e : effects) {
        if (on_effect) on_effect(node, e);
        if (auto* s = std::get_if<OutgoingMessage>(&e)) {
            send(node, *s);
        } else if (auto* d = std::get_if<CallVoterAgent>(&e)) {
            if (!n.voter_agent) continue;
            call_voter_agent(node, [&n, call = std::move(d->call)](TimePoint p) {
                return n.voter_agent->handle(p, call);
            });
        } else if (auto* a = std::get_if<LeasedEffect>(&e)) {
            const size_t alternative = options_.choose ? choose(ChoicePoint::effect) : 0;
            if (alternative == 1 || alternative == 2)
                n.freeze_at_effect = options_.lease.duration * (alternative == 1 ? 0.7 : 1.4);
            if (n.freeze_at_effect) {
                freeze(node, *std::exchange(n.freeze_at_effect, std::nullopt));
                schedule_event({}, node, [this, node, held = *a] { perform_effect(node, held); });
            } else {
                perform_effect(node, *a, alternative == 3 ? options_.lease.duration * 1.4 : Duration{});
            }
        } else if (auto* q = std::get_if<SetDiscoveryPolling>(&e)) {
            const bool was = std::exchange(n.polling_discovery, q->enabled);
            n.last_fetched.reset();
            if (q->enabled && !was)
                schedule_event(seconds(0.005), node, [this, node] { poll_discovery(node); });
        } else if (auto* keep = std::get_if<WriteSnapshot>(&e)) {
            n.snapshot = std::move(keep->snapshot);
        } else if (auto* u = std::get_if<ApplyEndpointList>(&e)) {
            apply_list(node, *u);
        } else if (auto* r = std::get_if<Reply>(&e)) {
            last_reply = r->text;
            add_trace(n.config.id + " answers " + r->text.substr(0, r->text.find('\n')));
        } else if (auto* m = std::get_if<LogEvent>(&e)) {
            update_candidates(node, *m);
            add_trace(n.config.id + " " + std::string(to_string(m->kind)) + " " + m->subject + " " +
                      m->health + (m->number ? " " + std::to_string(m->number) : "") +
                      (m->reason.empty() ? "" : ": " + m->reason));
        }
    }
}

// Replicas at the same revision must have the same state. Only the member's own events change its replica, so
// checking after those is enough.
void SimulatedCluster::check_replica(size_t at_node)
{
    Node& node = *nodes_[at_node];
    if (!node.up || !node.fleet->replica()) return;
    const EndpointReplica& replica = *node.fleet->replica();
    const auto at = digest_by_revision_.emplace(replica.revision(), replica.digest()).first;
    if (at->second == replica.digest())
        node.list_corrupted = false;
    else if (!node.list_corrupted)
        report_violation(node.config.id + " has a list that differs from other replicas at revision " +
                         std::to_string(replica.revision().epoch) + "." +
                         std::to_string(replica.revision().number));
}

void SimulatedCluster::update_candidates(size_t node, const LogEvent& event)
{
    if (event.kind != LogEvent::Kind::lease_gained && event.kind != LogEvent::Kind::lease_lost) return;
    check_due_ = true;
    const auto at = watched_duties_.find(event.subject);
    if (at == watched_duties_.end()) return;
    auto& candidates = at->second.candidates;
    size_t& candidate_of = nodes_[node]->candidacies;
    candidate_of -= std::erase(candidates, node);
    if (event.kind == LogEvent::Kind::lease_lost) return;
    candidates.insert(std::upper_bound(candidates.begin(), candidates.end(), node), node);
    ++candidate_of;
}

// A lower bound, in true time, of when the member's lease expires.
TimePoint SimulatedCluster::lease_expiry(size_t node) const
{
    const Node& n = *nodes_[node];
    const Duration left = n.fleet->lease_client().time_left(local_time(node));
    return now_ + left * (1 / n.rate) - Duration{2};
}

// Checks that each duty has at most one holder, each by its own clock. Holders can change only with an event
// of a candidate or when a lease expires, so other times needn't be checked.
void SimulatedCluster::check_holders()
{
    if (!check_due_ && now_ < next_check_) return;
    check_due_ = false;
    next_check_ = TimePoint{INT64_MAX};
    for (auto& [duty, watched] : watched_duties_) {
        std::vector<size_t> by;
        for (const size_t i : watched.candidates) {
            if (!nodes_[i]->fleet->holds(local_time(i), duty)) continue;
            by.push_back(i);
            next_check_ = std::min(next_check_, lease_expiry(i));
        }
        if (by.size() > 1) {
            std::string all;
            for (const size_t i : by) all += " " + nodes_[i]->config.id;
            report_violation("several members hold " + duty + " at once:" + all);
        }
        if (!by.empty() && watched.vacant_since.us) {
            gaps.push_back(now_ - watched.vacant_since);
            watched.vacant_since = {};
        } else if (by.empty() && !watched.vacant_since.us) {
            watched.vacant_since = now_;
        }
    }
}

std::map<std::string, Duration> SimulatedCluster::current_gaps() const
{
    std::map<std::string, Duration> out;
    for (const auto& [duty, watched] : watched_duties_)
        out[duty] = watched.vacant_since.us ? now_ - watched.vacant_since : Duration{};
    return out;
}

}  // namespace firtide::simulation
