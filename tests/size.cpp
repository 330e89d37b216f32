// One of hundreds of balancers: little traffic of its own, many upstreams.
#include "trace.h"

using namespace firtide;

static Settings settings_for(uint32_t balancers, uint32_t self = 0)
{
    auto settings = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    settings.balancer_count = balancers;
    settings.self_index = self;
    return settings;
}

// Starts `per_round` invocations every half second and ends their forwards after `duration`; returns how many
// were not forwarded.
static int run_steady(TracingHost& host, int rounds, int per_round, Duration duration,
                      AttemptResult result = AttemptResult::succeeded)
{
    int not_forwarded = 0;
    host.recording_paused = true;
    for (int i = 0; i < rounds; ++i) {
        std::vector<InvocationId> forwarded;
        for (InvocationId invocation = 0; invocation < static_cast<InvocationId>(per_round); ++invocation) {
            host.last_upstream = ~0u;
            host.accept(invocation);
            if (host.last_upstream == ~0u)
                ++not_forwarded;
            else
                forwarded.push_back(invocation);
        }
        host.advance_clock(duration);
        for (const InvocationId invocation : forwarded) {
            host.end_attempt(invocation, result, duration);
            while (host.is_in_flight(invocation)) host.end_attempt(invocation, result, seconds(0));
        }
        host.advance_clock(seconds(0.5) - duration);
    }
    host.recording_paused = false;
    return not_forwarded;
}

// Runs one invocation; result_of(upstream) gives the result and duration of each forward. Returns the first
// upstream, or ~0u if there was none.
template <class ResultOf>
static UpstreamId run_invocation(TracingHost& host, ResultOf result_of)
{
    host.recording_paused = true;
    host.last_upstream = ~0u;
    host.accept(0);
    const UpstreamId first = host.last_upstream;
    while (host.is_in_flight(0)) {
        const auto [result, duration] = result_of(host.last_upstream);
        host.end_attempt(0, result, seconds(duration));
    }
    host.recording_paused = false;
    return first;
}

int main()
{
    std::map<UpstreamId, int> users;
    for (uint32_t self = 0; self < 40; ++self) {
        TracingHost host(settings_for(40, self));
        host.set_endpoints(100);
        const auto forwards = host.send_many(40, AttemptResult::succeeded, ~0u, seconds(0.5));
        if (self == 0)
            host.print_heading("one balancer of 40 uses few of 100 upstreams"),
                TracingHost::print_counts("used", forwards);
        for (const auto& [t, n] : forwards) users[t] += n > 0;
    }
    int least = 40, most = 0;
    for (const auto& [t, n] : users) least = std::min(least, n), most = std::max(most, n);
    std::printf("all 40 together use %zu, each shared by %d to %d balancers\n", users.size(), least, most);

    TracingHost unreachable_host(settings_for(40));
    unreachable_host.set_endpoints(100);
    unreachable_host.print_heading(
        "unreachable upstreams among the active ones are replaced by the next in the order");
    int failed = 0;
    std::map<UpstreamId, int> forwards;
    for (int i = 0; i < 120; ++i) {
        unreachable_host.advance_clock(seconds(0.25));
        const UpstreamId first = run_invocation(unreachable_host, [&](UpstreamId upstream) {
            failed += upstream % 3 == 0;
            return std::pair(upstream % 3 == 0 ? AttemptResult::unreachable : AttemptResult::succeeded, 0.1);
        });
        if (i >= 60) ++forwards[first];
    }
    TracingHost::print_counts("a third is unreachable", forwards);
    std::printf("failed connects: %d in 120 invocations\n", failed);

    TracingHost thin_host(settings_for(400));
    thin_host.set_endpoints(60);
    thin_host.print_heading(
        "two invocations per second, quick responses: nothing is throttled for lack of a learnt baseline");
    std::printf("not forwarded: %d of 120\n", run_steady(thin_host, 120, 1, seconds(0.28)));
    thin_host.print_heading("a sudden burst meets a limit, though there was no overload before");
    std::printf("not forwarded: %d of 40 at once\n", run_steady(thin_host, 1, 40, seconds(0.28)));

    TracingHost declining_host(settings_for(400));
    declining_host.set_endpoints(60);
    declining_host.print_heading("declined forwards cut the limit, however quick the other responses are");
    run_steady(declining_host, 40, 2, seconds(0.1));
    const int before = run_steady(declining_host, 10, 2, seconds(0.1));
    run_steady(declining_host, 24, 2, seconds(0.01), AttemptResult::declined);
    std::printf("not forwarded: %d of 20 before, %d of 20 after\n", before,
                run_steady(declining_host, 10, 2, seconds(0.1)));

    TracingHost slow_host(settings_for(400));
    slow_host.set_endpoints(60);
    slow_host.print_heading("one active upstream takes four times as long as the others and reports no load");
    const UpstreamId slow =
        run_invocation(slow_host, [](UpstreamId) { return std::pair(AttemptResult::succeeded, 0.1); });
    int slow_forwards = 0;
    for (int i = 0; i < 120; ++i) {
        slow_host.advance_clock(seconds(0.25));
        slow_forwards += run_invocation(slow_host, [&](UpstreamId upstream) {
                             return std::pair(AttemptResult::succeeded, upstream == slow ? 0.4 : 0.1);
                         }) == slow;
    }
    std::printf("it got %d of 120\n", slow_forwards);

    // A balancer reaches each slow machine too seldom to learn about them one by one.
    TracingHost machine_type_host(settings_for(400));
    std::vector<EndpointState> endpoints;
    for (UpstreamId t = 0; t < 60; ++t) endpoints.push_back({t, t, EndpointPhase::ready, {}, 1, {}, t % 2});
    machine_type_host.balancer.set_endpoints(machine_type_host.now, endpoints);
    machine_type_host.print_heading(
        "half the upstreams are of a machine type that takes three times as long, one invocation per 2 s");
    int first = 0, last = 0;
    for (int i = 0; i < 200; ++i) {
        machine_type_host.advance_clock(seconds(2));
        const bool is_slow =
            run_invocation(machine_type_host,
                           [](UpstreamId upstream) {
                               return std::pair(AttemptResult::succeeded, upstream % 2 ? 0.3 : 0.1);
                           }) %
            2;
        (i < 100 ? first : last) += is_slow;
    }
    std::printf("they got %d of the first 100, %d of the next\n", first, last);

    TracingHost restart_host(settings_for(400));
    restart_host.set_endpoints(60);
    restart_host.print_heading(
        "an active upstream restarts: it gets requests within its budget while it warms up");
    const auto quick = [](UpstreamId) { return std::pair(AttemptResult::succeeded, 0.1); };
    UpstreamId restarted = 0;
    for (int i = 0; i < 80; ++i)
        restart_host.advance_clock(seconds(0.1)), restarted = run_invocation(restart_host, quick);
    restart_host.change_endpoint(restarted, EndpointPhase::ready, restart_host.now);
    int restarted_forwards = 0;
    for (int i = 0; i < 240; ++i)
        restart_host.advance_clock(seconds(0.1)),
            restarted_forwards += run_invocation(restart_host, quick) == restarted;
    std::printf("it got %d of 240 in 24 s\n", restarted_forwards);
}
