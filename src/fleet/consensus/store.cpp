#include "store.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

constexpr const char* file_name = "voter.log";

}  // namespace

const char* to_string(OpenResult result)
{
    switch (result) {
        case OpenResult::created: return "fresh";
        case OpenResult::intact: return "whole";
        case OpenResult::truncated: return "half a record at its end, taken off";
        case OpenResult::other_owner: return "another member's or another fleet's";
        case OpenResult::newer_version: return "of a newer version";
        case OpenResult::damaged: return "damaged: something that was kept is not there any more";
        case OpenResult::failed: return "failed";
    }
    return "";
}

bool Store::record_error(const std::error_code& cause)
{
    if (!error_) error_ = StoreError{cause};
    return false;
}

OpenResult Store::open(const std::string& fleet, const std::string& member, DiskId disk)
{
    std::optional<std::string> text;
    if (const auto error = files_.read(file_name, text)) {
        record_error(error);
        return OpenResult::failed;
    }
    owner_ = {fleet, member, disk};
    state_ = {};
    if (!text || text->empty())
        return rewrite(WriteCount::increment) ? OpenResult::created : OpenResult::failed;
    const auto first = store_format::payload_at(*text);
    const auto stored = store_format::decode_owner(first);
    if (!stored) return OpenResult::damaged;
    if (stored->version > store_format::version) return OpenResult::newer_version;
    if (stored->owner.fleet != fleet || stored->owner.member != member) return OpenResult::other_owner;
    owner_.disk = stored->owner.disk;
    state_.writes = stored->writes;
    const auto rest = replay(std::string_view(*text).substr(store_format::record_size(first)));
    if (!rest) return OpenResult::damaged;
    file_bytes_ = text->size() - rest->size();
    synced_writes_ = state_.writes;
    if (rest->empty()) return OpenResult::intact;
    // A complete record after the invalid one shows that the file was damaged rather than cut short during a
    // write.
    if (store_format::contains_record(rest->substr(1))) return OpenResult::damaged;
    return OpenResult::truncated;
}

std::optional<std::string_view> Store::replay(std::string_view records)
{
    while (!records.empty()) {
        const auto payload = store_format::payload_at(records);
        if (payload.empty()) break;
        if (!store_format::apply(payload, state_)) return {};
        ++state_.writes;
        records.remove_prefix(store_format::record_size(payload));
    }
    return records;
}

bool Store::remove_incomplete_record()
{
    // Does not increment the write count: it must not catch up with the count that other voters have seen, in
    // case the removed record had been acknowledged after all.
    return rewrite(WriteCount::keep);
}

bool Store::reset(DiskId disk)
{
    owner_.disk = disk;
    state_ = {};
    unsynced_.clear();
    return rewrite(WriteCount::increment);
}

void Store::add_record(const std::string& record)
{
    unsynced_ += record;
    ++state_.writes;
}

void Store::set_term(Term term, DiskId vote)
{
    state_.term = term;
    state_.vote = vote;
    add_record(store_format::term_record(term, vote));
}

void Store::append(const std::vector<LogEntry>& entries)
{
    for (const LogEntry& entry : entries) {
        add_record(store_format::entry_record(state_.last_index() + 1, entry));
        state_.entries.push_back(entry);
    }
}

void Store::truncate(LogIndex from)
{
    while (state_.last_index() >= from && !state_.entries.empty()) state_.entries.pop_back();
    add_record(store_format::truncate_record(from));
}

bool Store::install_snapshot(LogSnapshot snapshot, LogIndex trailing)
{
    const LogIndex keep_from = snapshot.index > trailing ? snapshot.index - trailing + 1 : 1;
    // Keeps entries only if they belong to the same log as the snapshot.
    const bool same_log = snapshot.index >= state_.first_index && snapshot.index <= state_.last_index() &&
                          state_.entries[snapshot.index - state_.first_index].term == snapshot.term;
    if (!same_log) {
        state_.entries.clear();
        state_.first_index = snapshot.index + 1;
    }
    while (!state_.entries.empty() && state_.first_index < keep_from) {
        state_.entries.pop_front();
        ++state_.first_index;
    }
    state_.snapshot = std::move(snapshot);
    unsynced_.clear();
    return rewrite(WriteCount::increment);
}

uint64_t Store::compacted_record_count() const
{
    const uint64_t snapshots = state_.snapshot.index || state_.first_index != 1;
    const uint64_t terms = state_.term != 0;
    return snapshots + terms + state_.entries.size();
}

std::string Store::encode_compacted(uint64_t records) const
{
    std::string bytes = store_format::owner_record(owner_, state_.writes - records);
    if (state_.snapshot.index || state_.first_index != 1)
        bytes += store_format::snapshot_record(state_.snapshot, state_.first_index);
    if (state_.term) bytes += store_format::term_record(state_.term, state_.vote);
    LogIndex index = state_.first_index;
    for (const LogEntry& entry : state_.entries) bytes += store_format::entry_record(index++, entry);
    return bytes;
}

bool Store::rewrite(WriteCount write_count)
{
    if (failed()) return false;
    // The write count continues from its last value even though the file now has fewer records.
    const uint64_t records = compacted_record_count();
    const uint64_t added = write_count == WriteCount::increment ? 1 : 0;
    state_.writes = std::max(state_.writes + added, records);
    const std::string bytes = encode_compacted(records);
    if (const auto error = files_.replace(file_name, bytes)) return record_error(error);
    file_bytes_ = bytes.size();
    synced_writes_ = state_.writes;
    return true;
}

bool Store::sync()
{
    if (failed()) return false;
    if (unsynced_.empty()) return true;
    if (const auto error = files_.append(file_name, unsynced_)) return record_error(error);
    if (const auto error = files_.sync(file_name)) return record_error(error);
    file_bytes_ += unsynced_.size();
    synced_writes_ = state_.writes;
    unsynced_.clear();
    return true;
}

}  // namespace firtide::fleet
