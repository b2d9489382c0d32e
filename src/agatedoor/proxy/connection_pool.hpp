#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "agatedoor/base/ids.hpp"
#include "agatedoor/base/time.hpp"
#include "agatedoor/state/connection_lease.hpp"
#include "http_types.hpp"

#include <map>
#include <memory>
#include <vector>

/// @brief Pool of outgoing connections of one request thread.
namespace agatedoor {

/// @brief Connection with its read buffer.
struct Connection
{
    explicit Connection(const asio::any_io_executor &executor)
        : stream(executor)
    {
    }

    std::unique_ptr<ConnectionLease>
        lease; ///< Only for connections to backend servers. Declared before the stream, so that it is released after the stream closes.
    beast::tcp_stream stream;
    beast::flat_buffer buffer{maxUnparsedBytes};
    bool reused = false; ///< Taken from the pool, so the other end may have become unreachable unnoticed.
    bool unusable = false; ///< A write failed, or a response to another request was received; not to be reused.
    /// Requests that the backend server refused on it. None of them is sent on it again: a repeated refusal couldn't be told from the answer.
    std::vector<RequestId> refused;
    TimePoint verifiedAt; ///< When the connection last returned to the pool after a complete response; the epoch when it must be verified again.
};

/// @brief Time for which an idle connection may be reused when the other end states no Keep-Alive timeout.
inline constexpr std::chrono::seconds defaultIdleTimeout{5};

/// @brief Idle connections by address. Not thread-safe.
class ConnectionPool
{
public:
    /// @brief Takes the most recently used idle connection that the other end has not visibly closed, or null.
    std::unique_ptr<Connection> take(const Endpoint &endpoint, TimePoint now);
    /// @brief Returns a connection to the pool; closes it when it has unread input or the pool for @p endpoint is full.
    /// @param reusableUntil deadline after which the other end may close the connection
    void keep(const Endpoint &endpoint, std::unique_ptr<Connection> connection, TimePoint now, Deadline reusableUntil);
    /// @brief Closes all idle connections to @p endpoint, after one of them was found dead.
    void drop(const Endpoint &endpoint);
    /// @brief Marks all idle connections to @p endpoint as unverified, after a request on one of them was cancelled without a
    /// byte received.
    void markUnverified(const Endpoint &endpoint);
    /// @brief Closes connections whose reuse deadline has passed.
    void prune(TimePoint now);
    /// @brief Number of idle connections to all addresses.
    std::size_t idleCount() const;

private:
    struct Idle
    {
        std::unique_ptr<Connection> connection;
        Deadline reusableUntil;
    };
    std::map<Endpoint, std::vector<Idle>> m_idle;
};

/// @brief Opens a connection; null on failure or when @p deadline passes.
asio::awaitable<std::unique_ptr<Connection>> openConnection(const Endpoint &endpoint, Deadline deadline);

/// @brief Takes an idle connection or opens one; null on failure or when @p deadline passes.
asio::awaitable<std::unique_ptr<Connection>> takeOrOpen(ConnectionPool &pool, const Endpoint &endpoint, Deadline deadline);

} // namespace agatedoor
