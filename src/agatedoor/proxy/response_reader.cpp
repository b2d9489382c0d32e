#include "response_reader.hpp"

#include "body_reader.hpp"

namespace agatedoor {

namespace {

constexpr unsigned minStatus = 100; ///< The parser takes any three digits.

} // namespace

bool countInformational(PrecedingResponses &preceding, const ResponseLimits &limits)
{
    return ++preceding.informational <= limits.maxInformational;
}

bool countForeign(PrecedingResponses &preceding, const ResponseLimits &limits)
{
    return ++preceding.foreign <= limits.maxForeign;
}

bool isInformational(const StringResponse &response)
{
    return http::to_status_class(response.result()) == http::status_class::informational;
}

asio::awaitable<void> readResponse(beast::tcp_stream &stream, beast::flat_buffer &buffer, ResponseParser &parser, NodeState &node, error_code &error)
{
    MemoryShare memory(node.largeAnswerBytes, largeAnswerMemory);
    parser.body_limit(responseLimits.maxBodyBytes);
    co_await http::async_read_header(stream, buffer, parser, into(error));
    if (!error && parser.get().result_int() < minStatus) {
        error = http::error::bad_status;
    }
    if (error) {
        co_return;
    }
    const BodyLimits limits{static_cast<std::int64_t>(responseLimits.maxBodyBytes), responseLimits.unreservedBytes};
    const BodyResult body = co_await readBody(stream, buffer, parser, memory, limits, error);
    if (body == BodyResult::NoMemory) {
        error = http::error::body_limit;
    }
}

} // namespace agatedoor
