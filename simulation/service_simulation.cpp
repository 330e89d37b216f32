#include "service_simulation.h"

#include <algorithm>
#include <cmath>

namespace firtide::simulation
{
namespace
{

constexpr Duration tick_interval = seconds(0.1), one_way_latency = seconds(0.0005);

SimulatedCluster::Options cluster_options(const ServiceSimulation::Options& o)
{
    SimulatedCluster::Options w;
    w.members = o.balancers;
    w.voters = o.balancers >= 5 ? 5 : 3;
    w.duties = 0;
    w.lease = o.lease;
    w.tick = seconds(0.05);
    w.subset = o.subset, w.outlier_gossip = o.outlier_gossip, w.quotas = o.quotas, w.recovery = o.recovery;
    return w;
}

}  // namespace

struct ServiceSimulation::Node {
    ServiceConfig config;
    std::unique_ptr<net::Reducer> reducer;
    uint64_t generation = 0;
    net::RequestId next_caller = 1;
    std::map<net::RequestId, TimePoint> request_times;
    struct Attempt {
        size_t upstream = 0;
        std::optional<uint64_t> job;
        bool probe = true;
    };
    std::map<net::AttemptId, Attempt> attempts;
    std::set<size_t> unreachable, falsely_reported;
    std::vector<size_t> hidden_upstreams;
    size_t upstreams_shown = 0;
    uint32_t widening_steps = 0;
    uint64_t served = 0, retries = 0;
};

struct ServiceSimulation::Upstream {
    ServerModel server;
    uint64_t generation = 1;
    std::optional<TimePoint> started_at;
    TimePoint frozen_until;
    size_t busy = 0;
    std::deque<Job> queue;
    std::set<uint64_t> cancelled;
    uint64_t arrivals = 0;
    std::deque<TimePoint> recent_arrivals;  // times of requests during warm-up
};

ServiceSimulation::ServiceSimulation(Options options, uint64_t seed)
    : options_(std::move(options)), cluster_(cluster_options(options_), seed), load_(options_.load)
{
    for (size_t upstream = 0; upstream < options_.upstreams; ++upstream) {
        upstreams_.push_back(std::make_unique<Upstream>());
        upstreams_.back()->server = options_.upstream;
        upstreams_.back()->server.zone = static_cast<uint32_t>(upstream % 3);
    }
    for (size_t i = 0; i < options_.balancers; ++i) nodes_.push_back(std::make_unique<Node>());
    counting_since_ = cluster_.now();
    cluster_.on_effect = [this](size_t node, FleetEffect& e) {
        if (auto* uses = std::get_if<ApplySubsetPeers>(&e)) {
            dispatch(node, net::SubsetPeersUpdated{std::move(uses->peers)});
        } else if (auto* signals = std::get_if<ApplyOutlierReports>(&e)) {
            dispatch(node, net::OutlierReportsUpdated{std::move(signals->verdicts)});
        } else if (auto* memory = std::get_if<ApplySnapshot>(&e)) {
            dispatch(node, net::SnapshotRestored{std::move(memory->snapshot)});
        } else if (auto* state = std::get_if<ApplyFleetState>(&e)) {
            dispatch(node, net::FleetStateUpdated{state->state});
        } else if (auto* parts = std::get_if<ApplyQuotas>(&e)) {
            const Duration apart = cluster_.now() - cluster_.local_time(node);
            for (QuotaLease& p : parts->leases)
                p.full_rate_until = p.full_rate_until + apart, p.expires_at = p.expires_at + apart;
            dispatch(node, net::QuotasUpdated{std::move(parts->leases)});
        } else if (auto* sends = std::get_if<OutgoingMessage>(&e);
                   sends && std::get_if<OutlierDigest>(&sends->message)) {
            ++count.digests;
            count.digest_bytes += encode_frame(sends->message, 0).size();
        }
    };
}

ServiceSimulation::~ServiceSimulation() = default;

net::ListedEndpoint ServiceSimulation::entry(size_t upstream) const
{
    const Upstream& up = *upstreams_[upstream];
    const auto name = "u" + std::to_string(upstream + 1);
    return {
        name,         "10.0.0.1:" + std::to_string(upstream + 1), EndpointPhase::ready, {}, up.server.size,
        up.started_at};
}

void ServiceSimulation::start(size_t balancer)
{
    Node& n = *nodes_[balancer];
    if (n.reducer) return;
    const auto keep = n.unreachable;
    n = Node{};
    n.unreachable = keep;
    Settings s;
    Operation op;
    op.idempotency = Idempotency::idempotent;
    op.deduplication_scope = DeduplicationScope::all;
    op.latency_objective = options_.latency_objective;
    op.client_timeout = options_.client_timeout;
    s.operations = {op};
    s.balancer_count = static_cast<uint32_t>(options_.balancers);
    s.self_index = static_cast<uint32_t>(balancer);
    s.max_forwards = 3, s.may_cancel = true;
    s.max_retry_after = seconds(0.5);
    s.slow_start_duration = options_.cold_duration, s.slow_start_min_share = options_.cold_share,
    s.collapse_multiple = options_.collapse_multiple, s.collapse_window = options_.collapse_window;
    n.config.settings = s;
    n.config.operation_names = {"op"};
    n.config.load_report_fields = {"q"};
    n.config.load_report_members = {&LoadReport::queue_length};
    n.config.capacities_listed = true;
    static uint64_t runs = 0;
    n.generation = ++runs;
    n.reducer = std::make_unique<net::Reducer>(n.config, cluster_.random()(), "here:1");
    if (options_.recovery) n.reducer->enable_staged_startup(*options_.recovery);
    if (options_.subset || options_.outlier_gossip || options_.quotas || options_.recovery)
        n.reducer->join_fleet({options_.subset,
                               options_.outlier_gossip,
                               options_.quotas,
                               key_of("m" + std::to_string(balancer + 1)),
                               {},
                               {},
                               0.1});
    cluster_.start(balancer);
    cluster_.schedule({}, balancer, [this, balancer] {
        dispatch(balancer, net::ServiceStarted{});
        send_list(balancer, nodes_[balancer]->hidden_upstreams);
        tick(balancer);
        schedule_request(balancer);
    });
}

void ServiceSimulation::stop(size_t balancer)
{
    cluster_.crash(balancer);
    nodes_[balancer]->reducer.reset();
    nodes_[balancer]->upstreams_shown = 0;
}

void ServiceSimulation::run(Duration span) { cluster_.run(span); }

void ServiceSimulation::tick(size_t balancer)
{
    dispatch(balancer, net::Tick{});
    cluster_.schedule(tick_interval, balancer, [this, balancer] { tick(balancer); });
}

// Poisson arrivals, divided evenly among the running balancers.
void ServiceSimulation::schedule_request(size_t balancer)
{
    double all = 0, capacity = 0;
    for (const auto& n : nodes_) all += n->reducer ? 1 : 0;
    for (const auto& up : upstreams_)
        capacity += static_cast<double>(up->server.slots) / up->server.mean_service_seconds;
    const double rate = load_ * capacity / all;
    const Duration next = seconds(-std::log(1 - cluster_.uniform()) / rate);
    cluster_.schedule(next, balancer, [this, balancer] {
        Node& n = *nodes_[balancer];
        if (!n.reducer) return;
        const net::RequestId caller = n.next_caller++;
        n.request_times[caller] = cluster_.now();
        ++count.requests;
        Request request{"GET", "/op", "", 0, 0, options_.client_timeout, {}, ""};
        request.id = std::to_string(caller);
        dispatch(balancer, net::RequestReceived{caller, std::move(request)});
        schedule_request(balancer);
    });
}

void ServiceSimulation::dispatch(size_t balancer, net::Event event)
{
    if (!nodes_[balancer]->reducer) return;
    apply_effects(balancer, nodes_[balancer]->reducer->reduce(cluster_.now(), std::move(event)));
}

void ServiceSimulation::apply_effects(size_t balancer, std::vector<net::Effect> effects)
{
    Node& n = *nodes_[balancer];
    for (net::Effect& e : effects) {
        if (auto* a = std::get_if<net::SendResponse>(&e)) {
            const auto at = n.request_times.find(a->caller);
            if (at == n.request_times.end()) continue;
            const bool succeeded = a->response.status == 200;
            count.served += succeeded, n.served += succeeded;
            const bool in_time = succeeded && cluster_.now() - at->second <= options_.latency_objective;
            count.in_time += in_time;
            const auto window = static_cast<size_t>((cluster_.now() - counting_since_) / seconds(0.5));
            if (window >= in_time_by_window_.size()) in_time_by_window_.resize(window + 1);
            in_time_by_window_[window] += in_time;
            count.throttled += a->response.status == 503;
            count.errors += !succeeded && a->response.status != 503;
            n.request_times.erase(at);
        } else if (auto* d = std::get_if<net::ConnectUpstream>(&e)) {
            const size_t up = std::stoul(d->endpoint.substr(d->endpoint.find(':') + 1)) - 1;
            n.attempts[d->attempt] = {up, {}, true};
            const bool reachable = !n.unreachable.count(up);
            cluster_.schedule(
                reachable ? one_way_latency * 2 : seconds(0.05), balancer,
                [this, balancer, id = d->attempt, reachable] {
                    if (!nodes_[balancer]->attempts.count(id)) return;
                    if (reachable) return dispatch(balancer, net::UpstreamConnected{id});
                    nodes_[balancer]->attempts.erase(id);
                    dispatch(balancer, net::AttemptFailed{
                                           id, {AttemptProgress::not_connected, FailureCause::timed_out}});
                });
            cluster_.schedule(d->timeout, balancer, [this, balancer, id = d->attempt] {
                const auto open = nodes_[balancer]->attempts.find(id);
                if (open == nodes_[balancer]->attempts.end()) return;
                if (open->second.job) upstreams_[open->second.upstream]->cancelled.insert(*open->second.job);
                nodes_[balancer]->attempts.erase(open);
                dispatch(balancer,
                         net::AttemptFailed{id, {AttemptProgress::written, FailureCause::timed_out}});
            });
        } else if (auto* w = std::get_if<net::WriteUpstream>(&e)) {
            const auto at = n.attempts.find(w->attempt);
            if (at == n.attempts.end()) continue;
            at->second.probe = w->bytes.find("/op") == std::string::npos;
            const Job job{balancer, n.generation, w->attempt, next_job_++};
            at->second.job = job.number;
            ++count.forwards;
            if (upstreams_[at->second.upstream]->started_at &&
                cluster_.now() - *upstreams_[at->second.upstream]->started_at < options_.cold_duration) {
                ++count.cold_forwards;
            }
            cluster_.schedule(one_way_latency, SIZE_MAX,
                              [this, up = at->second.upstream, job] { arrive(up, job); });
        } else if (auto* up = std::get_if<net::CloseUpstream>(&e)) {
            const auto at = n.attempts.find(up->attempt);
            if (at == n.attempts.end()) continue;
            if (at->second.job) upstreams_[at->second.upstream]->cancelled.insert(*at->second.job);
            n.attempts.erase(at);
        } else if (auto* wake = std::get_if<net::StartTimer>(&e)) {
            cluster_.schedule(wake->at - cluster_.now(), balancer, [this, balancer, name = wake->timer_id] {
                dispatch(balancer, net::TimerFired{name});
            });
        } else if (auto* observed = std::get_if<net::LocalObservations>(&e)) {
            count.widened += observed->widening_steps > n.widening_steps,
                count.narrowed += observed->widening_steps < n.widening_steps;
            n.upstreams_shown = observed->upstreams_shown, n.widening_steps = observed->widening_steps;
            for (const size_t upstream : n.falsely_reported) {
                const uint64_t id = net::hash_uid("u" + std::to_string(upstream + 1));
                std::erase_if(observed->outlier_evidence,
                              [&](const OutlierEvidence& v) { return v.upstream == id; });
                observed->outlier_evidence.push_back({id, 1, 0, 20, {}, seconds(9), {}});
            }
            cluster_.dispatch(balancer, std::move(*observed));
        }
    }
}

size_t ServiceSimulation::available_slots(const Upstream& up) const
{
    if (!up.started_at) return up.server.slots;
    const double age = std::min(1.0, (cluster_.now() - *up.started_at) / options_.cold_duration);
    const double part = options_.cold_share + (1 - options_.cold_share) * age;
    return std::max<size_t>(1, static_cast<size_t>(std::lround(part * static_cast<double>(up.server.slots))));
}

// Lets an upstream in warm-up collapse when the requests within the collapse window exceed the configured
// multiple of its current capacity.
void ServiceSimulation::check_collapse(size_t upstream)
{
    Upstream& up = *upstreams_[upstream];
    if (!up.started_at || cluster_.now() - *up.started_at >= options_.cold_duration) return;
    up.recent_arrivals.push_back(cluster_.now());
    while (cluster_.now() - up.recent_arrivals.front() > options_.collapse_window)
        up.recent_arrivals.pop_front();
    const double age = (cluster_.now() - *up.started_at) / options_.cold_duration;
    const double capacity = (options_.cold_share + (1 - options_.cold_share) * age) *
                            static_cast<double>(up.server.slots) / up.server.mean_service_seconds *
                            options_.collapse_window.seconds();
    if (static_cast<double>(up.recent_arrivals.size()) <= capacity * options_.collapse_multiple + 3) return;
    ++count.collapses;
    restart(upstream);
}

void ServiceSimulation::arrive(size_t upstream, Job job)
{
    Upstream& up = *upstreams_[upstream];
    ++up.arrivals;
    check_collapse(upstream);
    if (up.busy < available_slots(up)) return begin_service(upstream, job);
    if (up.queue.size() < up.server.queue) return up.queue.push_back(job);
    Response declined;
    declined.status = 503, declined.declined = true;
    declined.load_report.queue_length = static_cast<double>(up.queue.size());
    send_response(job, std::move(declined));
}

void ServiceSimulation::begin_service(size_t upstream, Job job)
{
    Upstream& up = *upstreams_[upstream];
    ++up.busy;
    const Duration takes = seconds(-std::log(1 - cluster_.uniform()) * up.server.mean_service_seconds);
    cluster_.schedule(takes, SIZE_MAX, [this, upstream, job, generation = up.generation] {
        end_service(upstream, job, generation);
    });
}

void ServiceSimulation::end_service(size_t upstream, Job job, uint64_t generation)
{
    Upstream& up = *upstreams_[upstream];
    if (up.generation != generation) return;
    if (cluster_.now() < up.frozen_until)
        return cluster_.schedule(
            up.frozen_until - cluster_.now(), SIZE_MAX,
            [this, upstream, job, generation] { end_service(upstream, job, generation); });
    --up.busy;
    if (up.cancelled.erase(job.number) == 0) {
        Response succeeded;
        succeeded.status = 200;
        succeeded.load_report.queue_length = static_cast<double>(up.queue.size());
        send_response(job, std::move(succeeded));
    }
    while (!up.queue.empty() && up.busy < available_slots(up)) {
        const Job next = up.queue.front();
        up.queue.pop_front();
        if (up.cancelled.erase(next.number) == 0) begin_service(upstream, next);
    }
}

void ServiceSimulation::send_response(const Job& job, Response response)
{
    cluster_.schedule(one_way_latency, SIZE_MAX, [this, job, response = std::move(response)]() mutable {
        Node& n = *nodes_[job.node];
        if (!n.reducer || n.generation != job.generation || !n.attempts.erase(job.attempt)) return;
        // A frozen process reads the response when it resumes.
        cluster_.schedule({}, job.node, [this, job, response = std::move(response)]() mutable {
            dispatch(job.node, net::ResponseReceived{job.attempt, std::move(response)});
        });
    });
}

void ServiceSimulation::freeze(size_t upstream, Duration span)
{
    upstreams_[upstream]->frozen_until = cluster_.now() + span;
}

void ServiceSimulation::restart(size_t upstream)
{
    Upstream& up = *upstreams_[upstream];
    ++up.generation;
    up.started_at = cluster_.now();
    up.recent_arrivals.clear(), up.cancelled.clear();
    up.busy = 0, up.queue.clear();
    for (size_t balancer = 0; balancer < nodes_.size(); ++balancer) {
        if (!nodes_[balancer]->reducer) continue;
        std::vector<net::AttemptId> broken;
        for (const auto& [id, a] : nodes_[balancer]->attempts)
            if (a.upstream == upstream && a.job) broken.push_back(id);
        for (const net::AttemptId id : broken) {
            nodes_[balancer]->attempts.erase(id);
            cluster_.schedule(one_way_latency, balancer, [this, balancer, id] {
                dispatch(balancer,
                         net::AttemptFailed{id, {AttemptProgress::written, FailureCause::connection_lost}});
            });
        }
    }
    send_list_to_all();
}

void ServiceSimulation::set_reachable(size_t balancer, size_t upstream, bool reachable)
{
    if (reachable)
        nodes_[balancer]->unreachable.erase(upstream);
    else
        nodes_[balancer]->unreachable.insert(upstream);
}

void ServiceSimulation::send_list(size_t balancer, std::vector<size_t> hidden_upstreams)
{
    nodes_[balancer]->hidden_upstreams = std::move(hidden_upstreams);
    if (!nodes_[balancer]->reducer) return;
    net::EndpointListUpdated list{true, {}};
    for (size_t upstream = 0; upstream < upstreams_.size(); ++upstream)
        if (std::find(nodes_[balancer]->hidden_upstreams.begin(), nodes_[balancer]->hidden_upstreams.end(),
                      upstream) == nodes_[balancer]->hidden_upstreams.end())
            list.entries.push_back(entry(upstream));
    dispatch(balancer, std::move(list));
}

// The new list reaches each balancer after a random delay of 5 to 55 ms.
void ServiceSimulation::send_list_to_all()
{
    for (size_t balancer = 0; balancer < nodes_.size(); ++balancer)
        if (nodes_[balancer]->reducer)
            cluster_.schedule(seconds(0.005 + 0.05 * cluster_.uniform()), balancer,
                              [this, balancer] { send_list(balancer, nodes_[balancer]->hidden_upstreams); });
}

void ServiceSimulation::set_false_reports(size_t balancer, std::vector<size_t> about)
{
    nodes_[balancer]->falsely_reported = {about.begin(), about.end()};
}

void ServiceSimulation::reset_counts()
{
    count = {};
    in_time_by_window_.clear();
    counting_since_ = cluster_.now();
    for (auto& up : upstreams_) up->arrivals = 0;
    for (auto& n : nodes_) n->served = 0;
}

std::vector<double> ServiceSimulation::offered_load() const
{
    std::vector<double> out;
    for (const auto& up : upstreams_)
        out.push_back(static_cast<double>(up->arrivals) / up->server.size /
                      std::max(1e-9, (cluster_.now() - counting_since_).seconds()));
    return out;
}

double ServiceSimulation::max_over_mean() const
{
    const auto all = offered_load();
    double sum = 0;
    for (const double x : all) sum += x;
    return sum > 0 ? *std::max_element(all.begin(), all.end()) * static_cast<double>(all.size()) / sum : 0;
}

size_t ServiceSimulation::connections() const
{
    size_t n = 0;
    for (const auto& node : nodes_)
        if (node->reducer) n += node->upstreams_shown;
    return n;
}

double ServiceSimulation::seconds_until_recovered(double part, double usual_load) const
{
    double capacity = 0;
    for (const auto& up : upstreams_)
        capacity += static_cast<double>(up->server.slots) / up->server.mean_service_seconds;
    const double wanted = part * usual_load * capacity * 0.5;
    for (size_t w = 0; w + 4 < in_time_by_window_.size(); ++w) {
        double least = 1e18;
        for (size_t i = w; i < w + 4; ++i)
            least = std::min(least, static_cast<double>(in_time_by_window_[i]));
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
