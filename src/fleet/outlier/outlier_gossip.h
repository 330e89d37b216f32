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
    uint64_t upstream = 0;                           // hash of its uid
    double reduction = 0;                            // of its own entry
    uint32_t good_responses = 0, bad_responses = 0;  // answers of the last seconds
    Duration last_bad_response_age;                  // of the last bad one
    Duration last_good_response_age;                 // of the last good one
    std::optional<Duration> time_since_start;        // where it warms up: how long ago
};

class OutlierGossip
{
  public:
    // A report that is valid, for show-fleet.
    struct ReceivedReport {
        MemberKey reporter = 0;
        double reduction = 0;
        Duration age;
    };
    // What reports on an upstream amount to.
    struct Verdict {
        double reduction = 0;
        std::optional<Duration> time_since_start;
    };

    OutlierGossip(const OutlierGossipConfig& config, MemberKey own, InstanceId instance);

    // All evidence of this balancer, in place of what was there before.
    void on_local_evidence(TimePoint now, const std::vector<OutlierEvidence>& evidence);
    void on_digest(TimePoint now, const OutlierDigest& digest);
    // What is due for each of so many receivers, within the byte budget; empty: nothing.
    [[nodiscard]] OutlierDigest next_digest(TimePoint now, size_t receivers);

    // Of the upstreams that any report counts for.
    [[nodiscard]] std::map<uint64_t, Verdict> verdicts(TimePoint now) const;
    [[nodiscard]] std::vector<ReceivedReport> reports_on(TimePoint now, uint64_t upstream) const;
    [[nodiscard]] uint64_t dropped_reports() const { return dropped_; }  // for want of bytes
    [[nodiscard]] uint64_t stale_reports() const { return stale_; }      // received again, or too old

  private:
    struct HeldReport {
        OutlierReport report;
        TimePoint found, valid_until;
    };
    using Reports = std::map<MemberKey, HeldReport>;  // on one upstream, by reporter
    // The last report of this balancer on an upstream.
    struct LastSent {
        TimePoint at;
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
    struct PeerSummary {
        double highest_reduction = 0, second_highest_reduction = 0;  // reductions
        TimePoint last_found{INT64_MIN / 2};
        uint32_t shortest_uptime_s = 0, second_shortest_uptime_s = 0;  // zero: none names one
    };

    void report_local(TimePoint now, const OutlierEvidence& evidence);
    OutlierReport make_report(const OutlierEvidence& evidence, bool is_reduced);
    void accept(TimePoint now, const OutlierReport& report);
    bool is_stale(const OutlierReport& report);
    void expire(TimePoint now);
    size_t affordable_reports(size_t receivers) const;
    std::vector<const HeldReport*> pending_by_severity();

    PeerSummary summarize_peers(TimePoint now, const Reports& reports) const;
    Verdict verdict(TimePoint now, uint64_t upstream, const Reports& reports) const;
    double discount(TimePoint now, const OutlierEvidence& own, TimePoint found) const;

    const OutlierGossipConfig config_;
    const MemberKey own_key_;
    const InstanceId instance_;
    uint64_t last_number_ = 0;
    std::map<uint64_t, Reports> reports_;  // by upstream
    std::map<uint64_t, OutlierEvidence> evidence_;
    TimePoint evidence_at_;
    std::map<uint64_t, LastSent> last_sent_;
    std::map<MemberKey, Sequence> sequences_;
    std::set<Pending> pending_;
    double byte_budget_ = 0;
    TimePoint last_refill_;
    uint64_t dropped_ = 0, stale_ = 0;
};

}  // namespace firtide::fleet
