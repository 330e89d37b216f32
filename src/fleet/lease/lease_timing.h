// Intervals of the lease protocol, as fractions of the lease length (FleetConfig::lease).
#pragma once

namespace firtide::fleet::lease_timing
{

// Between answered renewals. Two renewals may be lost before a lease expires.
inline constexpr double renewal_interval = 1.0 / 3;
// Before an unanswered renewal is repeated.
inline constexpr double retry_interval = 1.0 / 12;
// How long the leader collects renewals for one log entry.
inline constexpr double batch_interval = 1.0 / 20;
// How long after a renewal a member counts as live for new grants.
inline constexpr double liveness_window = 0.6;

}  // namespace firtide::fleet::lease_timing
