#include "agatedoor/wire/http_call.hpp"

#include "idle_probe.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <exception>
#include <optional>

namespace agatedoor {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::uint64_t maxAnswerBytes = 16ULL * 1024 * 1024;
constexpr int maxInformational = 32; ///< Informational responses (1xx) before the final one.
constexpr std::size_t streamPartBytes = 64UL * 1024;
constexpr std::size_t maxUnparsedBytes = 64UL * 1024; ///< Held without a line end or an end of the header.

http::request<http::string_body> toBeast(const Endpoint &endpoint, const HttpRequest &request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, toText(endpoint));
    for (const auto &field : request.fields) {
        message.set(field.name, field.value);
    }
    message.keep_alive(false);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

HttpReply fromBeast(http::response<http::string_body> message)
{
    HttpReply reply;
    reply.status = static_cast<int>(message.result_int());
    for (const auto &field : message) {
        reply.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    reply.body = std::move(message.body());
    return reply;
}

asio::awaitable<bool> connectTo(beast::tcp_stream &stream, const Endpoint &endpoint, Deadline deadline)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        co_return false;
    }
    stream.expires_at(deadline.at);
    const asio::ip::tcp::endpoint target(address, endpoint.port);
    co_await stream.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return false;
    }
    probeWhileIdle(stream.socket());
    co_return true;
}

asio::awaitable<bool> sendRequest(beast::tcp_stream &stream, const Endpoint &endpoint, const HttpRequest &request)
{
    error_code error;
    const auto message = toBeast(endpoint, request);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

/// Reads one response whole; none when it doesn't come before @p deadline or is too large.
asio::awaitable<std::optional<http::response<http::string_body>>> readResponse(beast::tcp_stream &stream, beast::flat_buffer &buffer, Deadline deadline)
{
    error_code error;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxAnswerBytes);
    // The stream's own timer doesn't end a read that finds bytes at once.
    while (!error && !parser.is_done() && !expired(deadline, Clock::now())) {
        co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    if (error || !parser.is_done()) {
        co_return std::nullopt;
    }
    co_return parser.release();
}

asio::awaitable<Result<HttpReply, HttpError>> callOnce(const Endpoint &endpoint, const HttpRequest &request, Deadline deadline)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    if (!co_await connectTo(stream, endpoint, deadline)) {
        co_return HttpError{HttpErrorKind::ConnectFailed};
    }
    if (!co_await sendRequest(stream, endpoint, request)) {
        co_return HttpError{HttpErrorKind::AnswerLost};
    }
    beast::flat_buffer buffer(maxUnparsedBytes);
    for (int informational = 0; informational <= maxInformational; ++informational) {
        auto response = co_await readResponse(stream, buffer, deadline);
        if (!response) {
            break;
        }
        if (http::to_status_class(response->result()) != http::status_class::informational) {
            co_return fromBeast(std::move(*response));
        }
    }
    co_return HttpError{HttpErrorKind::AnswerLost};
}

asio::awaitable<Result<int, HttpError>> streamOnce(const Endpoint &endpoint, const HttpRequest &request, Deadline deadline, const StreamReader &reader)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    if (!co_await connectTo(stream, endpoint, deadline)) {
        co_return HttpError{HttpErrorKind::ConnectFailed};
    }
    if (!co_await sendRequest(stream, endpoint, request)) {
        co_return HttpError{HttpErrorKind::AnswerLost};
    }
    error_code error;
    beast::flat_buffer buffer(maxUnparsedBytes);
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return HttpError{HttpErrorKind::AnswerLost};
    }
    std::string part(streamPartBytes, '\0');
    while (!parser.is_done()) {
        parser.get().body().data = part.data();
        parser.get().body().size = part.size();
        co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        const std::size_t size = part.size() - parser.get().body().size;
        const bool more = size == 0 || reader(std::string_view(part.data(), size));
        const bool partDone = !error || error == http::error::need_buffer;
        // The stream's own timer doesn't end a read that finds bytes at once.
        if (!more || !partDone || expired(deadline, Clock::now())) {
            break;
        }
    }
    co_return static_cast<int>(parser.get().result_int());
}

/// Runs an operation to its end; none when it was stopped before.
template <typename T>
std::optional<T> runToEnd(asio::awaitable<T> operation, const std::stop_token &stop)
{
    asio::io_context context(1);
    std::optional<T> result;
    const std::stop_callback onStop(stop, [&context] { context.stop(); });
    std::exception_ptr failure;
    asio::co_spawn(context, std::move(operation), [&](const std::exception_ptr &thrown, T value) {
        failure = thrown;
        if (!thrown) {
            result.emplace(std::move(value));
        }
    });
    context.run();
    if (failure) {
        std::rethrow_exception(failure);
    }
    return result;
}

/// Makes the result default constructible, as completion handlers need it.
template <typename T>
asio::awaitable<std::optional<Result<T, HttpError>>> boxed(asio::awaitable<Result<T, HttpError>> operation)
{
    co_return co_await std::move(operation);
}

/// A stopped call may have been done.
template <typename T>
Result<T, HttpError> ended(std::optional<std::optional<Result<T, HttpError>>> result)
{
    if (!result) {
        return HttpError{HttpErrorKind::AnswerLost};
    }
    return std::move(**result);
}

} // namespace

Result<HttpReply, HttpError> httpCall(const Endpoint &endpoint, const HttpRequest &request, Deadline deadline, const std::stop_token &stop)
{
    return ended(runToEnd(boxed(callOnce(endpoint, request, deadline)), stop));
}

Result<int, HttpError> httpStream(const Endpoint &endpoint, const HttpRequest &request, Deadline deadline, const StreamReader &reader,
                                  const std::stop_token &stop)
{
    return ended(runToEnd(boxed(streamOnce(endpoint, request, deadline, reader)), stop));
}

} // namespace agatedoor
