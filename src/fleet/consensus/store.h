// The disk of one voter: term, vote, log and snapshot, in one file. Whatever a voter has told anybody is on
// the disk before it is told.
//
// Used by the voter's thread alone; calls that write block on the disk.
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
    created,        // there was no file; one with a new identity has been written
    intact,         // everything that was stored is there
    truncated,      // an incomplete record at the end, which nobody was told of, has been cut off
    other_owner,    // the file is another member's, or another fleet's
    newer_version,  // the file is of a newer format
    damaged,        // something that was stored is not there any more
    failed,         // the disk fails; see error()
};
const char* to_string(OpenResult result);

// The first failure of the disk. A store that has failed stays failed.
struct StoreError {
    std::error_code cause;

    [[nodiscard]] std::string text() const { return cause.message(); }
};

class Store
{
  public:
    // `files` must outlive the store.
    explicit Store(FileSystem& files) : files_(files) {}

    // To be called once, before all else. `disk`: the identity of a fresh one.
    [[nodiscard]] OpenResult open(const std::string& fleet, const std::string& member, DiskId disk);
    // Forgets everything and begins with another identity. Returns false where the disk fails.
    [[nodiscard]] bool reset(DiskId disk);

    [[nodiscard]] const StoreOwner& owner() const { return owner_; }
    [[nodiscard]] const PersistentState& state() const { return state_; }

    // Each takes effect in state() at once, and on the disk with the next sync().
    void set_term(Term term, DiskId vote);
    void append(const std::vector<LogEntry>& entries);
    void truncate(LogIndex from);

    // Replaces the entries up to the snapshot, but for the last `trailing` of them. On the disk when it
    // returns; false: the disk fails.
    [[nodiscard]] bool install_snapshot(LogSnapshot snapshot, LogIndex trailing);

    // Writes what is outstanding to the disk. Returns false where the disk fails, now or before: nothing that
    // was not synced may be told to anybody.
    [[nodiscard]] bool sync();

    [[nodiscard]] bool failed() const { return error_.has_value(); }
    [[nodiscard]] const std::optional<StoreError>& error() const { return error_; }
    [[nodiscard]] size_t file_bytes() const { return file_bytes_; }
    // PersistentState::writes as it is on the disk: what may be told.
    [[nodiscard]] uint64_t synced_writes() const { return synced_writes_; }

  private:
    enum class WriteCount : uint8_t { increment, keep };  // a rewrite, as one more write

    void add_record(const std::string& record);
    // Reads records up to the first that is incomplete. Returns what is left of the bytes; nothing where a
    // record does not follow from those before it.
    std::optional<std::string_view> replay(std::string_view records);
    // Writes the whole file anew, as short as possible.
    bool rewrite(WriteCount write_count);
    std::string encode_compacted(uint64_t records) const;
    uint64_t compacted_record_count() const;
    bool record_error(const std::error_code& cause);

    FileSystem& files_;
    StoreOwner owner_;
    PersistentState state_;
    std::string unsynced_;  // records that are not in the file yet
    size_t file_bytes_ = 0;
    uint64_t synced_writes_ = 0;
    std::optional<StoreError> error_;
};

}  // namespace firtide::fleet
