// The startup of a member: stages in a fixed order, and limits on admission meanwhile. No I/O, no clock of
// its own.
//
// A stage depends only on the results of earlier stages and has a timeout, so stages cannot wait for each
// other in a cycle. Requests are served during all stages as soon as a list of upstreams is available; the
// admitted share grows with the capacity of the upstreams. See docs/recovery.md.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/fleet/shared_choices_config.h"

namespace firtide::fleet
{

enum class StartupStage : uint8_t { disk, peers, voters, duties, list, warming, full };
const char* to_string(StartupStage stage);

// What a member knows of its fleet and the stages wait for.
struct FleetState {
    size_t member_count = 1, alive_count = 1;
    bool has_majority = false;  // of the voters confirms this member's lease
    size_t duty_count = 0, held_duty_count = 0;
};

// The usual traffic, which limits admission during startup.
struct TrafficBaseline {
    double accepted_rate = 0;   // accepted and successful requests per second
    double total_capacity = 0;  // of all upstreams
    uint32_t peer_count = 0;    // balancers that shared the upstreams
};

class StartupSequencer
{
  public:
    explicit StartupSequencer(const StartupConfig& config) : config_(config) {}

    void start(TimePoint now);
    // The traffic before this start. Without it, admission is not limited here.
    void set_baseline(const TrafficBaseline& baseline) { baseline_ = baseline; }
    void set_fleet_state(const FleetState& state) { fleet_ = state; }
    // `warm`: the part of `listed`, the total capacity of the listed upstreams, that is available now.
    // `list_received`: a list that is not only a hint.
    void tick(TimePoint now, double warm, double listed, bool list_received);

    // Whether a request may be accepted now; if so, takes a token. `rank`: 0 for the most valuable
    // operations, up to 1.
    [[nodiscard]] bool try_admit(TimePoint now, double rank);
    // Relative to the baseline; 1: no limit.
    [[nodiscard]] double admitted_share() const { return admitted_share_; }

    // An empty list replaces a nonempty one only after the list has stayed empty for a long time.
    [[nodiscard]] bool accepts_empty_list(TimePoint now);
    void on_nonempty_list() { empty_since_.reset(); }

    // The baseline for the next start: the traffic of this run if it is higher, or once service has been full
    // for a while, otherwise the baseline of this start. A second outage during startup must not make its low
    // traffic the baseline.
    [[nodiscard]] TrafficBaseline next_baseline(TimePoint now, const TrafficBaseline& seen) const;

    [[nodiscard]] StartupStage stage() const { return stage_; }
    [[nodiscard]] bool is_ready() const { return stage_ > StartupStage::list || list_received_; }
    // For show-recovery.
    [[nodiscard]] std::vector<std::string> status_lines(TimePoint now) const;

  private:
    static constexpr size_t stage_count = static_cast<size_t>(StartupStage::full) + 1;

    struct StageRecord {
        TimePoint started_at, ended_at;
        bool timed_out = false;
    };

    StageRecord& record_of(StartupStage stage) { return stage_records_[static_cast<size_t>(stage)]; }
    const StageRecord& record_of(StartupStage stage) const
    {
        return stage_records_[static_cast<size_t>(stage)];
    }
    bool is_complete(double warm, double listed) const;
    void advance(TimePoint now, double warm, double listed);
    Duration max_duration() const
    {
        return stage_ == StartupStage::warming ? config_.warmup_timeout : config_.stage_timeout;
    }
    double admission_rate() const;

    const StartupConfig config_;
    FleetState fleet_;
    TrafficBaseline baseline_;
    StartupStage stage_ = StartupStage::disk;
    std::array<StageRecord, stage_count> stage_records_;
    TimePoint last_refill_;
    std::optional<TimePoint> empty_since_;
    bool list_received_ = false;
    double admitted_share_ = 1, tokens_ = 0;
    uint64_t rejected_ = 0;
};

}  // namespace firtide::fleet
