#include "store_format.h"

#include <xxhash.h>

#include <cstring>

#include "src/fleet/transport/pack.h"

namespace firtide::fleet::store_format
{
namespace
{

constexpr size_t header_bytes = sizeof(uint32_t) + sizeof(uint64_t);  // payload length and checksum
constexpr size_t max_record_bytes = 64 << 20;

enum class RecordKind : uint8_t { owner = 1, term, entry, truncate, snapshot };

struct StoredOwner {
    uint8_t kind = static_cast<uint8_t>(RecordKind::owner);
    uint32_t version = store_format::version;
    std::string fleet, member;
    DiskId disk = 0;
    uint64_t writes = 0;  // write count before the records that follow in this file
    MSGPACK_DEFINE(kind, version, fleet, member, disk, writes)
};
struct StoredTerm {
    uint8_t kind = static_cast<uint8_t>(RecordKind::term);
    Term term = 0;
    DiskId vote = 0;
    MSGPACK_DEFINE(kind, term, vote)
};
struct StoredEntry {
    uint8_t kind = static_cast<uint8_t>(RecordKind::entry);
    LogIndex index = 0;
    Term term = 0;
    uint16_t entry_kind = 0;
    std::string bytes;
    MSGPACK_DEFINE(kind, index, term, entry_kind, bytes)
};
struct StoredTruncation {
    uint8_t kind = static_cast<uint8_t>(RecordKind::truncate);
    LogIndex from = 0;
    MSGPACK_DEFINE(kind, from)
};
struct StoredSnapshot {
    uint8_t kind = static_cast<uint8_t>(RecordKind::snapshot);
    LogIndex index = 0;
    Term term = 0;
    std::string configuration;
    LogIndex configuration_index = 0;
    std::string data;
    LogIndex first_index = 0;  // first index of the entries that follow
    MSGPACK_DEFINE(kind, index, term, configuration, configuration_index, data, first_index)
};

uint64_t checksum_of(std::string_view payload)
{
    return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size());
}

std::string make_record(const std::string& payload)
{
    const auto length = static_cast<uint32_t>(payload.size());
    const uint64_t checksum = checksum_of(payload);
    std::string record(header_bytes, '\0');
    std::memcpy(record.data(), &length, sizeof length);
    std::memcpy(record.data() + sizeof length, &checksum, sizeof checksum);
    return record + payload;
}

bool apply_record(const StoredTerm& record, PersistentState& state)
{
    if (record.term < state.term) return false;
    state.term = record.term;
    state.vote = record.vote;
    return true;
}

bool apply_record(StoredEntry record, PersistentState& state)
{
    if (record.index != state.last_index() + 1) return false;
    state.entries.push_back({record.term, record.entry_kind, std::move(record.bytes)});
    return true;
}

bool apply_record(const StoredTruncation& record, PersistentState& state)
{
    if (record.from < state.first_index) return false;
    while (state.last_index() >= record.from && !state.entries.empty()) state.entries.pop_back();
    return true;
}

bool apply_record(StoredSnapshot record, PersistentState& state)
{
    state.snapshot = {record.index, record.term, std::move(record.configuration), record.configuration_index,
                      std::move(record.data)};
    state.first_index = record.first_index;
    state.entries.clear();
    return true;
}

bool apply_or_throw(std::string_view payload, PersistentState& state)
{
    const auto handle = msgpack::unpack(payload.data(), payload.size());
    const auto& object = handle.get();
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) return false;
    switch (static_cast<RecordKind>(object.via.array.ptr[0].as<uint8_t>())) {
        case RecordKind::term: return apply_record(object.as<StoredTerm>(), state);
        case RecordKind::entry: return apply_record(object.as<StoredEntry>(), state);
        case RecordKind::truncate: return apply_record(object.as<StoredTruncation>(), state);
        case RecordKind::snapshot: return apply_record(object.as<StoredSnapshot>(), state);
        default: return false;
    }
}

}  // namespace

std::string owner_record(const StoreOwner& owner, uint64_t writes)
{
    return make_record(pack(
        StoredOwner{.fleet = owner.fleet, .member = owner.member, .disk = owner.disk, .writes = writes}));
}

std::string term_record(Term term, DiskId vote)
{
    return make_record(pack(StoredTerm{.term = term, .vote = vote}));
}

std::string entry_record(LogIndex index, const LogEntry& entry)
{
    return make_record(pack(
        StoredEntry{.index = index, .term = entry.term, .entry_kind = entry.kind, .bytes = entry.bytes}));
}

std::string truncate_record(LogIndex from) { return make_record(pack(StoredTruncation{.from = from})); }

std::string snapshot_record(const LogSnapshot& snapshot, LogIndex first_index)
{
    return make_record(pack(StoredSnapshot{.index = snapshot.index,
                                           .term = snapshot.term,
                                           .configuration = snapshot.configuration,
                                           .configuration_index = snapshot.configuration_index,
                                           .data = snapshot.data,
                                           .first_index = first_index}));
}

std::optional<OwnerRecord> decode_owner(std::string_view payload)
{
    auto stored = unpack<StoredOwner>(payload);
    if (!stored || stored->kind != static_cast<uint8_t>(RecordKind::owner)) return {};
    return OwnerRecord{
        stored->version, {std::move(stored->fleet), std::move(stored->member), stored->disk}, stored->writes};
}

std::string_view payload_at(std::string_view bytes)
{
    uint32_t length = 0;
    uint64_t checksum = 0;
    if (bytes.size() < header_bytes) return {};
    std::memcpy(&length, bytes.data(), sizeof length);
    std::memcpy(&checksum, bytes.data() + sizeof length, sizeof checksum);
    if (length == 0 || length > max_record_bytes || bytes.size() - header_bytes < length) return {};
    const auto payload = bytes.substr(header_bytes, length);
    return checksum_of(payload) == checksum ? payload : std::string_view{};
}

size_t record_size(std::string_view payload) { return header_bytes + payload.size(); }

bool contains_record(std::string_view bytes)
{
    for (size_t at = 0; at + header_bytes < bytes.size(); ++at)
        if (!payload_at(bytes.substr(at)).empty()) return true;
    return false;
}

bool apply(std::string_view payload, PersistentState& state)
{
    try {
        return apply_or_throw(payload, state);
    } catch (const std::exception&) {  // the payload is not a valid record
        return false;
    }
}

}  // namespace firtide::fleet::store_format
