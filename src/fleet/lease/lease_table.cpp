#include "lease_table.h"

#include <algorithm>

namespace firtide::fleet
{
namespace
{

struct Line {
    std::string duty;
    MemberKey holder = 0;
    InstanceId instance = 0;
    Epoch epoch = 0;
    std::string why;
    bool placed = false;
    MSGPACK_DEFINE(duty, holder, instance, epoch, why, placed)
};
struct All {
    uint64_t version = 0;
    std::vector<Line> lines;
    MSGPACK_DEFINE(version, lines)
};

}  // namespace

std::vector<std::string> LeaseTable::apply(const std::vector<LeaseCommand>& commands)
{
    std::vector<std::string> changed;
    for (const LeaseCommand& c : commands) {
        if (c.what == LeaseCommand::confirm) continue;
        Entry& e = entries_[c.duty];
        if (c.what == LeaseCommand::release) {
            // Guards against a release that comes late: the duty is another's by now.
            if (!e.holder || e.epoch != c.epoch) continue;
            e.holder = 0, e.instance = 0, e.why = c.why, e.placed = false;
        } else {
            if (e.holder || !c.holder) continue;
            e = {c.holder, c.instance, std::max(e.epoch, c.epoch) + 1, c.why, c.placed};
        }
        ++version_;
        changed.push_back(c.duty);
    }
    return changed;
}

LeaseTable::Entry LeaseTable::of(const std::string& duty) const
{
    const auto at = entries_.find(duty);
    return at == entries_.end() ? Entry{} : at->second;
}

void LeaseTable::take(const std::vector<LeaseRecord>& rows, uint64_t version)
{
    entries_.clear();
    for (const LeaseRecord& r : rows) entries_[r.duty] = {r.holder, r.instance, r.epoch, {}, false};
    version_ = version;
}

std::string LeaseTable::encode() const
{
    All all{version_, {}};
    for (const auto& [duty, e] : entries_)
        all.lines.push_back({duty, e.holder, e.instance, e.epoch, e.why, e.placed});
    return pack(all);
}

bool LeaseTable::decode(std::string_view bytes)
{
    auto all = unpack<All>(bytes);
    if (!all) return false;
    entries_.clear();
    version_ = all->version;
    for (Line& l : all->lines)
        entries_[std::move(l.duty)] = {l.holder, l.instance, l.epoch, std::move(l.why), l.placed};
    return true;
}

}  // namespace firtide::fleet
