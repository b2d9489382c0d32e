#include "link_traffic.hpp"

#include "headers.hpp"

namespace agatedoor {

namespace {

constexpr std::size_t fieldOverhead = 4; ///< Colon, space, CR and LF of a header field.

/// This thread's share of the node's link budgets.
TrafficRates ratesOf(const BundleInForce &inForce, const Worker &worker)
{
    const Budgets &budgets = inForce.bundle.budgets;
    return perThreadRates({budgets.measuring, budgets.crossRegion}, worker.node.settings.threads);
}

std::size_t sizeOf(const http::fields &fields)
{
    std::size_t size = 0;
    for (const auto &field : fields) {
        size += field.name_string().size() + field.value().size() + fieldOverhead;
    }
    return size;
}

template <typename Message>
std::int64_t bytesOf(const Message &message)
{
    return static_cast<std::int64_t>(sizeOf(message) + message.body().size());
}

} // namespace

Bytes measuringBytes(const LoadReport &report)
{
    const std::size_t size = std::string_view(header::load).size() + header::loadText(report).size() + fieldOverhead;
    return {static_cast<std::int64_t>(size)};
}

bool reserveLoadReport(Worker &worker, const LoadReport &report, TimePoint now)
{
    const Bytes bytes = measuringBytes(report);
    if (!takeMeasuringBytes(worker.traffic, ratesOf(*worker.node.bundles.current(), worker), bytes, now)) {
        ++worker.metrics.reportsWithheld;
        return false;
    }
    worker.metrics.measuringBytes += static_cast<std::uint64_t>(bytes.value);
    return true;
}

bool mayLeaveRegion(RequestContext &context, TimePoint now)
{
    return mayCrossRegion(context.worker.traffic, ratesOf(*context.bundle, context.worker), now);
}

void countLinkTraffic(RequestContext &context, const BackendEntry &entry, const AttemptResult &result, TimePoint now)
{
    if (entry.locality != Locality::OtherRegion) {
        return;
    }
    std::int64_t bytes = bytesOf(context.request);
    if (result.response) {
        bytes += bytesOf(*result.response);
    }
    chargeCrossRegion(context.worker.traffic, ratesOf(*context.bundle, context.worker), {bytes}, now);
    context.worker.metrics.crossRegionBytes += static_cast<std::uint64_t>(bytes);
    ++context.worker.metrics.crossRegionAttempts;
}

Bytes expectedLinkBytes(const RequestContext &context)
{
    const ResponseSizes &sizes = context.worker.responseSizes;
    const ServiceName &service = context.service->name;
    const bool byRoute = context.bundle->bundle.budgets.sizesByRoute;
    const Bytes response = byRoute ? expectedSize(sizes, service, context.route->key) : expectedSize(sizes, service);
    return {bytesOf(context.request) + response.value};
}

void recordAnswerSize(RequestContext &context, const AttemptResult &result)
{
    if (result.response) {
        recordSize(context.worker.responseSizes, context.service->name, context.route->key, {bytesOf(*result.response)});
    }
}

} // namespace agatedoor
