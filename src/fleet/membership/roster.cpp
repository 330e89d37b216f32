#include "roster.h"

#include <xxhash.h>

#include <algorithm>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace firtide::fleet
{

struct Roster::Data {
    std::vector<MemberConfig> members;
    std::unordered_map<MemberKey, MemberIndex> by_key;
    size_t voters = 0;
    std::once_flag rings_built;
    Rings rings;

    Data() = default;
    ~Data() = default;
    Data& operator=(const Data&) = delete;
    // Does not copy the rings, which change with every added member.
    Data(const Data& other) : members(other.members), by_key(other.by_key), voters(other.voters) {}

    void build_rings();
};

void Roster::Data::build_rings()
{
    for (size_t ring = 0; ring < ring_count; ++ring) {
        std::vector<std::pair<uint64_t, MemberIndex>> hashed;
        hashed.reserve(members.size());
        for (MemberIndex m = 0; m < members.size(); ++m)
            hashed.emplace_back(XXH3_64bits_withSeed(members[m].id.data(), members[m].id.size(), ring + 1),
                                m);
        std::sort(hashed.begin(), hashed.end());
        Ring& built = rings[ring];
        built.members.reserve(members.size());
        built.positions.resize(members.size());
        for (const auto& [hash, m] : hashed) {
            built.positions[m] = static_cast<uint32_t>(built.members.size());
            built.members.push_back(m);
        }
    }
}

Roster::Roster() : data_(std::make_shared<Data>()) {}

void Roster::push_back(MemberConfig member)
{
    const bool rings_built = !data_->rings[0].members.empty();
    if (data_.use_count() > 1 || rings_built) data_ = std::make_shared<Data>(*data_);
    member.key = key_of(member.id);
    data_->by_key.emplace(member.key, static_cast<MemberIndex>(data_->members.size()));
    data_->voters += member.is_voter;
    data_->members.push_back(std::move(member));
}

size_t Roster::size() const { return data_->members.size(); }
const MemberConfig& Roster::operator[](MemberIndex member) const { return data_->members[member]; }
const MemberConfig& Roster::back() const { return data_->members.back(); }
std::vector<MemberConfig>::const_iterator Roster::begin() const { return data_->members.begin(); }
std::vector<MemberConfig>::const_iterator Roster::end() const { return data_->members.end(); }
size_t Roster::voter_count() const { return data_->voters; }

std::optional<MemberIndex> Roster::member_of(MemberKey key) const
{
    const auto at = data_->by_key.find(key);
    if (at == data_->by_key.end()) return {};
    return at->second;
}

std::optional<MemberIndex> Roster::member_of(std::string_view id) const
{
    const auto m = member_of(key_of(id));
    if (!m || data_->members[*m].id != id) return {};
    return m;
}

const Roster::Rings& Roster::rings() const
{
    std::call_once(data_->rings_built, [this] { data_->build_rings(); });
    return data_->rings;
}

}  // namespace firtide::fleet
