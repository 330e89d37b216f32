// Intervals of the lease protocol, as fractions of a lease's length (FleetConfig::lease).
#pragma once

namespace firtide::fleet::lease_timing
{

// Between two renewals that are answered: two may be lost before a lease runs out.
inline constexpr double renewal_interval = 1.0 / 3;
// Before a renewal that is not answered is repeated.
inline constexpr double retry_interval = 1.0 / 12;
// For which the leader gathers renewals into one entry of the log.
inline constexpr double batch_interval = 1.0 / 20;
// For which a member that has renewed counts as live, for new grants.
inline constexpr double liveness_window = 0.6;

}  // namespace firtide::fleet::lease_timing
