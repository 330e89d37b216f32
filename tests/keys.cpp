// Invocations of one key that wait for the same thing behind all upstreams.
#include "trace.h"

using namespace firtide;

// 300 invocations of ten keys, 0.02 s apart, each forward answered as `how` says of its key; prints, by key,
// how many went out and how often.
template <class How>
static void ten_keys(TracingHost& s, const char* what, How how)
{
    int asked[10] = {}, forwards[10] = {};
    s.recording_paused = true;
    for (int i = 0; i < 300; ++i) {
        const uint64_t key = 1 + static_cast<uint64_t>(i * 7 % 10);
        s.advance_clock(seconds(0.02));
        s.accept(99, seconds(2), 0, key);
        asked[key - 1] += s.is_in_flight(99);
        while (s.is_in_flight(99)) ++forwards[key - 1], s.end_attempt(99, how(key, i), seconds(0.01));
    }
    s.recording_paused = false;
    std::printf("%s:", what);
    for (int k = 0; k < 10; ++k) std::printf(" %d/%d", asked[k], forwards[k]);
    std::printf("\n");
}

int main()
{
    const auto idempotent = TracingHost::make_settings(TracingHost::make_operation(Idempotency::idempotent));
    const auto well = [](uint64_t, int) { return AttemptResult::succeeded; };
    const auto locked = [](uint64_t key, int) {
        return key == 3 ? AttemptResult::errored : AttemptResult::succeeded;
    };
    TracingHost s(idempotent);
    s.set_endpoints(4);
    s.print_heading("let in and forwards, of ten keys thirty times each");
    ten_keys(s, "all well", well);
    // Guards against a lock that takes places, second tries and upstreams' good names.
    ten_keys(s, "the third key fails at once", locked);
    TracingHost::print_counts("what other work each upstream gets", s.send_many(200));
    s.advance_clock(seconds(20));
    ten_keys(s, "20 s later, all well", well);

    TracingHost f(idempotent);
    f.set_endpoints(4);
    // Guards against a key taken for the cause of what befalls all.
    ten_keys(f, "two in three fail, whatever its key",
             [](uint64_t, int i) { return i / 10 % 3 ? AttemptResult::errored : AttemptResult::succeeded; });

    TracingHost n(idempotent);
    n.set_endpoints(4);
    n.print_heading("no key: nothing is held back for it");
    TracingHost::print_counts("errors", n.send_many(100, AttemptResult::errored));
}
