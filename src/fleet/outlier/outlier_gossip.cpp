#include "outlier_gossip.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

// Smallest reduction that is reported, and smallest increase that is reported at once.
constexpr double min_reduction = 0.1;
// Between reports on one upstream whose reduction has increased by less than min_reduction.
constexpr Duration repeat_interval = seconds(0.5);
// Between reports of a start without a reduction, as a fraction of the validity.
constexpr double start_repeat_fraction = 0.5;
constexpr size_t max_reporters = 3;  // reporters on one upstream whose reports are forwarded
constexpr size_t max_reports = 64;   // per digest
// A digest waits until the byte budget covers this many of the pending reports, or all of them.
constexpr size_t min_batch = 6;
constexpr size_t max_upstreams = 10000;
constexpr double report_bytes = 48, frame_bytes = 40;
// Number of good responses that halves the weight of others' reports.
constexpr double own_response_weight = 3;
// Added to the severity of own reports when reports are ordered, on the scale of the encoded reduction (0 to
// 255).
constexpr int own_report_bonus = 32;
constexpr double full_reduction = 255;  // a reduction of 1 as it is encoded
constexpr int64_t microseconds_per_millisecond = 1000;

double reduction_of(const OutlierReport& report) { return report.reduction / full_reduction; }

}  // namespace

OutlierGossip::OutlierGossip(const OutlierGossipConfig& config, MemberKey own, InstanceId instance)
    : config_(config), own_key_(own), instance_(instance)
{
}

// ---- own evidence ----

void OutlierGossip::on_local_evidence(TimePoint now, const std::vector<OutlierEvidence>& evidence)
{
    evidence_.clear();
    evidence_at_ = now;
    for (const OutlierEvidence& each : evidence) {
        evidence_[each.upstream] = each;
        report_local(now, each);
    }
}

void OutlierGossip::report_local(TimePoint now, const OutlierEvidence& evidence)
{
    const bool is_reduced = evidence.reduction >= min_reduction && evidence.bad_responses > 0 &&
                            evidence.last_bad_response_age < config_.validity;
    if (!is_reduced && !evidence.time_since_start) return;
    LastSent& sent = last_sent_[evidence.upstream];
    if (now - sent.at < repeat_interval && evidence.reduction < sent.reduction + min_reduction) return;
    const TimePoint found = is_reduced ? now - evidence.last_bad_response_age : now;
    HeldReport& held = reports_[evidence.upstream][own_key_];
    // Only new evidence renews a report.
    const bool is_known =
        held.report.number && found <= held.found && evidence.reduction <= reduction_of(held.report);
    if (is_reduced && is_known) return;
    if (!is_reduced && now - sent.at < config_.validity * start_repeat_fraction) return;
    sent = {now, evidence.reduction};
    held = {make_report(evidence, is_reduced), found, found + config_.validity};
    pending_.insert({evidence.upstream, own_key_});
}

OutlierReport OutlierGossip::make_report(const OutlierEvidence& evidence, bool is_reduced)
{
    OutlierReport report;
    report.upstream = evidence.upstream;
    report.reporter = own_key_;
    report.instance = instance_;
    report.number = ++last_number_;
    const double reduction = std::min(1.0, evidence.reduction) * full_reduction;
    report.reduction = is_reduced ? static_cast<uint8_t>(reduction) : 0;
    report.evidence_count = static_cast<uint8_t>(std::min<uint32_t>(evidence.bad_responses, UINT8_MAX));
    if (evidence.time_since_start)
        report.started_s = static_cast<uint32_t>(evidence.time_since_start->seconds()) + 1;
    return report;
}

// ---- reports of other balancers ----

void OutlierGossip::on_digest(TimePoint now, const OutlierDigest& digest)
{
    for (const OutlierReport& report : digest.reports) {
        if (report.reporter == own_key_) continue;
        if (is_stale(report))
            ++stale_;
        else
            accept(now, report);
    }
}

