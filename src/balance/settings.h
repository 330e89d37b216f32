// The settings that the Balancer reads. The host decodes them.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "deduplication_group.h"
#include "src/base/time.h"

namespace firtide
{

// Ordered from the least strict to the strictest.
enum class Idempotency { idempotent, deduplicated, non_idempotent };

struct Operation {
    Idempotency idempotency = Idempotency::non_idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::pod_group;
    Duration deduplication_window;  // how long a deduplicated repeat is recognised
    Duration latency_objective;     // zero: none
    double late_response_value = 0;
    Duration client_timeout = seconds(10);  // over all attempts of a client
    // The only zones and kinds of machine that it may be sent to; unset: any.
    std::optional<std::vector<ZoneId>> allowed_zones;
    std::optional<std::vector<MachineKind>> allowed_machine_kinds;
};

struct Settings {
    std::vector<Operation> operations;
    std::vector<double> tenant_quotas;  // invocations per second over all balancers; zero: none
    uint32_t balancer_count = 1;
    uint32_t self_index = 0;  // this balancer's number among them
    uint32_t tier = 0;
    std::optional<ZoneId> own_zone;  // of this balancer; unset: none is known, so none is preferred
    double cross_zone_price = 0;     // per forward, relative to the value of an invocation
    bool load_reports_by_probe = false;
    bool must_watch_endpoint_list = false;
    bool may_cancel = false;
    bool may_overlap_forwards = false;
    bool may_probe = false;
    double probe_price = 0;         // per probe, relative to the value of an invocation
    double peer_message_price = 0;  // per 256 bytes to one balancer, relative to the value of an invocation
    bool may_message_peers = false;
    uint32_t max_forwards = 1;
    Duration max_retry_after;  // zero: clients get no retry time
    Duration max_watch_retry_interval = seconds(10);
    double slow_start_min_share = 0.1;
    Duration slow_start_duration = seconds(30);
    double collapse_multiple = 2;
    Duration collapse_window = seconds(1);
    Duration time_left_margin;   // error bound of an invocation's stated time left, in either direction
    Duration start_time_margin;  // error bound of a listed start time, in either direction
    uint32_t reply_slots = 0;    // responses that may wait for callers that are still reading; zero: no limit
};

}  // namespace firtide
