#pragma once

#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/units.hpp"
#include "agatedoor/decide/recent_routes.hpp"

#include <cstdint>
#include <unordered_map>

/// @brief Average sizes of responses, by service and by route.
///
/// Answers the pattern of small lookups and large downloads at one service: an average over both makes a lookup look expensive to send
/// far, and a download cheap.
namespace agatedoor {

/// @brief Moving average of sizes.
struct AverageSize
{
    std::int64_t bytes = 0;
    bool known = false; ///< There was a sample.
};

/// @brief Averages that one request thread has seen.
struct ResponseSizes
{
    std::unordered_map<ServiceName, AverageSize> services;
    RecentRoutes<AverageSize> routes;
};

/// @brief Adds the size of a response to the averages of its service and route.
void recordSize(ResponseSizes &sizes, const ServiceName &service, RouteKey route, Bytes size);

/// @brief Expected size of a response of @p service; 0 without samples.
Bytes expectedSize(const ResponseSizes &sizes, const ServiceName &service);

/// @brief Expected size of a response of @p route; that of its service while the route has no samples.
Bytes expectedSize(const ResponseSizes &sizes, const ServiceName &service, RouteKey route);

} // namespace agatedoor
