// Invocations of one key that wait for the same thing behind all upstreams.
#include "trace.h"

using namespace firtide;

// 300 invocations of ten keys, 0.02 s apart, each forward answered as `how` says of its key; prints, by key,
// how many went out and how often.
template <class How>
static void ten_keys(Stage& s, const char* what, How how)
{
    int asked[10] = {}, forwards[10] = {};
    s.quiet = true;
    for (int i = 0; i < 300; ++i) {
        const uint64_t key = 1 + static_cast<uint64_t>(i * 7 % 10);
        s.wait(seconds(0.02));
        s.accept(99, seconds(2), 0, key);
        asked[key - 1] += s.is_out(99);
        while (s.is_out(99)) ++forwards[key - 1], s.end(99, how(key, i), seconds(0.01));
    }
    s.quiet = false;
    std::printf("%s:", what);
    for (int k = 0; k < 10; ++k) std::printf(" %d/%d", asked[k], forwards[k]);
    std::printf("\n");
}

int main()
{
    const auto idempotent = Stage::settings(Stage::op(Idempotency::idempotent));
    const auto well = [](uint64_t, int) { return AttemptResult::succeeded; };
    const auto locked = [](uint64_t key, int) {
        return key == 3 ? AttemptResult::errored : AttemptResult::succeeded;
    };
    Stage s(idempotent);
    s.list(4);
    s.say("let in and forwards, of ten keys thirty times each");
    ten_keys(s, "all well", well);
    // Guards against a lock that takes places, second tries and upstreams' good names.
    ten_keys(s, "the third key fails at once", locked);
    Stage::print("what other work each upstream gets", s.many(200));
    s.wait(seconds(20));
    ten_keys(s, "20 s later, all well", well);

    Stage f(idempotent);
    f.list(4);
    // Guards against a key taken for the cause of what befalls all.
    ten_keys(f, "two in three fail, whatever its key",
             [](uint64_t, int i) { return i / 10 % 3 ? AttemptResult::errored : AttemptResult::succeeded; });

    Stage n(idempotent);
    n.list(4);
    n.say("no key: nothing is held back for it");
    Stage::print("errors", n.many(100, AttemptResult::errored));
}
