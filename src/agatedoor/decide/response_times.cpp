#include "agatedoor/decide/response_times.hpp"

namespace agatedoor {

void recordResponseTime(ResponseTimes &times, RouteKey route, Duration time)
{
    recordSample(useRecord(times, route), QuantileOptions{}, time);
}

Duration tailOf(const ResponseTimes &times, RouteKey route)
{
    const QuantileEstimate *tail = findRecord(times, route);
    return tail == nullptr ? Duration::zero() : tail->value;
}

} // namespace agatedoor
