#include "request_record.hpp"

#include "agatedoor/wire/log.hpp"

namespace agatedoor {

namespace {

/// Time from arrival of the header to the end of the body; 0 when the body was not read.
std::chrono::microseconds uploadTime(const RequestContext &context)
{
    return context.bodyReadAt == TimePoint{} ? std::chrono::microseconds(0) : inMicroseconds(context.bodyReadAt - context.arrivedAt);
}

/// Time from the store's last confirmation of the bundle, when the request took it; -1 without one.
std::int64_t bundleAgeMs(const RequestContext &context)
{
    return context.bundleConfirmedAt ? (context.bundleTakenAt - *context.bundleConfirmedAt) / std::chrono::milliseconds(1) : -1;
}

/// Left out of the line when the request names no customer.
LogField customerField(const RequestContext &context)
{
    return context.customer != nullptr ? LogField{"customer", context.customer->name.value} : LogField{};
}

void logRequest(const RequestContext &context)
{
    const auto method = context.request.method_string();
    const auto target = context.request.target();
    const std::int64_t generation = context.bundle ? static_cast<std::int64_t>(context.bundle->head.generation.value) : 0;
    logLine(LogLevel::Info, "request",
            {
                {"request_id", context.id.value},
                {"method", std::string(method)},
                {"target", std::string(target)},
                {"bundle", generation},
                {"bundle_age_ms", bundleAgeMs(context)},
                customerField(context),
                {"peer", context.servedBy.value},
                {"outcome", std::string(wireName(context.result.outcome))},
                {"reason", std::string(wireName(context.result.reason))},
                {"attempts", static_cast<std::int64_t>(context.attempts)},
                {"body_bytes", static_cast<std::int64_t>(context.request.body().size())},
                {"body_us", uploadTime(context).count()},
                {"took_us", static_cast<std::int64_t>(inMicroseconds(Clock::now() - context.arrivedAt).count())},
            });
}

void recordMetrics(RequestContext &context)
{
    Metrics &metrics = context.worker.metrics;
    metrics.requestTime(std::chrono::duration<double>(Clock::now() - context.arrivedAt).count());
    ++metrics.outcomes.at(static_cast<std::size_t>(context.result.outcome));
}

} // namespace

void recordRequest(RequestContext &context)
{
    recordMetrics(context);
    logRequest(context);
}

} // namespace agatedoor
