#include "agatedoor/decide/service_times.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr int averageDivisor = 8; ///< A sample's weight in the moving average is 1 divided by this.

void forgetLeastRecentlyUsed(ServiceTimes &times)
{
    const auto older = [](const auto &a, const auto &b) { return a.second.lastSample < b.second.lastSample; };
    times.routes.erase(std::min_element(times.routes.begin(), times.routes.end(), older));
}

RouteTimes &timesOf(ServiceTimes &times, RouteKey route, const ServiceTimesOptions &options)
{
    const auto found = times.routes.find(route);
    if (found != times.routes.end()) {
        return found->second;
    }
    if (times.routes.size() >= options.maxRoutes) {
        forgetLeastRecentlyUsed(times);
    }
    return times.routes[route];
}

} // namespace

std::optional<Duration> recordSample(ServiceTimes &times, RouteKey route, Duration serviceTime, const ServiceTimesOptions &options)
{
    RouteTimes &entry = timesOf(times, route, options);
    entry.lastSample = ++times.samples;
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
    const auto found = times.routes.find(route);
    return found == times.routes.end() ? Duration::zero() : found->second.average;
}

} // namespace agatedoor
