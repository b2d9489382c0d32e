#include "agatedoor/base/random.hpp"

#include <array>
#include <random>

namespace agatedoor {

namespace {

constexpr int discardedBits = 11; ///< Leaves the 53 bits of a double's significand.
constexpr double unitScale = 0x1.0p-53;

} // namespace

std::uint64_t nextBits(Random &random)
{
    random.state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = random.state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

std::size_t uniformIndex(Random &random, std::size_t count)
{
    return nextBits(random) % count;
}

double uniformUnit(Random &random)
{
    return static_cast<double>(nextBits(random) >> discardedBits) * unitScale;
}

std::string randomHex(Random &random)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t bits = nextBits(random);
    std::string text(16, '0');
    for (char &digit : text) {
        digit = digits[bits & 0xfU];
        bits >>= 4U;
    }
    return text;
}

Random entropyRandom()
{
    std::random_device device;
    const std::uint64_t high = device();
    return {(high << 32U) | device()};
}

} // namespace agatedoor
