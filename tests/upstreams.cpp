// Rules 3 and 4 (draining and restarted upstreams), the endpoint list and probes.
#include "trace.h"

using namespace firtide;

int main()
{
    auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    TracingHost draining_host(settings);
    draining_host.set_endpoints(3);
    draining_host.print_heading("a draining or gone upstream gets nothing once it is listed as such");
    TracingHost::print_counts("before", draining_host.send_many(60));
    draining_host.change_endpoint(0, EndpointPhase::draining);
    draining_host.change_endpoint(1, EndpointPhase::gone);
    TracingHost::print_counts("after", draining_host.send_many(60));
    draining_host.print_heading("all upstreams draining: throttled at once");
    draining_host.change_endpoint(2, EndpointPhase::draining);
    draining_host.accept(0);

    TracingHost restart_host(settings);
    restart_host.print_heading("a restarted upstream gets a part of its share, which grows as it warms up");
    restart_host.set_endpoints(4);
    restart_host.send_many(400);
    restart_host.change_endpoint(3, EndpointPhase::ready, restart_host.now);
    TracingHost::print_counts("first second", restart_host.send_many(100));
    restart_host.advance_clock(seconds(15));
    TracingHost::print_counts("half warm", restart_host.send_many(100));
    restart_host.advance_clock(seconds(16));
    TracingHost::print_counts("warm", restart_host.send_many(100));

    TracingHost new_host(settings);
    new_host.print_heading("a new balancer that knows only restarted upstreams forwards next to nothing");
    new_host.balancer.set_endpoints(new_host.now, {{0, 0, EndpointPhase::ready, {}, 1, new_host.now}});
    TracingHost::print_counts("first second", new_host.send_many(100));
    for (int i = 0; i < 9; ++i) new_host.send_many(100);
    TracingHost::print_counts("eleventh second", new_host.send_many(100));

    settings.must_watch_endpoint_list = true;
    TracingHost watching_host(settings);
    watching_host.print_heading(
        "a list that must be watched: requested at the start, and again after each failure");
    watching_host.wake();
    watching_host.balancer.on_endpoint_list_fetched(watching_host.now, false);
    watching_host.wake();
    watching_host.balancer.on_endpoint_list_fetched(watching_host.now, true);
    // A change counts as known 6 s after discovery can be reached again: the wait must stay well below that.
    Duration longest;
    watching_host.recording_paused = true;
    for (int i = 0; i < 40; ++i) {
        watching_host.balancer.on_endpoint_list_fetched(watching_host.now, false);
        const TimePoint requested_at = watching_host.now;
        watching_host.wake();
        longest = std::max(longest, watching_host.now - requested_at);
    }
    watching_host.recording_paused = false;
    std::printf("after 40 failures it is requested again %s\n",
                longest <= seconds(3) ? "within 3 s" : "later than 3 s");
    watching_host.wake();

    settings.must_watch_endpoint_list = false;
    settings.load_reports_by_probe = true;
    TracingHost probing_host(settings);
    probing_host.print_heading("load reports by probe only: upstreams in use are probed, others are not");
    probing_host.set_endpoints(40);
    probing_host.wake();
    TracingHost::print_counts("in use",
                              probing_host.send_many(6, AttemptResult::succeeded, ~0u, seconds(0.02)));
    probing_host.wake();
    probing_host.wake();
    probing_host.wake();
}
