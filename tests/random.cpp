// Random numbers follow from the seed alone, on every platform.
#include "src/base/random.h"

#include <gtest/gtest.h>

namespace firtide
{
namespace
{

// The C++ standard gives the 10,000th number of an engine with the default seed.
constexpr double standard_10000th = 7937952;

TEST(Random, UniformOf24BitsDrawsOnce)
{
    RandomEngine engine;
    engine.discard(9999);
    EXPECT_EQ(uniform_random_24_bits(engine), standard_10000th / random_engine_range);
    RandomEngine other;
    other.discard(10000);
    EXPECT_EQ(engine, other);
}

TEST(Random, UniformDrawsThriceTheMostSignificantLast)
{
    RandomEngine engine, draws;
    const double uniform = uniform_random(engine);
    const double low = static_cast<double>(draws()), middle = static_cast<double>(draws()),
                 high = static_cast<double>(draws());
    EXPECT_EQ(engine, draws);
    EXPECT_EQ(uniform,
              ((low / random_engine_range + middle) / random_engine_range + high) / random_engine_range);
}

TEST(Random, FortyEightBitsHaveTheFirstDrawInTheUpperHalf)
{
    RandomEngine engine, draws;
    const uint64_t bits = random_48_bits(engine);
    EXPECT_EQ(bits >> 24, draws());
    EXPECT_EQ(bits & 0xffffff, draws());
}

}  // namespace
}  // namespace firtide
