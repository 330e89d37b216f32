// A high dynamic range histogram: log-linear buckets that keep three significant digits of each value.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace firtide::scale
{

// Counts values from 0 to `highest`. Values below 2048 are counted exactly; above, each power of two is
// divided into 1024 buckets, so that a value is known to one part in 1024.
class Histogram
{
  public:
    static constexpr uint64_t default_highest = 60'000'000'000;  // a minute in nanoseconds

    explicit Histogram(uint64_t highest = default_highest);

    // Larger values are counted as `highest`.
    void record(uint64_t value);
    // The values of another histogram, whatever its highest value is.
    void merge(const Histogram& other);

    uint64_t count() const { return count_; }
    // The largest value of the bucket in which the quantile lies; 0 without values. `quantile` is from 0
    // to 1.
    uint64_t value_at_quantile(double quantile) const;

  private:
    uint64_t highest_;
    uint64_t count_ = 0;
    std::vector<uint64_t> buckets_;
};

}  // namespace firtide::scale
