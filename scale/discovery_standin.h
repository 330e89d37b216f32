// A stand-in for the discovery service: a versioned list of upstreams that is fetched in full or watched for
// changes.
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

    void set_upstreams(const Options& options, const Layout& layout);
    // Toggles the readiness of a random upstream, answers all watchers and returns the new version.
    uint64_t toggle_random_upstream();

    uint64_t version() const { return changed_upstreams_.size() + 1; }
    size_t list_bytes() const { return encode_full_list().size(); }
    uint64_t request_count() const { return request_count_; }

  private:
    struct Upstream {
        std::string name, address, zone;
        bool ready = true;
    };

    void serve(evhttp_request* request);
    void watch(evhttp_request* request);
    void answer_changes(evhttp_request* request, uint64_t after);
    std::string encode_upstream(const Upstream& upstream) const;
    std::string encode_list(bool all, const std::vector<size_t>& indexes) const;
    std::string encode_full_list() const;

    struct Watcher {
        evhttp_request* request = nullptr;
        uint64_t after = 0;
    };

    event_base* base_;
    std::mt19937 random_;
    std::vector<Upstream> upstreams_;
    // Element i is the index of the upstream that changed in version i + 2; version 1 has no change.
    std::vector<size_t> changed_upstreams_;
    std::vector<Watcher> watchers_;
    uint64_t request_count_ = 0;
    fault_injection::StandInServer server_;
};

}  // namespace firtide::scale
