#include "service_simulation.h"

#include <algorithm>
#include <cmath>

namespace firtide::simulation
{
namespace
{

constexpr Duration ticks = seconds(0.1), one_way = seconds(0.0005);

SimulatedCluster::Options world_options(const ServiceSimulation::Options& o)
{
    SimulatedCluster::Options w;
    w.members = o.balancers;
    w.voters = o.balancers >= 5 ? 5 : 3;
    w.duties = 0;
    w.lease = o.lease;
    w.tick = seconds(0.05);
    w.subset = o.subset, w.signals = o.signals, w.turns = o.turns, w.recovery = o.recovery;
    return w;
}

}  // namespace

struct ServiceSimulation::Node {
    ServiceConfig setup;
    std::unique_ptr<net::Reducer> reducer;
    uint64_t run = 0;
    net::RequestId next_caller = 1;
    std::map<net::RequestId, TimePoint> asked;
    struct Attempt {
        size_t upstream = 0;
        std::optional<uint64_t> job;
        bool probe = true;
    };
    std::map<net::AttemptId, Attempt> attempts;
    std::set<size_t> broken_roads, liar_about;
    std::vector<size_t> without;
    size_t shown = 0;
    uint32_t widening = 0;
    uint64_t served = 0, second_tries = 0;
};

struct ServiceSimulation::Up {
    ServerModel server;
    uint64_t life = 1;
    std::optional<TimePoint> started;
    TimePoint frozen_until;
    size_t busy = 0;
    std::deque<Job> waiting;
    std::set<uint64_t> called_off;
    uint64_t reached = 0;
    std::deque<TimePoint> lately;  // what reached it, while cold
};

ServiceSimulation::ServiceSimulation(Options options, uint64_t seed)
    : options_(std::move(options)), cluster_(world_options(options_), seed), load_(options_.load)
{
    for (size_t u = 0; u < options_.upstreams; ++u) {
        servers_.push_back(std::make_unique<Up>());
        servers_.back()->server = options_.upstream;
        servers_.back()->server.zone = static_cast<uint32_t>(u % 3);
    }
    for (size_t i = 0; i < options_.balancers; ++i) nodes_.push_back(std::make_unique<Node>());
    since_ = cluster_.now();
    cluster_.on_effect = [this](size_t node, FleetEffect& e) {
        if (auto* uses = std::get_if<ApplySubsetPeers>(&e)) {
            tell(node, net::SubsetPeersUpdated{std::move(uses->peers)});
        } else if (auto* signals = std::get_if<ApplyOutlierReports>(&e)) {
            tell(node, net::OutlierReportsUpdated{std::move(signals->verdicts)});
        } else if (auto* memory = std::get_if<ApplySnapshot>(&e)) {
            tell(node, net::SnapshotRestored{std::move(memory->snapshot)});
        } else if (auto* state = std::get_if<ApplyFleetState>(&e)) {
            tell(node, net::FleetStateUpdated{state->state});
        } else if (auto* parts = std::get_if<ApplyQuotas>(&e)) {
            const Duration apart = cluster_.now() - cluster_.clock_of(node);
            for (QuotaLease& p : parts->leases)
                p.full_rate_until = p.full_rate_until + apart, p.expires_at = p.expires_at + apart;
            tell(node, net::QuotasUpdated{std::move(parts->leases)});
        } else if (auto* sends = std::get_if<Send>(&e);
                   sends && std::get_if<OutlierDigest>(&sends->message)) {
            ++count.digests;
            count.digest_bytes += encode_frame(sends->message, 0).size();
        }
    };
}

ServiceSimulation::~ServiceSimulation() = default;

net::ListedEndpoint ServiceSimulation::entry(size_t upstream) const
{
    const Up& up = *servers_[upstream];
    const auto name = "u" + std::to_string(upstream + 1);
    return {name,      "10.0.0.1:" + std::to_string(upstream + 1), EndpointPhase::ready, 0, 0, up.server.size,
            up.started};
}

void ServiceSimulation::start(size_t b)
{
    Node& n = *nodes_[b];
    if (n.reducer) return;
    const auto keep = n.broken_roads;
    n = Node{};
    n.broken_roads = keep;
    Settings s;
    Operation op;
    op.idempotency = Idempotency::idempotent;
    op.deduplication_scope = DeduplicationScope::all;
    op.latency_objective = options_.objective;
    op.client_timeout = options_.client_timeout;
    s.operations = {op};
    s.balancer_count = static_cast<uint32_t>(options_.balancers);
    s.self_index = static_cast<uint32_t>(b);
    s.max_forwards = 3, s.may_cancel = true;
    s.max_retry_after = seconds(0.5);
    s.slow_start_duration = options_.cold, s.slow_start_min_share = options_.cold_share,
    s.collapse_multiple = options_.push, s.collapse_window = options_.falls_after;
    n.setup.settings = s;
    n.setup.operation_names = {"op"};
    n.setup.load_report_fields = {"q"};
    n.setup.load_report_members = {&LoadReport::queue_length};
    n.setup.capacities_listed = true;
    static uint64_t runs = 0;
    n.run = ++runs;
    n.reducer = std::make_unique<net::Reducer>(n.setup, cluster_.chance()(), "here:1");
    if (options_.recovery) n.reducer->enable_staged_startup(*options_.recovery);
    if (options_.subset || options_.signals || options_.turns || options_.recovery)
        n.reducer->join_fleet({options_.subset,
                               options_.signals,
                               options_.turns,
                               key_of("m" + std::to_string(b + 1)),
                               0,
                               {},
                               0.1});
    cluster_.start(b);
    cluster_.schedule({}, b, [this, b] {
        tell(b, net::ServiceStarted{});
        list_to(b, nodes_[b]->without);
        tick(b);
        ask(b);
    });
}

void ServiceSimulation::stop(size_t b)
{
    cluster_.crash(b);
    nodes_[b]->reducer.reset();
    nodes_[b]->shown = 0;
}

void ServiceSimulation::run(Duration span) { cluster_.run(span); }

void ServiceSimulation::tick(size_t b)
{
    tell(b, net::Tick{});
    cluster_.schedule(ticks, b, [this, b] { tick(b); });
}

// Poisson arrivals, in even parts among those that run.
void ServiceSimulation::ask(size_t b)
{
    double all = 0, able = 0;
    for (const auto& n : nodes_) all += n->reducer ? 1 : 0;
    for (const auto& up : servers_) able += static_cast<double>(up->server.slots) / up->server.mean;
    const double rate = load_ * able / all;
    const Duration next = seconds(-std::log(1 - cluster_.roll()) / rate);
    cluster_.schedule(next, b, [this, b] {
        Node& n = *nodes_[b];
        if (!n.reducer) return;
        const net::RequestId caller = n.next_caller++;
        n.asked[caller] = cluster_.now();
        ++count.asked;
        Request request{"GET", "/op", "", 0, 0, options_.client_timeout, {}, ""};
        request.id = std::to_string(caller);
        tell(b, net::RequestReceived{caller, std::move(request)});
        ask(b);
    });
}

void ServiceSimulation::tell(size_t b, net::Event event)
{
    if (!nodes_[b]->reducer) return;
    carry_out(b, nodes_[b]->reducer->reduce(cluster_.now(), std::move(event)));
}

void ServiceSimulation::carry_out(size_t b, std::vector<net::Effect> effects)
{
    Node& n = *nodes_[b];
    for (net::Effect& e : effects) {
        if (auto* a = std::get_if<net::SendResponse>(&e)) {
            const auto at = n.asked.find(a->caller);
            if (at == n.asked.end()) continue;
            const bool well = a->response.status == 200;
            count.served += well, n.served += well;
            const bool in_time = well && cluster_.now() - at->second <= options_.objective;
            count.in_time += in_time;
            const auto window = static_cast<size_t>((cluster_.now() - since_) / seconds(0.5));
            if (window >= in_time_by_.size()) in_time_by_.resize(window + 1);
            in_time_by_[window] += in_time;
            count.throttled += a->response.status == 503;
            count.errored += !well && a->response.status != 503;
            n.asked.erase(at);
        } else if (auto* d = std::get_if<net::ConnectUpstream>(&e)) {
            const size_t up = std::stoul(d->endpoint.substr(d->endpoint.find(':') + 1)) - 1;
            n.attempts[d->attempt] = {up, {}, true};
            const bool whole = !n.broken_roads.count(up);
            cluster_.schedule(whole ? one_way * 2 : seconds(0.05), b, [this, b, id = d->attempt, whole] {
                if (!nodes_[b]->attempts.count(id)) return;
                if (whole) return tell(b, net::UpstreamConnected{id});
                nodes_[b]->attempts.erase(id);
                tell(b, net::AttemptFailed{id, {AttemptProgress::not_connected, FailureCause::timed_out}});
            });
            cluster_.schedule(d->timeout, b, [this, b, id = d->attempt] {
                const auto open = nodes_[b]->attempts.find(id);
                if (open == nodes_[b]->attempts.end()) return;
                if (open->second.job) servers_[open->second.upstream]->called_off.insert(*open->second.job);
                nodes_[b]->attempts.erase(open);
                tell(b, net::AttemptFailed{id, {AttemptProgress::written, FailureCause::timed_out}});
            });
        } else if (auto* w = std::get_if<net::WriteUpstream>(&e)) {
            const auto at = n.attempts.find(w->attempt);
            if (at == n.attempts.end()) continue;
            at->second.probe = w->bytes.find("/op") == std::string::npos;
            const Job job{b, n.run, w->attempt, next_job_++};
            at->second.job = job.number;
            ++count.forwards;
            if (servers_[at->second.upstream]->started &&
                cluster_.now() - *servers_[at->second.upstream]->started < options_.cold) {
                ++count.cold_forwards;
            }
            cluster_.schedule(one_way, SIZE_MAX, [this, up = at->second.upstream, job] { reach(up, job); });
        } else if (auto* up = std::get_if<net::CloseUpstream>(&e)) {
            const auto at = n.attempts.find(up->attempt);
            if (at == n.attempts.end()) continue;
            if (at->second.job) servers_[at->second.upstream]->called_off.insert(*at->second.job);
            n.attempts.erase(at);
        } else if (auto* wake = std::get_if<net::StartTimer>(&e)) {
            cluster_.schedule(wake->at - cluster_.now(), b,
                              [this, b, name = wake->timer_id] { tell(b, net::TimerFired{name}); });
        } else if (auto* observed = std::get_if<net::LocalObservations>(&e)) {
            count.widened += observed->widening_steps > n.widening,
                count.narrowed += observed->widening_steps < n.widening;
            n.shown = observed->upstreams_shown, n.widening = observed->widening_steps;
            for (const size_t u : n.liar_about) {
                const uint64_t id = net::hash_uid("u" + std::to_string(u + 1));
                std::erase_if(observed->outlier_evidence,
                              [&](const OutlierEvidence& v) { return v.upstream == id; });
                observed->outlier_evidence.push_back({id, 1, 0, 20, {}, seconds(9), {}});
            }
            cluster_.tell(b, std::move(*observed));
        }
    }
}

size_t ServiceSimulation::slots_now(const Up& up) const
{
    if (!up.started) return up.server.slots;
    const double age = std::min(1.0, (cluster_.now() - *up.started) / options_.cold);
    const double part = options_.cold_share + (1 - options_.cold_share) * age;
    return std::max<size_t>(1, static_cast<size_t>(std::lround(part * static_cast<double>(up.server.slots))));
}

// A cold one falls over where so much more reaches it within a moment than it can do by then.
void ServiceSimulation::judge_cold(size_t u)
{
    Up& up = *servers_[u];
    if (!up.started || cluster_.now() - *up.started >= options_.cold) return;
    up.lately.push_back(cluster_.now());
    while (cluster_.now() - up.lately.front() > options_.falls_after) up.lately.pop_front();
    const double age = (cluster_.now() - *up.started) / options_.cold;
    const double able = (options_.cold_share + (1 - options_.cold_share) * age) *
                        static_cast<double>(up.server.slots) / up.server.mean *
                        options_.falls_after.seconds();
    if (static_cast<double>(up.lately.size()) <= able * options_.push + 3) return;
    ++count.fell_over;
    restart(u);
}

void ServiceSimulation::reach(size_t u, Job job)
{
    Up& up = *servers_[u];
    ++up.reached;
    judge_cold(u);
    if (up.busy < slots_now(up)) return begin(u, job);
    if (up.waiting.size() < up.server.queue) return up.waiting.push_back(job);
    Response declined;
    declined.status = 503, declined.declined = true;
    declined.load_report.queue_length = static_cast<double>(up.waiting.size());
    answer(job, std::move(declined));
}

void ServiceSimulation::begin(size_t u, Job job)
{
    Up& up = *servers_[u];
    ++up.busy;
    const Duration takes = seconds(-std::log(1 - cluster_.roll()) * up.server.mean);
    cluster_.schedule(takes, SIZE_MAX, [this, u, job, life = up.life] { end(u, job, life); });
}

void ServiceSimulation::end(size_t u, Job job, uint64_t life)
{
    Up& up = *servers_[u];
    if (up.life != life) return;
    if (cluster_.now() < up.frozen_until)
        return cluster_.schedule(up.frozen_until - cluster_.now(), SIZE_MAX,
                                 [this, u, job, life] { end(u, job, life); });
    --up.busy;
    if (up.called_off.erase(job.number) == 0) {
        Response well;
        well.status = 200;
        well.load_report.queue_length = static_cast<double>(up.waiting.size());
        answer(job, std::move(well));
    }
    while (!up.waiting.empty() && up.busy < slots_now(up)) {
        const Job next = up.waiting.front();
        up.waiting.pop_front();
        if (up.called_off.erase(next.number) == 0) begin(u, next);
    }
}

void ServiceSimulation::answer(const Job& job, Response response)
{
    cluster_.schedule(one_way, SIZE_MAX, [this, job, response = std::move(response)]() mutable {
        Node& n = *nodes_[job.node];
        if (!n.reducer || n.run != job.run || !n.attempts.erase(job.attempt)) return;
        // A process that stands still reads it later.
        cluster_.schedule({}, job.node, [this, job, response = std::move(response)]() mutable {
            tell(job.node, net::ResponseReceived{job.attempt, std::move(response)});
        });
    });
}

void ServiceSimulation::freeze(size_t u, Duration span) { servers_[u]->frozen_until = cluster_.now() + span; }

void ServiceSimulation::restart(size_t u)
{
    Up& up = *servers_[u];
    ++up.life;
    up.started = cluster_.now();
    up.lately.clear(), up.called_off.clear();
    up.busy = 0, up.waiting.clear();
    for (size_t b = 0; b < nodes_.size(); ++b) {
        if (!nodes_[b]->reducer) continue;
        std::vector<net::AttemptId> broken;
        for (const auto& [id, a] : nodes_[b]->attempts)
            if (a.upstream == u && a.job) broken.push_back(id);
        for (const net::AttemptId id : broken) {
            nodes_[b]->attempts.erase(id);
            cluster_.schedule(one_way, b, [this, b, id] {
                tell(b, net::AttemptFailed{id, {AttemptProgress::written, FailureCause::connection_lost}});
            });
        }
    }
    list_to_all();
}

void ServiceSimulation::road(size_t b, size_t u, bool whole)
{
    if (whole)
        nodes_[b]->broken_roads.erase(u);
    else
        nodes_[b]->broken_roads.insert(u);
}

void ServiceSimulation::list_to(size_t b, std::vector<size_t> without)
{
    nodes_[b]->without = std::move(without);
    if (!nodes_[b]->reducer) return;
    net::EndpointListUpdated list{true, {}};
    for (size_t u = 0; u < servers_.size(); ++u)
        if (std::find(nodes_[b]->without.begin(), nodes_[b]->without.end(), u) == nodes_[b]->without.end())
            list.entries.push_back(entry(u));
    tell(b, std::move(list));
}

// Each hears of it within a few tens of milliseconds.
void ServiceSimulation::list_to_all()
{
    for (size_t b = 0; b < nodes_.size(); ++b)
        if (nodes_[b]->reducer)
            cluster_.schedule(seconds(0.005 + 0.05 * cluster_.roll()), b,
                              [this, b] { list_to(b, nodes_[b]->without); });
}

void ServiceSimulation::lies(size_t b, std::vector<size_t> about)
{
    nodes_[b]->liar_about = {about.begin(), about.end()};
}

void ServiceSimulation::reset()
{
    count = {};
    in_time_by_.clear();
    since_ = cluster_.now();
    for (auto& up : servers_) up->reached = 0;
    for (auto& n : nodes_) n->served = 0;
}

std::vector<double> ServiceSimulation::offered() const
{
    std::vector<double> out;
    for (const auto& up : servers_)
        out.push_back(static_cast<double>(up->reached) / up->server.size /
                      std::max(1e-9, (cluster_.now() - since_).seconds()));
    return out;
}

double ServiceSimulation::greatest_over_mean() const
{
    const auto all = offered();
    double sum = 0;
    for (const double x : all) sum += x;
    return sum > 0 ? *std::max_element(all.begin(), all.end()) * static_cast<double>(all.size()) / sum : 0;
}

size_t ServiceSimulation::connections() const
{
    size_t n = 0;
    for (const auto& node : nodes_)
        if (node->reducer) n += node->shown;
    return n;
}

double ServiceSimulation::back_to(double part, double usual_load) const
{
    double able = 0;
    for (const auto& up : servers_) able += static_cast<double>(up->server.slots) / up->server.mean;
    const double wanted = part * usual_load * able * 0.5;
    for (size_t w = 0; w + 4 < in_time_by_.size(); ++w) {
        double least = 1e18;
        for (size_t i = w; i < w + 4; ++i) least = std::min(least, static_cast<double>(in_time_by_[i]));
        if (least >= wanted * 0.98) return static_cast<double>(w + 1) * 0.5;
    }
    return -1;
}

std::vector<uint64_t> ServiceSimulation::served_by() const
{
    std::vector<uint64_t> out;
    for (const auto& n : nodes_)
        if (n->reducer) out.push_back(n->served);
    return out;
}

}  // namespace firtide::simulation
