// Points in time and durations, as two types that cannot be mixed up.
#pragma once

#include <compare>
#include <cstdint>

namespace firtide
{

struct Duration {
    int64_t us = 0;

    double seconds() const { return static_cast<double>(us) * 1e-6; }
    auto operator<=>(const Duration&) const = default;
    Duration operator+(Duration other) const { return {us + other.us}; }
    Duration operator-(Duration other) const { return {us - other.us}; }
    Duration operator*(double times) const { return {static_cast<int64_t>(static_cast<double>(us) * times)}; }
    double operator/(Duration other) const { return static_cast<double>(us) / static_cast<double>(other.us); }
};

struct TimePoint {
    int64_t us = 0;

    auto operator<=>(const TimePoint&) const = default;
    TimePoint operator+(Duration duration) const { return {us + duration.us}; }
    TimePoint operator-(Duration duration) const { return {us - duration.us}; }
    Duration operator-(TimePoint earlier) const { return {us - earlier.us}; }
};

inline constexpr Duration seconds(double s) { return {static_cast<int64_t>(s * 1e6)}; }

}  // namespace firtide
