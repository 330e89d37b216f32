// What balancers tell each other of upstreams, and how far it counts. No I/O, no clock.
//
// Each tells what it has found itself, with its age; what it was told it only passes on as it was. It holds
// for `validity` from when it was found, as a report of RFC 8581 does, whenever it arrives, and nothing but a
// new finding of the same balancer renews it. One balancer alone counts up to a part; two that agree, or own
// evidence, make it count in full.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/fleet/config.h"

namespace firtide::fleet
{

// What this balancer itself knows of an upstream.
struct OutlierEvidence {
    uint64_t upstream = 0;
    double reduction = 0;         // of its own entry
    uint32_t well = 0, bad = 0;   // answers lately
    Span age;                     // of the last bad one
    Span well_age;                // of the last good one
    std::optional<Span> started;  // where it is cold: so long ago
};

class OutlierGossip
{
  public:
    struct Counted {  // one that was told
        MemberKey by = 0;
        double reduction = 0;
        Span age;
    };
    struct Verdict {
        double reduction = 0;  // that counts
        std::optional<Span> started;
    };

    OutlierGossip(const OutlierGossipConfig& rule, MemberKey own, InstanceId instance);

    // All own evidence; what of it others should know is told once the time for it has come.
    void seen(Point now, const std::vector<OutlierEvidence>& all);
    void heard(Point now, const OutlierDigest& digest);
    // What is due to be told, to each of the successors; empty: nothing.
    OutlierDigest take(Point now, size_t successors);

    // Of the upstreams that anything counts for.
    std::map<uint64_t, Verdict> results(Point now) const;
    std::vector<Counted> told(Point now, uint64_t upstream) const;
    uint64_t dropped() const { return dropped_; }  // for want of room in what may be sent
    uint64_t stale() const { return stale_; }      // repeated or too old

  private:
    struct Held {
        OutlierReport signal;
        Point found, until;
    };

    Verdict result(Point now, uint64_t upstream, const std::map<MemberKey, Held>& by) const;
    double against(Point now, const OutlierEvidence& own, Point found) const;
    void due(uint64_t upstream, MemberKey by) { due_.emplace(upstream, by); }

    const OutlierGossipConfig rule_;
    const MemberKey own_;
    const InstanceId instance_;
    uint64_t number_ = 0;
    std::map<uint64_t, std::map<MemberKey, Held>> held_;
    std::map<uint64_t, OutlierEvidence> evidence_;  // as of evidence_at_
    Point evidence_at_;
    std::map<uint64_t, std::pair<Point, double>> own_told_;  // when, and which reduction
    struct Newest {
        InstanceId instance = 0;
        std::map<uint64_t, uint64_t> of;  // number by upstream
    };
    std::map<MemberKey, Newest> newest_;
    std::set<std::pair<uint64_t, MemberKey>> due_;
    double room_ = 0;  // bytes
    Point filled_;
    uint64_t dropped_ = 0, stale_ = 0;
};

}  // namespace firtide::fleet
