// Writes snapshots on a separate thread, so that neither encoding nor the disk delays the event loop. Skips
// snapshots that a newer one has replaced.
#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>
#include <thread>

#include "src/fleet/startup/member_snapshot.h"
#include "src/fleet/storage/file_system.h"

namespace firtide::fleet
{

class SnapshotWriter
{
  public:
    // `files` must outlive the writer. `boot`: see boot_id().
    SnapshotWriter(FileSystem& files, std::string boot);
    // Stops and joins the thread. A snapshot that it has not started to write is dropped.
    ~SnapshotWriter();
    SnapshotWriter(const SnapshotWriter&) = delete;
    SnapshotWriter& operator=(const SnapshotWriter&) = delete;

    void write(MemberSnapshot snapshot);
    // The error of the last write, or none if it succeeded.
    [[nodiscard]] std::error_code last_error();

  private:
    void run();

    FileSystem& files_;
    const std::string boot_;
    std::mutex mutex_;  // guards the members below
    std::condition_variable changed_;
    std::optional<MemberSnapshot> pending_;
    std::error_code last_error_;
    bool stopping_ = false;
    std::thread thread_;
};

}  // namespace firtide::fleet
