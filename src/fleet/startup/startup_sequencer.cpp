#include "startup_sequencer.h"

#include <algorithm>
#include <cmath>

namespace firtide::fleet
{
namespace
{

constexpr double warm_enough = 0.95;
constexpr double headroom = 1.25;  // over what was accepted before: it was not the most that could be done
constexpr double least_admitted = 0.05;  // so that somebody finds out what can be done
constexpr Span saved = seconds(0.25);
constexpr Span settles = seconds(30);
constexpr double most_for_others = 3;  // of the own rate, where others have not come back

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
    started_ = filled_ = now;
    passed_[0].from = now;
}

void StartupSequencer::remembered(Point, double rate, uint32_t sharers, double size)
{
    rate_ = rate, sharers_ = sharers, size_ = size;
}

bool StartupSequencer::done(double warm, double listed) const
{
    switch (stage_) {
        case StartupStage::disk: return true;
        case StartupStage::peers: return state_.alive * 2 > state_.members;
        case StartupStage::voters: return state_.majority;
        case StartupStage::duties: return state_.held >= state_.duties;
        case StartupStage::list: return told_;
        case StartupStage::warming:
            return told_ && listed > 0 && warm >= warm_enough * std::max(listed, size_);
        case StartupStage::full: return false;
    }
    return false;
}

void StartupSequencer::tick(Point now, double warm, double listed, bool told)
{
    told_ = told_ || told;
    while (stage_ != StartupStage::full) {
        Passed& p = passed_[static_cast<size_t>(stage_)];
        const bool well = done(warm, listed);
        if (!well && now - p.from < longest()) break;
        p.to = now, p.gave_up = !well;
        stage_ = static_cast<StartupStage>(static_cast<uint8_t>(stage_) + 1);
        passed_[static_cast<size_t>(stage_)].from = now;
    }
    // Where nothing is remembered there is nothing to measure by: the module's own limit alone holds.
    const double whole = std::max(listed, size_);
    admitted_ = stage_ == StartupStage::full || rate_ <= 0 || whole <= 0 || warm >= warm_enough * whole
                    ? 1
                    : std::max(least_admitted, warm / whole);
}

bool StartupSequencer::believes_empty(Point now)
{
    if (!empty_since_) empty_since_ = now;
    return now - *empty_since_ > rule_.wait * 4;
}

bool StartupSequencer::admits(Point now, double rank)
{
    if (admitted_ >= 1) return true;
    // Those that are there have the work of those that are not yet.
    const double others = sharers_ > 0 && state_.alive > 0
                              ? std::clamp(sharers_ / static_cast<double>(state_.alive), 1.0, most_for_others)
                              : 1;
    // The module's own rule for cold upstreams takes its part of what is admitted here: so the root.
    const double rate = rate_ * others * std::sqrt(admitted_) * headroom;
    const double most = std::max(2.0, rate * saved.seconds());
    tokens_ = std::min(most, tokens_ + rate * std::max(0.0, (now - filled_).seconds()));
    filled_ = now;
    // The less an operation is worth, the more has to be left for the others.
    if (tokens_ < 1 + rank * 0.5 * (most - 1)) {
        ++turned_away_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

StartupSequencer::TrafficBaseline StartupSequencer::usual(Point now, const TrafficBaseline& seen) const
{
    const bool full = stage_ == StartupStage::full && now - passed_.back().from >= settles;
    return full || rate_ <= seen.rate ? seen : TrafficBaseline{rate_, size_, static_cast<uint32_t>(sharers_)};
}

std::vector<std::string> StartupSequencer::lines(Point now) const
{
    std::vector<std::string> out;
    const auto ms = [](Span s) { return std::to_string(s.us / 1000); };
    out.push_back(std::string("stage ") + text_of(stage_) + " since_ms " +
                  ms(now - passed_[static_cast<size_t>(stage_)].from) + " admitted_percent " +
                  std::to_string(static_cast<int>(admitted_ * 100)) + " turned_away " +
                  std::to_string(turned_away_));
    for (uint8_t s = 0; s < static_cast<uint8_t>(stage_); ++s)
        out.push_back(std::string("passed ") + text_of(static_cast<StartupStage>(s)) + " after_ms " +
                      ms(passed_[s].to - passed_[s].from) + (passed_[s].gave_up ? " gave up" : ""));
    const char* waits = stage_ == StartupStage::peers    ? "waits for half of the members"
                        : stage_ == StartupStage::voters ? "waits for a majority of the voters"
                        : stage_ == StartupStage::duties ? "waits until all duties are held"
                        : stage_ == StartupStage::list
                            ? "waits for a list from discovery, or from who holds it"
                        : stage_ == StartupStage::warming ? "waits until upstreams are warm"
                                                          : nullptr;
    if (waits) out.push_back(std::string(waits) + ", no longer than " + ms(longest()) + " ms");
    return out;
}

}  // namespace firtide::fleet
