// Writes snapshots on a thread of its own, the newest at a time: encoding and the disk cost the loop nothing.
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
    // `files` must outlive the writer. `boot`: the machine's, see boot_id().
    SnapshotWriter(FileSystem& files, std::string boot);
    // Waits for the thread to end. What is not written by then is not written.
    ~SnapshotWriter();
    SnapshotWriter(const SnapshotWriter&) = delete;
    SnapshotWriter& operator=(const SnapshotWriter&) = delete;

    void write(MemberSnapshot snapshot);
    // Of the last write; no error where it succeeded.
    [[nodiscard]] std::error_code last_error();

  private:
    void run();

    FileSystem& files_;
    const std::string boot_;
    std::mutex mutex_;  // guards what follows
    std::condition_variable changed_;
    std::optional<MemberSnapshot> next_;
    std::error_code last_error_;
    bool stopping_ = false;
    std::thread thread_;
};

}  // namespace firtide::fleet
