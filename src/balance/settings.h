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
    Idempotency repeat = Idempotency::non_idempotent;
    DeduplicationScope group = DeduplicationScope::cell;
    Span window;             // deduplicated: how long a repeat is recognised
    Span latency_objective;  // zero: none
    double late_billed_value = 0;
    Span client_timeout = seconds(10);  // of all of a client's tries together
};

struct Settings {
    std::vector<Operation> operations;
    std::vector<double> quotas;  // a tenant's share in invocations a second, over all balancers; zero: none
    uint32_t balancers = 1;
    uint32_t self = 0;  // the number of this one among them
    uint32_t tier = 0;
    uint32_t zone = 0;
    double crossing_price = 0;  // of a forward to another zone, as a part of what an invocation is worth
    bool reports_by_probe = false;
    bool list_must_be_asked = false;
    bool may_cancel = false;
    bool may_overlap = false;
    bool may_probe = false;
    double probe_price = 0;          // of one probe, as a part of what an invocation is worth
    double message_price = 0;        // of 256 bytes to one of them, as a part of what an invocation is worth
    bool may_message_peers = false;  // messages to the other balancers
    uint32_t max_forwards = 1;
    Span max_retry_after;  // zero: clients are not told
    Span ask_within = seconds(10);
    double cold_share = 0.1;
    Span cold = seconds(30);
    double fall_multiple = 2;
    Span fall = seconds(1);
    Span left_margin;   // how far the time left that an invocation comes with can be off, either way
    Span ready_margin;  // how far a listed start can be off, either way
    uint32_t reply_slots =
        0;  // answers that can wait for callers that are still reading; zero: no such limit
};

}  // namespace firtide
