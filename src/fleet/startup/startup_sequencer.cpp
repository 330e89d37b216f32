#include "startup_sequencer.h"

#include <algorithm>
#include <cmath>

namespace firtide::fleet
{
namespace
{

constexpr double warm_threshold = 0.95;       // of the capacity of all upstreams
constexpr double headroom = 1.25;             // over the baseline, which is below the highest possible rate
constexpr double min_admitted_share = 0.05;   // some traffic is needed to see what can be handled
constexpr double max_takeover_factor = 3;     // of the baseline, if other balancers have not come back
constexpr double reserved_token_share = 0.5;  // of the tokens, for the most valuable operations
constexpr double empty_list_wait_factor = 4;  // in units of `stage_timeout`
constexpr Duration admission_burst_window = seconds(0.25);
constexpr Duration settling_time = seconds(30);

StartupStage next_of(StartupStage stage)
{
    return static_cast<StartupStage>(static_cast<uint8_t>(stage) + 1);
}

std::string milliseconds_of(Duration span) { return std::to_string(span.us / 1000); }

// What a stage waits for; null if it waits for nothing.
const char* wait_description(StartupStage stage)
{
    switch (stage) {
        case StartupStage::peers: return "waits for half of the members";
        case StartupStage::voters: return "waits for a majority of the voters";
        case StartupStage::duties: return "waits until all duties are held";
        case StartupStage::list: return "waits for a list from discovery, or from who holds it";
        case StartupStage::warming: return "waits until upstreams are warm";
        default: return nullptr;
    }
}

}  // namespace

const char* to_string(StartupStage stage)
{
    switch (stage) {
        case StartupStage::disk: return "disk";
        case StartupStage::peers: return "peers";
        case StartupStage::voters: return "voters";
        case StartupStage::duties: return "duties";
        case StartupStage::list: return "list";
        case StartupStage::warming: return "warming";
        case StartupStage::full: return "full";
    }
    return "";
}

void StartupSequencer::start(TimePoint now)
{
    last_refill_ = now;
    record_of(StartupStage::disk).started_at = now;
}

// ---- stages ----

bool StartupSequencer::is_complete(double warm, double listed) const
{
    switch (stage_) {
        case StartupStage::disk: return true;
        case StartupStage::peers: return fleet_.alive_count * 2 > fleet_.member_count;
        case StartupStage::voters: return fleet_.has_majority;
        case StartupStage::duties: return fleet_.held_duty_count >= fleet_.duty_count;
        case StartupStage::list: return list_received_;
        case StartupStage::warming:
            return list_received_ && listed > 0 &&
                   warm >= warm_threshold * std::max(listed, baseline_.total_capacity);
        case StartupStage::full: return false;
    }
    return false;
}

void StartupSequencer::advance(TimePoint now, double warm, double listed)
{
    while (stage_ != StartupStage::full) {
        StageRecord& record = record_of(stage_);
        const bool complete = is_complete(warm, listed);
        if (!complete && now - record.started_at < max_duration()) return;
        record.ended_at = now;
        record.timed_out = !complete;
        stage_ = next_of(stage_);
        record_of(stage_).started_at = now;
    }
}

void StartupSequencer::tick(TimePoint now, double warm, double listed, bool list_received)
{
    list_received_ = list_received_ || list_received;
    advance(now, warm, listed);
    const double total = std::max(listed, baseline_.total_capacity);
    const bool is_limited = stage_ != StartupStage::full && baseline_.accepted_rate > 0 && total > 0 &&
                            warm < warm_threshold * total;
    admitted_share_ = is_limited ? std::max(min_admitted_share, warm / total) : 1;
}

bool StartupSequencer::accepts_empty_list(TimePoint now)
{
    if (!empty_since_) empty_since_ = now;
    return now - *empty_since_ > config_.stage_timeout * empty_list_wait_factor;
}

// ---- admission ----

double StartupSequencer::admission_rate() const
{
    // The balancers that are up also serve the traffic of those that are not up yet.
    double takeover = 1;
    if (baseline_.peer_count > 0 && fleet_.alive_count > 0)
        takeover = std::clamp(baseline_.peer_count / static_cast<double>(fleet_.alive_count), 1.0,
                              max_takeover_factor);
    // The decision module's own slow start also limits what is admitted here, hence the square root.
    return baseline_.accepted_rate * takeover * std::sqrt(admitted_share_) * headroom;
}

bool StartupSequencer::try_admit(TimePoint now, double rank)
{
    if (admitted_share_ >= 1) return true;
    const double rate = admission_rate();
    const double capacity = std::max(2.0, rate * admission_burst_window.seconds());
    const double refill = rate * std::max(0.0, (now - last_refill_).seconds());
    tokens_ = std::min(capacity, tokens_ + refill);
    last_refill_ = now;
    // Less valuable operations need a fuller bucket, which leaves tokens for more valuable ones.
    if (tokens_ < 1 + rank * reserved_token_share * (capacity - 1)) {
        ++rejected_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

TrafficBaseline StartupSequencer::next_baseline(TimePoint now, const TrafficBaseline& seen) const
{
    const bool has_settled =
        stage_ == StartupStage::full && now - stage_records_.back().started_at >= settling_time;
    return has_settled || baseline_.accepted_rate <= seen.accepted_rate ? seen : baseline_;
}

// ---- status ----

std::vector<std::string> StartupSequencer::status_lines(TimePoint now) const
{
    std::vector<std::string> lines;
    lines.push_back(std::string("stage ") + to_string(stage_) + " since_ms " +
                    milliseconds_of(now - record_of(stage_).started_at) + " admitted_percent " +
                    std::to_string(static_cast<int>(admitted_share_ * 100)) + " turned_away " +
                    std::to_string(rejected_));
    for (StartupStage stage = StartupStage::disk; stage < stage_; stage = next_of(stage)) {
        const StageRecord& record = record_of(stage);
        lines.push_back(std::string("passed ") + to_string(stage) + " after_ms " +
                        milliseconds_of(record.ended_at - record.started_at) +
                        (record.timed_out ? " gave up" : ""));
    }
    if (const char* awaited = wait_description(stage_))
        lines.push_back(std::string(awaited) + ", no longer than " + milliseconds_of(max_duration()) + " ms");
    return lines;
}

}  // namespace firtide::fleet
