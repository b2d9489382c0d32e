#include "caller_server.hpp"

#include "agatedoor/proxy/body_reader.hpp"
#include "agatedoor/proxy/headers.hpp"
#include "agatedoor/wire/log.hpp"
#include "caller_session.hpp"
#include "filter.hpp"

#include <boost/asio/co_spawn.hpp>

#include <array>

namespace agatedoor {

namespace {

constexpr std::uint32_t maxHeaderBytes = 16 * 1024;
constexpr std::uint64_t lingerBytes = 256ULL * 1024; ///< Most that is read and discarded before a connection closes.
constexpr std::chrono::seconds bodyTimeout{60};
constexpr std::chrono::milliseconds lingerTimeout{500};
constexpr PipelineOptions pipelineOptions{};

using Parser = http::request_parser<http::string_body>;
using SessionPtr = std::shared_ptr<CallerSession>;

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
    return error == http::error::end_of_stream || error == http::error::partial_message || error == beast::error::timeout
        || error.category() == asio::error::get_system_category();
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

/// Declared body size; 0 for a body in chunks, whose size isn't known before it has arrived.
std::int64_t declaredBodySize(const Parser &parser)
{
    return static_cast<std::int64_t>(parser.content_length().value_or(0));
}

/// Until when the body must have arrived. After the caller's own deadline nobody waits for an answer any more.
Deadline bodyDeadline(const RequestContext &context)
{
    const EdgeHeaders &edge = context.worker.node.edge;
    const TimePoint now = Clock::now();
    const Deadline latest = deadlineAfter(now, bodyTimeout);
    const auto callerTimeout = header::timeLeft(context.request, edge.timeLeft, edge.timeUnit);
    return callerTimeout ? earlier(latest, deadlineAfter(now, *callerTimeout)) : latest;
}

/// Reads the body, up to the route's size limit and within the node's memory limit. Reason::None on success. A body that is declared to be
/// larger than what is left is refused before it is sent.
asio::awaitable<Reason> takeBody(CallerSession &session, Parser &parser, CallerExchange &exchange)
{
    RequestContext &context = exchange.context;
    const std::int64_t limit = context.route->bodyLimit.value;
    const std::int64_t declared = declaredBodySize(parser);
    if (declared > limit) {
        co_return Reason::BodyTooLarge;
    }
    if (!exchange.bodyShare.fits(declared)) {
        co_return Reason::MemoryLimit;
    }
    parser.body_limit(static_cast<std::uint64_t>(limit));
    session.stream.expires_at(bodyDeadline(context).at);
    if (!co_await sendContinueIfExpected(session.stream, parser)) {
        co_return Reason::CallerGone;
    }
    error_code error;
    const BodyResult body = co_await readBody(session.stream, session.buffer, parser, exchange.bodyShare, {.maxBytes = limit}, error);
    if (body == BodyResult::NoMemory) {
        co_return Reason::MemoryLimit;
    }
    if (error == beast::error::timeout) {
        co_return Reason::BodyTimeout;
    }
    if (error) {
        co_return connectionEnded(error) ? Reason::CallerGone : malformedReason(error);
    }
    context.bodyRead = true;
    context.request = parser.release();
    co_return Reason::None;
}

/// Takes the header of a request with a body, or the whole request.
void takeRequest(CallerExchange &exchange, Parser &parser)
{
    RequestContext &context = exchange.context;
    exchange.keepAliveRequested = parser.keep_alive();
    context.bodyRead = parser.is_done();
    if (context.bodyRead) {
        context.request = parser.release();
        context.readBody = []() -> asio::awaitable<Reason> { co_return Reason::None; };
    } else {
        context.request.base() = parser.get().base();
    }
}

/// Lingering close: stops sending and discards input for a bounded time, so that a caller that is still sending gets the
/// response instead of a connection reset.
asio::awaitable<void> linger(CallerSession &session)
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

/// Answers a request that can't be parsed.
asio::awaitable<void> refuseMalformed(CallerSession &session, Reason reason)
{
    CallerExchange &exchange = addExchange(session);
    exchange.context.id = {randomHex(session.worker.random)};
    exchange.context.result = notRun(reason);
    co_await finishExchange(session, exchange);
}

/// Reads the next header; false when there is none, and nothing more can be read from the connection.
asio::awaitable<bool> readHeader(CallerSession &session, Parser &parser)
{
    error_code error;
    parser.header_limit(maxHeaderBytes);
    parser.body_limit(boost::none);
    session.stream.expires_never();
    co_await http::async_read_header(session.stream, session.buffer, parser, into(error));
    if (session.closing) {
        co_return false;
    }
    if (!error) {
        co_return true;
    }
    if (connectionEnded(error)) {
        cancelExchanges(session);
    } else {
        co_await refuseMalformed(session, malformedReason(error));
    }
    co_return false;
}

bool needsToRunAlone(const RequestContext &context)
{
    PipelinedRequest request;
    request.idempotent = context.route->idempotent;
    request.hasBody = !context.bodyRead;
    request.leavesHttp = context.request.method() == http::verb::connect || context.request.find(http::field::upgrade) != context.request.end();
    return runsAlone(request);
}

/// Runs the request and writes the responses whose turn has come then.
asio::awaitable<void> serveBesideOthers(SessionPtr session, CallerExchange &exchange)
{
    co_await runFilters(servingFilters(), exchange.context);
    co_await finishExchange(*session, exchange);
}

void startBesideOthers(const SessionPtr &session, CallerExchange &exchange)
{
    ++session->running;
    auto finished = [session](const std::exception_ptr &failure) {
        --session->running;
        if (failure) {
            failSession(*session, failure);
        }
        session->changed.cancel();
    };
    asio::co_spawn(session->worker.context, serveBesideOthers(session, exchange), std::move(finished));
}

/// Waits until all earlier responses are written, and routes the request anew if that took time, since another bundle may be
/// in force then.
asio::awaitable<FilterVerdict> waitForTurn(CallerSession &session, CallerExchange &exchange)
{
    if (session.pipeline.hasOne()) {
        co_return FilterVerdict::Continue;
    }
    co_await waitUntil(session, [&session] { return ended(session) || session.pipeline.hasOne(); });
    if (ended(session)) {
        exchange.context.result = notRun(Reason::CallerGone);
        co_return FilterVerdict::Answer;
    }
    co_return co_await runFilters(routingFilters(), exchange.context);
}

/// Runs the request once all earlier responses are written. Reads its body, and nothing behind it until its own is written.
asio::awaitable<void> serveAlone(CallerSession &session, CallerExchange &exchange, Parser &parser)
{
    RequestContext &context = exchange.context;
    if (co_await waitForTurn(session, exchange) == FilterVerdict::Continue) {
        context.readBody = [&]() -> asio::awaitable<Reason> {
            const Reason reason = context.bodyRead ? Reason::None : co_await takeBody(session, parser, exchange);
            context.bodyReadAt = context.bodyRead ? Clock::now() : TimePoint{};
            session.watch.start();
            co_return reason;
        };
        co_await runFilters(servingFilters(), context);
        session.watch.stop();
    }
    co_await finishExchange(session, exchange);
}

/// Reads one request and starts it; false when nothing more may be read from the connection.
asio::awaitable<bool> serveNext(const SessionPtr &session)
{
    Parser parser;
    if (!co_await readHeader(*session, parser)) {
        co_return false;
    }
    CallerExchange &exchange = addExchange(*session);
    takeRequest(exchange, parser);
    const bool mayContinue = exchange.keepAliveRequested;
    if (co_await runFilters(routingFilters(), exchange.context) == FilterVerdict::Answer) {
        const bool whole = exchange.context.bodyRead;
        co_await finishExchange(*session, exchange);
        co_return mayContinue &&whole;
    }
    if (needsToRunAlone(exchange.context)) {
        co_await serveAlone(*session, exchange, parser);
    } else {
        startBesideOthers(session, exchange);
    }
    co_return mayContinue;
}

/// True when the next request may be read. While the node stops, requests are read one at a time, so that the last response can
/// close the connection.
bool mayReadNext(const CallerSession &session)
{
    const NodeState &node = session.worker.node;
    const bool stopping = node.stopping.load(std::memory_order_relaxed);
    return session.pipeline.empty() || (!stopping && session.pipeline.mayRead(node.heldAnswerBytes.load(std::memory_order_relaxed), pipelineOptions));
}

/// Reads requests until nothing more can be read.
asio::awaitable<void> serveRequests(const SessionPtr &session)
{
    bool open = true;
    while (open) {
        co_await waitUntil(*session, [&session] { return ended(*session) || mayReadNext(*session); });
        open = !ended(*session) && co_await serveNext(session);
    }
}

} // namespace

asio::awaitable<void> serveCaller(Worker &worker, tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto session = std::make_shared<CallerSession>(worker, std::move(socket));
    asio::co_spawn(worker.context, closeWhenIdle(session), logFailures("idle-timer-failed"));
    try {
        co_await serveRequests(session);
    } catch (...) {
        failSession(*session, std::current_exception());
    }
    co_await waitUntil(*session, [&session] { return session->running == 0; });
    if (!session->callerGone) {
        co_await linger(*session);
    }
    session->closing = true;
    session->idleTimer.cancel();
}

} // namespace agatedoor
