// Descriptors that one side, callers or upstreams, may have: so many of its own, and no more than leave the
// other side's room. Two processes of one balancer have a half each.
#pragma once

#include <cstddef>
#include <functional>
#include <utility>

namespace firtide::net
{

class ConnectionBudget
{
  public:
    ConnectionBudget(size_t own, size_t both, std::function<size_t()> others)
        : own_(own), both_(both), others_(std::move(others))
    {
    }

    void share(size_t processes) { processes_ = processes; }
    size_t own() const { return own_ / processes_; }
    // Guards against a side that takes the descriptors that are kept back, for operators among others.
    bool full(size_t open) const { return open >= own() || open + others_() >= both_ / processes_; }

  private:
    size_t own_, both_;
    std::function<size_t()> others_;
    size_t processes_ = 1;
};

}  // namespace firtide::net
