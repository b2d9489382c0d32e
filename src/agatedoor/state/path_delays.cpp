#include "agatedoor/state/path_delays.hpp"

#include "agatedoor/state/backend_stats.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::int64_t maxSampleFactor = 4; ///< Cap of a sample, as a multiple of the average.

} // namespace

Duration pathDelay(const PathDelays &delays, Locality locality)
{
    const auto &average = delays.nanoseconds.at(static_cast<std::size_t>(locality));
    return std::chrono::nanoseconds(average.load(std::memory_order_relaxed));
}

void recordPathDelay(PathDelays &delays, Locality locality, Duration elapsed, Duration timeAtOwner)
{
    auto &average = delays.nanoseconds.at(static_cast<std::size_t>(locality));
    const std::int64_t sample = std::chrono::nanoseconds(elapsed - timeAtOwner).count();
    const std::int64_t bound = average.load(std::memory_order_relaxed) * maxSampleFactor;
    updateAverage(average, std::clamp<std::int64_t>(sample, 1, std::max<std::int64_t>(bound, 1)));
}

} // namespace agatedoor
