#include "agatedoor/decide/service_times.hpp"

namespace agatedoor {

namespace {

constexpr int averageDivisor = 8; ///< A sample's weight in the moving average is 1 divided by this.

} // namespace

std::optional<Duration> recordSample(ServiceTimes &times, RouteKey route, Duration serviceTime, const ServiceTimesOptions &options)
{
    RouteTimes &entry = useRecord(times, route, options.maxRoutes);
    const bool first = entry.average == Duration::zero();
    entry.average = first ? serviceTime : entry.average + (serviceTime - entry.average) / averageDivisor;
    entry.windowSum += serviceTime;
    if (++entry.windowCount < options.windowSamples) {
        return std::nullopt;
    }
    const Duration mean = entry.windowSum / entry.windowCount;
    entry.windowSum = Duration::zero();
    entry.windowCount = 0;
    return mean;
}

Duration expectedTime(const ServiceTimes &times, RouteKey route)
{
    const RouteTimes *found = findRecord(times, route);
    return found == nullptr ? Duration::zero() : found->average;
}

} // namespace agatedoor
