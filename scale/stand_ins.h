// Child processes that stand in for what balancers talk to: the upstreams of a service, and discovery, whose
// lists change while calls go on.
#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "child_process.h"
#include "src/base/time.h"

namespace firtide::scale
{

// One change of the list of upstreams.
struct ListChange {
    enum class Kind { restarted, draining, ready };

    size_t upstream = 0;
    Kind kind = Kind::restarted;

    bool operator==(const ListChange&) const = default;
};

// Half of the changes restart an upstream, which then is cold; the others drain one or take it back. No more
// than a quarter drain at a time. The same seed gives the same changes.
class EndpointChanges
{
  public:
    EndpointChanges(size_t upstreams, uint64_t seed);
    ListChange next();
    // Until the next change; the mean is one second through the rate.
    Duration next_gap(double changes_per_second);

  private:
    std::mt19937_64 random_;
    size_t upstreams_;
    std::vector<size_t> draining_;  // the longest-draining first
};

// HTTP servers in one process, each of which answers at once or after a service time.
class UpstreamProcess
{
  public:
    UpstreamProcess(size_t upstreams, Duration service_time);
    const std::vector<uint16_t>& ports() const { return ports_; }

  private:
    std::vector<uint16_t> ports_;
    ChildProcess process_;
};

// A list of upstreams for each service, and a server for each list, in one process. The last list changes.
class DiscoveryProcess
{
  public:
    DiscoveryProcess(const std::vector<std::vector<uint16_t>>& lists, double changes_per_second,
                     uint64_t seed);
    ~DiscoveryProcess();
    DiscoveryProcess(const DiscoveryProcess&) = delete;

    uint16_t port(size_t list) const { return ports_.at(list); }
    // So far.
    uint64_t changes() const { return changes_->load(); }

  private:
    std::atomic<uint64_t>* changes_;  // in memory shared with the child
    std::vector<uint16_t> ports_;
    ChildProcess process_;
};

}  // namespace firtide::scale
