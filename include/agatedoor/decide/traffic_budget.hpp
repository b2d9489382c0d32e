#pragma once

#include "agatedoor/base/units.hpp"
#include "agatedoor/decide/token_bucket.hpp"

/// @brief Byte budgets for traffic between nodes: load reports (measuring), and traffic between regions.
namespace agatedoor {

/// @brief Allowed rates of a node, or of one of its request threads.
struct TrafficRates
{
    BytesPerSecond measuring; ///< Load reports.
    BytesPerSecond crossRegion; ///< Requests and answers to and from other regions.
};

/// @brief Token buckets of one request thread, in bytes; each holds at most the bytes of one second.
struct TrafficBudget
{
    TokenBucket measuring;
    TokenBucket crossRegion;
};

/// @brief Rates of one of @p threads equal threads of a node; @p threads is at least 1.
TrafficRates perThreadRates(const TrafficRates &node, int threads);

/// @brief Takes the bytes of one load report from the measuring budget.
/// @return false when the budget doesn't suffice; the caller must not send the report then
bool takeMeasuringBytes(TrafficBudget &budget, const TrafficRates &rates, Bytes bytes, TimePoint now);

/// @brief True while the cross-region budget has bytes left.
bool mayCrossRegion(TrafficBudget &budget, const TrafficRates &rates, TimePoint now);

/// @brief Takes bytes that were transferred between regions, into debt if necessary.
/// While the budget is in debt, no request leaves the region just for a lower cost.
void chargeCrossRegion(TrafficBudget &budget, const TrafficRates &rates, Bytes bytes, TimePoint now);

} // namespace agatedoor
