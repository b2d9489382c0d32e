#include "backend_connection.hpp"

#include "agatedoor/proxy/headers.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr std::chrono::milliseconds backendConnectTimeout{500};
constexpr std::size_t maxRefusals = 16; ///< A connection with more is closed, so that the list stays short.

bool wasRefusedOn(const Connection &connection, const RequestId &id)
{
    return std::find(connection.refused.begin(), connection.refused.end(), id) != connection.refused.end();
}

/// Idle connection whose lease belongs to the current gate. Closes those of an earlier gate at the same address, and those on which
/// the request was refused before.
std::unique_ptr<Connection> takeIdle(Worker &worker, const Admitted &admitted, const RequestId &id)
{
    for (;;) {
        auto connection = worker.backends.take(admitted.endpoint, Clock::now());
        if (!connection) {
            return nullptr;
        }
        if (connection->lease && connection->lease->belongsTo(admitted.slot.gate()) && !wasRefusedOn(*connection, id)) {
            connection->lease->markBusy();
            return connection;
        }
    }
}

/// Time until which the idle connection may be reused: four fifths of the backend server's Keep-Alive timeout, so that a
/// request in transit arrives before the server closes the connection.
Deadline reuseDeadline(const StringResponse &response, TimePoint now)
{
    const auto timeout = header::keepAliveTimeout(response);
    return deadlineAfter(now, timeout ? *timeout * 4 / 5 : Duration(defaultIdleTimeout));
}

} // namespace

asio::awaitable<BackendConnection> connectBackend(Worker &worker, const Admitted &admitted, const RequestId &id, Deadline deadline)
{
    BackendConnection result;
    result.connection = takeIdle(worker, admitted, id);
    if (result.connection) {
        co_return result;
    }
    auto lease = ConnectionLease::take(admitted.slot.sharedGate());
    if (!lease) {
        result.reason = Reason::ConnectionLimit;
        co_return result;
    }
    const Deadline connectBy = earlier(deadline, deadlineAfter(Clock::now(), backendConnectTimeout));
    result.connection = co_await openConnection(admitted.endpoint, connectBy);
    if (!result.connection) {
        result.reason = expired(deadline, Clock::now()) ? Reason::DeadlinePassed : Reason::ConnectFailed;
    } else {
        result.connection->lease = std::move(lease);
    }
    if (result.reason != Reason::DeadlinePassed) {
        recordConnect(*admitted.slot.sharedGate(), result.connection != nullptr);
    }
    co_return result;
}

void recordRefusalOn(Connection &connection, const RequestId &id, bool answersNameTheirRequest)
{
    connection.unusable = connection.unusable || !answersNameTheirRequest || connection.refused.size() >= maxRefusals;
    connection.refused.push_back(id);
}

void keepBackendConnection(Worker &worker, const Admitted &admitted, std::unique_ptr<Connection> connection, const StringResponse &response, TimePoint now)
{
    if (response.keep_alive() && !connection->unusable && connection->lease->markIdle()) {
        worker.backends.keep(admitted.endpoint, std::move(connection), now, reuseDeadline(response, now));
    }
}

} // namespace agatedoor
