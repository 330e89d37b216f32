// Budgets that hold over the whole fleet. One member, by the duty "parts", gives each a part for a while; all
// parts together are never more than the whole, whoever comes, goes, stalls or is cut off. No I/O, no clock.
//
// Of each budget what is dealt out is dealt out by demand, and `kept` is everybody's by right: an even part
// for each member of the fleet file, also of one that is cut off. What is left over covers files that name
// too few.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/fleet/config.h"

namespace firtide::fleet
{

// A part and how long it is good for, by the clock of who holds it: in full, then falling evenly to the floor
// in as long again.
struct QuotaLease {
    BudgetName name;
    double rate = 0, floor = 0;  // a second; the floor is no part of the rate
    Point full_until, none_from;

    double at(Point now) const
    {
        if (now < full_until) return rate + floor;
        if (now >= none_from) return floor;
        return floor + rate * ((none_from - now) / (none_from - full_until));
    }
};

// At every member.
class QuotaClient
{
  public:
    QuotaClient(const QuotaConfig& rule, size_t members, InstanceId instance);

    // What was asked of each budget since the last call.
    void asked(Point now, const std::map<BudgetName, uint32_t>& asked);
    QuotaRequest want(Point now, Epoch holder);
    void given_to(Point now, const QuotaResponse& parts);  // nothing but an answer to its last holder counts
    std::vector<QuotaLease> parts(Point now) const;
    Span length() const { return rule_.length; }

  private:
    struct Own {
        QuotaLease part;
        double demand = 0;
        Point wanted;  // last
    };

    Own& own(BudgetName name);

    const QuotaConfig& rule_;
    const size_t members_;
    const InstanceId instance_;
    std::map<BudgetName, Own> own_;
    uint64_t number_ = 0;
    std::map<uint64_t, Point> asked_;  // not answered yet
    Epoch epoch_ = 0;                  // of the holder that was asked last
    uint64_t heard_ = 0;
    Point demand_at_;
};

// At the holder of the duty.
class QuotaAllocator
{
  public:
    QuotaAllocator(const QuotaConfig& rule, double drift);

    void begin(Point now, Epoch epoch);  // guards against what an earlier holder has given
    QuotaResponse answer(Point now, MemberKey from, const QuotaRequest& want);
    Epoch epoch() const { return epoch_; }
    // What members may use together of a budget's what is dealt out, at the most.
    double out(Point now, BudgetName name) const;

  private:
    struct Grant {
        uint64_t number = 0;
        double rate = 0;
        Point until;  // it may be used by then, at the latest
    };
    struct Holding {
        std::vector<Grant> grants;  // that may be in use: the last one heard of, and all after it
        double demand = 0;
        Point heard;

        double out(Point now) const;
    };
    struct Pool {
        double unknown = 0;  // of an earlier holder, until `since` plus the time that it can last
        std::map<std::pair<MemberKey, InstanceId>, Holding> held;
    };

    double level(Point now, const Pool& pool, double whole) const;
    Span lasts() const { return rule_.length * (2 + 8 * drift_); }

    const QuotaConfig& rule_;
    const double drift_;
    Epoch epoch_ = 0;
    Point since_;
    std::map<BudgetName, Pool> pools_;
};

// Tokens by a part; no more than a second's, or one, are saved up.
class TokenBucket
{
  public:
    bool take(Point now, const QuotaLease& part);
    bool has(Point now, const QuotaLease& part);

  private:
    double tokens_ = 0;
    Point at_{INT64_MIN / 2};
};

}  // namespace firtide::fleet
