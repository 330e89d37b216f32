#include "memory_budget.h"

#include <algorithm>
#include <utility>

namespace firtide::net
{

const char* name_of(MemoryPurpose purpose)
{
    switch (purpose) {
        case MemoryPurpose::connections: return "connections";
        case MemoryPurpose::request_heads: return "request_heads";
        case MemoryPurpose::request_bodies: return "request_bodies";
        case MemoryPurpose::requests_in_flight: return "requests_in_flight";
        case MemoryPurpose::responses: return "responses";
        default: return "endpoint_list";
    }
}

void MemoryBudget::change_used(MemoryPurpose purpose, size_t old_bytes, size_t new_bytes)
{
    size_t& used = used_by_purpose_[index(purpose)];
    used = used - old_bytes + new_bytes;
    used_ = used_ - old_bytes + new_bytes;
    peak_used_ = std::max(peak_used_, used_);
}

MemoryReservation::MemoryReservation(MemoryBudget& budget, MemoryPurpose purpose, size_t bytes)
    : budget_(&budget), purpose_(purpose)
{
    resize(bytes);
}

MemoryReservation::MemoryReservation(MemoryReservation&& other) noexcept
    : budget_(other.budget_), purpose_(other.purpose_), bytes_(std::exchange(other.bytes_, 0))
{
}

MemoryReservation& MemoryReservation::operator=(MemoryReservation&& other) noexcept
{
    if (this == &other) return *this;
    resize(0);
    budget_ = other.budget_;
    purpose_ = other.purpose_;
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
}

void MemoryReservation::resize(size_t bytes)
{
    if (budget_) budget_->change_used(purpose_, bytes_, bytes);
    bytes_ = bytes;
}

}  // namespace firtide::net
