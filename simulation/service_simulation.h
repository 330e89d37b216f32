// Balancers as they are (reducer, decision module, fleet) in virtual time, against modelled callers and
// upstreams: what the choices of many add up to. One seed, one run, byte for byte.
#pragma once

#include <deque>

#include "simulated_cluster.h"
#include "src/net/reducer.h"

namespace firtide::simulation
{

// A server of so many slots and a queue, first come first served; times are exponential. After a start its
// slots grow from a part to all; pushed beyond what it can take then, it falls over and starts again.
struct ServerModel {
    size_t slots = 8, queue = 40;
    double mean_service_seconds = 0.02;  // seconds of an answer
    double size = 1;
    uint32_t zone = 0;
};

class ServiceSimulation
{
  public:
    struct Options {
        size_t balancers = 30, upstreams = 20;
        ServerModel upstream;
        double load = 0.6;  // of what all upstreams can do
        std::optional<SubsetConfig> subset;
        std::optional<OutlierGossipConfig> outlier_gossip;
        std::optional<QuotaConfig> quotas;
        std::optional<StartupConfig> recovery;
        LeaseConfig lease;
        Duration cold_duration = seconds(20), collapse_window = seconds(1);
        double cold_share = 0.1,
               collapse_multiple = 2;  // what pushes a cold one over: so much more than it can do
        Duration latency_objective = seconds(0.25), client_timeout = seconds(1);
    };
    ServiceSimulation(Options options, uint64_t seed);
    ~ServiceSimulation();

    SimulatedCluster& cluster() { return cluster_; }
    size_t balancers() const { return nodes_.size(); }
    size_t upstreams() const { return upstreams_.size(); }
    void start(size_t balancer);
    void stop(size_t balancer);
    void run(Duration span);

    void freeze(size_t upstream, Duration span);  // takes work and stands still
    void restart(size_t upstream);                // it comes back cold at once
    void set_reachable(size_t balancer, size_t upstream, bool whole);
    void send_list(size_t balancer, std::vector<size_t> without = {});
    void send_list_to_all();
    void set_load(double of_capacity) { load_ = of_capacity; }
    // One that tells all others that these are gone, whatever it sees.
    void set_false_reports(size_t balancer, std::vector<size_t> about);

    struct Count {
        uint64_t requests = 0, served = 0, in_time = 0, throttled = 0, errors = 0;
        uint64_t forwards = 0, retries = 0, collapses = 0, cold_forwards = 0;
        uint64_t digests = 0, digest_bytes = 0, widened = 0, narrowed = 0;
    };
    Count count;
    // Since reset(): for each upstream what reached it, over its size.
    void reset_counts();
    Duration elapsed() const { return cluster_.now() - counting_since_; }
    std::vector<double> offered_load() const;
    double max_over_mean() const;
    size_t connections() const;               // upstreams that balancers use, added up
    std::vector<uint64_t> served_by() const;  // each balancer, since reset()
    // Seconds from reset() until so much of what is usually asked is answered in time, and stays so; -1:
    // never.
    double seconds_until_recovered(double part, double usual_load) const;

  private:
    struct Node;
    struct Upstream;
    struct Job {
        size_t node = 0;
        uint64_t generation = 0;
        net::AttemptId attempt = 0;
        uint64_t number = 0;
    };

    void dispatch(size_t node, net::Event event);
    void apply_effects(size_t node, std::vector<net::Effect> effects);
    void tick(size_t node);
    void schedule_request(size_t node);
    void arrive(size_t upstream, Job job);
    void begin_service(size_t upstream, Job job);
    void end_service(size_t upstream, Job job, uint64_t life);
    void send_response(const Job& job, Response response);
    size_t available_slots(const Upstream& up) const;
    void check_collapse(size_t upstream);
    net::ListedEndpoint entry(size_t upstream) const;

    Options options_;
    SimulatedCluster cluster_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    double load_;
    uint64_t next_job_ = 1;
    TimePoint counting_since_;
    std::vector<uint64_t> in_time_by_window_;  // half a second each
};

}  // namespace firtide::simulation
