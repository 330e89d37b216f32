// Rules 3 and 4, and the list.
#include "trace.h"

using namespace firtide;

int main()
{
    auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    TracingHost s(settings);
    s.set_endpoints(3);
    s.print_heading("a draining or gone upstream gets nothing from the moment it is told");
    TracingHost::print_counts("before", s.send_many(60));
    s.change_endpoint(0, EndpointPhase::draining);
    s.change_endpoint(1, EndpointPhase::gone);
    TracingHost::print_counts("after", s.send_many(60));
    s.print_heading("all draining: throttled at once");
    s.change_endpoint(2, EndpointPhase::draining);
    s.accept(0);

    TracingHost c(settings);
    c.print_heading("a cold upstream gets a part of its share, growing as it warms");
    c.set_endpoints(4);
    c.send_many(400);
    c.change_endpoint(3, EndpointPhase::ready, c.now);
    TracingHost::print_counts("first second", c.send_many(100));
    c.advance_clock(seconds(15));
    TracingHost::print_counts("half warm", c.send_many(100));
    c.advance_clock(seconds(16));
    TracingHost::print_counts("warm", c.send_many(100));

    TracingHost fresh(settings);
    fresh.print_heading("a fresh instance that knows only cold upstreams sends next to nothing");
    fresh.balancer.set_endpoints(fresh.now, {{0, 0, EndpointPhase::ready, 0, 0, 1, fresh.now}});
    TracingHost::print_counts("first second", fresh.send_many(100));
    for (int i = 0; i < 9; ++i) fresh.send_many(100);
    TracingHost::print_counts("eleventh second", fresh.send_many(100));

    settings.must_watch_endpoint_list = true;
    TracingHost asked(settings);
    asked.print_heading("a list that must be asked: asked at the start, again after each failure");
    asked.wake();
    asked.balancer.on_endpoint_list_fetched(asked.now, false);
    asked.wake();
    asked.balancer.on_endpoint_list_fetched(asked.now, true);
    // A change counts as told 6 s after discovery could be reached again: no wait may come near to that.
    Duration longest;
    asked.recording_paused = true;
    for (int i = 0; i < 40; ++i) {
        asked.balancer.on_endpoint_list_fetched(asked.now, false);
        const TimePoint since = asked.now;
        asked.wake();
        longest = std::max(longest, asked.now - since);
    }
    asked.recording_paused = false;
    std::printf("after 40 failures it is asked for again %s\n",
                longest <= seconds(3) ? "within 3 s" : "later than 3 s");
    asked.wake();

    settings.must_watch_endpoint_list = false;
    settings.load_reports_by_probe = true;
    TracingHost probing(settings);
    probing.print_heading("reports come by probe alone: upstreams in use are probed, others are not");
    probing.set_endpoints(40);
    probing.wake();
    TracingHost::print_counts("in use", probing.send_many(6, AttemptResult::succeeded, ~0u, seconds(0.02)));
    probing.wake();
    probing.wake();
    probing.wake();
}