bool OutlierGossip::is_stale(const OutlierReport& report)
{
    Sequence& sequence = sequences_[report.reporter];
    if (sequence.instance != report.instance) sequence = {report.instance, {}};
    uint64_t& newest = sequence.newest[report.upstream];
    const Duration age{int64_t{report.age_ms} * microseconds_per_millisecond};
    const bool has_room = reports_.size() < max_upstreams || reports_.count(report.upstream);
    if (report.number <= newest || age >= config_.validity || !has_room) return true;
    newest = report.number;
    return false;
}

void OutlierGossip::accept(TimePoint now, const OutlierReport& report)
{
    const TimePoint found = now - Duration{int64_t{report.age_ms} * microseconds_per_millisecond};
    Reports& reports = reports_[report.upstream];
    std::erase_if(reports, [&](const auto& each) { return each.second.valid_until <= now; });
    const bool has_enough_reporters = reports.size() >= max_reporters && !reports.count(report.reporter);
    reports[report.reporter] = {report, found, found + config_.validity};
    if (!has_enough_reporters) pending_.insert({report.upstream, report.reporter});
}

// ---- outgoing digests ----

void OutlierGossip::expire(TimePoint now)
{
    for (auto next = reports_.begin(); next != reports_.end();) {
        std::erase_if(next->second, [&](const auto& each) { return each.second.valid_until <= now; });
        next = next->second.empty() ? reports_.erase(next) : std::next(next);
    }
    std::erase_if(pending_, [&](const Pending& pending) {
        const auto reports = reports_.find(pending.upstream);
        return reports == reports_.end() || !reports->second.count(pending.reporter);
    });
}

size_t OutlierGossip::affordable_reports(size_t receivers) const
{
    const double bytes =
        std::min(byte_budget_ / static_cast<double>(receivers), max_reports * report_bytes + frame_bytes);
    return static_cast<size_t>(std::max(0.0, (bytes - frame_bytes) / report_bytes));
}

// The most severe reports come first; own reports get a bonus.
std::vector<const OutlierGossip::HeldReport*> OutlierGossip::pending_by_severity()
{
    std::vector<const HeldReport*> order;
    for (const auto& [upstream, reporter] : pending_) order.push_back(&reports_[upstream][reporter]);
    const auto severity = [&](const HeldReport* held) {
        return held->report.reduction + (held->report.reporter == own_key_ ? own_report_bonus : 0);
    };
    std::stable_sort(order.begin(), order.end(), [&](const HeldReport* left, const HeldReport* right) {
        return severity(left) > severity(right);
    });
    return order;
}

OutlierDigest OutlierGossip::next_digest(TimePoint now, size_t receivers)
{
    const double refill = config_.bytes_per_second * (now - last_refill_).seconds();
    byte_budget_ = std::min<double>(config_.bytes_per_second, byte_budget_ + refill);
    last_refill_ = now;
    expire(now);
    OutlierDigest digest;
    if (pending_.empty() || receivers == 0) return digest;
    const size_t affordable = affordable_reports(receivers);
    if (affordable < std::min(min_batch, pending_.size())) return digest;
    auto order = pending_by_severity();
    // Reports that do not fit stay pending until they expire.
    if (order.size() > affordable) {
        dropped_ += order.size() - affordable;
        order.resize(affordable);
    }
    if (order.empty()) return digest;
    for (const HeldReport* held : order) {
        digest.reports.push_back(held->report);
        const int64_t age_ms = (now - held->found).us / microseconds_per_millisecond;
        digest.reports.back().age_ms = static_cast<uint32_t>(std::max<int64_t>(0, age_ms));
        pending_.erase({held->report.upstream, held->report.reporter});
    }
    const double bytes = frame_bytes + report_bytes * static_cast<double>(digest.reports.size());
    byte_budget_ -= static_cast<double>(receivers) * bytes;
    return digest;
}

