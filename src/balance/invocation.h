// What the decision module keeps of an invocation and of its forwards.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "balancer.h"

namespace firtide
{

// One attempt of an invocation at an upstream.
struct Forward {
    UpstreamId upstream_id = 0;
    // As they were when it was sent: repeats are recognised by what was true then.
    TimePoint sent_at;
    UpstreamLocation location;
    DeduplicationScope deduplication_scope = DeduplicationScope::pod_group;
    uint32_t process = 0;  // of the upstream
    bool in_flight = true, overdue = false, proven_not_run = false;
    bool after_idle = false;  // the upstream had been idle for longer than a mean response takes
    std::function<void(TimePoint, AttemptResult)> on_result;  // the next step of the invocation
};

// Kept from its acceptance until it has been answered and none of its forwards is in flight.
struct Invocation {
    bool is_known = false;  // accepted and not released
    Operation operation;    // as it was on acceptance, or stricter after new settings
    bool may_overlap_forwards = false;
    uint32_t max_forwards = 1;
    uint32_t operation_index = 0;
    uint64_t subject_key = 0;
    TimePoint arrived_at;
    TimePoint deadline;      // until which the client waits
    TimePoint useful_until;  // a later response is worthless
    bool finished = true;
    bool accepted_at_low_load = false;
    uint32_t redirects = 0;
    std::vector<Forward> forwards;
};

}  // namespace firtide
