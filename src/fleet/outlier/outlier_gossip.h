// Reports that balancers exchange about failing upstreams, and how much weight they get.
//
// Each balancer reports its own findings with their age and forwards the reports of others unchanged. As in
// RFC 8581, a report is valid for a fixed time from when the finding was made, whenever it arrives; only a
// new finding of the same balancer renews it. A single reporter counts up to a configured share; two
// reporters that agree, or one together with own evidence, count in full. Does no I/O and reads no clock.
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

// This balancer's own observations of an upstream.
struct OutlierEvidence {
    uint64_t upstream = 0;                           // hash of the upstream's uid
    double reduction = 0;                            // of this balancer's own entry
    uint32_t good_responses = 0, bad_responses = 0;  // in the last seconds
    Duration last_bad_response_age;                  // since the last bad response
    Duration last_good_response_age;                 // since the last good response
    std::optional<Duration> time_since_start;        // set while the upstream warms up
};

class OutlierGossip
{
  public:
    // A valid report, for show-fleet.
    struct ReceivedReport {
        MemberKey reporter = 0;
        double reduction = 0;
        Duration age;
    };
    // The combined result of the reports on an upstream.
    struct Verdict {
        double reduction = 0;
        std::optional<Duration> time_since_start;
    };

    OutlierGossip(const OutlierGossipConfig& config, MemberKey own, InstanceId instance);

    // Replaces all evidence of this balancer.
    void on_local_evidence(TimePoint now, const std::vector<OutlierEvidence>& evidence);
    void on_digest(TimePoint now, const OutlierDigest& digest);
    // The digest to send to each of the receivers, within the byte budget. Empty if nothing is due.
    [[nodiscard]] OutlierDigest next_digest(TimePoint now, size_t receivers);

    // Verdicts on all upstreams that reports have an effect on.
    [[nodiscard]] std::map<uint64_t, Verdict> verdicts(TimePoint now) const;
    [[nodiscard]] std::vector<ReceivedReport> reports_on(TimePoint now, uint64_t upstream) const;
    [[nodiscard]] uint64_t dropped_reports() const { return dropped_; }  // not sent for lack of byte budget
    [[nodiscard]] uint64_t stale_reports() const { return stale_; }      // received twice, or too old

  private:
    struct HeldReport {
        OutlierReport report;
        TimePoint found, valid_until;
    };
    using Reports = std::map<MemberKey, HeldReport>;  // reports on one upstream, by reporter
    // This balancer's last report on an upstream.
    struct LastSent {
        TimePoint at;
        double reduction = 0;
    };
    // Highest report numbers of one balancer's instance. Duplicate, late and reordered reports renew nothing.
    struct Sequence {
        InstanceId instance = 0;
        std::map<uint64_t, uint64_t> newest;  // by upstream
    };
    struct Pending {
        uint64_t upstream = 0;
        MemberKey reporter = 0;
        auto operator<=>(const Pending&) const = default;
    };
    // Summary of the other balancers' valid reports on an upstream.
    struct PeerSummary {
        double highest_reduction = 0, second_highest_reduction = 0;
        TimePoint last_found{INT64_MIN / 2};
        uint32_t shortest_uptime_s = 0, second_shortest_uptime_s = 0;  // plus one; zero: none reported
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
