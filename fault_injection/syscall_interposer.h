// What the test cluster tells the layer under a process's files and clock, in memory that both have.
#pragma once

namespace firtide::fault_injection
{

struct Control {
    double rate = 1;       // of the process's clock
    int sync_ms = 0;       // a sync takes so long
    int sync_error = 0;    // errno
    int write_error = 0;   // errno; with no room, half of it is written
    int short_writes = 0;  // half of each at a time
    int read_only = 0;
    int sync_lost = 0;  // says synced and has not
};

}  // namespace firtide::fault_injection
