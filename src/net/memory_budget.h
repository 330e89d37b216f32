// The memory of this process, divided by purpose. Whatever holds bytes for a client or an upstream has a
// MemoryReservation for them, so that the sum of all stays below the limit of the settings.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace firtide::net
{

enum class MemoryPurpose {
    connections,         // of clients and to upstreams, without what they carry
    request_heads,       // being received
    request_bodies,      // being received
    requests_in_flight,  // kept until their responses, and on their way to upstreams
    responses,           // received and not yet taken by their clients
    endpoint_list
};
inline constexpr size_t memory_purpose_count = 6;

// For metrics and the log.
const char* name_of(MemoryPurpose purpose);

// Of one connection without what it carries: its state, its stream and its events.
inline constexpr size_t connection_memory_bytes = 2560;
// Of one upstream of the list without its names: its state everywhere, and its part of a list that is being
// decoded.
inline constexpr size_t endpoint_memory_bytes = 1000;

class MemoryBudget
{
  public:
    explicit MemoryBudget(size_t limit_bytes) : limit_(limit_bytes) {}
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    // The processes of a hot restart get equal parts.
    void set_process_count(size_t process_count) { process_count_ = process_count; }
    size_t limit() const { return limit_ / process_count_; }
    size_t used() const { return used_; }
    size_t peak_used() const { return peak_used_; }  // the most that was ever used
    size_t used(MemoryPurpose purpose) const { return used_by_purpose_[index(purpose)]; }

    bool has_room(size_t more_bytes = 0) const { return used_ + more_bytes <= limit(); }
    // For large messages. They leave a part of the memory to small ones, so that a crowd of large messages
    // does not keep out everybody else.
    bool has_room_for_large(size_t more_bytes = 0) const
    {
        const size_t list = used(MemoryPurpose::endpoint_list);
        return list <= limit() && used_ + more_bytes <= list + (limit() - list) / 4 * 3;
    }

    // Counts what was rejected, or ended early, because of this purpose.
    void record_rejection(MemoryPurpose purpose) { ++rejections_[index(purpose)]; }
    uint64_t rejections(MemoryPurpose purpose) const { return rejections_[index(purpose)]; }

  private:
    friend class MemoryReservation;
    void change_used(MemoryPurpose purpose, size_t old_bytes, size_t new_bytes);
    static size_t index(MemoryPurpose purpose) { return static_cast<size_t>(purpose); }

    size_t limit_, process_count_ = 1, used_ = 0, peak_used_ = 0;
    std::array<size_t, memory_purpose_count> used_by_purpose_{};
    std::array<uint64_t, memory_purpose_count> rejections_{};
};

// A part of the budget that is in use for one purpose, returned on destruction. Without a budget it counts
// for nothing.
class MemoryReservation
{
  public:
    MemoryReservation() = default;
    MemoryReservation(MemoryBudget& budget, MemoryPurpose purpose, size_t bytes = 0);
    MemoryReservation(MemoryReservation&& other) noexcept;
    MemoryReservation& operator=(MemoryReservation&& other) noexcept;
    ~MemoryReservation() { resize(0); }

    size_t bytes() const { return bytes_; }
    void resize(size_t bytes);

  private:
    MemoryBudget* budget_ = nullptr;
    MemoryPurpose purpose_ = MemoryPurpose::connections;
    size_t bytes_ = 0;
};

}  // namespace firtide::net
