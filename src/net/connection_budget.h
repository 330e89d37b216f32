// Limits how many descriptors one side, callers or upstreams, may use: by a limit of its own, and by a
// total for both sides. Two processes of one balancer get half each.
#pragma once

#include <cstddef>
#include <functional>
#include <utility>

namespace firtide::net
{

class ConnectionBudget
{
  public:
    ConnectionBudget(size_t limit, size_t total_limit, std::function<size_t()> other_side_open)
        : limit_(limit), total_limit_(total_limit), other_side_open_(std::move(other_side_open))
    {
    }

    void set_process_count(size_t process_count) { process_count_ = process_count; }
    size_t limit() const { return limit_ / process_count_; }
    // The total protects the descriptors reserved for other uses, such as operators' connections.
    bool is_exhausted(size_t open) const
    {
        return open >= limit() || open + other_side_open_() >= total_limit_ / process_count_;
    }

  private:
    size_t limit_, total_limit_;
    std::function<size_t()> other_side_open_;
    size_t process_count_ = 1;
};

}  // namespace firtide::net
