#include "snapshot_writer.h"

namespace firtide::fleet
{

SnapshotWriter::SnapshotWriter(FileSystem& files, std::string boot) : files_(files), boot_(std::move(boot))
{
    thread_ = std::thread([this] { run(); });
}

SnapshotWriter::~SnapshotWriter()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
}

void SnapshotWriter::write(MemberSnapshot snapshot)
{
    {
        const std::lock_guard lock(mutex_);
        pending_ = std::move(snapshot);
    }
    changed_.notify_one();
}

std::error_code SnapshotWriter::last_error()
{
    const std::lock_guard lock(mutex_);
    return last_error_;
}

void SnapshotWriter::run()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        changed_.wait(lock, [this] { return stopping_ || pending_; });
        if (stopping_) return;
        MemberSnapshot snapshot = std::move(*std::exchange(pending_, std::nullopt));
        lock.unlock();
        snapshot.boot_id = boot_;
        const auto error = files_.replace(snapshot_file_name, encode_member_snapshot(snapshot));
        lock.lock();
        last_error_ = error;
    }
}

}  // namespace firtide::fleet
