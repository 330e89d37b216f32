#include "checker.h"

#include <algorithm>

namespace firtide::fault_injection
{

void HistoryChecker::record_acquired(TimePoint at, const std::string& member, const std::string& duty,
                                     uint64_t epoch)
{
    holding_periods_[duty].push_back({member, epoch, at, {}});
}

void HistoryChecker::record_lost(TimePoint until, const std::string& member, const std::string& duty,
                                 uint64_t epoch)
{
    for (HoldingPeriod& period : holding_periods_[duty])
        if (period.member == member && period.epoch == epoch && !period.until) period.until = until;
}

void HistoryChecker::record_process_end(TimePoint at, const std::string& member)
{
    for (auto& [duty, periods] : holding_periods_)
        for (HoldingPeriod& period : periods)
            if (period.member == member && !period.until) period.until = at;
}

void HistoryChecker::record_accepted(const std::string& receiver, const std::string& duty, uint64_t epoch,
                                     uint64_t number)
{
    ++accepted_count_;
    uint64_t& highest = highest_epoch_[{receiver, duty}];
    if (epoch < highest)
        violations_.push_back(receiver + " accepted epoch " + std::to_string(epoch) + " of " + duty +
                              " after epoch " + std::to_string(highest));
    highest = std::max(highest, epoch);
    if (!accepted_effects_.insert({receiver, duty, epoch, number}).second)
        violations_.push_back(receiver + " accepted effect " + std::to_string(number) + " of " + duty +
                              " twice");
}

void HistoryChecker::record_probe(const std::string& upstream, size_t concurrent)
{
    if (concurrent > 1)
        violations_.push_back(std::to_string(concurrent) + " concurrent probes of " + upstream);
}

std::vector<std::string> HistoryChecker::violations(TimePoint end) const
{
    auto found = violations_;
    for (const auto& [duty, periods] : holding_periods_) {
        std::set<uint64_t> epochs;
        for (const HoldingPeriod& period : periods)
            if (!epochs.insert(period.epoch).second)
                found.push_back("epoch " + std::to_string(period.epoch) + " of " + duty +
                                " was granted twice");
        if (overlap_allowed) continue;
        auto sorted = periods;
        std::sort(sorted.begin(), sorted.end(),
                  [](const HoldingPeriod& a, const HoldingPeriod& b) { return a.from < b.from; });
        for (size_t i = 0; i < sorted.size(); ++i)
            for (size_t j = i + 1; j < sorted.size(); ++j) {
                const HoldingPeriod &a = sorted[i], &b = sorted[j];
                if (a.until.value_or(end) > b.from)
                    found.push_back("overlapping holders of " + duty + ": " + a.member + " at epoch " +
                                    std::to_string(a.epoch) + " and " + b.member + " at epoch " +
                                    std::to_string(b.epoch));
            }
    }
    return found;
}

std::vector<Duration> HistoryChecker::gaps() const
{
    std::vector<Duration> gaps;
    for (const auto& [duty, periods] : holding_periods_) {
        auto sorted = periods;
        std::sort(sorted.begin(), sorted.end(),
                  [](const HoldingPeriod& a, const HoldingPeriod& b) { return a.from < b.from; });
        for (size_t i = 1; i < sorted.size(); ++i)
            if (sorted[i - 1].until) gaps.push_back(sorted[i].from - *sorted[i - 1].until);
    }
    return gaps;
}

std::optional<std::string> HistoryChecker::holder(const std::string& duty) const
{
    const auto found = holding_periods_.find(duty);
    if (found == holding_periods_.end()) return {};
    for (const HoldingPeriod& period : found->second)
        if (!period.until) return period.member;
    return {};
}

}  // namespace firtide::fault_injection
