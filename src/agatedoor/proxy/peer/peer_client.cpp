#include "peer_client.hpp"

#include "agatedoor/proxy/backend/outgoing_request.hpp"
#include "agatedoor/proxy/headers.hpp"
#include "agatedoor/proxy/response_reader.hpp"

#include <algorithm>
#include <cmath>

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds connectTimeout{250};
constexpr std::chrono::milliseconds offerTimeout{500}; ///< For an offer over a new connection.
constexpr std::chrono::milliseconds reusedOfferTimeout{150}; ///< Shorter, so that time is left to send the request again over a new connection.
constexpr std::chrono::milliseconds maxVerifiedAge{500}; ///< Over a connection verified longer ago, an idempotent request is offered first.
constexpr int offerDeadlineDivisor = 3; ///< An offer, without any hold, waits for at most the time left to the deadline divided by this.

constexpr double maxRememberedLimit = 1e9; ///< Requests per second; keeps the number within its type.

using Serializer = http::request_serializer<http::span_body<char const>>;

/// Result of sending a request over one connection.
struct Exchange
{
    AttemptResult result;
    bool reusable = false; ///< The connection is open and at a message boundary.
    bool silent = false; ///< The connection timed out or was lost before a byte was received.
    bool inconclusive = false; ///< The wait was cancelled before a byte was received, so the connection may be dead or only slow.
    bool committed = false; ///< Bytes after the offer were sent, so the request may have run.
};

SpanRequest makePeerMessage(const BackendEntry &entry, const BackendRequest &request, const StringRequest &message, bool offered, TimePoint now)
{
    SpanRequest outgoing = outgoingRequest(request, message, now);
    outgoing.set(header::target, entry.backend.value);
    outgoing.set(header::incarnation, std::to_string(entry.incarnation.value));
    if (request.last) {
        outgoing.set(header::last, "1");
    }
    if (request.spareOnly) {
        outgoing.set(header::spareOnly, "1");
    }
    if (!expired(request.holdUntil, now)) {
        outgoing.set(header::hold, std::to_string(inMicroseconds(remaining(request.holdUntil, now)).count()));
    }
    if (request.rememberedLimit > 0) {
        const double inThousandSeconds = std::min(request.rememberedLimit, maxRememberedLimit) * 1000;
        outgoing.set(header::rememberedLimit, std::to_string(static_cast<std::int64_t>(std::ceil(inThousandSeconds))));
    }
    outgoing.set(header::priority, std::string(wireName(request.priority)));
    outgoing.set(header::route, std::to_string(request.route.value));
    if (!offered) {
        outgoing.prepare_payload();
        return outgoing;
    }
    outgoing.erase(http::field::content_length);
    outgoing.set(http::field::expect, "100-continue");
    outgoing.set(header::bodySize, std::to_string(message.body().size()));
    outgoing.chunked(true);
    return outgoing;
}

Reason reasonOf(const error_code &error, Reason timeout)
{
    return error == beast::error::timeout ? timeout : Reason::ConnectionLost;
}

/// Attempt result stated by the owning node's response; a response to another request leaves the outcome unknown.
AttemptResult interpret(StringResponse response, const RequestId &id)
{
    const auto outcome = runOutcomeFromWire(header::text(response, header::outcome));
    if (!outcome || header::text(response, header::requestId) != id.value) {
        return unknownOutcome(Reason::MismatchedAnswer);
    }
    AttemptResult result;
    result.outcome = *outcome;
    result.reason = reasonFromWire(header::text(response, header::reason)).value_or(Reason::None);
    result.end = {static_cast<std::uint64_t>(std::max<std::int64_t>(0, header::number(response, header::end).value_or(0)))};
    result.load = header::parseLoad(header::text(response, header::load));
    if (const auto returnIn = header::timeLeft(response, header::returnIn, std::chrono::microseconds(1))) {
        result.returnAt = deadlineAfter(Clock::now(), *returnIn);
    }
    if (*outcome == RunOutcome::Answered) {
        result.response = std::move(response);
    }
    return result;
}

