#include "startup_sequencer.h"

#include <algorithm>
#include <cmath>

namespace firtide::fleet
{
namespace
{

constexpr double warm_threshold = 0.95;
constexpr double headroom = 1.25;  // over what was accepted before: it was not the most that could be done
constexpr double min_admitted_share = 0.05;  // so that somebody finds out what can be done
constexpr Span burst_window = seconds(0.25);
constexpr Span settling_time = seconds(30);
constexpr double max_takeover_factor = 3;  // of the own rate, where others have not come back

}  // namespace

const char* text_of(StartupStage stage)
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

void StartupSequencer::start(Point now)
{
    started_ = last_refill_ = now;
    completed_[0].from = now;
}

void StartupSequencer::set_baseline(Point, double rate, uint32_t sharers, double size)
{
    baseline_rate_ = rate, baseline_peers_ = sharers, baseline_size_ = size;
}

bool StartupSequencer::is_complete(double warm, double listed) const
{
    switch (stage_) {
        case StartupStage::disk: return true;
        case StartupStage::peers: return state_.alive * 2 > state_.members;
        case StartupStage::voters: return state_.majority;
        case StartupStage::duties: return state_.held >= state_.duties;
        case StartupStage::list: return list_received_;
        case StartupStage::warming:
            return list_received_ && listed > 0 && warm >= warm_threshold * std::max(listed, baseline_size_);
        case StartupStage::full: return false;
    }
    return false;
}

void StartupSequencer::tick(Point now, double warm, double listed, bool list_received)
{
    list_received_ = list_received_ || list_received;
    while (stage_ != StartupStage::full) {
        StageRecord& p = completed_[static_cast<size_t>(stage_)];
        const bool well = is_complete(warm, listed);
        if (!well && now - p.from < max_duration()) break;
        p.to = now, p.timed_out = !well;
        stage_ = static_cast<StartupStage>(static_cast<uint8_t>(stage_) + 1);
        completed_[static_cast<size_t>(stage_)].from = now;
    }
    // Where nothing is remembered there is nothing to measure by: the module's own limit alone holds.
    const double whole = std::max(listed, baseline_size_);
    admitted_share_ =
        stage_ == StartupStage::full || baseline_rate_ <= 0 || whole <= 0 || warm >= warm_threshold * whole
            ? 1
            : std::max(min_admitted_share, warm / whole);
}

bool StartupSequencer::accepts_empty_list(Point now)
{
    if (!empty_since_) empty_since_ = now;
    return now - *empty_since_ > config_.wait * 4;
}

bool StartupSequencer::admits(Point now, double rank)
{
    if (admitted_share_ >= 1) return true;
    // Those that are there have the work of those that are not yet.
    const double others =
        baseline_peers_ > 0 && state_.alive > 0
            ? std::clamp(baseline_peers_ / static_cast<double>(state_.alive), 1.0, max_takeover_factor)
            : 1;
    // The module's own rule for cold upstreams takes its part of what is admitted here: so the root.
    const double rate = baseline_rate_ * others * std::sqrt(admitted_share_) * headroom;
    const double most = std::max(2.0, rate * burst_window.seconds());
    tokens_ = std::min(most, tokens_ + rate * std::max(0.0, (now - last_refill_).seconds()));
    last_refill_ = now;
    // The less an operation is worth, the more has to be left for the others.
    if (tokens_ < 1 + rank * 0.5 * (most - 1)) {
        ++rejected_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

StartupSequencer::TrafficBaseline StartupSequencer::baseline(Point now, const TrafficBaseline& seen) const
{
    const bool full = stage_ == StartupStage::full && now - completed_.back().from >= settling_time;
    return full || baseline_rate_ <= seen.rate
               ? seen
               : TrafficBaseline{baseline_rate_, baseline_size_, static_cast<uint32_t>(baseline_peers_)};
}

std::vector<std::string> StartupSequencer::status_lines(Point now) const
{
    std::vector<std::string> out;
    const auto ms = [](Span s) { return std::to_string(s.us / 1000); };
    out.push_back(std::string("stage ") + text_of(stage_) + " since_ms " +
                  ms(now - completed_[static_cast<size_t>(stage_)].from) + " admitted_percent " +
                  std::to_string(static_cast<int>(admitted_share_ * 100)) + " turned_away " +
                  std::to_string(rejected_));
    for (uint8_t s = 0; s < static_cast<uint8_t>(stage_); ++s)
        out.push_back(std::string("passed ") + text_of(static_cast<StartupStage>(s)) + " after_ms " +
                      ms(completed_[s].to - completed_[s].from) +
                      (completed_[s].timed_out ? " gave up" : ""));
    const char* waits = stage_ == StartupStage::peers    ? "waits for half of the members"
                        : stage_ == StartupStage::voters ? "waits for a majority of the voters"
                        : stage_ == StartupStage::duties ? "waits until all duties are held"
                        : stage_ == StartupStage::list
                            ? "waits for a list from discovery, or from who holds it"
                        : stage_ == StartupStage::warming ? "waits until upstreams are warm"
                                                          : nullptr;
    if (waits) out.push_back(std::string(waits) + ", no longer than " + ms(max_duration()) + " ms");
    return out;
}

}  // namespace firtide::fleet
