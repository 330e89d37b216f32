// Random numbers that follow from the engine's output alone, so that a seed decides the same on every
// platform. std::generate_canonical and the distributions of <random> may draw another number of times
// elsewhere.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace firtide
{

using RandomEngine = std::ranlux24_base;

inline constexpr double random_engine_range = 0x1p24;  // values of the engine, from 0
static_assert(RandomEngine::min() == 0 && RandomEngine::max() + 1 == random_engine_range);

// From 0 up to, not including, 1: 24 random bits from one draw.
inline double uniform_random_24_bits(RandomEngine& engine)
{
    return static_cast<double>(engine()) / random_engine_range;
}

// From 0 up to, not including, 1: as many random bits as a double holds, from three draws.
inline double uniform_random(RandomEngine& engine)
{
    double sum = 0, weight = 1;
    for (int draw = 0; draw < 3; ++draw) {
        sum += static_cast<double>(engine()) * weight;
        weight *= random_engine_range;
    }
    const double uniform = sum / weight;
    return uniform < 1 ? uniform : std::nextafter(1.0, 0.0);
}

// 48 random bits, the first draw in the upper half.
inline uint64_t random_48_bits(RandomEngine& engine)
{
    const uint64_t upper = engine();
    return upper << 24 | engine();
}

// The gap to the next of events that come at random, at this mean rate.
inline double exponential_random(RandomEngine& engine, double rate)
{
    return -std::log(1 - uniform_random(engine)) / rate;
}

}  // namespace firtide