/// Exchange that ended with a final response.
Exchange makeExchange(StringResponse response, const RequestId &id)
{
    Exchange exchange;
    const bool open = response.keep_alive();
    exchange.result = interpret(std::move(response), id);
    exchange.reusable = open && exchange.result.reason != Reason::MismatchedAnswer;
    return exchange;
}

/// Reads the final response; skips informational ones.
asio::awaitable<Exchange> readAnswer(NodeState &node, Connection &connection, const RequestId &id, bool headRequest)
{
    PrecedingResponses preceding;
    for (;;) {
        error_code error;
        ResponseParser parser;
        parser.skip(headRequest);
        co_await readResponse(connection.stream, connection.buffer, parser, node, error);
        if (error) {
            Exchange exchange;
            exchange.result = unknownOutcome(reasonOf(error, Reason::AnswerTimeout));
            exchange.result.outcome = parser.is_header_done() ? RunOutcome::AnswerLost : RunOutcome::Unknown;
            exchange.inconclusive = error == asio::error::operation_aborted && !parser.got_some();
            exchange.silent = !exchange.inconclusive && !parser.got_some();
            co_return exchange;
        }
        if (!isInformational(parser.get())) {
            co_return makeExchange(parser.release(), id);
        }
        if (!countInformational(preceding)) {
            co_return Exchange{unknownOutcome(Reason::ConnectionLost), false, false, false, false};
        }
    }
}

/// Result of an offer: accepted, or the exchange that it ended with.
struct OfferResult
{
    bool accepted = false;
    Exchange exchange;
};

OfferResult makeFailedOffer(const error_code &error, bool silent)
{
    OfferResult end;
    end.exchange.result = notRun(reasonOf(error, Reason::OfferTimeout));
    end.exchange.silent = silent;
    return end;
}

/// Result of an offer that got a final response. Only the header was sent, so the request did not run if the response
/// belongs to another request.
OfferResult makeRefusedOffer(StringResponse response, const RequestId &id)
{
    OfferResult end;
    end.exchange = makeExchange(std::move(response), id);
    end.exchange.result.response.reset();
    const bool mismatched = end.exchange.result.reason == Reason::MismatchedAnswer;
    if (mismatched) {
        end.exchange.result.outcome = RunOutcome::NotRun;
    }
    if (end.exchange.result.outcome == RunOutcome::Answered) {
        end.exchange.result.outcome = RunOutcome::AnswerLost;
    }
    return end;
}

/// Deadline for the response to an offer. Includes the time for which the owning node may hold the request.
Deadline offerDeadline(const Connection &connection, const BackendRequest &request)
{
    const TimePoint now = Clock::now();
    const Duration longest = connection.reused ? reusedOfferTimeout : offerTimeout;
    return deadlineAfter(now, remaining(request.holdUntil, now) + std::min<Duration>(longest, remaining(request.deadline, now) / offerDeadlineDivisor));
}

/// Sends the header and waits for the owning node's response. The request did not run, whatever the result.
/// The response comes before any work is done, so a wait without a byte received marks the connection as silent, even
/// when the wait was cancelled.
asio::awaitable<OfferResult> offer(NodeState &node, Connection &connection, Serializer &serializer, const BackendRequest &request)
{
    error_code error;
    connection.stream.expires_at(offerDeadline(connection, request).at);
    co_await http::async_write_header(connection.stream, serializer, into(error));
    if (error) {
        co_return makeFailedOffer(error, true);
    }
    bool received = false;
    PrecedingResponses preceding;
    for (;;) {
        ResponseParser parser;
        co_await readResponse(connection.stream, connection.buffer, parser, node, error);
        if (error) {
            co_return makeFailedOffer(error, !received && !parser.got_some());
        }
        if (parser.get().result() == http::status::continue_) {
            co_return OfferResult{true, {}};
        }
        if (!isInformational(parser.get())) {
            co_return makeRefusedOffer(parser.release(), request.id);
        }
        if (!countInformational(preceding)) {
            co_return makeFailedOffer(http::error::bad_status, false);
        }
        received = true;
        connection.stream.expires_at(request.deadline.at);
    }
}

