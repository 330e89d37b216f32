// Everything that a measurement runs against: upstreams, discovery, and balancers as processes of their own
// on loopback. All of them end with the object.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "child_process.h"
#include "src/base/time.h"
#include "stand_ins.h"

namespace firtide::scale
{

struct TestBedPlan {
    std::string program;  // firtide
    size_t upstreams = 20;
    double changes_per_second = 1.27;  // of the list of upstreams
    Duration service_time;
    size_t members = 0;  // of the fleet, of which the first is called; 0: a balancer without a fleet
    size_t chain =
        1;  // balancers in a row, where there is no fleet: each is the only upstream of the one before
    uint64_t seed = 1;
};

// A folder that is removed with its owner.
class TemporaryFolder
{
  public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    const std::string& path() const { return path_; }

  private:
    std::string path_;
};

class TestBed
{
  public:
    // Returns once all balancers are ready and, in a fleet, duties are held.
    explicit TestBed(const TestBedPlan& plan);

    // The balancer that callers call.
    uint16_t entry_port() const { return balancers_.front().serve_port; }
    const std::vector<uint16_t>& upstream_ports() const { return upstreams_.ports(); }
    uint64_t list_changes() const { return discovery_->changes(); }
    // The names of duties that the called balancer holds now.
    std::vector<std::string> held_duties() const;

  private:
    struct Balancer {
        uint16_t serve_port = 0, management_port = 0, fleet_port = 0;
    };

    void choose_ports(size_t balancers);
    std::vector<std::vector<uint16_t>> lists(const TestBedPlan& plan) const;
    std::string write_config(const TestBedPlan& plan, size_t balancer) const;
    std::string write_fleet_file(size_t member) const;
    void start(const TestBedPlan& plan, size_t balancer);
    void wait_until_ready();
    void wait_until_duties_are_held();
    std::string management_answer(size_t balancer, const std::string& line) const;

    TemporaryFolder folder_;
    UpstreamProcess upstreams_;
    std::vector<Balancer> balancers_;
    std::unique_ptr<DiscoveryProcess> discovery_;
    std::vector<ChildProcess> processes_;
};

}  // namespace firtide::scale
