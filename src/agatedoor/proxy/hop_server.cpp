#include "hop_server.hpp"

#include "agatedoor/wire/peer_watch.hpp"
#include "body_reservation.hpp"
#include "headers.hpp"
#include "in_flight.hpp"
#include "link_traffic.hpp"
#include "owner.hpp"

#include <optional>

namespace agatedoor {

namespace {

constexpr std::uint32_t maxHeaderBytes = 32 * 1024;
constexpr std::uint64_t maxBodyBytes = 8ULL * 1024 * 1024;
constexpr std::chrono::seconds idleTimeout{30};
constexpr std::chrono::seconds commitTimeout{1};
constexpr std::chrono::seconds terminatorTimeout{1};
constexpr std::string_view chunkTerminator = "0\r\n\r\n";

using Parser = http::request_parser<http::string_body>;

OwnerRequest readHead(const http::fields &fields, TimePoint now)
{
    OwnerRequest request;
    request.target = {std::string(header::text(fields, header::target))};
    request.id = {std::string(header::text(fields, header::requestId))};
    request.priority = priorityFromWire(header::text(fields, header::priority)).value_or(PriorityClass::Normal);
    request.deadline = deadlineAfter(now, header::timeLeft(fields).value_or(Duration::zero()));
    request.holdUntil = deadlineAfter(now, header::timeLeft(fields, header::hold, std::chrono::microseconds(1)).value_or(Duration::zero()));
    request.last = header::number(fields, header::last).value_or(0) != 0;
    request.depth = header::number(fields, header::depth).value_or(0);
    request.repeat = header::number(fields, header::repeat).value_or(0) != 0;
    return request;
}

/// Reason to refuse before admission, if there is one.
std::optional<Reason> fence(const NodeState &node, const http::fields &fields)
{
    const auto incarnation = header::number(fields, header::incarnation);
    if (!incarnation || static_cast<std::uint64_t>(*incarnation) != node.incarnation.value) {
        return Reason::WrongIncarnation;
    }
    if (node.leaving.load(std::memory_order_relaxed)) {
        return Reason::Stopping;
    }
    return std::nullopt;
}

StringResponse toResponse(AttemptResult result, const OwnerRequest &request)
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
    if (result.load) {
        response.set(header::load, header::loadText(*result.load));
    }
    return response;
}

/// Whether the answer may carry a body, so that its length must be stated anew.
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

/// The commit: the rest of the request arrives. False when it doesn't, and then nothing ran.
asio::awaitable<bool> readCommit(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser, Deadline deadline)
{
    error_code error;
    if (parser.is_done()) {
        co_return true;
    }
    stream.expires_at(earlier(deadline, deadlineAfter(Clock::now(), commitTimeout)).at);
    co_await http::async_read(stream, buffer, parser, into(error));
    co_return !error;
}

/// Takes the chunk terminator, all that may follow a refused offer. False when anything else comes.
asio::awaitable<bool> skipTerminator(beast::tcp_stream &stream, beast::flat_buffer &buffer)
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

/// One request of another node.
struct Handover
{
    Handover(beast::tcp_stream &peer, beast::flat_buffer &unread)
        : stream(peer)
        , buffer(unread)
    {
    }

    beast::tcp_stream &stream;
    beast::flat_buffer &buffer;
    Parser parser;
    OwnerRequest request;
    Cancellation cancellation;
    bool offered = false;
};

/// Size of a body that is announced by its length; 0 for an offered one, whose length is not known yet.
std::int64_t announcedBody(const Parser &parser)
{
    return header::number(parser.get(), "Content-Length").value_or(0);
}

/// Refuses before anything was dispatched. The connection stays usable when its next bytes are known to be a request.
asio::awaitable<bool> refuse(Handover &handover, Reason reason)
{
    const bool whole = handover.parser.is_done();
    const bool terminatorFollows = !whole && handover.offered && handover.parser.chunked();
    const StringResponse response = toResponse(notRun(reason), handover.request);
    const bool open = co_await sendAnswer(handover.stream, response, false, whole || terminatorFollows);
    if (!open || whole) {
        co_return open;
    }
    co_return co_await skipTerminator(handover.stream, handover.buffer);
}

/// Reads the head; false when there is none.
asio::awaitable<bool> readRequest(Handover &handover)
{
    error_code error;
    handover.parser.header_limit(maxHeaderBytes);
    handover.parser.body_limit(maxBodyBytes);
    handover.stream.expires_after(idleTimeout);
    co_await http::async_read_header(handover.stream, handover.buffer, handover.parser, into(error));
    if (error) {
        co_return false;
    }
    handover.request = readHead(handover.parser.get(), Clock::now());
    handover.request.cancellation = &handover.cancellation;
    handover.offered = beast::iequals(handover.parser.get()[http::field::expect], "100-continue");
    co_return true;
}

/// Reads the rest of a request that isn't offered before it asks for a slot, so that a slow link holds none.
asio::awaitable<bool> readWhole(Handover &handover)
{
    error_code error;
    if (handover.offered || handover.parser.is_done()) {
        co_return true;
    }
    handover.stream.expires_at(handover.request.deadline.at);
    co_await http::async_read(handover.stream, handover.buffer, handover.parser, into(error));
    co_return !error;
}

/// Serves one request; true when the connection can carry another.
asio::awaitable<bool> serveOne(Worker &worker, beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    Handover handover(stream, buffer);
    if (!co_await readRequest(handover)) {
        co_return false;
    }
    const InFlight counted(worker.node);
    const TimePoint arrivedAt = Clock::now();
    ++worker.metrics.hopRequests;
    if (const auto reason = fence(worker.node, handover.parser.get())) {
        co_return co_await refuse(handover, *reason);
    }
    const BodyReservation reservation(worker.node, announcedBody(handover.parser));
    if (!reservation.granted()) {
        co_return co_await refuse(handover, Reason::MemoryLimit);
    }
    if (!co_await readWhole(handover)) {
        co_return false;
    }
    PeerWatch watch(stream.socket(), [&handover] { handover.cancellation.request(); });
    watch.start();
    auto admission = co_await admit(worker, handover.request);
    watch.stop();
    if (!admission->has_value()) {
        co_return co_await refuse(handover, admission->error());
    }
    Admitted &admitted = admission->value();
    stream.expires_after(commitTimeout);
    if (handover.offered && !co_await sendContinue(stream)) {
        co_return false;
    }
    if (!co_await readCommit(stream, buffer, handover.parser, handover.request.deadline)) {
        countRefusal(*admitted.hold.sharedGate(), Reason::OfferTimeout);
        co_return false;
    }
    if (handover.offered) {
        watch.start();
        const Reason refused = co_await admitBody(worker, admitted, handover.request);
        watch.stop();
        if (refused != Reason::None) {
            co_return co_await refuse(handover, refused);
        }
    }
    const bool headRequest = handover.parser.get().method() == http::verb::head;
    const StringRequest message = handover.parser.release();
    watch.start();
    AttemptResult result = co_await dispatch(worker, admitted, handover.request, message);
    watch.stop();
    result.load = reportOf(admitted.hold.gate());
    const TimePoint answeredAt = Clock::now();
    result.load->atOwner = answeredAt - arrivedAt;
    if (!mayReport(worker, *result.load, answeredAt)) {
        result.load.reset();
    }
    admission.reset();
    co_return co_await sendAnswer(stream, toResponse(std::move(result), handover.request), headRequest, true);
}

} // namespace

asio::awaitable<void> servePeer(Worker &worker, tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        open = co_await serveOne(worker, stream, buffer);
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace agatedoor
