// The stored form of a voter's log: records of MessagePack, each with its length and checksum. Stored data of
// earlier versions has to stay readable: fields are only ever added.
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
    uint16_t kind = 0;  // as the consensus library numbers them
    std::string bytes;

    bool operator==(const LogEntry&) const = default;
};

// All that was committed up to an index, in the place of the entries.
struct LogSnapshot {
    LogIndex index = 0;  // zero: there is none
    Term term = 0;
    std::string configuration;  // encoded; in force at configuration_index
    LogIndex configuration_index = 0;
    std::string data;

    bool operator==(const LogSnapshot&) const = default;
};

// What a voter must not forget.
struct PersistentState {
    Term term = 0;
    DiskId vote = 0;  // in that term; zero: for nobody
    LogSnapshot snapshot;
    LogIndex first_index = 1;  // of the entries
    std::deque<LogEntry> entries;
    uint64_t writes = 0;  // records that this disk has ever taken; other voters can have seen no more of it

    [[nodiscard]] LogIndex last_index() const { return first_index + entries.size() - 1; }
    bool operator==(const PersistentState&) const = default;
};

// Whose disk it is.
struct StoreOwner {
    std::string fleet, member;
    DiskId disk = 0;

    bool operator==(const StoreOwner&) const = default;
};

namespace store_format
{

inline constexpr uint32_t version = 1;

// Each encodes one record, ready to be appended.
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
// Nothing where the payload is no owner's record.
std::optional<OwnerRecord> decode_owner(std::string_view payload);

// The payload of the record that the bytes begin with; empty where there is no complete one.
std::string_view payload_at(std::string_view bytes);
// The bytes of a record with such a payload.
size_t record_size(std::string_view payload);
// Whether a complete record stands anywhere in the bytes.
bool contains_record(std::string_view bytes);

// Applies a record to the state that the records before it have made. Returns false where it does not follow
// from that state, or is no record.
[[nodiscard]] bool apply(std::string_view payload, PersistentState& state);

}  // namespace store_format
}  // namespace firtide::fleet
