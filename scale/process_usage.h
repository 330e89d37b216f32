// CPU time and memory of a process, as reported by the kernel.
#pragma once

#include <sys/types.h>

#include <optional>

namespace firtide::scale
{

struct ProcessUsage {
    double cpu_seconds = 0;  // user and system
    double rss_mb = 0;
};

// Returns nothing if there is no such process.
std::optional<ProcessUsage> usage_of(pid_t pid);

// Adds up the usage of a process and of its successors after restarts.
class UsageMeter
{
  public:
    void sample(pid_t pid);  // a new pid starts from zero
    double cpu_seconds() const { return previous_processes_cpu_ + current_.cpu_seconds; }
    double rss_mb() const { return current_.rss_mb; }
    double peak_rss_mb() const { return peak_rss_; }
    void reset_peak_rss() { peak_rss_ = current_.rss_mb; }

  private:
    pid_t pid_ = 0;
    ProcessUsage current_;
    double previous_processes_cpu_ = 0, peak_rss_ = 0;
};

}  // namespace firtide::scale
