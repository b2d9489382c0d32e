#include "caller_session.hpp"

#include "agatedoor/wire/log.hpp"
#include "caller_answer.hpp"
#include "request_record.hpp"

namespace agatedoor {

namespace {

constexpr std::chrono::seconds idleTimeout{60};
constexpr std::chrono::seconds writeTimeout{30};

/// Cancels a request whose caller closed the connection, and expires its deadline so that it is not retried.
void cancelRequest(RequestContext &context)
{
    context.deadline = earlier(context.deadline, {Clock::now()});
    context.cancellation.request();
}

/// True when the connection stays open after the first response that is not written yet. While the node stops, the last
/// response closes the connection.
bool staysOpen(const CallerSession &session, const CallerExchange &exchange)
{
    const bool lastOfStop = session.worker.node.stopping.load() && session.pipeline.hasOne();
    return exchange.keepAliveRequested && exchange.context.bodyRead && !lastOfStop;
}

/// Writes the response; true when the connection can carry another one.
asio::awaitable<bool> writeResponse(CallerSession &session, CallerExchange &exchange)
{
    if (session.closing) {
        co_return false;
    }
    error_code error;
    const bool open = staysOpen(session, exchange);
    exchange.response.keep_alive(open);
    session.stream.expires_after(writeTimeout);
    co_await http::async_write(session.stream, exchange.response, into(error));
    co_return !error && open;
}

/// Ends whatever waits for the caller: the parser, the watch, or the wait for a response to be written.
void stopReading(CallerSession &session)
{
    error_code ignored;
    session.closing = true;
    session.stream.socket().cancel(ignored);
}

asio::awaitable<void> writeFinished(CallerSession &session)
{
    while (session.pipeline.beginWrite()) {
        CallerExchange &exchange = session.exchanges.front();
        const bool open = co_await writeResponse(session, exchange);
        recordRequest(exchange.context);
        session.pipeline.endWrite();
        session.exchanges.pop_front();
        restartIdleTime(session);
        if (!open) {
            stopReading(session);
        }
        if (!open && !session.pipeline.empty()) {
            cancelExchanges(session);
        }
        session.changed.cancel();
    }
}

} // namespace

CallerSession::CallerSession(Worker &owner, tcp::socket socket)
    : worker(owner)
    , stream(std::move(socket))
    , changed(worker.context)
    , idleTimer(worker.context)
    , watch(stream.socket(), [this] { cancelExchanges(*this); }, {&buffer, maxUnparsedBytes})
{
    restartIdleTime(*this);
}

bool ended(const CallerSession &session)
{
    return session.closing || session.callerGone;
}

CallerExchange &addExchange(CallerSession &session)
{
    CallerExchange &exchange = session.exchanges.emplace_back(session.worker, session.pipeline.add());
    exchange.context.arrivedAt = Clock::now();
    session.worker.metrics.pipelinedRequests += session.pipeline.hasOne() ? 0 : 1;
    return exchange;
}

void cancelExchanges(CallerSession &session)
{
    session.callerGone = true;
    for (auto &exchange : session.exchanges) {
        if (!exchange.finished) {
            cancelRequest(exchange.context);
        }
    }
    session.changed.cancel();
}

void failSession(CallerSession &session, const std::exception_ptr &failure)
{
    logFailure("caller-connection-failed", failure);
    session.closing = true;
    session.stream.close();
    cancelExchanges(session);
}

asio::awaitable<void> finishExchange(CallerSession &session, CallerExchange &exchange)
{
    exchange.response = callerAnswer(exchange.context);
    exchange.finished = true;
    const auto size = static_cast<std::int64_t>(exchange.response.body().size());
    exchange.heldShare.add(size);
    session.pipeline.finish(exchange.position, size);
    co_await writeFinished(session);
}

asio::awaitable<void> closeWhenIdle(std::shared_ptr<CallerSession> session)
{
    while (!ended(*session)) {
        error_code ignored;
        session->idleTimer.expires_at(session->idleDeadline.at);
        co_await session->idleTimer.async_wait(into(ignored));
        if (!expired(session->idleDeadline, Clock::now())) {
            continue;
        }
        if (session->pipeline.empty()) {
            session->closing = true;
            session->stream.close();
        }
        restartIdleTime(*session);
    }
}

void restartIdleTime(CallerSession &session)
{
    session.idleDeadline = deadlineAfter(Clock::now(), idleTimeout);
}

} // namespace agatedoor
