#include "discovery_standin.h"

#include <algorithm>
#include <cstdlib>
#include <set>

namespace firtide::scale
{
namespace
{

constexpr Duration watch_timeout = seconds(1.8);  // then answered without changes

// The number after `name=` in a request target; 0 if there is none.
uint64_t query_number(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace

DiscoveryStandIn::DiscoveryStandIn(event_base* base)
    : base_(base), server_(base, [this](evhttp_request* request) { serve(request); })
{
}

void DiscoveryStandIn::set_upstreams(const Options& options, const Layout& layout)
{
    random_.seed(options.seed);
    for (uint32_t index = 0; index < options.upstreams; ++index)
        upstreams_.push_back({"s" + std::to_string(index % options.services) + "-u" + std::to_string(index),
                              layout.upstream_address(index), "z" + std::to_string(index % options.zones),
                              true});
}

uint64_t DiscoveryStandIn::toggle_random_upstream()
{
    const size_t index = std::uniform_int_distribution<size_t>(0, upstreams_.size() - 1)(random_);
    upstreams_[index].ready = !upstreams_[index].ready;
    changed_upstreams_.push_back(index);
    for (const Watcher& watcher : std::exchange(watchers_, {}))
        answer_changes(watcher.request, watcher.after);
    return version();
}

std::string DiscoveryStandIn::encode_upstream(const Upstream& upstream) const
{
    return R"({"uid":")" + upstream.name + R"(","endpoint":")" + upstream.address + R"(","az":")" +
           upstream.zone + R"(","state":")" + (upstream.ready ? "ready" : "draining") + "\"}";
}

std::string DiscoveryStandIn::encode_list(bool all, const std::vector<size_t>& indexes) const
{
    std::string text = R"({"rev":)" + std::to_string(version()) + R"(,"all":)" + (all ? "true" : "false") +
                       R"(,"targets":[)";
    for (const size_t index : indexes) {
        if (text.back() == '}') text += ",";
        text += encode_upstream(upstreams_[index]);
    }
    return text + "]}";
}

std::string DiscoveryStandIn::encode_full_list() const
{
    std::vector<size_t> indexes;
    for (size_t index = 0; index < upstreams_.size(); ++index) indexes.push_back(index);
    return encode_list(true, indexes);
}

void DiscoveryStandIn::answer_changes(evhttp_request* request, uint64_t after)
{
    const auto first = static_cast<std::ptrdiff_t>(std::min<uint64_t>(after - 1, changed_upstreams_.size()));
    const std::set<size_t> indexes(changed_upstreams_.begin() + first, changed_upstreams_.end());
    fault_injection::send_response(request, 200, encode_list(false, {indexes.begin(), indexes.end()}));
}

void DiscoveryStandIn::serve(evhttp_request* request)
{
    ++request_count_;
    const uint64_t after = query_number(evhttp_request_get_uri(request), "after");
    if (after == 0) return fault_injection::send_response(request, 200, encode_full_list());
    if (after < version()) return answer_changes(request, after);
    watch(request);
}

void DiscoveryStandIn::watch(evhttp_request* request)
{
    watchers_.push_back({request, version()});
    // A closed connection is no longer answered.
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* gone, void* self) {
            std::erase_if(static_cast<DiscoveryStandIn*>(self)->watchers_, [gone](const Watcher& watcher) {
                return evhttp_request_get_connection(watcher.request) == gone;
            });
        },
        this);
    fault_injection::run_after(base_, watch_timeout, [this, request, after = version()] {
        const auto at = std::find_if(watchers_.begin(), watchers_.end(), [&](const Watcher& watcher) {
            return watcher.request == request && watcher.after == after;
        });
        if (at == watchers_.end()) return;
        watchers_.erase(at);
        answer_changes(request, after);
    });
}

}  // namespace firtide::scale
