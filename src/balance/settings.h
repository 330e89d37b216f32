// What the decision module is told at its start. Decoded once by whoever hosts it; only what it reads is
// here.
#pragma once

#include <cstdint>
#include <vector>

#include "src/base/time.h"

namespace firtide
{

// Each from the least strict to the strictest.
enum class Idempotency { idempotent, deduplicated, non_idempotent };
enum class DeduplicationScope { all, zone, cell };

struct Operation {
    Idempotency idempotency = Idempotency::non_idempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::cell;
    Duration deduplication_window;  // deduplicated: how long a repeat is recognised
    Duration latency_objective;     // zero: none
    double late_response_value = 0;
    Duration client_timeout = seconds(10);  // of all of a client's tries together
};

struct Settings {
    std::vector<Operation> operations;
    std::vector<double>
        tenant_quotas;  // a tenant's share in invocations a second, over all balancers; zero: none
    uint32_t balancer_count = 1;
    uint32_t self_index = 0;  // the number of this one among them
    uint32_t tier = 0;
    uint32_t zone = 0;
    double cross_zone_price = 0;  // of a forward to another zone, as a part of what an invocation is worth
    bool load_reports_by_probe = false;
    bool must_watch_endpoint_list = false;
    bool may_cancel = false;
    bool may_overlap_forwards = false;
    bool may_probe = false;
    double probe_price = 0;          // of one probe, as a part of what an invocation is worth
    double peer_message_price = 0;   // of 256 bytes to one of them, as a part of what an invocation is worth
    bool may_message_peers = false;  // messages to the other balancers
    uint32_t max_forwards = 1;
    Duration max_retry_after;  // zero: clients are not told
    Duration max_watch_retry_interval = seconds(10);
    double slow_start_min_share = 0.1;
    Duration slow_start_duration = seconds(30);
    double collapse_multiple = 2;
    Duration collapse_window = seconds(1);
    Duration time_left_margin;   // how far the time left that an invocation comes with can be off, either way
    Duration start_time_margin;  // how far a listed start can be off, either way
    uint32_t reply_slots =
        0;  // answers that can wait for callers that are still reading; zero: no such limit
};

}  // namespace firtide
