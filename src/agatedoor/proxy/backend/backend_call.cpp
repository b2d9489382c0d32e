#include "agatedoor/decide/attempt_signal.hpp"
#include "agatedoor/proxy/headers.hpp"
#include "agatedoor/proxy/response_reader.hpp"
#include "agatedoor/state/gate_cold.hpp"
#include "agatedoor/state/gate_request_limit.hpp"
#include "agatedoor/wire/log.hpp"
#include "backend_admission.hpp"
#include "backend_connection.hpp"
#include "outgoing_request.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds closeTimeout{500};
constexpr std::chrono::milliseconds endCheckTimeout{100}; ///< For a new connection.
constexpr std::chrono::milliseconds endingTime{20}; ///< A process that ends may close connections some moments before it stops listening.
constexpr std::size_t closeBytes = 256UL * 1024; ///< Most that is read and discarded while the backend server closes its end.

SpanRequest makeBackendMessage(const EdgeHeaders &edge, const BackendRequest &request, const StringRequest &message, TimePoint now)
{
    SpanRequest outgoing = outgoingRequest(request, message, now);
    outgoing.set(edge.requestId, request.id.value);
    outgoing.set(edge.timeLeft, std::to_string(remaining(request.deadline, now) / edge.timeUnit));
    if (!edge.expectedBackend.empty()) {
        outgoing.set(edge.expectedBackend, request.target.value);
    }
    outgoing.prepare_payload();
    return outgoing;
}

/// Cancels pending I/O on a connection at the deadline or when the request is cancelled. Leaves the socket open so that
/// closeAbandoned() can shut it down in an orderly way.
class ExchangeCanceller
{
public:
    ExchangeCanceller(Connection &connection, const BackendRequest &request)
        : m_stream(std::make_shared<beast::tcp_stream *>(&connection.stream))
        , m_timer(connection.stream.get_executor(), request.deadline.at)
        , m_cancelHook(request.cancellation, [this] { abort(); })
    {
        m_timer.async_wait([stream = m_stream](const error_code &error) {
            if (!error && *stream != nullptr) {
                (*stream)->cancel();
            }
        });
    }
    ~ExchangeCanceller() { *m_stream = nullptr; }
    ExchangeCanceller(const ExchangeCanceller &) = delete;
    ExchangeCanceller &operator=(const ExchangeCanceller &) = delete;

private:
    void abort() { (*m_stream)->cancel(); }

    std::shared_ptr<beast::tcp_stream *> m_stream; ///< Points to null once the exchange has ended.
    asio::steady_timer m_timer;
    CancelHook m_cancelHook;
};

/// Reason why no complete response was received.
Reason reasonForLostAnswer(const BackendRequest &request)
{
    if (cancelled(request.cancellation)) {
        return Reason::CallerGone;
    }
    return expired(request.deadline, Clock::now()) ? Reason::AnswerTimeout : Reason::ConnectionLost;
}

/// True when the response states that the backend server shed the request without running it.
bool reportsNotRun(const EdgeHeaders &edge, const StringResponse &response)
{
    if (!edge.notRun.empty()) {
        return !header::text(response, edge.notRun).empty();
    }
    return response.result() == http::status::service_unavailable && header::text(response, header::outcome) == wireName(RunOutcome::NotRun);
}

/// Why the backend server did not run the request; Reason::None when it ran it.
Reason refusalReasonOf(const EdgeHeaders &edge, const StringResponse &response)
{
    if (!edge.expectedBackend.empty() && response.result() == http::status::misdirected_request) {
        return Reason::WrongTarget;
    }
    return reportsNotRun(edge, response) ? Reason::BackendShed : Reason::None;
}

/// True when the response belongs to another request, because it was late or sent twice.
bool isForeignAnswer(const EdgeHeaders &edge, const StringResponse &response, const RequestId &id)
{
    return edge.echoesRequestId && header::text(response, edge.requestId) != id.value;
}

/// How the request was sent whose response is read.
struct SentRequest
{
    bool head = false; ///< The response has no body.
    bool broken = false; ///< Sending it failed, which took the connection's error: a reset looks like an orderly close from then on.
};

