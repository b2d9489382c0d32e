#include "caller_answer.hpp"

#include "agatedoor/decide/retry_after.hpp"
#include "agatedoor/proxy/headers.hpp"

#include <boost/json.hpp>

namespace agatedoor {

namespace {

bool hasNoBody(const StringResponse &response, http::verb method)
{
    const auto status = response.result();
    return method == http::verb::head || status == http::status::no_content || status == http::status::not_modified;
}

/// Formats @p time as seconds with three decimals.
std::string retryAfterText(Duration time)
{
    constexpr int millisPerSecond = 1000;
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    const std::string fraction = std::to_string(millisPerSecond + millis % millisPerSecond).substr(1);
    return std::to_string(millis / millisPerSecond) + "." + fraction;
}

StringResponse makeErrorAnswer(const RequestContext &context)
{
    const boost::json::object body{
        {"outcome", wireName(context.result.outcome)},
        {"reason", wireName(context.result.reason)},
        {"request_id", context.id.value},
    };
    StringResponse response;
    response.result(statusFor(context.result.outcome, context.result.reason));
    response.set(http::field::content_type, "application/json");
    response.body() = boost::json::serialize(body);
    return response;
}

/// Whether the caller is told when to come back. A request that ends backend servers is better not sent again.
bool mayComeBack(const RequestContext &context, http::status status)
{
    const bool refusedForNow = status == http::status::service_unavailable || status == http::status::too_many_requests;
    return refusedForNow && context.result.reason != Reason::EndsBackends;
}

Duration timeToRetry(const RequestContext &context)
{
    Random &random = context.worker.random;
    if (context.retryAt) {
        return remaining(*context.retryAt, Clock::now());
    }
    if (context.roomAt) {
        return retryAfterRoom(remaining(*context.roomAt, Clock::now()), context.worker.node.settings.returnLimit, random);
    }
    return retryAfter(context.result.reason, random);
}

} // namespace

http::status statusFor(RunOutcome outcome, Reason reason)
{
    if (outcome != RunOutcome::NotRun) {
        return reason == Reason::AnswerTimeout ? http::status::gateway_timeout : http::status::bad_gateway;
    }
    switch (reason) {
    case Reason::MalformedRequest:
        return http::status::bad_request;
    case Reason::HeaderTooLarge:
        return http::status::request_header_fields_too_large;
    case Reason::BodyTooLarge:
        return http::status::payload_too_large;
    case Reason::UnknownRoute:
        return http::status::not_found;
    case Reason::UnknownKey:
        return http::status::unauthorized;
    case Reason::QuotaExceeded:
        return http::status::too_many_requests;
    case Reason::BodyTimeout:
        return http::status::request_timeout;
    case Reason::TooManyHops:
        return http::status::loop_detected;
    default:
        return http::status::service_unavailable;
    }
}

StringResponse callerAnswer(RequestContext &context)
{
    const bool answered = context.result.response.has_value();
    StringResponse response = answered ? std::move(*context.result.response) : makeErrorAnswer(context);
    if (answered) {
        header::strip(response);
    }
    response.version(11);
    response.set(context.worker.node.edge.requestId, context.id.value);
    response.set(header::outcome, std::string(wireName(context.result.outcome)));
    if (!answered) {
        response.set(header::reason, std::string(wireName(context.result.reason)));
    }
    if (response.result() == http::status::unauthorized && !answered) {
        response.set(http::field::www_authenticate, "Bearer");
    }
    if (!answered && mayComeBack(context, response.result())) {
        response.set(http::field::retry_after, retryAfterText(timeToRetry(context)));
    }
    if (context.bundle) {
        response.set(header::bundle, std::to_string(context.bundle->head.generation.value));
    }
    if (!answered && context.request.method() == http::verb::head) {
        response.body().clear();
    }
    if (!hasNoBody(response, context.request.method())) {
        response.prepare_payload();
    }
    return response;
}

} // namespace agatedoor
