#include "discovery_standin.h"

#include <algorithm>
#include <cstdlib>
#include <set>

namespace firtide::scale
{
namespace
{

constexpr Duration watch_lasts = seconds(1.8);  // then an answer without changes

// The number after `name=` in a request's target; zero where there is none.
uint64_t argument(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace

DiscoveryStandIn::DiscoveryStandIn(event_base* base)
    : base_(base), server_(base, [this](evhttp_request* request) { serve(request); })
{
}

void DiscoveryStandIn::list_upstreams(const Options& options, const Layout& layout)
{
    chance_.seed(options.seed);
    for (uint32_t place = 0; place < options.upstreams; ++place)
        upstreams_.push_back({"s" + std::to_string(place % options.services) + "-u" + std::to_string(place),
                              layout.upstream_address(place), "z" + std::to_string(place % options.zones),
                              true});
}

uint64_t DiscoveryStandIn::change_one()
{
    const size_t place = std::uniform_int_distribution<size_t>(0, upstreams_.size() - 1)(chance_);
    upstreams_[place].ready = !upstreams_[place].ready;
    changed_.push_back(place);
    for (const Watcher& watcher : std::exchange(watching_, {}))
        answer_changes(watcher.request, watcher.after);
    return version();
}

std::string DiscoveryStandIn::line_of(const Upstream& upstream) const
{
    return R"({"uid":")" + upstream.name + R"(","endpoint":")" + upstream.address + R"(","az":")" +
           upstream.zone + R"(","state":")" + (upstream.ready ? "ready" : "draining") + "\"}";
}

std::string DiscoveryStandIn::list(bool all, const std::vector<size_t>& places) const
{
    std::string text = R"({"rev":)" + std::to_string(version()) + R"(,"all":)" + (all ? "true" : "false") +
                       R"(,"targets":[)";
    for (const size_t place : places) {
        if (text.back() == '}') text += ",";
        text += line_of(upstreams_[place]);
    }
    return text + "]}";
}

std::string DiscoveryStandIn::whole_list() const
{
    std::vector<size_t> places;
    for (size_t place = 0; place < upstreams_.size(); ++place) places.push_back(place);
    return list(true, places);
}

void DiscoveryStandIn::answer_changes(evhttp_request* request, uint64_t after)
{
    const auto first = static_cast<std::ptrdiff_t>(std::min<uint64_t>(after - 1, changed_.size()));
    const std::set<size_t> places(changed_.begin() + first, changed_.end());
    fault_injection::answer(request, 200, list(false, {places.begin(), places.end()}));
}

void DiscoveryStandIn::serve(evhttp_request* request)
{
    ++calls_;
    const uint64_t after = argument(evhttp_request_get_uri(request), "after");
    if (after == 0) return fault_injection::answer(request, 200, whole_list());
    if (after < version()) return answer_changes(request, after);
    watch(request);
}

void DiscoveryStandIn::watch(evhttp_request* request)
{
    watching_.push_back({request, version()});
    // A caller that has gone gets nothing.
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* gone, void* self) {
            std::erase_if(static_cast<DiscoveryStandIn*>(self)->watching_, [gone](const Watcher& watcher) {
                return evhttp_request_get_connection(watcher.request) == gone;
            });
        },
        this);
    fault_injection::answer_later(base_, watch_lasts, [this, request, after = version()] {
        const auto at = std::find_if(watching_.begin(), watching_.end(), [&](const Watcher& watcher) {
            return watcher.request == request && watcher.after == after;
        });
        if (at == watching_.end()) return;
        watching_.erase(at);
        answer_changes(request, after);
    });
}

}  // namespace firtide::scale
