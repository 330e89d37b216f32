// The rules that every forward and every throttling reply obeys, whatever the choice of an upstream prefers.
// docs/design.md numbers and explains them.
#pragma once

#include "invocation.h"

namespace firtide
{

// What an upstream in slow start may still be sent. One token allows one forward.
struct SlowStartTokens {
    double count = 0;
    TimePoint updated_at;
};

// By the settings in force, at one moment.
class ForwardingRules
{
  public:
    ForwardingRules(const Settings& settings, TimePoint now) : settings_(settings), now_(now) {}

    // Whether the upstream is in slow start. It may have started later than listed, by the margin of the
    // clocks.
    bool is_warming(const EndpointState& endpoint) const;
    // The least share of its capacity that an upstream has, by the time since its last start.
    double warm_capacity_share(const EndpointState& endpoint) const;
    // Adds what has accrued. A restarted upstream gets a part of its share, as all balancers together would
    // overload it. even_forward_rate: forwards per second to each active upstream, were none warming up.
    bool has_slow_start_token(const EndpointState& endpoint, SlowStartTokens& tokens,
                              double even_forward_rate) const;

    // Whether a forward may go to the upstream, but for its slow start.
    bool may_send(const Invocation& invocation, const EndpointState& endpoint) const;
    // Whether the forward may still be sent to its upstream, which is shown at the location now.
    bool may_still_send(const Invocation& invocation, size_t forward_index,
                        const UpstreamLocation& location) const;
    // Whether the client may be told that a retry is safe.
    static bool may_throttle(const Invocation& invocation);

  private:
    // Whether the operation may be sent to an upstream there at all. One whose zone or kind of machine is not
    // known is none of those that are allowed.
    static bool is_allowed_at(const Operation& operation, const UpstreamLocation& location);
    bool may_run_again(const Invocation& invocation, size_t forward_index,
                       const UpstreamLocation& location) const;
    bool recognises_repeat(const Invocation& invocation, const Forward& forward,
                           const UpstreamLocation& location) const;

    const Settings& settings_;
    TimePoint now_;
};

}  // namespace firtide
