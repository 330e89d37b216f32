// A second, plain account of the rules on repeats and on placement, apart from the decision module: what was
// sent where, when and to which group as it was then. Each forward and each throttling reply is checked
// against all that was sent before it.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "src/balance/balancer.h"

namespace firtide
{

class RepeatChecker
{
  public:
    explicit RepeatChecker(Settings settings) : settings_(std::move(settings)) {}

    void on_endpoint(const EndpointState& endpoint)
    {
        if (endpoint.phase != EndpointPhase::gone) locations_[endpoint.upstream_id] = endpoint.location;
    }
    void on_settings(const Settings& settings, const IndexMapping& operations)
    {
        settings_ = settings;
        for (auto& [id, invocation] : invocations_) tighten(invocation, operations);
    }
    void on_accepted(InvocationId id, uint32_t operation)
    {
        if (operation < settings_.operations.size())
            invocations_[id] = {
                operation, settings_.operations[operation], settings_.may_overlap_forwards, {}};
    }
    void on_forward(TimePoint now, InvocationId id, UpstreamId upstream)
    {
        Invocation& invocation = invocations_.at(id);
        const UpstreamLocation& location = locations_.at(upstream);
        EXPECT_TRUE(is_among(invocation.operation.allowed_zones, location.zone)) << "invocation " << id;
        EXPECT_TRUE(is_among(invocation.operation.allowed_machine_kinds, location.machine_kind))
            << "invocation " << id;
        for (const Forward& earlier : invocation.forwards)
            EXPECT_TRUE(allows(invocation, earlier, now, location))
                << "invocation " << id << " again at upstream " << upstream;
        invocation.forwards.push_back({now, location, invocation.operation});
    }
    void on_ended(InvocationId id, uint32_t forward, AttemptResult result)
    {
        Forward& ended = invocations_.at(id).forwards.at(forward);
        ended.is_in_flight = false;
        ended.has_not_run = result == AttemptResult::declined || result == AttemptResult::unreachable ||
                            result == AttemptResult::not_sent;
    }
    void on_throttled(InvocationId id) const
    {
        const auto found = invocations_.find(id);
        if (found == invocations_.end()) return;
        const Operation& operation = found->second.operation;
        const bool may_be_repeated = operation.idempotency == Idempotency::idempotent ||
                                     (operation.idempotency == Idempotency::deduplicated &&
                                      operation.deduplication_scope == DeduplicationScope::all);
        for (const Forward& earlier : found->second.forwards)
            EXPECT_TRUE(earlier.has_not_run || may_be_repeated) << "invocation " << id << " throttled";
    }
    void on_released(InvocationId id) { invocations_.erase(id); }

    size_t repeats() const { return repeats_; }

  private:
    struct Forward {
        TimePoint sent_at;
        UpstreamLocation location;
        Operation operation;  // as it was then
        bool is_in_flight = true, has_not_run = false;
    };
    struct Invocation {
        std::optional<uint32_t> operation_index;  // unset: no longer in the settings
        Operation operation;                      // as accepted, or as tightened since
        bool may_overlap = false;
        std::vector<Forward> forwards;
    };

    template <class Place>
    static bool is_among(const std::optional<std::vector<Place>>& allowed, const std::optional<Place>& place)
    {
        return !allowed || (place && std::count(allowed->begin(), allowed->end(), *place) > 0);
    }
    template <class Place>
    static void keep_common(std::optional<std::vector<Place>>& kept,
                            const std::optional<std::vector<Place>>& next)
    {
        std::vector<Place> common;
        for (const Place& place : kept ? *kept : std::vector<Place>{})
            if (is_among(next, std::optional(place))) common.push_back(place);
        kept = kept ? std::optional(common) : next;
    }

    void tighten(Invocation& invocation, const IndexMapping& operations)
    {
        if (!invocation.operation_index) return;
        std::optional<uint32_t> index;
        for (uint32_t i = 0; i < std::min(operations.size(), settings_.operations.size()); ++i)
            if (operations[i] == invocation.operation_index) index = i;
        invocation.operation_index = index;
        if (!index) return;
        const Operation& next = settings_.operations[*index];
        Operation& operation = invocation.operation;
        keep_common(operation.allowed_zones, next.allowed_zones);
        keep_common(operation.allowed_machine_kinds, next.allowed_machine_kinds);
        operation.idempotency = std::max(operation.idempotency, next.idempotency);
        operation.deduplication_scope = std::max(operation.deduplication_scope, next.deduplication_scope);
        operation.deduplication_window = std::min(operation.deduplication_window, next.deduplication_window);
    }

    bool allows(const Invocation& invocation, const Forward& earlier, TimePoint now,
                const UpstreamLocation& location)
    {
        if (earlier.has_not_run) return true;
        if (earlier.is_in_flight && !(invocation.may_overlap && settings_.may_overlap_forwards)) return false;
        if (invocation.operation.idempotency == Idempotency::non_idempotent) return false;
        if (invocation.operation.idempotency == Idempotency::idempotent) return true;
        ++repeats_;
        return now - earlier.sent_at < invocation.operation.deduplication_window &&
               now - earlier.sent_at < earlier.operation.deduplication_window &&
               is_same_group(earlier.operation, earlier.location, location) &&
               is_same_group(invocation.operation, earlier.location, location);
    }
    static bool is_same_group(const Operation& operation, const UpstreamLocation& a,
                              const UpstreamLocation& b)
    {
        if (operation.deduplication_scope == DeduplicationScope::all) return true;
        if (operation.deduplication_scope == DeduplicationScope::zone)
            return a.zone.has_value() && b.zone.has_value() && *a.zone == *b.zone;
        return a.pod_group.has_value() && b.pod_group.has_value() && *a.pod_group == *b.pod_group;
    }

    Settings settings_;
    std::map<UpstreamId, UpstreamLocation> locations_;  // as last shown while they were not gone
    std::map<InvocationId, Invocation> invocations_;
    size_t repeats_ = 0;  // of deduplicated invocations that may have run
};

}  // namespace firtide
