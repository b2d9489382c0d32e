#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/decide/recent_routes.hpp"

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
    std::size_t maxRoutes = maxRecentRoutes;
};

/// @brief Service times of one route.
struct RouteTimes
{
    Duration windowSum{0}; ///< Sum of the service times in the current window.
    std::int64_t windowCount = 0; ///< Samples in the current window.
    Duration average{0}; ///< Moving average of the service time.
    Duration baseline{0}; ///< Slowly moving mean that windows are compared with; 0 before the first window.
};

/// @brief Service times by route.
using ServiceTimes = RecentRoutes<RouteTimes>;

/// @brief Adds a service time; returns the mean of the route's window when the window is full.
std::optional<Duration> recordSample(ServiceTimes &times, RouteKey route, Duration serviceTime, const ServiceTimesOptions &options);

/// @brief Expected service time of a request of @p route; 0 when the route has no samples.
Duration expectedTime(const ServiceTimes &times, RouteKey route);

} // namespace agatedoor
