#include "caller_server.hpp"

#include "agatedoor/wire/log.hpp"
#include "agatedoor/wire/peer_watch.hpp"
#include "body_reservation.hpp"
#include "caller_answer.hpp"
#include "filter.hpp"
#include "headers.hpp"
#include "in_flight.hpp"

#include <array>
#include <optional>

namespace agatedoor {

namespace {

constexpr std::uint32_t maxHeaderBytes = 16 * 1024;
constexpr std::uint64_t lingerBytes = 256ULL * 1024; ///< Most that is read and discarded before a connection closes.
constexpr std::chrono::seconds idleTimeout{60};
constexpr std::chrono::seconds bodyTimeout{60};
constexpr std::chrono::seconds writeTimeout{30};
constexpr std::chrono::milliseconds lingerTimeout{500};

using Parser = http::request_parser<http::string_body>;

/// Connection of one caller.
struct Session
{
    Worker &worker;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
};

Reason malformedReason(const error_code &error)
{
    if (error == http::error::header_limit) {
        return Reason::HeaderTooLarge;
    }
    return error == http::error::body_limit ? Reason::BodyTooLarge : Reason::MalformedRequest;
}

/// True when the connection closed or timed out, as opposed to a malformed request.
bool connectionEnded(const error_code &error)
{
    return error == http::error::end_of_stream || error == beast::error::timeout || error.category() == asio::error::get_system_category();
}

asio::awaitable<bool> sendContinueIfExpected(beast::tcp_stream &stream, const Parser &parser)
{
    error_code error;
    if (!beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_return true;
    }
    http::response<http::empty_body> message;
    message.result(http::status::continue_);
    co_await http::async_write(stream, message, into(error));
    co_return !error;
}

/// Declared body size; the route's @p limit when the request states none.
std::int64_t bodySizeBound(const Parser &parser, std::int64_t limit)
{
    const auto length = parser.content_length();
    return length ? static_cast<std::int64_t>(*length) : limit;
}

/// Reads the body, up to the route's size limit and within the node's memory limit. Reason::None on success.
asio::awaitable<Reason> readBody(Session &session, Parser &parser, RequestContext &context, std::optional<BodyReservation> &reservation)
{
    const std::int64_t limit = context.route->bodyLimit.value;
    const std::int64_t reservedSize = parser.is_done() ? 0 : bodySizeBound(parser, limit);
    if (reservedSize > limit) {
        co_return Reason::BodyTooLarge;
    }
    reservation.emplace(context.worker.node, reservedSize);
    if (!reservation->granted()) {
        co_return Reason::MemoryLimit;
    }
    parser.body_limit(static_cast<std::uint64_t>(limit));
    session.stream.expires_after(bodyTimeout);
    if (!parser.is_done() && !co_await sendContinueIfExpected(session.stream, parser)) {
        co_return Reason::CallerGone;
    }
    error_code error;
    if (!parser.is_done()) {
        co_await http::async_read(session.stream, session.buffer, parser, into(error));
    }
    if (error == beast::error::timeout) {
        co_return Reason::BodyTimeout;
    }
    if (error) {
        co_return connectionEnded(error) ? Reason::CallerGone : malformedReason(error);
    }
    context.bodyRead = true;
    context.bodyReadAt = Clock::now();
    context.request = parser.release();
    co_return Reason::None;
}

/// Lingering close: stops sending and discards input for a bounded time, so that a caller that is still sending gets the
/// response instead of a connection reset.
asio::awaitable<void> linger(Session &session)
{
    error_code error;
    session.stream.socket().shutdown(tcp::socket::shutdown_send, error);
    session.stream.expires_after(lingerTimeout);
    std::uint64_t discarded = 0;
    std::array<char, 4096> chunk{};
    while (!error && discarded < lingerBytes) {
        discarded += co_await session.stream.async_read_some(asio::buffer(chunk), into(error));
    }
}

/// Writes the response; true when the connection can carry another request.
asio::awaitable<bool> writeAnswer(Session &session, RequestContext &context, bool keepAlive)
{
    error_code error;
    StringResponse response = callerAnswer(context);
    response.keep_alive(keepAlive);
    session.stream.expires_after(writeTimeout);
    co_await http::async_write(session.stream, response, into(error));
    co_return !error && keepAlive;
}

/// Time from arrival of the header to the end of the body; 0 when the body was not read.
std::chrono::microseconds uploadTime(const RequestContext &context)
{
    return context.bodyReadAt == TimePoint{} ? std::chrono::microseconds(0) : inMicroseconds(context.bodyReadAt - context.arrivedAt);
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

asio::awaitable<void> refuseMalformed(Session &session, Reason reason)
{
    RequestContext context(session.worker);
    context.arrivedAt = Clock::now();
    context.id = {randomHex(session.worker.random)};
    context.result = notRun(reason);
    co_await writeAnswer(session, context, false);
    recordMetrics(context);
    logRequest(context);
    co_await linger(session);
}

/// Cancels a request whose caller closed the connection, and expires its deadline so that it is not retried.
void cancelRequest(RequestContext &context)
{
    context.deadline = earlier(context.deadline, {Clock::now()});
    context.cancellation.request();
}

/// Serves one request; true when the connection can carry another request.
asio::awaitable<bool> serveOne(Session &session)
{
    error_code error;
    Parser parser;
    parser.header_limit(maxHeaderBytes);
    parser.body_limit(boost::none);
    session.stream.expires_after(idleTimeout);
    co_await http::async_read_header(session.stream, session.buffer, parser, into(error));
    if (error) {
        if (!connectionEnded(error)) {
            co_await refuseMalformed(session, malformedReason(error));
        }
        co_return false;
    }
    std::optional<InFlight> inFlight(std::in_place, session.worker.node);
    RequestContext context(session.worker);
    std::optional<BodyReservation> reservation;
    context.arrivedAt = Clock::now();
    context.request.base() = parser.get().base();
    context.bodyRead = parser.is_done();
    PeerWatch watch(session.stream.socket(), [&context] { cancelRequest(context); });
    context.readBody = [&]() -> asio::awaitable<Reason> {
        const Reason reason = co_await readBody(session, parser, context, reservation);
        watch.start();
        co_return reason;
    };
    const bool keepAliveRequested = parser.get().keep_alive();
    co_await runFilters(requestFilters(), context);
    watch.stop();
    const bool keepAlive = keepAliveRequested && context.bodyRead && !session.worker.node.stopping.load();
    const bool open = co_await writeAnswer(session, context, keepAlive);
    recordMetrics(context);
    logRequest(context);
    inFlight.reset();
    if (!open) {
        co_await linger(session);
    }
    co_return open;
}

} // namespace

asio::awaitable<void> serveCaller(Worker &worker, tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    Session session{worker, beast::tcp_stream(std::move(socket)), {}};
    bool open = true;
    while (open) {
        open = co_await serveOne(session);
    }
}

} // namespace agatedoor
