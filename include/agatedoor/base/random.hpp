#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

/// @brief Seeded random number generator; decisions take it as an argument, so that they can be replayed.
namespace agatedoor {

/// @brief State of a splitmix64 generator.
struct Random
{
    std::uint64_t state = 0;
};

/// @brief Next 64 random bits.
std::uint64_t nextBits(Random &random);

/// @brief Uniform index below @p count; @p count must not be 0.
std::size_t uniformIndex(Random &random, std::size_t count);

/// @brief Uniform number in [0, 1).
double uniformUnit(Random &random);

/// @brief Sixteen random lower-case hexadecimal digits, for identifiers.
std::string randomHex(Random &random);

/// @brief Generator seeded from the system's entropy source.
Random entropyRandom();

} // namespace agatedoor
