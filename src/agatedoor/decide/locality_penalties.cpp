#include "agatedoor/decide/locality_penalties.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr double bytesPerKilobyte = 1000;

Duration transferPenalty(Bytes bytes, Duration perKilobyte, Duration maxPenalty)
{
    const double kilobytes = static_cast<double>(bytes.value) / bytesPerKilobyte;
    return std::min(std::chrono::duration_cast<Duration>(perKilobyte * kilobytes), maxPenalty);
}

} // namespace

LocalityPenalties localityPenaltiesOf(Bytes bytes, const LocalityPenaltyOptions &options)
{
    return {Duration::zero(), transferPenalty(bytes, options.zonePerKilobyte, options.maxPenalty),
            transferPenalty(bytes, options.regionPerKilobyte, options.maxPenalty)};
}

} // namespace agatedoor
