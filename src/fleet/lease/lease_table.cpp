#include "lease_table.h"

#include <algorithm>

#include "src/fleet/transport/pack.h"

namespace firtide::fleet
{
namespace
{

// ---- stored form ----
struct StoredEntry {
    std::string duty;
    MemberKey holder = 0;
    InstanceId instance = 0;
    Epoch epoch = 0;
    std::string reason;
    bool pinned = false;
    MSGPACK_DEFINE(duty, holder, instance, epoch, reason, pinned)
};
struct StoredTable {
    uint64_t version = 0;
    std::vector<StoredEntry> entries;
    MSGPACK_DEFINE(version, entries)
};

}  // namespace

void LeaseTable::apply(const std::vector<LeaseCommand>& commands)
{
    for (const LeaseCommand& command : commands) {
        if (command.kind == LeaseCommand::confirm)
            name_log(static_cast<LogName>(command.epoch));
        else if (apply(command, entries_[command.duty]))
            ++version_;
    }
}

void LeaseTable::name_log(LogName name)
{
    if (version_ == 0) version_ = uint64_t{name} << change_count_bits;
}

bool LeaseTable::has_granted() const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [](const auto& entry) { return entry.second.epoch > 0; });
}

bool LeaseTable::apply(const LeaseCommand& command, Entry& entry)
{
    if (command.kind == LeaseCommand::release) {
        // A late release must not take the duty from its next holder.
        if (!entry.holder || entry.epoch != command.epoch) return false;
        entry = {0, 0, entry.epoch, command.reason, false};
        return true;
    }
    if (entry.holder || !command.holder) return false;
    const Epoch epoch = std::max(entry.epoch, command.epoch) + 1;
    entry = {command.holder, command.instance, epoch, command.reason, command.pinned};
    return true;
}

LeaseTable::Entry LeaseTable::entry(const std::string& duty) const
{
    const auto found = entries_.find(duty);
    return found == entries_.end() ? Entry{} : found->second;
}

void LeaseTable::assign(const std::vector<LeaseRecord>& leases, uint64_t version)
{
    entries_.clear();
    for (const LeaseRecord& lease : leases)
        entries_[lease.duty] = {lease.holder, lease.instance, lease.epoch, {}, false};
    version_ = version;
}

std::string LeaseTable::encode() const
{
    StoredTable stored{version_, {}};
    for (const auto& [duty, entry] : entries_)
        stored.entries.push_back(
            {duty, entry.holder, entry.instance, entry.epoch, entry.reason, entry.pinned});
    return pack(stored);
}

bool LeaseTable::decode(std::string_view bytes)
{
    auto stored = unpack<StoredTable>(bytes);
    if (!stored) return false;
    entries_.clear();
    version_ = stored->version;
    for (StoredEntry& entry : stored->entries)
        entries_[std::move(entry.duty)] = {entry.holder, entry.instance, entry.epoch, std::move(entry.reason),
                                           entry.pinned};
    return true;
}

}  // namespace firtide::fleet
