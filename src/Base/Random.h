#pragma once

#include <cstdint>
#include <functional>
#include <random>

namespace catkinloft {

/// \brief A function that returns 64 uniformly distributed random bits.
using RandomSource = std::function<std::uint64_t()>;

/// \returns a source whose sequence is determined by \a seed, on every machine.
inline RandomSource seededRandom(std::uint64_t seed)
{
    return [engine = std::mt19937_64(seed)]() mutable { return engine(); };
}

/// \returns a source seeded from the operating system.
inline RandomSource systemRandom()
{
    std::random_device device;
    return seededRandom((std::uint64_t(device()) << 32) ^ device());
}

/// \returns a uniformly distributed number in [0, 1).
inline double uniform(const RandomSource &random)
{
    return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

/// \returns an integer in [0, \a n); \a n must be at least 1.
inline std::uint64_t below(const RandomSource &random, std::uint64_t n)
{
    return random() % n;
}

} // namespace catkinloft
