#include "process_usage.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

namespace firtide::scale
{
namespace
{

constexpr double bytes_in_mb = 1024 * 1024;
constexpr int fields_before_utime = 11;  // counted from the state, the first field after the name

}  // namespace

std::optional<ProcessUsage> usage_of(pid_t pid)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    std::ifstream stat_file(folder + "/stat"), statm_file(folder + "/statm");
    std::string stat;
    long total_pages = 0, resident_pages = 0;
    if (!std::getline(stat_file, stat) || !(statm_file >> total_pages >> resident_pages)) return {};
    // The name is in parentheses and may itself contain spaces and parentheses.
    std::istringstream fields(stat.substr(stat.rfind(')') + 1));
    std::string skipped;
    for (int field = 0; field < fields_before_utime; ++field) fields >> skipped;
    double user_ticks = 0, system_ticks = 0;
    if (!(fields >> user_ticks >> system_ticks)) return {};
    ProcessUsage usage;
    usage.cpu_seconds = (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
    usage.rss_mb =
        static_cast<double>(resident_pages) * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_in_mb;
    return usage;
}

void UsageMeter::sample(pid_t pid)
{
    const auto usage = usage_of(pid);
    if (!usage) return;
    if (pid != pid_) previous_processes_cpu_ += current_.cpu_seconds;
    pid_ = pid;
    current_ = *usage;
    peak_rss_ = std::max(peak_rss_, current_.rss_mb);
}

}  // namespace firtide::scale
