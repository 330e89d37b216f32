// The order of one client's requests to one unit: a told sequence, then seeded ones against the rule itself.
#include <cstdio>
#include <random>
#include <vector>

#include "src/modbus/order.h"

using namespace firtide;
using namespace firtide::modbus;

namespace
{

void arrive(Order& order, Ticket t, bool writes)
{
    std::printf("%s %d %s\n", writes ? "write" : "read", static_cast<int>(t),
                order.arrived(t, writes) ? "goes on" : "waits");
}

void finish(Order& order, Ticket t)
{
    std::printf("%d is answered:", static_cast<int>(t));
    for (const Ticket next : order.finished(t)) std::printf(" %d goes on", static_cast<int>(next));
    std::printf("\n");
}

struct Seen {
    bool writes, out = false, done = false;
};

// Whether what is out now is allowed: no write beside anything before it, no read beside a write before it.
bool allowed(const std::vector<Seen>& all)
{
    for (size_t i = 0; i < all.size(); ++i) {
        if (!all[i].out) continue;
        for (size_t j = 0; j < i; ++j)
            if (!all[j].done && (all[i].writes || all[j].writes)) return false;
    }
    return true;
}

void seeded(int runs)
{
    int broken = 0, stuck = 0, side_by_side = 0;
    std::ranlux24_base chance(3);
    for (int run = 0; run < runs; ++run) {
        Order order;
        std::vector<Seen> all;
        for (int step = 0; step < 60 || !order.empty(); ++step) {
            std::vector<size_t> out;
            for (size_t i = 0; i < all.size(); ++i)
                if (all[i].out) out.push_back(i);
            side_by_side += out.size() > 1;
            if (step < 60 && chance() % 2) {
                all.push_back({chance() % 3 == 0});
                all.back().out = order.arrived(all.size() - 1, all.back().writes);
            } else if (!out.empty()) {
                const size_t i = out[chance() % out.size()];
                all[i].out = false, all[i].done = true;
                for (const Ticket t : order.finished(i)) all[t].out = true;
            } else if (!order.empty()) {
                ++stuck;
                break;
            }
            broken += !allowed(all);
        }
        for (const Seen& s : all) stuck += !s.done;
    }
    std::printf("%d runs: order broken %d times, %d never went on, reads %s side by side\n", runs, broken,
                stuck, side_by_side > 0 ? "went" : "never went");
}

}  // namespace

int main()
{
    Order order;
    arrive(order, 1, false);
    arrive(order, 2, false);
    arrive(order, 3, true);
    arrive(order, 4, false);
    arrive(order, 5, true);
    finish(order, 2);
    finish(order, 1);
    finish(order, 4);
    finish(order, 3);
    arrive(order, 6, false);
    finish(order, 5);
    finish(order, 6);
    std::printf("%s\n", order.empty() ? "nothing is left" : "something is left");
    seeded(2000);
}
