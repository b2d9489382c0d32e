#include "agatedoor/decide/crossing.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr double kilobyte = 1000;

Duration priceOf(Bytes bytes, Duration perKilobyte, Duration most)
{
    const double kilobytes = static_cast<double>(bytes.value) / kilobyte;
    return std::min(std::chrono::duration_cast<Duration>(perKilobyte * kilobytes), most);
}

} // namespace

Crossing crossingOf(Bytes bytes, const CrossingOptions &options)
{
    return {Duration::zero(), priceOf(bytes, options.zonePerKilobyte, options.most), priceOf(bytes, options.regionPerKilobyte, options.most)};
}

} // namespace agatedoor
