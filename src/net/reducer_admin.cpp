// The reducer's handling of operators' commands, new settings and the shutdown.
#include <algorithm>

#include "reducer.h"

namespace firtide::net
{
namespace
{

// The front keeps sending requests to a draining balancer until it has noticed.
constexpr Duration front_notice_time = seconds(0.4);
// The process may be killed this long after the stop signal plus the longest client timeout, of which no more
// than max_client_wait counts.
constexpr Duration kill_delay = seconds(0.7), max_client_wait = seconds(3);
// Requests received after the signal are answered kill_margin before that time, and idle connections are
// closed close_margin before the last response.
constexpr Duration kill_margin = seconds(0.3), close_margin = seconds(1.4);

}  // namespace

void Reducer::on(ShutdownStarted stopping)
{
    stopped_ = now_;
    another_serves_ = stopping.other_process_listening;
}

// A second drain changes nothing, nor does a resume without a drain. A shutdown cannot be undone.
void Reducer::on(AdminCommandReceived ordered)
{
    AdminCommandResult obeyed{ordered.connection, true, {}, {}};
    switch (ordered.command) {
        case AdminCommand::ready: obeyed.success = ready(); break;
        case AdminCommand::show_stat: obeyed.statistics = statistics(); break;
        case AdminCommand::drain:
            if (!drained_) drained_ = now_;
            break;
        case AdminCommand::resume:
            obeyed.success = !stopped_;
            drained_.reset();
            break;
    }
    obeyed.serving_state = serving_state();
    effects_.push_back(std::move(obeyed));
}

ServingState Reducer::serving_state() const
{
    if (stopped_) return ServingState::stopping;
    if (drained_) return ServingState::draining;
    return listed_ ? ServingState::ready : ServingState::starting;
}

ServiceStatistics Reducer::statistics()
{
    ServiceStatistics f{outcomes_, backend_calls_, taken_, left_, open_ids_.size(), 0, 0};
    for (const Upstream& u : upstreams_) f.hosts_listed += u.phase != EndpointPhase::gone;
    for (UpstreamId t = 0; t < upstreams_.size(); ++t)
        f.hosts_down += upstreams_[t].phase == EndpointPhase::draining ||
                        (upstreams_[t].phase == EndpointPhase::ready && reduction(t) >= 0.5);
    return f;
}

// Open requests finish as the decision module says; their responses come from upstreams that stay the same.
void Reducer::settings_are(ServiceConfig setup)
{
    const auto places = [](const std::vector<std::string>& now, const std::vector<std::string>& before) {
        IndexMapping were;
        for (const auto& name : now) {
            const auto at = std::find(before.begin(), before.end(), name);
            were.emplace_back();
            if (at != before.end()) were.back() = static_cast<uint32_t>(at - before.begin());
        }
        return were;
    };
    const auto operations = places(setup.operation_names, setup_.operation_names);
    const auto tenants = places(setup.tenant_names, setup_.tenant_names);
    setup.config_version = setup_.config_version + 1;
    setup_ = std::move(setup);
    for (const auto& name : setup_.operation_names) outcomes_[name];
    balancer_.update_settings(now_, setup_.settings, operations, tenants);
}

// The list and what is known of its upstreams stay as they are until the new address has sent its list. With
// new settings, the full list is fetched again: its zones may have other indices.
void Reducer::on(ConfigReloaded& read)
{
    if (read.discovery_address == discovery_ && !read.service_config) return;
    if (read.service_config) settings_are(std::move(*read.service_config));
    discovery_ = read.discovery_address;
    effects_.push_back(MoveEndpointWatch{std::move(read.discovery_address)});
}

// Counted from the stop signal. Where clients wait for a short time only, requests must not wait for
// upstreams until the process is killed.
Duration Reducer::shutdown_response_time() const
{
    Duration longest;
    for (const Operation& op : setup_.settings.operations) longest = std::max(longest, op.client_timeout);
    return std::min(max_client_wait, longest) + kill_delay - kill_margin;
}

// The decision module may wait longer than time_left, by time_left_margin.
void Reducer::bound_by_stop(Request& request) const
{
    if (!stopped_) return;
    const Duration bound = *stopped_ + shutdown_response_time() - setup_.settings.time_left_margin - now_;
    request.time_left = std::min(request.time_left, bound);
}

bool Reducer::should_close_connections(TimePoint now) const
{
    if (stopped_)
        return another_serves_ ||
               now >= *stopped_ + std::max(front_notice_time, shutdown_response_time() - close_margin);
    return drained_ && now >= *drained_ + front_notice_time;
}

}  // namespace firtide::net
