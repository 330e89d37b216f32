#include "store.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "src/fleet/transport/pack.h"

namespace firtide::fleet
{
namespace
{

constexpr const char* name = "voter.log";
constexpr uint32_t version = 1;
constexpr size_t head = sizeof(uint32_t) + sizeof(uint64_t);  // length and checksum of a record
constexpr size_t most_record = 64 << 20;

enum class Record : uint8_t { owner = 1, term, entry, truncate, snapshot };

struct OwnerRecord {
    uint8_t what = static_cast<uint8_t>(Record::owner);
    uint32_t version = fleet::version;
    std::string fleet, member;
    DiskId disk = 0;
    uint64_t writes = 0;  // before the records that follow, as this file has them
    MSGPACK_DEFINE(what, version, fleet, member, disk, writes)
};
struct TermRecord {
    uint8_t what = static_cast<uint8_t>(Record::term);
    Term term = 0;
    DiskId vote = 0;
    MSGPACK_DEFINE(what, term, vote)
};
struct EntryRecord {
    uint8_t what = static_cast<uint8_t>(Record::entry);
    LogIndex index = 0;
    Term term = 0;
    uint16_t kind = 0;
    std::string bytes;
    MSGPACK_DEFINE(what, index, term, kind, bytes)
};
struct TruncateRecord {
    uint8_t what = static_cast<uint8_t>(Record::truncate);
    LogIndex from = 0;
    MSGPACK_DEFINE(what, from)
};
struct SnapshotRecord {
    uint8_t what = static_cast<uint8_t>(Record::snapshot);
    LogIndex index = 0;
    Term term = 0;
    std::string voters;
    LogIndex voters_index = 0;
    std::string bytes;
    LogIndex first = 0;  // of the entries that follow
    MSGPACK_DEFINE(what, index, term, voters, voters_index, bytes, first)
};

uint64_t checksum(std::string_view payload)
{
    return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size());
}

std::string framed(const std::string& payload)
{
    const auto length = static_cast<uint32_t>(payload.size());
    const uint64_t sum = checksum(payload);
    std::string out(head, '\0');
    std::memcpy(out.data(), &length, sizeof length);
    std::memcpy(out.data() + sizeof length, &sum, sizeof sum);
    return out + payload;
}

// The payload of the record at the start; empty where there is no whole one.
std::string_view record_at(std::string_view bytes)
{
    uint32_t length = 0;
    uint64_t sum = 0;
    if (bytes.size() < head) return {};
    std::memcpy(&length, bytes.data(), sizeof length);
    std::memcpy(&sum, bytes.data() + sizeof length, sizeof sum);
    if (length == 0 || length > most_record || bytes.size() - head < length) return {};
    const auto payload = bytes.substr(head, length);
    return checksum(payload) == sum ? payload : std::string_view{};
}

// What has been written whole behind a bad place shows that it was no end in the middle of a write.
bool any_record(std::string_view bytes)
{
    for (size_t at = 0; at + head < bytes.size(); ++at)
        if (!record_at(bytes.substr(at)).empty()) return true;
    return false;
}

// False: the record does not follow from what was kept before.
bool apply(std::string_view payload, PersistentState& kept)
{
    const auto handle = msgpack::unpack(payload.data(), payload.size());
    const auto& object = handle.get();
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0) return false;
    switch (static_cast<Record>(object.via.array.ptr[0].as<uint8_t>())) {
        case Record::term: {
            const auto r = object.as<TermRecord>();
            if (r.term < kept.term) return false;
            kept.term = r.term, kept.vote = r.vote;
            return true;
        }
        case Record::entry: {
            auto r = object.as<EntryRecord>();
            if (r.index != kept.last() + 1) return false;
            kept.entries.push_back({r.term, r.kind, std::move(r.bytes)});
            return true;
        }
        case Record::truncate: {
            const auto r = object.as<TruncateRecord>();
            if (r.from < kept.first) return false;
            while (kept.last() >= r.from && !kept.entries.empty()) kept.entries.pop_back();
            return true;
        }
        case Record::snapshot: {
            auto r = object.as<SnapshotRecord>();
            kept.snapshot = {r.index, r.term, std::move(r.voters), r.voters_index, std::move(r.bytes)};
            kept.first = r.first;
            kept.entries.clear();
            return true;
        }
        default: return false;
    }
}

}  // namespace

const char* text_of(OpenResult opened)
{
    switch (opened) {
        case OpenResult::fresh: return "fresh";
        case OpenResult::whole: return "whole";
        case OpenResult::cut: return "half a record at its end, taken off";
        case OpenResult::another: return "another member's or another fleet's";
        case OpenResult::newer_version: return "of a newer version";
        case OpenResult::damaged: return "damaged: something that was kept is not there any more";
        case OpenResult::failed: return "failed";
    }
    return "";
}

bool Store::fail(const std::error_code& error)
{
    if (error_.empty()) error_ = error.message();
    return false;
}