/// Reads the final response. Skips informational responses, and responses to earlier requests on a reused connection.
asio::awaitable<AttemptResult> readAnswer(NodeState &node, Connection &connection, const BackendRequest &request, SentRequest sent)
{
    const EdgeHeaders &edge = node.edge;
    PrecedingResponses preceding;
    error_code error;
    for (;;) {
        ResponseParser parser;
        parser.skip(sent.head);
        co_await readResponse(connection.stream, connection.buffer, parser, node, error);
        const bool endIsUncertain = sent.broken && parser.need_eof();
        if (error || endIsUncertain) {
            AttemptResult lostAnswer = unknownOutcome(reasonForLostAnswer(request));
            lostAnswer.outcome = parser.is_header_done() ? RunOutcome::AnswerLost : RunOutcome::Unknown;
            co_return lostAnswer;
        }
        if (isInformational(parser.get())) {
            if (!countInformational(preceding)) {
                co_return unknownOutcome(Reason::ConnectionLost);
            }
            continue;
        }
        if (isForeignAnswer(edge, parser.get(), request.id)) {
            logLine(LogLevel::Warn, "foreign-answer",
                    {{"request_id", request.id.value},
                     {"backend", request.target.value},
                     {"answer_id", std::string(header::text(parser.get(), edge.requestId))},
                     {"status", static_cast<std::int64_t>(parser.get().result_int())}});
            connection.unusable = true;
            if (connection.reused && parser.get().keep_alive() && countForeign(preceding)) {
                continue;
            }
            co_return unknownOutcome(Reason::MismatchedAnswer);
        }
        AttemptResult answered;
        answered.outcome = RunOutcome::Answered;
        answered.response = parser.release();
        co_return answered;
    }
}

asio::awaitable<AttemptResult> exchange(NodeState &node, Connection &connection, const BackendRequest &request, const StringRequest &message)
{
    const ExchangeCanceller guard(connection, request);
    const SpanRequest outgoing = makeBackendMessage(node.edge, request, message, Clock::now());
    error_code error;
    co_await http::async_write(connection.stream, outgoing, into(error));
    if (error) {
        connection.unusable = true;
        if (cancelled(request.cancellation) || expired(request.deadline, Clock::now())) {
            co_return unknownOutcome(reasonForLostAnswer(request));
        }
    }
    co_return co_await readAnswer(node, connection, request, {.head = message.method() == http::verb::head, .broken = error.failed()});
}

/// Closes a connection whose response is no longer needed. Holds the slot until the backend server closes its end or
/// closeTimeout has passed, because the request may still be running there.
asio::awaitable<void> closeAbandoned(std::unique_ptr<Connection> connection, [[maybe_unused]] SlotHandle slot)
{
    error_code error;
    std::array<char, 4096> discarded{};
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, error);
    connection->stream.expires_after(closeTimeout);
    std::size_t size = 0;
    while (!error && size < closeBytes) {
        size += co_await connection->stream.async_read_some(asio::buffer(discarded), into(error));
    }
    connection.reset();
}

/// Records what the backend server says of itself in an answer: how many requests it takes, whether it is cold, and that it leaves.
void recordNotices(const EdgeHeaders &edge, Gate &gate, const StringResponse &response, TimePoint sentAt)
{
    const std::string_view named = header::text(response, edge.requestLimit);
    const auto rate = header::requestRate(named);
    if (rate || named.empty()) {
        recordLimitNotice(gate, {rate, sentAt}, Clock::now());
    }
    if (const auto left = header::coldLeft(response, edge.coldLeft)) {
        recordCold(gate, *left, ColdSource::Reading, Clock::now());
    }
    if (header::text(response, edge.leaving) == "1") {
        gate.saidItLeaves.store(true);
        gate.draining.store(true);
    }
}

/// When a request was dispatched, and the load at that time.
struct DispatchStart
{
    TimePoint at;
    std::int64_t running = 0; ///< Requests running on the backend server then, including this one.
    RouteKey route;
};

