// Preference for the own zone, and when load moves to upstreams of other zones.
#include <gtest/gtest.h>

#include "balancer_host.h"

namespace firtide
{
namespace
{

constexpr uint32_t upstream_count = 8;  // alternately of the own zone and of another
constexpr Duration probe_interval = seconds(6);

Settings two_zones()
{
    auto settings = BalancerHost::make_settings(BalancerHost::make_operation(Idempotency::idempotent));
    settings.cross_zone_price = 0.02;
    settings.load_reports_by_probe = true;
    return settings;
}

LoadReport queue_report(double queue, double utilisation)
{
    LoadReport report;
    report.queue_length = queue;
    report.utilisation = utilisation;
    return report;
}

// Returns the share of cross-zone forwards while upstreams of each zone repeatedly send the given report.
double cross_zone_share(const LoadReport& own_zone, const LoadReport& other_zone)
{
    BalancerHost host(two_zones());
    host.set_endpoints(upstream_count);
    int in_own_zone = 0;
    int cross_zone = 0;
    for (int round = 0; round < 10; ++round) {
        for (UpstreamId upstream_id = 0; upstream_id < upstream_count; ++upstream_id)
            host.balancer.on_probe_completed(host.now, upstream_id, AttemptResult::succeeded,
                                             upstream_id % 2 == 0 ? own_zone : other_zone);
        const auto sent = host.send_many(100, AttemptResult::succeeded, ~0u, probe_interval * 0.01);
        for (const auto& [upstream, count] : sent) (upstream % 2 == 0 ? in_own_zone : cross_zone) += count;
    }
    return cross_zone / static_cast<double>(in_own_zone + cross_zone);
}

TEST(OwnZone, IsKeptWhileAllAreAlike)
{
    EXPECT_LT(cross_zone_share(queue_report(0, 0.5), queue_report(0, 0.5)), 0.1);
}

// Reports that are seconds old say little about one upstream, but still show a difference between zones.
TEST(OwnZone, GivesWayWhereItsQueuesAreLongByOldReports)
{
    EXPECT_GT(cross_zone_share(queue_report(2, 0.5), queue_report(0, 0.5)), 0.3);
}

// A queue is empty until all slots are in use.
TEST(OwnZone, GivesWayToIdleZoneBeforeItsQueuesFill)
{
    EXPECT_GT(cross_zone_share(queue_report(0.3, 1), queue_report(0, 0.2)), 0.2);
}

}  // namespace
}  // namespace firtide
