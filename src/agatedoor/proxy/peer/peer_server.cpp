#include "peer_server.hpp"

#include "agatedoor/proxy/backend/backend_admission.hpp"
#include "agatedoor/proxy/body_reader.hpp"
#include "agatedoor/proxy/headers.hpp"
#include "agatedoor/proxy/in_flight.hpp"
#include "agatedoor/proxy/link_traffic.hpp"
#include "agatedoor/wire/peer_watch.hpp"

#include <algorithm>
#include <optional>

namespace agatedoor {

namespace {

constexpr std::uint32_t maxHeaderBytes = 32 * 1024;
constexpr std::int64_t maxBodyBytes = largestContentBytes(bodyMemory);
constexpr std::chrono::seconds idleTimeout{30};
constexpr std::chrono::seconds commitTimeout{1};
constexpr std::chrono::seconds terminatorTimeout{1};
constexpr std::string_view chunkTerminator = "0\r\n\r\n";

using Parser = http::request_parser<http::string_body>;

BackendRequest parseHead(const http::fields &fields, const EdgeHeaders &edge, TimePoint now)
{
    BackendRequest request;
    request.target = {std::string(header::text(fields, header::target))};
    request.id = {std::string(header::text(fields, header::requestId))};
    request.priority = priorityFromWire(header::text(fields, header::priority)).value_or(PriorityClass::Normal);
    request.customer = {std::string(header::text(fields, edge.customer))};
    request.route = {static_cast<std::uint64_t>(std::max<std::int64_t>(0, header::number(fields, header::route).value_or(0)))};
    request.deadline = deadlineAfter(now, header::timeLeft(fields).value_or(Duration::zero()));
    request.holdUntil = deadlineAfter(now, header::timeLeft(fields, header::hold, std::chrono::microseconds(1)).value_or(Duration::zero()));
    request.last = header::number(fields, header::last).value_or(0) != 0;
    request.spareOnly = header::number(fields, header::spareOnly).value_or(0) != 0;
    request.depth = header::number(fields, header::depth).value_or(0);
    request.rememberedLimit = static_cast<double>(std::max<std::int64_t>(0, header::number(fields, header::rememberedLimit).value_or(0))) / 1000;
    request.repeat = header::number(fields, header::repeat).value_or(0) != 0;
    return request;
}

/// Reason to refuse the request before admission, if there is one: it was meant for an earlier or later incarnation of
/// this node, or the node is leaving the fleet.
std::optional<Reason> refusalReason(const NodeState &node, const http::fields &fields)
{
    const auto incarnation = header::number(fields, header::incarnation);
    if (!incarnation || static_cast<std::uint64_t>(*incarnation) != node.incarnation.value) {
        return Reason::WrongIncarnation;
    }
    if (node.refusingPeers.load(std::memory_order_relaxed)) {
        return Reason::Stopping;
    }
    return std::nullopt;
}

StringResponse toResponse(AttemptResult result, const BackendRequest &request)
{
    StringResponse response;
    if (result.response) {
        response = std::move(*result.response);
        header::strip(response);
    } else {
        response.result(result.outcome == RunOutcome::NotRun ? http::status::service_unavailable : http::status::bad_gateway);
    }
    response.set(header::requestId, request.id.value);
    response.set(header::outcome, std::string(wireName(result.outcome)));
    response.set(header::reason, std::string(wireName(result.reason)));
    if (result.end.value != 0) {
        response.set(header::end, std::to_string(result.end.value));
    }
    if (result.returnAt) {
        response.set(header::returnIn, std::to_string(inMicroseconds(remaining(*result.returnAt, Clock::now())).count()));
    }
    if (result.load) {
        response.set(header::load, header::loadText(*result.load));
    }
    return response;
}

/// True when the response may carry a body, so that its length must be set again.
bool carriesBody(const StringResponse &response, bool headRequest)
{
    const auto status = response.result();
    return !headRequest && status != http::status::no_content && status != http::status::not_modified;
}

asio::awaitable<bool> sendAnswer(beast::tcp_stream &stream, StringResponse response, bool headRequest, bool keepAlive)
{
    error_code error;
    if (carriesBody(response, headRequest)) {
        response.prepare_payload();
    }
    response.keep_alive(keepAlive);
    stream.expires_after(idleTimeout);
    http::response_serializer<http::string_body> serializer(response);
    co_await http::async_write(stream, serializer, into(error));
    co_return !error && keepAlive;
}

asio::awaitable<bool> sendContinue(beast::tcp_stream &stream)
{
    error_code error;
    http::response<http::empty_body> message;
    message.result(http::status::continue_);
    co_await http::async_write(stream, message, into(error));
    co_return !error;
}

/// Reads the chunk terminator, the only thing that may follow a refused offer. False when anything else arrives.
asio::awaitable<bool> skipChunkTerminator(beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    error_code error;
    stream.expires_after(terminatorTimeout);
    while (buffer.size() < chunkTerminator.size()) {
        const auto space = buffer.prepare(chunkTerminator.size() - buffer.size());
        const std::size_t size = co_await stream.async_read_some(space, into(error));
        buffer.commit(size);
        if (error) {
            co_return false;
        }
    }
    const std::string_view start(static_cast<const char *>(buffer.data().data()), chunkTerminator.size());
    const bool terminated = start == chunkTerminator;
    buffer.consume(chunkTerminator.size());
    co_return terminated;
}

/// State of one request from another node.
struct PeerRequest
{
    PeerRequest(NodeState &node, beast::tcp_stream &peer, beast::flat_buffer &unread)
        : stream(peer)
        , buffer(unread)
        , bodyShare(node.bodyBytes, bodyMemory)
    {
    }

