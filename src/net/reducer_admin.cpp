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

void Reducer::on(ShutdownStarted event)
{
    stopped_at_ = now_;
    other_process_listening_ = event.other_process_listening;
}

// A second drain changes nothing, nor does a resume without a drain. A shutdown cannot be undone.
void Reducer::on(AdminCommandReceived event)
{
    AdminCommandResult result{event.connection, true, {}, {}, {}};
    switch (event.command) {
        case AdminCommand::ready: result.success = ready(); break;
        case AdminCommand::show_stat: result.statistics = statistics(); break;
        case AdminCommand::show_resources: result.resources = resource_statistics(); break;
        case AdminCommand::drain:
            if (!drained_at_) drained_at_ = now_;
            break;
        case AdminCommand::resume:
            result.success = !stopped_at_;
            drained_at_.reset();
            break;
    }
    result.serving_state = serving_state();
    effects_.push_back(std::move(result));
}

ServingState Reducer::serving_state() const
{
    if (stopped_at_) return ServingState::stopping;
    if (drained_at_) return ServingState::draining;
    return has_listed_upstreams_ ? ServingState::ready : ServingState::starting;
}

ServiceStatistics Reducer::statistics()
{
    ServiceStatistics result{
        outcomes_, backend_calls_, requests_received_, requests_abandoned_, request_ids_.open_count(), 0, 0};
    for (const Upstream& upstream : upstreams_) result.hosts_listed += upstream.phase != EndpointPhase::gone;
    for (UpstreamId upstream_id = 0; upstream_id < upstreams_.size(); ++upstream_id)
        result.hosts_down +=
            upstreams_[upstream_id].phase == EndpointPhase::draining ||
            (upstreams_[upstream_id].phase == EndpointPhase::ready && reduction(upstream_id) >= 0.5);
    return result;
}

ResourceStatistics Reducer::resource_statistics() const
{
    ResourceStatistics result;
    result.add_gauge("memory.limit", memory_.limit());
    result.add_gauge("memory.used", memory_.used());
    result.add_gauge("memory.peak", memory_.peak_used());
    for (size_t i = 0; i < memory_purpose_count; ++i) {
        const auto purpose = static_cast<MemoryPurpose>(i);
        result.add_gauge(std::string("memory.") + name_of(purpose), memory_.used(purpose));
        result.add_counter(std::string("memory_rejections.") + name_of(purpose), memory_.rejections(purpose));
    }
    const ThrottleCounts& throttled = balancer_.throttle_counts();
    result.add_counter("throttled.failing_key", throttled.failing_key);
    result.add_counter("throttled.concurrency_limit", throttled.concurrency_limit);
    result.add_counter("throttled.all_reduced", throttled.all_reduced);
    result.add_counter("throttled.no_upstream", throttled.no_upstream);
    result.add_counter("throttled.attempts_ended", throttled.attempts_ended);
    result.add_gauge("recent_request_ids", request_ids_.may_have_run_count());
    result.add_counter("repeated_request_ids", repeated_ids_);
    result.add_counter("responses_stalled", responses_stalled_);
    result.add_counter("responses_given_up", responses_given_up_);
    result.add_counter("requests_not_taken_in_time", requests_stalled_);
    result.add_gauge("requests", invocation_of_.size());
    result.add_gauge("attempts", attempts_.size());
    result.add_gauge("relays", relays_.size());
    result.add_gauge("streamed_requests", streamed_requests_);
    return result;
}

// Open requests finish as the decision module says; their responses come from upstreams that stay the same.
void Reducer::apply_config(ServiceConfig config)
{
    const auto index_mapping = [](const std::vector<std::string>& names,
                                  const std::vector<std::string>& previous_names) {
        IndexMapping mapping;
        for (const auto& name : names) {
            const auto found = std::find(previous_names.begin(), previous_names.end(), name);
            mapping.emplace_back();
            if (found != previous_names.end())
                mapping.back() = static_cast<uint32_t>(found - previous_names.begin());
        }
        return mapping;
    };
    const auto operations = index_mapping(config.operation_names, config_.operation_names);
    const auto tenants = index_mapping(config.tenant_names, config_.tenant_names);
    config.config_version = config_.config_version + 1;
    config_ = std::move(config);
    for (const auto& name : config_.operation_names) outcomes_[name];
    balancer_.update_settings(now_, config_.settings, operations, tenants);
    republish_endpoints();
    cancel_unwritten_attempts();
}

// The list and what is known of its upstreams stay as they are until the new address has sent its list.
void Reducer::on(ConfigReloaded& event)
{
    if (event.discovery_address == discovery_address_ && !event.service_config) return;
    if (event.service_config) apply_config(std::move(*event.service_config));
    discovery_address_ = event.discovery_address;
    effects_.push_back(MoveEndpointWatch{std::move(event.discovery_address)});
}

// Counted from the stop signal. Where clients wait for a short time only, requests must not wait for
// upstreams until the process is killed.
Duration Reducer::shutdown_response_time() const
{
    Duration longest_timeout;
    for (const Operation& operation : config_.settings.operations)
        longest_timeout = std::max(longest_timeout, operation.client_timeout);
    return std::min(max_client_wait, longest_timeout) + kill_delay - kill_margin;
}

// The decision module may wait longer than time_left, by time_left_margin.
void Reducer::limit_time_left_at_shutdown(Request& request) const
{
    if (!stopped_at_) return;
    const Duration limit = *stopped_at_ + shutdown_response_time() - config_.settings.time_left_margin - now_;
    request.time_left = std::min(request.time_left, limit);
}

bool Reducer::should_close_connections(TimePoint now) const
{
    if (stopped_at_)
        return other_process_listening_ ||
               now >= *stopped_at_ + std::max(front_notice_time, shutdown_response_time() - close_margin);
    return drained_at_ && now >= *drained_at_ + front_notice_time;
}

}  // namespace firtide::net
