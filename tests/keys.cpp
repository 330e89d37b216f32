// Invocations of one key that wait for the same resource behind all upstreams.
#include "trace.h"

using namespace firtide;

// Runs 300 invocations of ten keys, 0.02 s apart; result_of(key, i) gives the result of each forward. Prints
// for each key how many invocations were forwarded and the number of forwards.
template <class ResultOf>
static void run_ten_keys(TracingHost& host, const char* title, ResultOf result_of)
{
    int forwarded[10] = {}, forwards[10] = {};
    host.recording_paused = true;
    for (int i = 0; i < 300; ++i) {
        const uint64_t key = 1 + static_cast<uint64_t>(i * 7 % 10);
        host.advance_clock(seconds(0.02));
        host.accept(99, seconds(2), 0, key);
        forwarded[key - 1] += host.is_in_flight(99);
        while (host.is_in_flight(99))
            ++forwards[key - 1], host.end_attempt(99, result_of(key, i), seconds(0.01));
    }
    host.recording_paused = false;
    std::printf("%s:", title);
    for (int k = 0; k < 10; ++k) std::printf(" %d/%d", forwarded[k], forwards[k]);
    std::printf("\n");
}

int main()
{
    const auto idempotent = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    const auto succeed = [](uint64_t, int) { return AttemptResult::succeeded; };
    const auto locked = [](uint64_t key, int) {
        return key == 3 ? AttemptResult::errored : AttemptResult::succeeded;
    };
    TracingHost host(idempotent);
    host.set_endpoints(4);
    host.print_heading("invocations forwarded/forwards, for ten keys with thirty invocations each");
    run_ten_keys(host, "all succeed", succeed);
    // A locked resource must not use up slots and retries, or be blamed on the upstreams.
    run_ten_keys(host, "the third key fails immediately", locked);
    TracingHost::print_counts("invocations without a key, by upstream", host.send_many(200));
    host.advance_clock(seconds(20));
    run_ten_keys(host, "20 s later, all succeed", succeed);

    TracingHost failing_host(idempotent);
    failing_host.set_endpoints(4);
    // A key must not be blamed for failures that affect all keys.
    run_ten_keys(failing_host, "two in three fail, whatever the key", [](uint64_t, int i) {
        return i / 10 % 3 ? AttemptResult::errored : AttemptResult::succeeded;
    });

    TracingHost keyless_host(idempotent);
    keyless_host.set_endpoints(4);
    keyless_host.print_heading("no key: nothing is throttled for it");
    TracingHost::print_counts("errors", keyless_host.send_many(100, AttemptResult::errored));
}
