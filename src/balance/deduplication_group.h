// Deduplication groups: the upstreams that recognise a repeat of a request that one of them has run. An
// upstream is in a group by its location, an operation's scope tells which part of the location counts.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "src/base/hash.h"

namespace firtide
{

// A zone, whatever its place in the settings of the moment: by its name, or by a number that a host without
// names uses for it throughout.
enum class ZoneId : uint64_t {};

inline constexpr ZoneId zone_id(std::string_view name) { return ZoneId{fnv1a(name)}; }

// A pod group: a small group of upstreams, numbered over all zones.
enum class PodGroup : uint32_t {};

// A kind of machine: by its name, or by a number, as a zone.
enum class MachineKind : uint64_t {};

inline constexpr MachineKind machine_kind(std::string_view name) { return MachineKind{fnv1a(name)}; }

// Where an upstream is. Unset: not known. It is no zone or pod group then, and none that two upstreams share.
struct UpstreamLocation {
    std::optional<ZoneId> zone;
    std::optional<PodGroup> pod_group;
    std::optional<MachineKind> machine_kind;

    bool operator==(const UpstreamLocation&) const = default;
};

// Which upstreams recognise each other's requests; ordered from the least strict to the strictest.
enum class DeduplicationScope { all, zone, pod_group };

// Whether upstreams at the two locations are in one group. A location that the scope asks for and that is not
// known shares a group with no other, not even with one that is not known either.
bool share_deduplication_group(DeduplicationScope scope, const UpstreamLocation& a,
                               const UpstreamLocation& b);

}  // namespace firtide
