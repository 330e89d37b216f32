// What balancers report to each other of upstreams that fail, and how far such reports count.
//
// Each balancer reports what it has found itself, with its age; what it was told it passes on unchanged. A
// report is valid for a stated time from when it was found, as a report of RFC 8581 is, whenever it arrives,
// and nothing but a new finding of the same balancer renews it. One balancer alone counts up to a share; two
// that agree, or own evidence, make it count in full. No I/O, no clock of its own.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/base/time.h"
#include "src/fleet/shared_choices_config.h"
#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

// What this balancer itself knows of an upstream.
struct OutlierEvidence {
    uint64_t upstream = 0;        // hash of its uid
    double reduction = 0;         // of its own entry
    uint32_t well = 0, bad = 0;   // answers of the last seconds
    Span age;                     // of the last bad one
    Span well_age;                // of the last good one
    std::optional<Span> started;  // where it warms up: how long ago
};

class OutlierGossip
{
  public:
    // A report that is valid, for show-fleet.
    struct ReceivedReport {
        MemberKey reporter = 0;
        double reduction = 0;
        Span age;
    };
    // What reports on an upstream amount to.
    struct Verdict {
        double reduction = 0;
        std::optional<Span> started;
    };

    OutlierGossip(const OutlierGossipConfig& config, MemberKey own, InstanceId instance);

    // All evidence of this balancer, in place of what was there before.
    void on_local_evidence(Point now, const std::vector<OutlierEvidence>& evidence);
    void on_digest(Point now, const OutlierDigest& digest);
    // What is due for each of so many receivers, within the byte budget; empty: nothing.
    [[nodiscard]] OutlierDigest next_digest(Point now, size_t receivers);

    // Of the upstreams that any report counts for.
    [[nodiscard]] std::map<uint64_t, Verdict> verdicts(Point now) const;
    [[nodiscard]] std::vector<ReceivedReport> reports_on(Point now, uint64_t upstream) const;
    [[nodiscard]] uint64_t dropped() const { return dropped_; }  // for want of bytes
    [[nodiscard]] uint64_t stale() const { return stale_; }      // received again, or too old

  private:
    struct HeldReport {
        OutlierReport report;
        Point found, valid_until;
    };
    using Reports = std::map<MemberKey, HeldReport>;  // on one upstream, by reporter
    // The last report of this balancer on an upstream.
    struct Sent {
        Point at;
        double reduction = 0;
    };
    // The newest reports of one balancer's instance: what comes twice, late or out of order renews nothing.
    struct Sequence {
        InstanceId instance = 0;
        std::map<uint64_t, uint64_t> newest;  // number, by upstream
    };
    struct Pending {
        uint64_t upstream = 0;
        MemberKey reporter = 0;
        auto operator<=>(const Pending&) const = default;
    };
    // What the others' valid reports on an upstream say together.
    struct Consensus {
        double greatest = 0, second = 0;  // reductions
        Point last_found{INT64_MIN / 2};
        uint32_t youngest_start = 0, second_start = 0;  // zero: none names one
    };

    void report_local(Point now, const OutlierEvidence& evidence);
    OutlierReport make_report(const OutlierEvidence& evidence, bool is_reduced);
    void accept(Point now, const OutlierReport& report);
    bool is_stale(const OutlierReport& report);
    void expire(Point now);
    size_t affordable_reports(size_t receivers) const;
    std::vector<const HeldReport*> pending_by_gravity();

    Consensus consensus_of(Point now, const Reports& reports) const;
    Verdict verdict(Point now, uint64_t upstream, const Reports& reports) const;
    double discount(Point now, const OutlierEvidence& own, Point found) const;

    const OutlierGossipConfig config_;
    const MemberKey own_;
    const InstanceId instance_;
    uint64_t last_number_ = 0;
    std::map<uint64_t, Reports> reports_;  // by upstream
    std::map<uint64_t, OutlierEvidence> evidence_;
    Point evidence_at_;
    std::map<uint64_t, Sent> last_sent_;
    std::map<MemberKey, Sequence> sequences_;
    std::set<Pending> pending_;
    double byte_budget_ = 0;
    Point last_refill_;
    uint64_t dropped_ = 0, stale_ = 0;
};

}  // namespace firtide::fleet
