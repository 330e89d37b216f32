// File format of a voter's store: MessagePack records, each preceded by its length and checksum. Files of
// earlier versions must stay readable, so fields may only be added.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "src/fleet/ids.h"

namespace firtide::fleet
{

struct LogEntry {
    Term term = 0;
    uint16_t kind = 0;  // libraft's entry type
    std::string bytes;

    bool operator==(const LogEntry&) const = default;
};

// The committed state up to an index; replaces the entries up to there.
struct LogSnapshot {
    LogIndex index = 0;  // zero: no snapshot
    Term term = 0;
    std::string configuration;  // encoded; took effect at configuration_index
    LogIndex configuration_index = 0;
    std::string data;

    bool operator==(const LogSnapshot&) const = default;
};

// The state that a voter must preserve across restarts.
struct PersistentState {
    Term term = 0;
    DiskId vote = 0;  // in this term; zero: none
    LogSnapshot snapshot;
    LogIndex first_index = 1;  // index of the first of `entries`
    std::deque<LogEntry> entries;
    uint64_t writes = 0;  // records ever written to this disk; other voters cannot have seen more

    [[nodiscard]] LogIndex last_index() const { return first_index + entries.size() - 1; }
    bool operator==(const PersistentState&) const = default;
};

// The member and fleet that the store belongs to, and the id of its disk.
struct StoreOwner {
    std::string fleet, member;
    DiskId disk = 0;

    bool operator==(const StoreOwner&) const = default;
};

namespace store_format
{

inline constexpr uint32_t version = 1;

// Each encodes one record with its header, ready to be appended to the file.
std::string owner_record(const StoreOwner& owner, uint64_t writes);
std::string term_record(Term term, DiskId vote);
std::string entry_record(LogIndex index, const LogEntry& entry);
std::string truncate_record(LogIndex from);
std::string snapshot_record(const LogSnapshot& snapshot, LogIndex first_index);

struct OwnerRecord {
    uint32_t version = 0;
    StoreOwner owner;
    uint64_t writes = 0;
};
// Returns no value if the payload is not an owner record.
std::optional<OwnerRecord> decode_owner(std::string_view payload);

// Returns the payload of the record at the start of the bytes; empty if that record is incomplete or
// corrupted.
std::string_view payload_at(std::string_view bytes);
// Size of a record with this payload, including its header.
size_t record_size(std::string_view payload);
// Whether the bytes contain a complete record at any offset.
bool contains_record(std::string_view bytes);

// Applies a record to the state built from the preceding records. Returns false if it is not a valid record
// or does not fit that state.
[[nodiscard]] bool apply(std::string_view payload, PersistentState& state);

}  // namespace store_format
}  // namespace firtide::fleet
