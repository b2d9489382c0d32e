#pragma once

#include "agatedoor/decide/pipelining.hpp"
#include "agatedoor/proxy/in_flight.hpp"
#include "agatedoor/proxy/memory_share.hpp"
#include "agatedoor/proxy/request_context.hpp"
#include "agatedoor/wire/peer_watch.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <exception>
#include <memory>

/// @brief Connection of one caller and the requests on it whose responses are not written yet.
namespace agatedoor {

/// @brief One request, from its header to its written response.
struct CallerExchange
{
    CallerExchange(Worker &worker, PipelinePosition place)
        : inFlight(worker.node)
        , position(place)
        , context(worker)
        , bodyShare(worker.node.bodyBytes, bodyMemory)
        , heldShare(worker.node.heldAnswerBytes, {.totalBytes = PipelineOptions{}.maxNodeHeldBytes})
    {
    }

    InFlight inFlight;
    PipelinePosition position;
    RequestContext context;
    MemoryShare bodyShare;
    MemoryShare heldShare; ///< Taken by the response until it is written. Past its limit nothing more is read; the response is kept.
    bool keepAliveRequested = false;
    bool finished = false;
    StringResponse response; ///< Set once the request has finished.
};

/// @brief State of one connection. Used on one thread only; requests that run side by side share it.
struct CallerSession
{
    CallerSession(Worker &owner, tcp::socket socket);

    Worker &worker;
    beast::tcp_stream stream;
    beast::flat_buffer buffer{maxUnparsedBytes}; ///< Bytes that were received and not parsed yet.
    Pipeline pipeline;
    std::deque<CallerExchange> exchanges; ///< In step with the pipeline.
    int running = 0; ///< Requests that run beside the one that reads the connection.
    bool closing = false; ///< A response that closes the connection was written, or could not be written: nothing more is read.
    bool callerGone = false; ///< The caller closed the connection.
    asio::steady_timer changed; ///< Cancelled whenever a response was written or the connection ends.
    asio::steady_timer idleTimer;
    Deadline idleDeadline; ///< The connection is closed then unless a request is in progress.
    PeerWatch watch; ///< Notices while nothing is being parsed that the caller closes the connection.
};

/// @brief True when no request is to be taken from the connection any more.
bool ended(const CallerSession &session);

/// @brief Adds a request that arrives now.
CallerExchange &addExchange(CallerSession &session);

/// @brief Cancels all requests of a caller that closed its connection.
void cancelExchanges(CallerSession &session);

/// @brief Ends the connection after an unexpected error in one of its requests: logs it, cancels the others and closes.
void failSession(CallerSession &session, const std::exception_ptr &failure);

/// @brief Builds the response of a request whose result is known, then writes all responses whose turn has come.
asio::awaitable<void> finishExchange(CallerSession &session, CallerExchange &exchange);

/// @brief Closes the connection once it was idle for too long. Runs as long as the connection.
asio::awaitable<void> closeWhenIdle(std::shared_ptr<CallerSession> session);

/// @brief Postpones closeWhenIdle(), from now on.
void restartIdleTime(CallerSession &session);

/// @brief Waits until @p condition holds, which is checked whenever the session changes; notices meanwhile that the caller leaves.
template <typename Condition>
asio::awaitable<void> waitUntil(CallerSession &session, Condition condition)
{
    if (condition()) {
        co_return;
    }
    session.watch.start();
    while (!condition()) {
        error_code ignored;
        session.changed.expires_at(TimePoint::max());
        co_await session.changed.async_wait(into(ignored));
    }
    session.watch.stop();
}

} // namespace agatedoor