OpenResult Store::open(const std::string& fleet, const std::string& member, DiskId disk)
{
    std::optional<std::string> text;
    if (const auto error = files_.read(name, text)) {
        fail(error);
        return OpenResult::failed;
    }
    owner_ = {fleet, member, disk};
    kept_ = {};
    if (!text || text->empty()) return rewrite() ? OpenResult::fresh : OpenResult::failed;
    std::string_view rest = *text;
    const auto first = record_at(rest);
    const auto owner = unpack<OwnerRecord>(first);
    if (!owner || owner->what != static_cast<uint8_t>(Record::owner)) return OpenResult::damaged;
    if (owner->version > version) return OpenResult::newer_version;
    if (owner->fleet != fleet || owner->member != member) return OpenResult::another;
    owner_.disk = owner->disk;
    kept_.writes = owner->writes;
    rest.remove_prefix(head + first.size());
    while (!rest.empty()) {
        const auto payload = record_at(rest);
        if (payload.empty()) break;
        try {
            if (!apply(payload, kept_)) return OpenResult::damaged;
            ++kept_.writes;
        } catch (const std::exception&) {
            return OpenResult::damaged;
        }
        rest.remove_prefix(head + payload.size());
    }
    bytes_ = text->size() - rest.size();
    written_ = kept_.writes;
    if (rest.empty()) return OpenResult::whole;
    if (any_record(rest.substr(1))) return OpenResult::damaged;
    // Guards against counting up to what others have seen, where what was cut off had been told of after all.
    return rewrite(false) ? OpenResult::cut : OpenResult::failed;
}

bool Store::renew(DiskId disk)
{
    owner_.disk = disk;
    kept_ = {};
    waiting_.clear();
    return rewrite();
}

void Store::put(const std::string& payload)
{
    waiting_ += framed(payload);
    ++kept_.writes;
}

void Store::term_is(Term term, DiskId vote)
{
    kept_.term = term, kept_.vote = vote;
    put(pack(TermRecord{.term = term, .vote = vote}));
}

void Store::append(const std::vector<LogEntry>& entries)
{
    for (const LogEntry& e : entries) {
        put(pack(EntryRecord{.index = kept_.last() + 1, .term = e.term, .kind = e.kind, .bytes = e.bytes}));
        kept_.entries.push_back(e);
    }
}

void Store::truncate(LogIndex from)
{
    while (kept_.last() >= from && !kept_.entries.empty()) kept_.entries.pop_back();
    put(pack(TruncateRecord{.from = from}));
}

bool Store::snapshot_is(Snapshot snapshot, LogIndex trailing)
{
    const LogIndex keep_from = snapshot.index > trailing ? snapshot.index - trailing + 1 : 1;
    // Guards against keeping entries that another log has put in the snapshot's place.
    const bool fits = snapshot.index >= kept_.first && snapshot.index <= kept_.last() &&
                      kept_.entries[snapshot.index - kept_.first].term == snapshot.term;
    if (!fits) {
        kept_.entries.clear();
        kept_.first = snapshot.index + 1;
    }
    while (!kept_.entries.empty() && kept_.first < keep_from) kept_.entries.pop_front(), ++kept_.first;
    kept_.snapshot = std::move(snapshot);
    waiting_.clear();
    return rewrite();
}

// All of it, as short as it can be said.
bool Store::rewrite(bool counts)
{
    if (failed()) return false;
    // However short it is said, the count goes on from where it was, and is one more for this.
    const Snapshot& s = kept_.snapshot;
    const uint64_t records = (s.index || kept_.first != 1) + (kept_.term != 0) + kept_.entries.size();
    kept_.writes = std::max(kept_.writes + counts, records);
    std::string all = framed(pack(OwnerRecord{.fleet = owner_.fleet,
                                              .member = owner_.member,
                                              .disk = owner_.disk,
                                              .writes = kept_.writes - records}));
    if (s.index || kept_.first != 1)
        all += framed(pack(SnapshotRecord{.index = s.index,
                                          .term = s.term,
                                          .voters = s.voters,
                                          .voters_index = s.voters_index,
                                          .bytes = s.bytes,
                                          .first = kept_.first}));
    if (kept_.term) all += framed(pack(TermRecord{.term = kept_.term, .vote = kept_.vote}));
    LogIndex index = kept_.first;
    for (const LogEntry& e : kept_.entries)
        all += framed(pack(EntryRecord{.index = index++, .term = e.term, .kind = e.kind, .bytes = e.bytes}));
    if (const auto error = files_.replace(name, all)) return fail(error);
    bytes_ = all.size();
    written_ = kept_.writes;
    return true;
}

bool Store::sync()
{
    if (failed()) return false;
    if (waiting_.empty()) return true;
    if (const auto error = files_.append(name, waiting_)) return fail(error);
    if (const auto error = files_.sync(name)) return fail(error);
    bytes_ += waiting_.size();
    written_ = kept_.writes;
    waiting_.clear();
    return true;
}

}  // namespace firtide::fleet
