// Faults of a process's clock and files: the test cluster writes them into a shared memory mapping, the
// interposer in the process reads them.
#pragma once

namespace firtide::fault_injection
{

struct InterposerControl {
    double clock_rate = 1;   // speed of the process's CLOCK_BOOTTIME; 1: unchanged
    int fsync_delay_ms = 0;  // added to each fsync
    int fsync_errno = 0;     // 0: none
    int write_errno = 0;     // 0: none; with ENOSPC, the first half is written
    int short_writes = 0;    // write() writes half of its bytes
    int read_only = 0;       // opening for writing fails with EROFS
    int skip_fsync = 0;      // fsync reports success without syncing
};

}  // namespace firtide::fault_injection
