// RAII owners of libevent objects.
#pragma once

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <chrono>
#include <memory>
#include <utility>

#include "src/base/descriptor.h"
#include "src/base/time.h"

namespace firtide
{

template <auto free>
struct FreeWith {
    template <class T>
    void operator()(T* p) const
    {
        free(p);
    }
};

using EventBasePtr = std::unique_ptr<event_base, FreeWith<event_base_free>>;
using EventPtr = std::unique_ptr<event, FreeWith<event_free>>;
using BuffereventPtr = std::unique_ptr<bufferevent, FreeWith<bufferevent_free>>;

inline timeval to_timeval(Duration duration)
{
    const auto us = duration.us < 0 ? 0 : duration.us;
    return {static_cast<time_t>(us / 1'000'000), static_cast<suseconds_t>(us % 1'000'000)};
}

// The event loop's clock, which is monotonic.
inline TimePoint monotonic_now()
{
    using namespace std::chrono;
    return {duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count()};
}

}  // namespace firtide