/// Sends the chunk terminator after a refused offer, so that the connection is at a message boundary. The owning node
/// discards it.
asio::awaitable<bool> terminateRefusedOffer(Connection &connection)
{
    error_code error;
    co_await asio::async_write(connection.stream, http::make_chunk_last(), into(error));
    co_return !error;
}

/// True when the request must be offered before its body is sent. A retry or hedge over a reused connection always is:
/// a dead connection, which may be why it was made, then shows within the short offer timeout.
bool mustOffer(const Connection &connection, const BackendRequest &request, bool idempotent)
{
    const bool recentlyVerified = Clock::now() - connection.verifiedAt <= maxVerifiedAge;
    return !idempotent || (connection.reused && (request.repeat || !recentlyVerified));
}

/// Sends the request over @p connection, with an offer if needed, and reads the response.
asio::awaitable<Exchange> exchangeOver(NodeState &node, Connection &connection, const BackendEntry &entry, const BackendRequest &request,
                                       const StringRequest &message, bool idempotent)
{
    const bool offered = mustOffer(connection, request, idempotent);
    SpanRequest outgoing = makePeerMessage(entry, request, message, offered, Clock::now());
    Serializer serializer(outgoing);
    if (offered) {
        OfferResult end = co_await offer(node, connection, serializer, request);
        if (!end.accepted) {
            end.exchange.reusable = end.exchange.reusable && co_await terminateRefusedOffer(connection);
            co_return end.exchange;
        }
        if (expired(request.deadline, Clock::now())) {
            co_return Exchange{notRun(Reason::DeadlinePassed), false, false, false, false};
        }
    }
    connection.stream.expires_at(request.deadline.at);
    error_code error;
    co_await http::async_write(connection.stream, serializer, into(error));
    if (error) {
        const bool wasCancelled = error == asio::error::operation_aborted;
        co_return Exchange{unknownOutcome(reasonOf(error, Reason::AnswerTimeout)), false, !offered && !wasCancelled, !offered && wasCancelled, true};
    }
    Exchange exchange = co_await readAnswer(node, connection, request.id, message.method() == http::verb::head);
    exchange.silent = exchange.silent && !offered;
    exchange.inconclusive = exchange.inconclusive && !offered;
    exchange.committed = true;
    co_return exchange;
}

} // namespace

asio::awaitable<AttemptResult> forwardToPeer(Worker &worker, const BackendEntry &entry, const BackendRequest &request, const StringRequest &message,
                                             bool idempotent, ConnectionChoice choice)
{
    for (;;) {
        const Deadline connectBy = earlier(request.deadline, deadlineAfter(Clock::now(), connectTimeout));
        std::unique_ptr<Connection> connection;
        if (choice == ConnectionChoice::Fresh) {
            connection = co_await openConnection(entry.peers, connectBy);
        } else {
            connection = co_await takeOrOpen(worker.peers, entry.peers, connectBy);
        }
        if (!connection) {
            co_return notRun(Reason::ConnectFailed);
        }
        const CancelHook hook(request.cancellation, [&connection] { connection->stream.cancel(); });
        Exchange exchange = co_await exchangeOver(worker.node, *connection, entry, request, message, idempotent);
        const bool stale = connection->reused && exchange.silent;
        if (stale) {
            worker.peers.drop(entry.peers);
            ++worker.metrics.silentConnections;
        }
        if (exchange.inconclusive) {
            worker.peers.markUnverified(entry.peers);
        }
        if (exchange.reusable) {
            const TimePoint now = Clock::now();
            worker.peers.keep(entry.peers, std::move(connection), now, deadlineAfter(now, defaultIdleTimeout));
        }
        const bool safeToResend = !exchange.committed || (idempotent && exchange.result.reason == Reason::ConnectionLost);
        if (!stale || !safeToResend || cancelled(request.cancellation)) {
            co_return std::move(exchange.result);
        }
        choice = ConnectionChoice::Fresh;
    }
}

} // namespace agatedoor
