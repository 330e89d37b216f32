// Discovery as the balancers see it: a list of upstreams by version, asked for whole or watched for changes.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "fault_injection/standins.h"
#include "layout.h"

namespace firtide::scale
{

class DiscoveryStandIn
{
  public:
    explicit DiscoveryStandIn(event_base* base);
    uint16_t port() const { return server_.port(); }

    void list_upstreams(const Options& options, const Layout& layout);
    // One upstream, drawn, stops being ready or is ready again. Answers whoever watches. The new version.
    uint64_t change_one();

    uint64_t version() const { return changed_.size() + 1; }
    size_t list_bytes() const { return whole_list().size(); }
    uint64_t calls() const { return calls_; }

  private:
    struct Upstream {
        std::string name, address, zone;
        bool ready = true;
    };

    void serve(evhttp_request* request);
    void watch(evhttp_request* request);
    void answer_changes(evhttp_request* request, uint64_t after);
    std::string line_of(const Upstream& upstream) const;
    std::string list(bool all, const std::vector<size_t>& places) const;
    std::string whole_list() const;

    struct Watcher {
        evhttp_request* request = nullptr;
        uint64_t after = 0;
    };

    event_base* base_;
    std::mt19937 chance_;
    std::vector<Upstream> upstreams_;
    std::vector<size_t> changed_;  // by version: the upstream; the first version has none
    std::vector<Watcher> watching_;
    uint64_t calls_ = 0;
    fault_injection::Server server_;
};

}  // namespace firtide::scale
