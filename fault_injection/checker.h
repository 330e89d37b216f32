// Checks a recorded history of duty holders, accepted effects and probes for safety violations.
// It sees only what receivers accepted and what holders logged.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "src/base/time.h"

namespace firtide::fault_injection
{

class HistoryChecker
{
  public:
    // Events that holders logged. `until` is when the holding ended, which may be before the log line was
    // written.
    void record_acquired(TimePoint at, const std::string& member, const std::string& duty, uint64_t epoch);
    void record_lost(TimePoint until, const std::string& member, const std::string& duty, uint64_t epoch);
    void record_process_end(TimePoint at, const std::string& member);  // ends everything it held
    // Events that receivers and upstreams saw.
    void record_accepted(const std::string& receiver, const std::string& duty, uint64_t epoch,
                         uint64_t number);
    void record_probe(const std::string& upstream, size_t concurrent);

    // For clocks beyond the allowed drift: holding periods may overlap, and only the receivers' epoch checks
    // must hold.
    bool overlap_allowed = false;

    // One line for each violation; a holding period without an end lasts until `end`.
    std::vector<std::string> violations(TimePoint end) const;
    // How long a duty had no holder, for each change of holders.
    std::vector<Duration> gaps() const;
    size_t accepted_count() const { return accepted_count_; }
    std::optional<std::string> holder(const std::string& duty) const;

  private:
    struct HoldingPeriod {
        std::string member;
        uint64_t epoch = 0;
        TimePoint from;
        std::optional<TimePoint> until;
    };
    std::map<std::string, std::vector<HoldingPeriod>> holding_periods_;
    std::map<std::pair<std::string, std::string>, uint64_t> highest_epoch_;
    std::set<std::tuple<std::string, std::string, uint64_t, uint64_t>> accepted_effects_;
    std::vector<std::string> violations_;
    size_t accepted_count_ = 0;
};

}  // namespace firtide::fault_injection
