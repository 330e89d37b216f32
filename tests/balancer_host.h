// A host for the decision module in tests: it drives a Balancer by hand, with a clock of its own, and records
// the effects that the Balancer asks for.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/balance.h"

namespace firtide
{

// What a Balancer asked its host to do.
struct Forwarded {
    Inv invocation;
    Tgt upstream;
    Span limit;
    bool operator==(const Forwarded&) const = default;
};
struct Throttled {
    Inv invocation;
    bool with_retry_time;  // the answer says when to retry
    bool operator==(const Throttled&) const = default;
};
struct Errored {
    Inv invocation;
    bool operator==(const Errored&) const = default;
};
struct LimitChanged {
    Inv invocation;
    uint32_t forward;
    Span limit;
    bool operator==(const LimitChanged&) const = default;
};
struct Cancelled {
    Inv invocation;
    uint32_t forward;
    bool operator==(const Cancelled&) const = default;
};
struct Released {
    Inv invocation;
    bool operator==(const Released&) const = default;
};
struct Probed {
    Tgt upstream;
    bool operator==(const Probed&) const = default;
};
struct IdleConnectionsClosed {
    Tgt upstream;
    bool operator==(const IdleConnectionsClosed&) const = default;
};
struct ListWatched {
    bool operator==(const ListWatched&) const = default;
};

using Effect = std::variant<Forwarded, Throttled, Errored, LimitChanged, Cancelled, Released, Probed,
                            IdleConnectionsClosed, ListWatched>;
using Effects = std::vector<Effect>;

inline std::string two_decimals(Span span)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f s", span.seconds());
    return text;
}

// One line of text for each kind of effect, for traces and failed assertions.
inline std::ostream& operator<<(std::ostream& out, const Forwarded& effect)
{
    return out << "inv " << effect.invocation << " forward u" << effect.upstream << " limit "
               << two_decimals(effect.limit);
}
inline std::ostream& operator<<(std::ostream& out, const Throttled& effect)
{
    return out << "inv " << effect.invocation << " throttled, come back in "
               << (effect.with_retry_time ? "a while" : "no stated time");
}
inline std::ostream& operator<<(std::ostream& out, const Errored& effect)
{
    return out << "inv " << effect.invocation << " errored";
}
inline std::ostream& operator<<(std::ostream& out, const LimitChanged& effect)
{
    return out << "inv " << effect.invocation << " forward " << effect.forward << " limit "
               << two_decimals(effect.limit);
}
inline std::ostream& operator<<(std::ostream& out, const Cancelled& effect)
{
    return out << "inv " << effect.invocation << " cancel forward " << effect.forward;
}
inline std::ostream& operator<<(std::ostream& out, const Released& effect)
{
    return out << "inv " << effect.invocation << " released";
}
inline std::ostream& operator<<(std::ostream& out, const Probed& effect)
{
    return out << "probe u" << effect.upstream;
}
inline std::ostream& operator<<(std::ostream& out, const IdleConnectionsClosed& effect)
{
    return out << "close idle connections of u" << effect.upstream;
}
inline std::ostream& operator<<(std::ostream& out, const ListWatched&) { return out << "watch the list"; }

class BalancerHost : private Outlet
{
  public:
    explicit BalancerHost(Settings settings, uint64_t seed = 1) : balancer(std::move(settings), seed, *this)
    {
        balancer.started(now);
    }

    static Operation op(Repeat repeat, Group group = Group::all)
    {
        return {repeat, group, seconds(2), seconds(1), 0, seconds(2)};
    }

    static Settings settings(Operation operation)
    {
        Settings s;
        s.operations = {operation};
        s.max_forwards = 6;
        s.may_cancel = s.may_overlap = s.may_probe = true;
        s.max_come_back = seconds(1);
        return s;
    }

    void wait(Span span) { now = now + span; }
    void list(uint32_t n)
    {
        std::vector<Listing> all;
        for (Tgt t = 0; t < n; ++t) all.push_back({t, t, Presence::ready, t % 2, t / 2, 1, {}});
        balancer.list_is(now, all);
    }
    void change(Tgt t, Presence presence, std::optional<Point> started = {})
    {
        balancer.list_changed(now, {{t, t, presence, t % 2, t / 2, 1, started}});
    }
    void accept(Inv inv, Span left = seconds(2), uint32_t tenant = 0, uint64_t key = 0)
    {
        balancer.accept(now, inv, {0, tenant, left, false, key});
    }
    void end(Inv inv, Result result, Span took = seconds(0.1), Report report = {})
    {
        const auto nth = sent[inv]++;
        balancer.ended(now, inv, nth, result, took, result == Result::succeeded, report);
    }
    bool is_out(Inv inv) const { return sent.count(inv) > 0; }
    void leave(Inv inv) { balancer.client_left(now, inv); }
    void wake()
    {
        auto due = std::move(timers);
        timers.clear();
        for (const auto& [name, at] : due) now = std::max(now, at), balancer.woken(now, name);
    }
    // Sends n invocations, each answered at once; returns how many each upstream got. Their effects are not
    // recorded.
    std::map<Tgt, int> many(int n, Result result = Result::succeeded, Tgt only = ~0u,
                            Span every = seconds(0.01))
    {
        std::map<Tgt, int> got;
        quiet = true;
        for (int i = 0; i < n; ++i) {
            wait(every);
            last_tgt = ~0u;
            accept(99);
            if (last_tgt == ~0u) continue;
            ++got[last_tgt];
            const bool odd = only == ~0u || last_tgt == only;
            end(99, odd ? result : Result::succeeded);
            if (sent.count(99)) leave(99), end(99, Result::cancelled);
        }
        quiet = false;
        return got;
    }
    // What was recorded since the last call.
    Effects take_effects() { return std::exchange(recorded, {}); }

    Point now{1'000'000'000};
    Tgt last_tgt = 0;
    bool quiet = false;
    int throttled = 0, closed = 0;
    std::vector<std::string> told;  // to the other instances
    Balancer balancer;

  protected:
    virtual void record(const Effect& effect) { recorded.push_back(effect); }

  private:
    void asked(const Effect& effect)
    {
        if (!quiet) record(effect);
    }
    void forward(Inv inv, Tgt tgt, Span limit) override
    {
        sent.try_emplace(inv, 0);
        last_tgt = tgt;
        asked(Forwarded{inv, tgt, limit});
    }
    void throttle(Inv inv, Span back) override
    {
        ++throttled;
        asked(Throttled{inv, back > Span{}});
    }
    void error(Inv inv) override { asked(Errored{inv}); }
    void limit(Inv inv, uint32_t forward, Span limit) override { asked(LimitChanged{inv, forward, limit}); }
    void cancel(Inv inv, uint32_t forward) override { asked(Cancelled{inv, forward}); }
    void released(Inv inv) override
    {
        sent.erase(inv);
        asked(Released{inv});
    }
    void wake(Point at, uint64_t name) override { timers[name] = at; }
    void probe(Tgt tgt) override { asked(Probed{tgt}); }
    void close_idle(Tgt tgt) override
    {
        ++closed;
        asked(IdleConnectionsClosed{tgt});
    }
    void watch_list() override { asked(ListWatched{}); }
    void tell(const std::string& message) override { told.push_back(message); }

    Effects recorded;
    std::map<Inv, uint32_t> sent;
    std::map<uint64_t, Point> timers;
};

}  // namespace firtide
