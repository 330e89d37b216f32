// Simulation of a whole service in virtual time: production balancers (reducer, decision module, fleet)
// between modelled callers and upstreams. It shows the combined effect of many balancers' decisions. The same
// seed gives the same run, byte for byte.
#pragma once

#include <deque>

#include "simulated_cluster.h"
#include "src/net/reducer.h"

namespace firtide::simulation
{

// A FIFO queueing server with parallel slots, a bounded queue and exponential service times. After a restart
// its slots grow from a fraction to all of them; overloaded in that time, it collapses and restarts.
struct ServerModel {
    size_t slots = 8, queue = 40;
    double mean_service_seconds = 0.02;
    double size = 1;
    uint32_t zone = 0;
};

class ServiceSimulation
{
  public:
    struct Options {
        size_t balancers = 30, upstreams = 20;
        ServerModel upstream;
        double load = 0.6;  // fraction of the capacity of all upstreams
        std::optional<SubsetConfig> subset;
        std::optional<OutlierGossipConfig> outlier_gossip;
        std::optional<QuotaConfig> quotas;
        std::optional<StartupConfig> recovery;
        LeaseConfig lease;
        Duration cold_duration = seconds(20), collapse_window = seconds(1);
        double cold_share = 0.1;       // fraction of the slots available right after a restart
        double collapse_multiple = 2;  // an upstream in warm-up collapses at this multiple of its capacity
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

    void freeze(size_t upstream, Duration span);  // accepts requests but completes none
    void restart(size_t upstream);                // restarts at once, with reduced capacity
    void set_reachable(size_t balancer, size_t upstream, bool reachable);
    void send_list(size_t balancer, std::vector<size_t> hidden_upstreams = {});
    void send_list_to_all();
    void set_load(double of_capacity) { load_ = of_capacity; }
    // Makes the balancer report these upstreams as failed to all others, whatever it observes.
    void set_false_reports(size_t balancer, std::vector<size_t> about);

    struct Count {
        uint64_t requests = 0, served = 0, in_time = 0, throttled = 0, errors = 0;
        uint64_t forwards = 0, retries = 0, collapses = 0, cold_forwards = 0;
        uint64_t digests = 0, digest_bytes = 0, widened = 0, narrowed = 0;
    };
    Count count;
    // Since reset_counts(): requests per second at each upstream, relative to its size.
    void reset_counts();
    Duration elapsed() const { return cluster_.now() - counting_since_; }
    std::vector<double> offered_load() const;
    double max_over_mean() const;
    size_t connections() const;               // upstreams in use, summed over the balancers
    std::vector<uint64_t> served_by() const;  // by running balancer, since reset_counts()
    // Seconds from reset_counts() until 98 % of this fraction of the usual load is answered in time in each
    // of four consecutive windows of 0.5 s; -1: never.
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
    void end_service(size_t upstream, Job job, uint64_t generation);
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
    std::vector<uint64_t> in_time_by_window_;  // windows of 0.5 s
};

}  // namespace firtide::simulation
