// The own zone, and when its upstreams give way to those of the other zones.
#include <gtest/gtest.h>

#include "balancer_host.h"

namespace firtide
{
namespace
{

constexpr uint32_t upstreams = 8;  // by turns of the own zone and of another
constexpr Duration probed_every = seconds(6);

Settings two_zones()
{
    auto settings = BalancerHost::make_settings(BalancerHost::make_operation(Idempotency::idempotent));
    settings.cross_zone_price = 0.02;
    settings.load_reports_by_probe = true;
    return settings;
}

LoadReport places(double queue, double utilisation)
{
    LoadReport report;
    report.queue_length = queue;
    report.utilisation = utilisation;
    return report;
}

// The part of the forwards that crosses zones, while each upstream tells this of itself now and then.
double crossing_part(const LoadReport& own_zone, const LoadReport& other_zone)
{
    BalancerHost host(two_zones());
    host.set_endpoints(upstreams);
    int own = 0;
    int crossing = 0;
    for (int round = 0; round < 10; ++round) {
        for (UpstreamId each = 0; each < upstreams; ++each)
            host.balancer.on_probe_completed(host.now, each, AttemptResult::succeeded,
                                             each % 2 == 0 ? own_zone : other_zone);
        const auto sent = host.send_many(100, AttemptResult::succeeded, ~0u, probed_every * 0.01);
        for (const auto& [upstream, count] : sent) (upstream % 2 == 0 ? own : crossing) += count;
    }
    return crossing / static_cast<double>(own + crossing);
}

TEST(OwnZone, IsKeptWhileAllAreAlike) { EXPECT_LT(crossing_part(places(0, 0.5), places(0, 0.5)), 0.1); }

// Reports that are seconds old say little of one upstream, and still tell one zone from the others.
TEST(OwnZone, GivesWayWhereItsQueuesAreLongByOldReports)
{
    EXPECT_GT(crossing_part(places(2, 0.5), places(0, 0.5)), 0.3);
}

// A queue is empty until all places are in use.
TEST(OwnZone, GivesWayToIdleZoneBeforeItsQueuesFill)
{
    EXPECT_GT(crossing_part(places(0.3, 1), places(0, 0.2)), 0.2);
}

}  // namespace
}  // namespace firtide
