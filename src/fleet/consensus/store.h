// Persistent storage of one voter: term, vote, log and snapshot, in one file. A voter must sync a change
// before it tells any other voter of it.
//
// Used only by the voter's thread. Calls that write block on the disk.
#pragma once

#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "src/fleet/storage/file_system.h"
#include "store_format.h"

namespace firtide::fleet
{

enum class OpenResult {
    created,        // there was no file; one with a new disk id has been written
    intact,         // all records in the file are complete
    truncated,      // the last record is incomplete; see remove_incomplete_record()
    other_owner,    // the file belongs to another member or another fleet
    newer_version,  // the file has a newer format version
    damaged,        // stored records are missing or corrupted
    failed,         // a disk error; see error()
};
const char* to_string(OpenResult result);

// The first disk error. A store that has failed stays failed.
struct StoreError {
    std::error_code cause;

    [[nodiscard]] std::string text() const { return cause.message(); }
};

class Store
{
  public:
    // `files` must outlive the store.
    explicit Store(FileSystem& files) : files_(files) {}

    // Must be called once, before any other method. `disk`: the id to use if the store is new.
    [[nodiscard]] OpenResult open(const std::string& fleet, const std::string& member, DiskId disk);
    // To be called before anything is written, if the store was opened as truncated. Until then the file
    // keeps the incomplete record, so that the next start sees it too. Returns false on a disk error.
    [[nodiscard]] bool remove_incomplete_record();
    // Discards all state and starts over with a new disk id. Returns false on a disk error.
    [[nodiscard]] bool reset(DiskId disk);

    [[nodiscard]] const StoreOwner& owner() const { return owner_; }
    [[nodiscard]] const PersistentState& state() const { return state_; }

    // These change state() immediately; the next sync() writes the change to the disk.
    void set_term(Term term, DiskId vote);
    void append(const std::vector<LogEntry>& entries);
    void truncate(LogIndex from);

    // Replaces the entries up to the snapshot's index, except for the last `trailing` of them. Written to the
    // disk before it returns; returns false on a disk error.
    [[nodiscard]] bool install_snapshot(LogSnapshot snapshot, LogIndex trailing);

    // Writes all pending records to the disk. Returns false on a disk error, now or earlier; nothing that has
    // not been synced may be told to other voters.
    [[nodiscard]] bool sync();

    [[nodiscard]] bool failed() const { return error_.has_value(); }
    [[nodiscard]] const std::optional<StoreError>& error() const { return error_; }
    [[nodiscard]] size_t file_bytes() const { return file_bytes_; }
    // PersistentState::writes as of the last sync: the count that may be told to other voters.
    [[nodiscard]] uint64_t synced_writes() const { return synced_writes_; }

  private:
    enum class WriteCount : uint8_t { increment, keep };  // whether a rewrite counts as one more write

    void add_record(const std::string& record);
    // Applies records up to the first incomplete or invalid one and returns the remaining bytes. Returns no
    // value if a complete record does not fit the state before it.
    std::optional<std::string_view> replay(std::string_view records);
    // Rewrites the whole file with only the records that the present state needs.
    bool rewrite(WriteCount write_count);
    std::string encode_compacted(uint64_t records) const;
    uint64_t compacted_record_count() const;
    // Keeps the first error. Always returns false.
    bool record_error(const std::error_code& cause);

    FileSystem& files_;
    StoreOwner owner_;
    PersistentState state_;
    std::string unsynced_;  // records that are not yet in the file
    size_t file_bytes_ = 0;
    uint64_t synced_writes_ = 0;
    std::optional<StoreError> error_;
};

}  // namespace firtide::fleet