/// Whether something listens at the backend server's address, and goes on to.
asio::awaitable<bool> isListening(const Endpoint &endpoint)
{
    const auto connection = co_await openConnection(endpoint, deadlineAfter(Clock::now(), endCheckTimeout));
    if (!connection) {
        co_return false;
    }
    error_code error;
    std::array<char, 1> unread{};
    connection->stream.expires_after(endingTime);
    co_await connection->stream.async_read_some(asio::buffer(unread), into(error));
    if (error == beast::error::timeout || !error) {
        co_return true;
    }
    co_return co_await openConnection(endpoint, deadlineAfter(Clock::now(), endCheckTimeout)) != nullptr;
}

/// Tells a backend server process that has ended from one that only closed the connection: nothing listens at its address any more. One
/// that leaves ends as planned.
asio::awaitable<void> noteUnexpectedEnd(const Admitted &admitted, const BackendRequest &request, AttemptResult &result)
{
    Gate &gate = *admitted.slot.sharedGate();
    if (result.reason != Reason::ConnectionLost || gate.draining.load()) {
        co_return;
    }
    const bool listening = co_await isListening(admitted.endpoint);
    recordConnect(gate, listening);
    if (listening) {
        co_return;
    }
    result.reason = Reason::BackendEnded;
    result.end = recordEnd(gate);
    logDecision("backend-ended",
                {{"request_id", request.id.value},
                 {"backend", request.target.value},
                 {"end", static_cast<std::int64_t>(result.end.value)},
                 {"evidence", std::string("connection lost, and nothing listens")},
                 {"running", loadOf(gate).running}});
}

/// Records the service time and pace of an answered request, and returns its connection to the pool if it can be reused.
void recordAnswer(Worker &worker, const Admitted &admitted, std::unique_ptr<Connection> connection, const AttemptResult &result, const DispatchStart &started)
{
    const TimePoint end = Clock::now();
    if (countsAsServiceTime(static_cast<int>(result.response->result_int()))) {
        recordServiceTime(*admitted.slot.sharedGate(), {started.route, end - started.at, started.running}, end);
    }
    worker.metrics.backendTime(std::chrono::duration<double>(end - started.at).count());
    const auto pace = header::backendPace(header::text(*result.response, worker.node.edge.load));
    if (pace) {
        recordPace(*admitted.slot.sharedGate(), *pace, end);
    }
    keepBackendConnection(worker, admitted, std::move(connection), *result.response, end);
}

} // namespace

asio::awaitable<AttemptResult> dispatch(Worker &worker, Admitted &admitted, const BackendRequest &request, const StringRequest &message)
{
    BackendConnection backend = co_await connectBackend(worker, admitted, request.id, request.deadline);
    if (!backend.connection) {
        co_return notRun(backend.reason);
    }
    if (cancelled(request.cancellation)) {
        co_return notRun(Reason::CallerGone);
    }
    const DispatchStart started{Clock::now(), loadOf(admitted.slot.gate()).running, request.route};
    if (expired(request.deadline, started.at)) {
        co_return notRun(Reason::DeadlinePassed);
    }
    backend.connection->stream.expires_never();
    AttemptResult result = co_await exchange(worker.node, *backend.connection, request, message);
    if (!result.response) {
        co_await noteUnexpectedEnd(admitted, request, result);
        logDecision("answer-lost",
                    {{"request_id", request.id.value},
                     {"backend", request.target.value},
                     {"reason", std::string(wireName(result.reason))},
                     {"waited_us", inMicroseconds(Clock::now() - started.at).count()},
                     {"reused_connection", backend.connection->reused},
                     {"outcome", std::string(wireName(result.outcome))}});
        const auto executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, closeAbandoned(std::move(backend.connection), admitted.slot), logFailures("close-failed"));
        co_return result;
    }
    recordNotices(worker.node.edge, *admitted.slot.sharedGate(), *result.response, started.at);
    const Reason refusal = refusalReasonOf(worker.node.edge, *result.response);
    if (refusal != Reason::None) {
        recordRefusalOn(*backend.connection, request.id, worker.node.edge.echoesRequestId);
    }
    recordAnswer(worker, admitted, std::move(backend.connection), result, started);
    if (refusal != Reason::None) {
        co_return notRun(refusal);
    }
    co_return result;
}

} // namespace agatedoor
