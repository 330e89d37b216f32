#include "recovery.h"

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

const char* text_of(ReturnStage stage)
{
    switch (stage) {
        case ReturnStage::disk: return "disk";
        case ReturnStage::peers: return "peers";
        case ReturnStage::voters: return "voters";
        case ReturnStage::duties: return "duties";
        case ReturnStage::list: return "list";
        case ReturnStage::warming: return "warming";
        case ReturnStage::full: return "full";
    }
    return "";
}

void Recovery::start(Point now)
{
    started_ = filled_ = now;
    passed_[0].from = now;
}

void Recovery::remembered(Point, double rate, uint32_t sharers, double size)
{
    rate_ = rate, sharers_ = sharers, size_ = size;
}

bool Recovery::done(double warm, double listed) const
{
    switch (stage_) {
        case ReturnStage::disk: return true;
        case ReturnStage::peers: return state_.alive * 2 > state_.members;
        case ReturnStage::voters: return state_.majority;
        case ReturnStage::duties: return state_.held >= state_.duties;
        case ReturnStage::list: return told_;
        case ReturnStage::warming:
            return told_ && listed > 0 && warm >= warm_enough * std::max(listed, size_);
        case ReturnStage::full: return false;
    }
    return false;
}

void Recovery::tick(Point now, double warm, double listed, bool told)
{
    told_ = told_ || told;
    while (stage_ != ReturnStage::full) {
        Passed& p = passed_[static_cast<size_t>(stage_)];
        const bool well = done(warm, listed);
        if (!well && now - p.from < longest()) break;
        p.to = now, p.gave_up = !well;
        stage_ = static_cast<ReturnStage>(static_cast<uint8_t>(stage_) + 1);
        passed_[static_cast<size_t>(stage_)].from = now;
    }
    // Where nothing is remembered there is nothing to measure by: the module's own limit alone holds.
    const double whole = std::max(listed, size_);
    admitted_ = stage_ == ReturnStage::full || rate_ <= 0 || whole <= 0 || warm >= warm_enough * whole
                    ? 1
                    : std::max(least_admitted, warm / whole);
}

bool Recovery::believes_empty(Point now)
{
    if (!empty_since_) empty_since_ = now;
    return now - *empty_since_ > rule_.wait * 4;
}

bool Recovery::admits(Point now, double rank)
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

Recovery::Usual Recovery::usual(Point now, const Usual& seen) const
{
    const bool full = stage_ == ReturnStage::full && now - passed_.back().from >= settles;
    return full || rate_ <= seen.rate ? seen : Usual{rate_, size_, static_cast<uint32_t>(sharers_)};
}

std::vector<std::string> Recovery::lines(Point now) const
{
    std::vector<std::string> out;
    const auto ms = [](Span s) { return std::to_string(s.us / 1000); };
    out.push_back(std::string("stage ") + text_of(stage_) + " since_ms " +
                  ms(now - passed_[static_cast<size_t>(stage_)].from) + " admitted_percent " +
                  std::to_string(static_cast<int>(admitted_ * 100)) + " turned_away " +
                  std::to_string(turned_away_));
    for (uint8_t s = 0; s < static_cast<uint8_t>(stage_); ++s)
        out.push_back(std::string("passed ") + text_of(static_cast<ReturnStage>(s)) + " after_ms " +
                      ms(passed_[s].to - passed_[s].from) + (passed_[s].gave_up ? " gave up" : ""));
    const char* waits = stage_ == ReturnStage::peers    ? "waits for half of the members"
                        : stage_ == ReturnStage::voters ? "waits for a majority of the voters"
                        : stage_ == ReturnStage::duties ? "waits until all duties are held"
                        : stage_ == ReturnStage::list
                            ? "waits for a list from discovery, or from who holds it"
                        : stage_ == ReturnStage::warming ? "waits until upstreams are warm"
                                                         : nullptr;
    if (waits) out.push_back(std::string(waits) + ", no longer than " + ms(longest()) + " ms");
    return out;
}

}  // namespace firtide::fleet
