// Preloaded (LD_PRELOAD) into a process of the test cluster. Runs CLOCK_BOOTTIME at the given rate and
// injects the file faults that the control file describes, for files of one folder only.
#include "syscall_interposer.h"

#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <string.h>
#include <sys/mman.h>
#include <time.h>
#include <unistd.h>

#include <cstdlib>

namespace
{

using namespace firtide::fault_injection;

constexpr int max_tracked_fds = 4096;
volatile InterposerControl* control = nullptr;
char tracked_folder[512];
bool tracked_fds[max_tracked_fds];
timespec first_reading{};

__attribute__((constructor)) void map_control_file()
{
    const char* path = getenv("RIG_CONTROL");
    const char* data = getenv("RIG_FOLDER");
    if (!path || !data || strlen(data) >= sizeof tracked_folder) return;
    const int fd = static_cast<int>(
        reinterpret_cast<int (*)(const char*, int, ...)>(dlsym(RTLD_NEXT, "open"))(path, O_RDWR));
    if (fd < 0) return;
    void* at = mmap(nullptr, sizeof(InterposerControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    strcpy(tracked_folder, data);
    if (at != MAP_FAILED) control = static_cast<volatile InterposerControl*>(at);
}

bool is_tracked(int fd) { return control && fd >= 0 && fd < max_tracked_fds && tracked_fds[fd]; }

int fail_with(int error)
{
    errno = error;
    return -1;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* at)
{
    static const auto real =
        reinterpret_cast<int (*)(clockid_t, timespec*)>(dlsym(RTLD_NEXT, "clock_gettime"));
    const int result = real(clock, at);
    if (clock != CLOCK_BOOTTIME || !control || result != 0) return result;
    if (first_reading.tv_sec == 0) first_reading = *at;
    const double elapsed = static_cast<double>(at->tv_sec - first_reading.tv_sec) +
                           1e-9 * static_cast<double>(at->tv_nsec - first_reading.tv_nsec);
    const double scaled = elapsed * control->clock_rate + static_cast<double>(first_reading.tv_nsec) * 1e-9;
    at->tv_sec = first_reading.tv_sec + static_cast<time_t>(scaled);
    at->tv_nsec = static_cast<long>((scaled - static_cast<double>(static_cast<time_t>(scaled))) * 1e9);
    return result;
}

int open(const char* path, int flags, ...)
{
    static const auto real = reinterpret_cast<int (*)(const char*, int, ...)>(dlsym(RTLD_NEXT, "open"));
    va_list rest;
    va_start(rest, flags);
    const int mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, int) : 0;
    va_end(rest);
    const bool tracked = control && strncmp(path, tracked_folder, strlen(tracked_folder)) == 0;
    if (tracked && control->read_only && (flags & O_ACCMODE) != O_RDONLY) return fail_with(EROFS);
    const int fd = real(path, flags, mode);
    if (fd >= 0 && fd < max_tracked_fds) tracked_fds[fd] = tracked;
    return fd;
}

ssize_t write(int fd, const void* bytes, size_t size)
{
    static const auto real =
        reinterpret_cast<ssize_t (*)(int, const void*, size_t)>(dlsym(RTLD_NEXT, "write"));
    if (!is_tracked(fd)) return real(fd, bytes, size);
    if (control->write_errno) {
        // A full disk still takes the bytes that fit.
        if (control->write_errno == ENOSPC && size > 1) (void)real(fd, bytes, size / 2);
        return fail_with(control->write_errno);
    }
    return real(fd, bytes, control->short_writes && size > 1 ? size / 2 : size);
}

int close(int fd)
{
    static const auto real = reinterpret_cast<int (*)(int)>(dlsym(RTLD_NEXT, "close"));
    if (fd >= 0 && fd < max_tracked_fds) tracked_fds[fd] = false;
    return real(fd);
}

int fsync(int fd)
{
    static const auto real = reinterpret_cast<int (*)(int)>(dlsym(RTLD_NEXT, "fsync"));
    if (!is_tracked(fd)) return real(fd);
    if (control->fsync_delay_ms > 0) usleep(static_cast<useconds_t>(control->fsync_delay_ms) * 1000);
    if (control->fsync_errno) return fail_with(control->fsync_errno);
    return control->skip_fsync ? 0 : real(fd);
}
}
