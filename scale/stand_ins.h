// Child processes that stand in for the upstreams of a service and for discovery, whose list changes during
// the load.
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

// A change of the list of upstreams.
struct ListChange {
    enum class Kind { restarted, draining, ready };

    size_t upstream = 0;
    Kind kind = Kind::restarted;

    bool operator==(const ListChange&) const = default;
};

// Generates list changes. Half of them restart an upstream, which then is cold; the others start or end the
// draining of an upstream. At most a quarter of the upstreams drain at a time. The same seed gives the same
// changes.
class EndpointChanges
{
  public:
    EndpointChanges(size_t upstreams, uint64_t seed);
    ListChange next();
    // Time until the next change, exponentially distributed with the mean 1 / changes_per_second.
    Duration next_gap(double changes_per_second);

  private:
    std::mt19937_64 random_;
    size_t upstreams_;
    std::vector<size_t> draining_;  // in the order in which draining began
};

// A process of HTTP servers that answer immediately or after a service time.
class UpstreamProcess
{
  public:
    UpstreamProcess(size_t upstreams, Duration service_time);
    const std::vector<uint16_t>& ports() const { return ports_; }

  private:
    std::vector<uint16_t> ports_;
    ChildProcess process_;
};

// A process with a discovery server for each list of upstreams. Only the last list changes.
class DiscoveryProcess
{
  public:
    DiscoveryProcess(const std::vector<std::vector<uint16_t>>& lists, double changes_per_second,
                     uint64_t seed);
    ~DiscoveryProcess();
    DiscoveryProcess(const DiscoveryProcess&) = delete;

    uint16_t port(size_t list) const { return ports_.at(list); }
    // Number of changes so far.
    uint64_t changes() const { return changes_->load(); }

  private:
    std::atomic<uint64_t>* changes_;  // in memory that is shared with the child
    std::vector<uint16_t> ports_;
    ChildProcess process_;
};

}  // namespace firtide::scale
