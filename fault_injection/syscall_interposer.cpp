// Loaded before the C library into a process of the test cluster: its clock at a stated rate, and a file
// layer that does as the control file says, for files of one folder.
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

constexpr int most_fds = 4096;
volatile Control* control = nullptr;
char folder[512];
bool watched[most_fds];
timespec first{};

__attribute__((constructor)) void begin()
{
    const char* path = getenv("RIG_CONTROL");
    const char* data = getenv("RIG_FOLDER");
    if (!path || !data || strlen(data) >= sizeof folder) return;
    const int fd = static_cast<int>(
        reinterpret_cast<int (*)(const char*, int, ...)>(dlsym(RTLD_NEXT, "open"))(path, O_RDWR));
    if (fd < 0) return;
    void* at = mmap(nullptr, sizeof(Control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    strcpy(folder, data);
    if (at != MAP_FAILED) control = static_cast<volatile Control*>(at);
}

bool of_folder(int fd) { return control && fd >= 0 && fd < most_fds && watched[fd]; }

int fail(int error)
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
    if (first.tv_sec == 0) first = *at;
    const double since = static_cast<double>(at->tv_sec - first.tv_sec) +
                         1e-9 * static_cast<double>(at->tv_nsec - first.tv_nsec);
    const double own = since * control->rate + static_cast<double>(first.tv_nsec) * 1e-9;
    at->tv_sec = first.tv_sec + static_cast<time_t>(own);
    at->tv_nsec = static_cast<long>((own - static_cast<double>(static_cast<time_t>(own))) * 1e9);
    return result;
}

int open(const char* path, int flags, ...)
{
    static const auto real = reinterpret_cast<int (*)(const char*, int, ...)>(dlsym(RTLD_NEXT, "open"));
    va_list rest;
    va_start(rest, flags);
    const int mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, int) : 0;
    va_end(rest);
    const bool ours = control && strncmp(path, folder, strlen(folder)) == 0;
    if (ours && control->read_only && (flags & O_ACCMODE) != O_RDONLY) return fail(EROFS);
    const int fd = real(path, flags, mode);
    if (fd >= 0 && fd < most_fds) watched[fd] = ours;
    return fd;
}

ssize_t write(int fd, const void* bytes, size_t size)
{
    static const auto real =
        reinterpret_cast<ssize_t (*)(int, const void*, size_t)>(dlsym(RTLD_NEXT, "write"));
    if (!of_folder(fd)) return real(fd, bytes, size);
    if (control->write_error) {
        // What there is room for stands there all the same.
        if (control->write_error == ENOSPC && size > 1) (void)real(fd, bytes, size / 2);
        return fail(control->write_error);
    }
    return real(fd, bytes, control->short_writes && size > 1 ? size / 2 : size);
}

int close(int fd)
{
    static const auto real = reinterpret_cast<int (*)(int)>(dlsym(RTLD_NEXT, "close"));
    if (fd >= 0 && fd < most_fds) watched[fd] = false;
    return real(fd);
}

int fsync(int fd)
{
    static const auto real = reinterpret_cast<int (*)(int)>(dlsym(RTLD_NEXT, "fsync"));
    if (!of_folder(fd)) return real(fd);
    if (control->sync_ms > 0) usleep(static_cast<useconds_t>(control->sync_ms) * 1000);
    if (control->sync_error) return fail(control->sync_error);
    return control->sync_lost ? 0 : real(fd);
}
}
