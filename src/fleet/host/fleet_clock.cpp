#include "fleet_clock.h"

#include <ctime>
#include <fstream>

namespace firtide::fleet
{

TimePoint fleet_now()
{
    constexpr int64_t microseconds_per_second = 1'000'000, nanoseconds_per_microsecond = 1000;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return {int64_t{time.tv_sec} * microseconds_per_second + time.tv_nsec / nanoseconds_per_microsecond};
}

std::string boot_id()
{
    std::ifstream file("/proc/sys/kernel/random/boot_id");
    std::string id;
    std::getline(file, id);
    return id;
}

}  // namespace firtide::fleet
