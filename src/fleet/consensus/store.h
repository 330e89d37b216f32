// What a voter has to remember: term, vote, log, snapshot. One file of records, each with length and
// checksum; what is kept is on the disk before anybody is told of it.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "src/fleet/ids.h"
#include "src/fleet/storage/file_system.h"

namespace firtide::fleet
{

struct LogEntry {
    Term term = 0;
    uint16_t kind = 0;
    std::string bytes;

    bool operator==(const LogEntry&) const = default;
};

struct Snapshot {
    LogIndex index = 0;  // zero: there is none
    Term term = 0;
    std::string voters;  // encoded, as of voters_index
    LogIndex voters_index = 0;
    std::string bytes;

    bool operator==(const Snapshot&) const = default;
};

struct PersistentState {
    Term term = 0;
    DiskId vote = 0;  // zero: for nobody
    Snapshot snapshot;
    LogIndex first = 1;  // of the entries
    std::deque<LogEntry> entries;
    uint64_t writes = 0;  // records that this disk has ever taken; what others have seen of it can be no more

    LogIndex last() const { return first + entries.size() - 1; }
    bool operator==(const PersistentState&) const = default;
};

// Whose disk it is.
struct StoreOwner {
    std::string fleet, member;
    DiskId disk = 0;

    bool operator==(const StoreOwner&) const = default;
};

enum class OpenResult {
    fresh,          // there was nothing; a new identity has been written
    whole,          // all that was kept is there
    cut,            // half a record at the end, which nobody was told of, has been taken off
    another,        // it is another member's, or another fleet's
    newer_version,  // of this file's format
    damaged,        // something that was kept is not there any more
    failed,         // the disk does not answer as it should
};
const char* text_of(OpenResult opened);

class Store
{
  public:
    explicit Store(FileSystem& files) : files_(files) {}

    // disk: the identity of a fresh one.
    OpenResult open(const std::string& fleet, const std::string& member, DiskId disk);
    // Forgets all and begins with another identity.
    bool renew(DiskId disk);

    const StoreOwner& owner() const { return owner_; }
    const PersistentState& kept() const { return kept_; }

    // Each is kept in memory at once and on the disk after the next sync.
    void term_is(Term term, DiskId vote);
    void append(const std::vector<LogEntry>& entries);
    void truncate(LogIndex from);
    // Replaces what is up to it but for so many entries before it. On the disk at once; false: it is not.
    bool snapshot_is(Snapshot snapshot, LogIndex trailing);

    // False: the disk has failed, now or before; nothing that was not synced may be told.
    bool sync();
    bool failed() const { return !error_.empty(); }
    const std::string& error() const { return error_; }
    size_t bytes() const { return bytes_; }  // of the file
    uint64_t written() const
    {
        return written_;
    }  // PersistentState::writes as it is on the disk: what may be told

  private:
    void put(const std::string& payload);
    bool rewrite(bool counts = true);
    bool fail(const std::error_code& error);

    FileSystem& files_;
    StoreOwner owner_;
    PersistentState kept_;
    std::string waiting_;  // records that are not in the file yet
    size_t bytes_ = 0;
    uint64_t written_ = 0;
    std::string error_;
};

}  // namespace firtide::fleet
