// The return of a member to service: stages in a stated order, and how much is admitted meanwhile. No I/O, no
// clock.
//
// A stage waits only for what the ones before it have brought, or for its longest time; so none waits for
// something that waits for it. Service goes on beside them as far as a list of upstreams is there: what is
// admitted grows with what they can do.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "src/fleet/shared_choices_config.h"

namespace firtide::fleet
{

enum class StartupStage : uint8_t { disk, peers, voters, duties, list, warming, full };
const char* text_of(StartupStage stage);

struct FleetState {
    size_t members = 1, alive = 1;
    bool majority = false;
    size_t duties = 0, held = 0;
};

class StartupSequencer
{
  public:
    explicit StartupSequencer(const StartupConfig& config) : config_(config) {}

    void start(Point now);
    // What was accepted a second before, by so many balancers, and the size of all upstreams then.
    void set_baseline(Point now, double rate, uint32_t sharers, double size);
    void set_fleet_state(const FleetState& state) { state_ = state; }
    // warm: size that listed upstreams can do by now; listed: all of it; told: a list that is no hint.
    void tick(Point now, double warm, double listed, bool list_received);

    // Of one that arrives. rank: 0 for the most valuable operations, up to 1.
    bool admits(Point now, double rank);
    double admitted_share() const { return admitted_share_; }  // a part of what was accepted before; 1: all
    // An empty list is believed over one that is not only once it has stayed so for long.
    bool accepts_empty_list(Point now);
    void on_valid_list() { empty_since_.reset(); }
    // What the next start should measure by: until service has been full for a while, what this one did.
    // Guards against a second loss that would take the little of a return for the usual.
    struct TrafficBaseline {
        double rate = 0, size = 0;
        uint32_t sharers = 0;
    };
    TrafficBaseline baseline(Point now, const TrafficBaseline& seen) const;
    StartupStage stage() const { return stage_; }
    bool ready() const { return stage_ > StartupStage::list || list_received_; }
    std::vector<std::string> status_lines(Point now) const;

  private:
    struct StageRecord {
        Point from, to;
        bool timed_out = false;
    };
    bool is_complete(double warm, double listed) const;
    Span max_duration() const { return stage_ == StartupStage::warming ? config_.warm : config_.wait; }

    const StartupConfig config_;
    FleetState state_;
    StartupStage stage_ = StartupStage::disk;
    std::array<StageRecord, 7> completed_;
    Point started_, last_refill_;
    std::optional<Point> empty_since_;
    bool list_received_ = false;
    double baseline_rate_ = 0, baseline_size_ = 0, baseline_peers_ = 0;
    double admitted_share_ = 1, tokens_ = 0;
    uint64_t rejected_ = 0;
};

}  // namespace firtide::fleet
