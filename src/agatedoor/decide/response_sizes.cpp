#include "agatedoor/decide/response_sizes.hpp"

namespace agatedoor {

namespace {

constexpr std::int64_t sizeAverageWeight = 8; ///< A new size counts for one part in this many in the moving average.

void recordSample(AverageSize &average, std::int64_t bytes)
{
    average.bytes = average.known ? average.bytes + (bytes - average.bytes) / sizeAverageWeight : bytes;
    average.known = true;
}

} // namespace

void recordSize(ResponseSizes &sizes, const ServiceName &service, RouteKey route, Bytes size)
{
    recordSample(sizes.services[service], size.value);
    recordSample(useRecord(sizes.routes, route), size.value);
}

Bytes expectedSize(const ResponseSizes &sizes, const ServiceName &service)
{
    const auto known = sizes.services.find(service);
    return {known == sizes.services.end() ? 0 : known->second.bytes};
}

Bytes expectedSize(const ResponseSizes &sizes, const ServiceName &service, RouteKey route)
{
    const AverageSize *known = findRecord(sizes.routes, route);
    return known == nullptr ? expectedSize(sizes, service) : Bytes{known->bytes};
}

} // namespace agatedoor
