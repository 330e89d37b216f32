// The processes that a latency measurement runs against, on loopback: upstreams, discovery and balancers. The
// destructor stops them.
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

struct TestBedConfig {
    std::string program;  // path of firtide
    size_t upstreams = 20;
    double changes_per_second = 1.27;  // of the list of upstreams
    Duration service_time;
    size_t members = 0;  // of the fleet; calls go to the first. 0: no fleet
    size_t chain = 1;    // balancers in a row, without a fleet: each is the only upstream of the previous one
    uint64_t seed = 1;
};

// A temporary directory that the destructor removes.
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
    // Returns once all balancers are ready and, in a fleet, a duty is held.
    explicit TestBed(const TestBedConfig& bed_config);

    // Port of the balancer under test.
    uint16_t called_port() const { return balancers_.front().serve_port; }
    const std::vector<uint16_t>& upstream_ports() const { return upstreams_.ports(); }
    uint64_t list_changes() const { return discovery_->changes(); }
    // Names of the duties that the balancer under test holds.
    std::vector<std::string> held_duties() const;

  private:
    struct Balancer {
        uint16_t serve_port = 0, management_port = 0, fleet_port = 0;
    };

    void choose_ports(size_t balancers);
    std::vector<std::vector<uint16_t>> upstream_lists(const TestBedConfig& bed_config) const;
    std::string write_config(const TestBedConfig& bed_config, size_t balancer) const;
    std::string write_fleet_file(size_t member) const;
    void start_balancer(const TestBedConfig& bed_config, size_t balancer);
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
