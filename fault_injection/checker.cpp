#include "checker.h"

#include <algorithm>

namespace firtide::fault_injection
{

void Checker::gained(TimePoint at, const std::string& member, const std::string& duty, uint64_t epoch)
{
    held_[duty].push_back({member, epoch, at, {}});
}

void Checker::lost(TimePoint until, const std::string& member, const std::string& duty, uint64_t epoch)
{
    for (Held& h : held_[duty])
        if (h.member == member && h.epoch == epoch && !h.until) h.until = until;
}

void Checker::ended(TimePoint at, const std::string& member)
{
    for (auto& [duty, all] : held_)
        for (Held& h : all)
            if (h.member == member && !h.until) h.until = at;
}

void Checker::took(const std::string& receiver, const std::string& duty, uint64_t epoch, uint64_t number)
{
    ++accepted_;
    uint64_t& newest = newest_[{receiver, duty}];
    if (epoch < newest)
        wrong_.push_back(receiver + " took epoch " + std::to_string(epoch) + " of " + duty + " after " +
                         std::to_string(newest));
    newest = std::max(newest, epoch);
    if (!taken_.insert({receiver, duty, epoch, number}).second)
        wrong_.push_back(receiver + " took effect " + std::to_string(number) + " of " + duty + " twice");
}

void Checker::probed(const std::string& upstream, size_t at_once)
{
    if (at_once > 1) wrong_.push_back(std::to_string(at_once) + " probes at once at " + upstream);
}

std::vector<std::string> Checker::wrong(TimePoint end) const
{
    auto out = wrong_;
    for (const auto& [duty, all] : held_) {
        std::set<uint64_t> epochs;
        for (const Held& h : all)
            if (!epochs.insert(h.epoch).second)
                out.push_back("epoch " + std::to_string(h.epoch) + " of " + duty + " was granted twice");
        if (overlap_allowed) continue;
        auto sorted = all;
        std::sort(sorted.begin(), sorted.end(), [](const Held& a, const Held& b) { return a.from < b.from; });
        for (size_t i = 0; i < sorted.size(); ++i)
            for (size_t j = i + 1; j < sorted.size(); ++j) {
                const Held &a = sorted[i], &b = sorted[j];
                if (a.until.value_or(end) > b.from)
                    out.push_back("two held " + duty + " at once: " + a.member + " at epoch " +
                                  std::to_string(a.epoch) + " and " + b.member + " at epoch " +
                                  std::to_string(b.epoch));
            }
    }
    return out;
}

std::vector<Duration> Checker::gaps() const
{
    std::vector<Duration> out;
    for (const auto& [duty, all] : held_) {
        auto sorted = all;
        std::sort(sorted.begin(), sorted.end(), [](const Held& a, const Held& b) { return a.from < b.from; });
        for (size_t i = 1; i < sorted.size(); ++i)
            if (sorted[i - 1].until) out.push_back(sorted[i].from - *sorted[i - 1].until);
    }
    return out;
}

std::optional<std::string> Checker::holder(const std::string& duty) const
{
    const auto at = held_.find(duty);
    if (at == held_.end()) return {};
    for (const Held& h : at->second)
        if (!h.until) return h.member;
    return {};
}

}  // namespace firtide::fault_injection
