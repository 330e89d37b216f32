// Points in time and spans between them: two types that cannot be mixed up.
#pragma once

#include <compare>
#include <cstdint>

namespace firtide
{

struct Span {
    int64_t us = 0;

    double seconds() const { return static_cast<double>(us) * 1e-6; }
    auto operator<=>(const Span&) const = default;
    Span operator+(Span other) const { return {us + other.us}; }
    Span operator-(Span other) const { return {us - other.us}; }
    Span operator*(double times) const { return {static_cast<int64_t>(static_cast<double>(us) * times)}; }
    double operator/(Span other) const { return static_cast<double>(us) / static_cast<double>(other.us); }
};

struct Point {
    int64_t us = 0;

    auto operator<=>(const Point&) const = default;
    Point operator+(Span span) const { return {us + span.us}; }
    Point operator-(Span span) const { return {us - span.us}; }
    Span operator-(Point earlier) const { return {us - earlier.us}; }
};

inline constexpr Span seconds(double s) { return {static_cast<int64_t>(s * 1e6)}; }

}  // namespace firtide
