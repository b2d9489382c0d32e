#pragma once

#include "agatedoor/decide/quantile_estimate.hpp"
#include "agatedoor/decide/recent_routes.hpp"

/// @brief Response times of idempotent requests as the node that makes the attempts sees them, kept apart by route.
///
/// Answers the pattern of short and long requests at one service: a quantile over both is the long requests' alone, and a late
/// short request is then hedged when its caller has given up on it.
namespace agatedoor {

/// @brief High quantile of the response times, by route.
using ResponseTimes = RecentRoutes<QuantileEstimate>;

/// @brief Adds the response time of an attempt, or the time for which a cancelled one was waited for.
void recordResponseTime(ResponseTimes &times, RouteKey route, Duration time);

/// @brief High quantile of the response times of @p route; 0 when the route has no samples.
Duration tailOf(const ResponseTimes &times, RouteKey route);

} // namespace agatedoor