    beast::tcp_stream &stream;
    beast::flat_buffer &buffer;
    Parser parser;
    BackendRequest request;
    Cancellation cancellation;
    MemoryShare bodyShare;
    bool offered = false; ///< Sent with Expect: 100-continue, so the body follows only after acceptance.
};

/// Body size that the sender states: in the Content-Length field, or for an offered request, whose body is chunked, in one of its own.
std::int64_t declaredBodySize(const PeerRequest &peerRequest)
{
    const auto &fields = peerRequest.parser.get();
    const auto size = peerRequest.offered ? header::number(fields, header::bodySize) : header::number(fields, "Content-Length");
    return std::max<std::int64_t>(0, size.value_or(0));
}

asio::awaitable<BodyResult> readBodyUntil(PeerRequest &peerRequest, Deadline deadline)
{
    error_code error;
    peerRequest.stream.expires_at(deadline.at);
    co_return co_await readBody(peerRequest.stream, peerRequest.buffer, peerRequest.parser, peerRequest.bodyShare, {.maxBytes = maxBodyBytes}, error);
}

/// Reads the rest of the request, which commits it. False when it does not arrive; the request did not run then.
asio::awaitable<bool> readCommit(PeerRequest &peerRequest)
{
    if (peerRequest.parser.is_done()) {
        co_return true;
    }
    const Deadline deadline = earlier(peerRequest.request.deadline, deadlineAfter(Clock::now(), commitTimeout));
    co_return co_await readBodyUntil(peerRequest, deadline) == BodyResult::Whole;
}

/// Refuses a request that was not dispatched. True when the connection can carry another request, which needs a known
/// start of the next one.
asio::awaitable<bool> refuse(PeerRequest &peerRequest, Refusal refusal)
{
    const bool whole = peerRequest.parser.is_done();
    const bool terminatorFollows = !whole && peerRequest.offered && peerRequest.parser.chunked();
    AttemptResult result = notRun(refusal.reason);
    result.returnAt = refusal.returnAt;
    const StringResponse response = toResponse(std::move(result), peerRequest.request);
    const bool open = co_await sendAnswer(peerRequest.stream, response, false, whole || terminatorFollows);
    if (!open || whole) {
        co_return open;
    }
    co_return co_await skipChunkTerminator(peerRequest.stream, peerRequest.buffer);
}

/// Reads and parses the header; false on failure.
asio::awaitable<bool> readRequest(PeerRequest &peerRequest, const EdgeHeaders &edge)
{
    error_code error;
    peerRequest.parser.header_limit(maxHeaderBytes);
    peerRequest.parser.body_limit(maxBodyBytes);
    peerRequest.stream.expires_after(idleTimeout);
    co_await http::async_read_header(peerRequest.stream, peerRequest.buffer, peerRequest.parser, into(error));
    if (error) {
        co_return false;
    }
    peerRequest.request = parseHead(peerRequest.parser.get(), edge, Clock::now());
    peerRequest.request.cancellation = &peerRequest.cancellation;
    peerRequest.offered = beast::iequals(peerRequest.parser.get()[http::field::expect], "100-continue");
    co_return true;
}

/// Reads the body of a request that is not offered. This happens before admission, so that a slow link holds no slot.
asio::awaitable<BodyResult> readUnofferedBody(PeerRequest &peerRequest)
{
    if (peerRequest.offered || peerRequest.parser.is_done()) {
        co_return BodyResult::Whole;
    }
    co_return co_await readBodyUntil(peerRequest, peerRequest.request.deadline);
}

/// Serves one request; true when the connection can carry another request.
asio::awaitable<bool> serveOne(Worker &worker, beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    PeerRequest peerRequest(worker.node, stream, buffer);
    if (!co_await readRequest(peerRequest, worker.node.edge)) {
        co_return false;
    }
    const InFlight inFlight(worker.node);
    const TimePoint arrivedAt = Clock::now();
    ++worker.metrics.peerRequests;
    if (const auto reason = refusalReason(worker.node, peerRequest.parser.get())) {
        co_return co_await refuse(peerRequest, {*reason});
    }
    const std::int64_t bodySize = declaredBodySize(peerRequest);
    if (!peerRequest.bodyShare.fits(bodySize)) {
        co_return co_await refuse(peerRequest, {Reason::MemoryLimit});
    }
    const BodyResult body = co_await readUnofferedBody(peerRequest);
    if (body == BodyResult::NoMemory) {
        co_return co_await refuse(peerRequest, {Reason::MemoryLimit});
    }
    if (body == BodyResult::Failed) {
        co_return false;
    }
    PeerWatch watch(stream.socket(), [&peerRequest] { peerRequest.cancellation.request(); });
    watch.start();
    auto admission = co_await admit(worker, peerRequest.request);
    watch.stop();
    if (!admission->has_value()) {
        co_return co_await refuse(peerRequest, admission->error());
    }
    Admitted &admitted = admission->value();
    if (peerRequest.offered && !peerRequest.bodyShare.growTo(bodySize)) {
        co_return co_await refuse(peerRequest, {Reason::MemoryLimit});
    }
    stream.expires_after(commitTimeout);
    if (peerRequest.offered && !co_await sendContinue(stream)) {
        co_return false;
    }
    if (!co_await readCommit(peerRequest)) {
        countRefusal(*admitted.slot.sharedGate(), Reason::OfferTimeout);
        co_return false;
    }
    if (peerRequest.offered) {
        watch.start();
        const Reason refused = co_await admitBody(worker, admitted, peerRequest.request);
        watch.stop();
        if (refused != Reason::None) {
            co_return co_await refuse(peerRequest, {refused});
        }
    }
    const bool headRequest = peerRequest.parser.get().method() == http::verb::head;
    const StringRequest message = peerRequest.parser.release();
    watch.start();
    AttemptResult result = co_await dispatch(worker, admitted, peerRequest.request, message);
    watch.stop();
    result.load = reportOf(admitted.slot.gate());
    const TimePoint answeredAt = Clock::now();
    result.load->timeAtOwner = answeredAt - arrivedAt;
    if (!reserveLoadReport(worker, *result.load, answeredAt)) {
        result.load.reset();
    }
    admission.reset();
    co_return co_await sendAnswer(stream, toResponse(std::move(result), peerRequest.request), headRequest, true);
}

} // namespace

asio::awaitable<void> servePeer(Worker &worker, tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer(maxUnparsedBytes);
    bool open = true;
    while (open) {
        open = co_await serveOne(worker, stream, buffer);
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace agatedoor
