#include "histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace firtide::scale
{
namespace
{

constexpr int exact_bits = 11;
constexpr uint64_t exact_values = uint64_t{1} << exact_bits;
constexpr uint64_t buckets_per_power = exact_values / 2;

size_t bucket_of(uint64_t value)
{
    if (value < exact_values) return value;
    const int shift = std::bit_width(value) - exact_bits;
    return static_cast<uint64_t>(shift) * buckets_per_power + (value >> shift);
}

uint64_t largest_value_in(size_t bucket)
{
    if (bucket < exact_values) return bucket;
    const uint64_t shift = bucket / buckets_per_power - 1;
    const uint64_t leading_digits = bucket - shift * buckets_per_power;
    return ((leading_digits + 1) << shift) - 1;
}

}  // namespace

Histogram::Histogram(uint64_t highest) : highest_(highest), buckets_(bucket_of(highest) + 1) {}

void Histogram::record(uint64_t value)
{
    ++buckets_[bucket_of(std::min(value, highest_))];
    ++count_;
}

void Histogram::merge(const Histogram& other)
{
    for (size_t bucket = 0; bucket < other.buckets_.size(); ++bucket)
        buckets_[std::min(bucket, buckets_.size() - 1)] += other.buckets_[bucket];
    count_ += other.count_;
}

uint64_t Histogram::value_at_quantile(double quantile) const
{
    if (count_ == 0) return 0;
    const double wanted = std::ceil(std::clamp(quantile, 0.0, 1.0) * static_cast<double>(count_));
    const uint64_t rank = std::max<uint64_t>(1, static_cast<uint64_t>(wanted));
    uint64_t passed = 0;
    size_t bucket = 0;
    while ((passed += buckets_[bucket]) < rank) ++bucket;
    return std::min(largest_value_in(bucket), highest_);
}

}  // namespace firtide::scale
