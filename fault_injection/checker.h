// Knows only what receivers took and what holders logged, and says what is wrong with it.
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

class Checker
{
  public:
    // What holders logged. until: it was not held any more from then on, whenever that was written.
    void gained(TimePoint at, const std::string& member, const std::string& duty, uint64_t epoch);
    void lost(TimePoint until, const std::string& member, const std::string& duty, uint64_t epoch);
    void ended(TimePoint at, const std::string& member);  // its process: it holds nothing any more
    // What a receiver took.
    void took(const std::string& receiver, const std::string& duty, uint64_t epoch, uint64_t number);
    void probed(const std::string& upstream, size_t at_once);

    bool overlap_allowed = false;  // a clock beyond the drift: receivers' epochs alone have to hold

    // In the order of time: what is wrong, a line each.
    std::vector<std::string> wrong(TimePoint end) const;
    // Times that a duty was held by nobody, between two holders.
    std::vector<Duration> gaps() const;
    size_t accepted() const { return accepted_; }
    std::optional<std::string> holder(const std::string& duty) const;

  private:
    struct Held {
        std::string member;
        uint64_t epoch = 0;
        TimePoint from;
        std::optional<TimePoint> until;
    };
    std::map<std::string, std::vector<Held>> held_;
    std::map<std::pair<std::string, std::string>, uint64_t> newest_;
    std::set<std::tuple<std::string, std::string, uint64_t, uint64_t>> taken_;
    std::vector<std::string> wrong_;
    size_t accepted_ = 0;
};

}  // namespace firtide::fault_injection
