#include "pace_reading.hpp"

#include "agatedoor/proxy/headers.hpp"
#include "agatedoor/proxy/response_reader.hpp"
#include "agatedoor/state/gate_cold.hpp"
#include "agatedoor/state/gate_request_limit.hpp"
#include "backend_connection.hpp"

#include <boost/asio/steady_timer.hpp>

namespace agatedoor {

namespace {

constexpr PaceOptions paceOptions{};
constexpr std::chrono::milliseconds coldReadInterval{100}; ///< Between readings of a backend server that may turn cold.
constexpr std::chrono::milliseconds readingTimeout{50}; ///< Short, because the health path responds at once.
constexpr std::uint64_t maxReadingBytes = 16UL * 1024; ///< Of a response's body, which says nothing that is read.

/// What the bundle tells of the readings of a service.
struct ReadingOptions
{
    std::string path; ///< Health path; empty when it has none.
    bool mayBeCold = false; ///< A backend server may turn cold at any time, and then bears few requests.
};

ReadingOptions readingOptionsOf(const Worker &worker, const ServiceName &service)
{
    const auto inForce = worker.node.bundles.current();
    const Service *known = findService(inForce->bundle, service);
    return known == nullptr ? ReadingOptions{} : ReadingOptions{known->healthPath, known->coldRate > 0};
}

/// Reads the pace from the health path; false when no response states it.
asio::awaitable<bool> readPace(Worker &worker, const Admitted &admitted, const std::string &path)
{
    Gate &gate = *admitted.slot.sharedGate();
    takePaceProbe(gate, Clock::now());
    gate.healthAskedAt.store(Clock::now());
    const Deadline deadline = deadlineAfter(Clock::now(), readingTimeout);
    const RequestId none; // A reading has no id.
    BackendConnection backend = co_await connectBackend(worker, admitted, none, deadline);
    if (!backend.connection) {
        co_return false;
    }
    http::request<http::empty_body> request(http::verb::get, path, 11);
    request.set(http::field::host, toText(admitted.endpoint));
    error_code error;
    backend.connection->stream.expires_at(deadline.at);
    co_await http::async_write(backend.connection->stream, request, into(error));
    ResponseParser parser;
    parser.body_limit(maxReadingBytes);
    if (!error) {
        co_await http::async_read(backend.connection->stream, backend.connection->buffer, parser, into(error));
    }
    if (error || isInformational(parser.get())) {
        co_return false;
    }
    const TimePoint now = Clock::now();
    const auto pace = header::backendPace(header::text(parser.get(), worker.node.edge.load));
    if (pace) {
        recordPace(gate, *pace, now);
    }
    if (const auto left = header::coldLeft(parser.get(), worker.node.edge.coldLeft)) {
        recordCold(gate, *left, ColdSource::Reading, now);
    }
    keepBackendConnection(worker, admitted, std::move(backend.connection), parser.get(), now);
    co_return pace.has_value();
}

/// Answers tell the pace, so that it isn't read while there are many, but not whether the backend server has turned cold.
bool coldMustBeRead(Gate &gate, TimePoint now)
{
    return now - gate.healthAskedAt.load() > coldReadInterval && paceProbeAvailable(gate, now) && !requestsLimited(gate);
}

asio::awaitable<void> waitForRecheck(const BackendRequest &request)
{
    error_code ignored;
    asio::steady_timer timer(co_await asio::this_coro::executor, paceOptions.recheckInterval);
    const CancelHook hook(request.cancellation, [&timer] { timer.cancel(); });
    co_await timer.async_wait(into(ignored));
}

PaceContext viewOf(Gate &gate, const BackendRequest &request, TimePoint now)
{
    PaceContext view;
    view.pace = paceOf(gate);
    view.probeAllowed = paceProbeAvailable(gate, now) && !requestsLimited(gate); // A probe is a request to the backend server too.
    view.holdUntil = request.holdUntil;
    view.deadline = request.deadline;
    view.serviceTime = serviceTimeOf(gate, request.route);
    view.last = request.last;
    return view;
}

} // namespace

asio::awaitable<Reason> awaitPace(Worker &worker, const Admitted &admitted, const BackendRequest &request)
{
    Gate &gate = *admitted.slot.sharedGate();
    const ReadingOptions reading = readingOptionsOf(worker, admitted.service);
    const std::string &path = reading.path;
    if (reading.mayBeCold && !path.empty() && coldMustBeRead(gate, Clock::now())) {
        co_await readPace(worker, admitted, path);
    }
    if (path.empty() || gate.pacePercent.load(std::memory_order_relaxed) == 0) {
        co_return Reason::None;
    }
    for (;;) {
        if (cancelled(request.cancellation)) {
            co_return Reason::CallerGone;
        }
        const TimePoint now = Clock::now();
        switch (decidePace(viewOf(gate, request, now), paceOptions, now)) {
        case PaceVerdict::Start:
            co_return Reason::None;
        case PaceVerdict::Refuse:
            co_return Reason::BackendSlow;
        case PaceVerdict::Hold:
            co_await waitForRecheck(request);
            break;
        case PaceVerdict::Read:
            if (!co_await readPace(worker, admitted, path)) {
                co_return Reason::None;
            }
            break;
        }
    }
}

} // namespace agatedoor
