#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

/// @brief Service times of one backend server, kept apart by route.
///
/// Answers the pattern of a shifting mix of short and long requests at one backend server. A mean over all of them rises when the
/// share of long requests does, and then looks like a slowdown; and it predicts too long a time for the short ones. So a mean is
/// compared only with earlier means of the same route, and the time of a request is predicted from its route.
namespace agatedoor {

/// @brief Limits of the records.
struct ServiceTimesOptions
{
    std::int64_t windowSamples = 32; ///< Service times that are averaged for one comparison with the baseline.
    std::size_t maxRoutes = 64; ///< Routes kept; a further one replaces the one that was used least recently.
};

/// @brief Service times of one route.
struct RouteTimes
{
    Duration windowSum{0}; ///< Sum of the service times in the current window.
    std::int64_t windowCount = 0; ///< Samples in the current window.
    Duration average{0}; ///< Moving average of the service time.
    Duration baseline{0}; ///< Slowly moving mean that windows are compared with; 0 before the first window.
    std::uint64_t lastSample = 0; ///< Number of the latest sample, counted over all routes.
};

/// @brief Service times by route.
struct ServiceTimes
{
    std::map<RouteKey, RouteTimes> routes;
    std::uint64_t samples = 0; ///< Samples recorded over all routes.
};

/// @brief Adds a service time; returns the mean of the route's window when the window is full.
std::optional<Duration> recordSample(ServiceTimes &times, RouteKey route, Duration serviceTime, const ServiceTimesOptions &options);

/// @brief Expected service time of a request of @p route; 0 when the route has no samples.
Duration expectedTime(const ServiceTimes &times, RouteKey route);

} // namespace agatedoor
