#include "agatedoor/decide/traffic_budget.hpp"

namespace agatedoor {

namespace {

TokenBucketOptions bucketOfOneSecond(BytesPerSecond rate)
{
    return {static_cast<double>(rate.value), static_cast<double>(rate.value)};
}

} // namespace

TrafficRates perThreadRates(const TrafficRates &node, int threads)
{
    return {{node.measuring.value / threads}, {node.crossRegion.value / threads}};
}

bool takeMeasuringBytes(TrafficBudget &budget, const TrafficRates &rates, Bytes bytes, TimePoint now)
{
    return take(budget.measuring, bucketOfOneSecond(rates.measuring), static_cast<double>(bytes.value), now);
}

bool mayCrossRegion(TrafficBudget &budget, const TrafficRates &rates, TimePoint now)
{
    refill(budget.crossRegion, bucketOfOneSecond(rates.crossRegion), now);
    return budget.crossRegion.tokens > 0;
}

void chargeCrossRegion(TrafficBudget &budget, const TrafficRates &rates, Bytes bytes, TimePoint now)
{
    refill(budget.crossRegion, bucketOfOneSecond(rates.crossRegion), now);
    budget.crossRegion.tokens -= static_cast<double>(bytes.value);
}

} // namespace agatedoor
