// What a process has used so far, as the system counts it.
#pragma once

#include <sys/types.h>

#include <optional>

namespace firtide::scale
{

struct ProcessUsage {
    double cpu_seconds = 0;  // user and system
    double rss_mb = 0;
};

// Nothing where there is no such process.
std::optional<ProcessUsage> usage_of(pid_t pid);

// One process and those that took its place after restarts.
class UsageMeter
{
  public:
    void take(pid_t pid);  // a reading; a pid other than the last one's begins at zero
    double cpu_seconds() const { return earlier_cpu_ + now_.cpu_seconds; }
    double rss_mb() const { return now_.rss_mb; }
    double greatest_rss_mb() const { return greatest_rss_; }
    void forget_greatest() { greatest_rss_ = now_.rss_mb; }

  private:
    pid_t pid_ = 0;
    ProcessUsage now_;
    double earlier_cpu_ = 0, greatest_rss_ = 0;
};

}  // namespace firtide::scale