// ---- verdicts ----

// Good responses that this balancer got since the report was made reduce its weight.
double OutlierGossip::discount(TimePoint now, const OutlierEvidence& own, TimePoint found) const
{
    const TimePoint last_good = now - own.last_good_response_age - (now - evidence_at_);
    if (own.bad_responses > 0 || own.good_responses == 0 || last_good < found) return 1;
    return own_response_weight / (own_response_weight + own.good_responses);
}

OutlierGossip::PeerSummary OutlierGossip::summarize_peers(TimePoint now, const Reports& reports) const
{
    PeerSummary summary;
    for (const auto& [reporter, held] : reports) {
        if (reporter == own_key_ || held.valid_until <= now) continue;
        const double reduction = reduction_of(held.report);
        summary.second_highest_reduction =
            std::max(summary.second_highest_reduction, std::min(summary.highest_reduction, reduction));
        summary.highest_reduction = std::max(summary.highest_reduction, reduction);
        if (reduction > 0) summary.last_found = std::max(summary.last_found, held.found);
        const uint32_t start = held.report.started_s;
        if (!start) continue;
        if (!summary.shortest_uptime_s || start < summary.shortest_uptime_s) {
            summary.second_shortest_uptime_s = summary.shortest_uptime_s;
            summary.shortest_uptime_s = start;
        } else if (!summary.second_shortest_uptime_s || start < summary.second_shortest_uptime_s) {
            summary.second_shortest_uptime_s = start;
        }
    }
    return summary;
}

// Two reporters agree on at least the second-highest reduction; the highest one alone counts up to the
// `single_reporter_limit`. Own good responses since then lower both: a path that works from here is stronger
// evidence than reports from paths that may not work.
OutlierGossip::Verdict OutlierGossip::verdict(TimePoint now, uint64_t upstream, const Reports& reports) const
{
    const PeerSummary others = summarize_peers(now, reports);
    Verdict verdict;
    verdict.reduction = std::max(others.second_highest_reduction,
                                 std::min(others.highest_reduction, config_.single_reporter_limit));
    const auto own = evidence_.find(upstream);
    if (own != evidence_.end()) {
        const double discounted = discount(now, own->second, others.last_found);
        if (own->second.reduction >= min_reduction)
            verdict.reduction = others.highest_reduction;
        else if (discounted < 1)
            verdict.reduction = std::min(verdict.reduction, config_.single_reporter_limit) * discounted;
    }
    // A start is accepted if two reporters name it. If only one does, the upstream gets at least the
    // `single_reporter_limit` reduction.
    const bool knows_itself = own != evidence_.end() && own->second.time_since_start;
    if (knows_itself || !others.shortest_uptime_s) return verdict;
    if (others.second_shortest_uptime_s)
        verdict.time_since_start = seconds(others.second_shortest_uptime_s - 1);
    else
        verdict.reduction = std::max(verdict.reduction, config_.single_reporter_limit);
    return verdict;
}

std::map<uint64_t, OutlierGossip::Verdict> OutlierGossip::verdicts(TimePoint now) const
{
    std::map<uint64_t, Verdict> verdicts;
    for (const auto& [upstream, reports] : reports_) {
        const Verdict each = verdict(now, upstream, reports);
        if (each.reduction > 0 || each.time_since_start) verdicts.emplace(upstream, each);
    }
    return verdicts;
}

std::vector<OutlierGossip::ReceivedReport> OutlierGossip::reports_on(TimePoint now, uint64_t upstream) const
{
    std::vector<ReceivedReport> valid;
    const auto reports = reports_.find(upstream);
    if (reports == reports_.end()) return valid;
    for (const auto& [reporter, held] : reports->second)
        if (held.valid_until > now) valid.push_back({reporter, reduction_of(held.report), now - held.found});
    return valid;
}

}  // namespace firtide::fleet
