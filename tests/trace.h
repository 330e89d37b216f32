// The one file of helpers: a stage that plays a host to the module and prints what it decides, line by line.
#pragma once

#include <cstdio>
#include <map>
#include <string>

#include "src/balance.h"

namespace firtide
{

class Stage : private Outlet
{
  public:
    explicit Stage(Settings settings, uint64_t seed = 1) : balancer(std::move(settings), seed, *this)
    {
        balancer.started(now);
    }

    static Operation op(Repeat repeat, Group group = Group::all)
    {
        return {repeat, group, seconds(2), seconds(1), 0};
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

    void say(const std::string& text) { std::printf("-- %s\n", text.c_str()); }
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
    void accept(Inv inv, Span left = seconds(2), uint32_t tenant = 0)
    {
        balancer.accept(now, inv, {0, tenant, left});
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
    // Sends n invocations, each answered at once; returns how many each upstream got.
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
    static void print(const char* what, const std::map<Tgt, int>& got)
    {
        std::printf("%s:", what);
        for (const auto& [t, n] : got) std::printf(" u%u=%d", t, n);
        std::printf("\n");
    }

    Point now{1'000'000'000};
    Tgt last_tgt = 0;
    bool quiet = false;
    int throttled = 0, closed = 0;
    Balancer balancer;

  private:
    template <class... Args>
    void line(const char* form, Args... args)
    {
        if (!quiet) std::printf(form, args...);
    }
    void forward(Inv inv, Tgt tgt, Span limit) override
    {
        sent.try_emplace(inv, 0);
        last_tgt = tgt;
        line("inv %u forward u%u limit %.2f s\n", inv, tgt, limit.seconds());
    }
    void throttle(Inv inv, Span back) override
    {
        ++throttled;
        line("inv %u throttled, come back in %s\n", inv, back > Span{} ? "a while" : "no stated time");
    }
    void error(Inv inv) override { line("inv %u errored\n", inv); }
    void cancel(Inv inv, uint32_t forward) override { line("inv %u cancel forward %u\n", inv, forward); }
    void released(Inv inv) override
    {
        sent.erase(inv);
        line("inv %u released\n", inv);
    }
    void wake(Point at, uint64_t name) override { timers[name] = at; }
    void probe(Tgt tgt) override { line("probe u%u\n", tgt); }
    void close_idle(Tgt tgt) override { ++closed, line("close idle connections of u%u\n", tgt); }
    void watch_list() override { line("watch the list\n"); }

    std::map<Inv, uint32_t> sent;
    std::map<uint64_t, Point> timers;
};

}  // namespace firtide
