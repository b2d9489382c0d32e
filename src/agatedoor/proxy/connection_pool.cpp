#include "connection_pool.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace agatedoor {

namespace {

constexpr std::size_t idlePerEndpoint = 64;

/// True when the connection is open and has no unread input. Input on an idle HTTP connection is unsolicited, so such a
/// connection is not reused.
bool isOpenAndIdle(Connection &connection)
{
    char byte = 0;
    const auto size = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::unique_ptr<Connection> ConnectionPool::take(const Endpoint &endpoint, TimePoint now)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &idle = found->second;
    while (!idle.empty()) {
        Idle last = std::move(idle.back());
        idle.pop_back();
        if (!expired(last.reusableUntil, now) && isOpenAndIdle(*last.connection)) {
            last.connection->reused = true;
            return std::move(last.connection);
        }
    }
    return nullptr;
}

void ConnectionPool::keep(const Endpoint &endpoint, std::unique_ptr<Connection> connection, TimePoint now, Deadline reusableUntil)
{
    auto &idle = m_idle[endpoint];
    if (connection->buffer.size() == 0 && idle.size() < idlePerEndpoint) {
        connection->stream.expires_never();
        connection->verifiedAt = now;
        idle.push_back({std::move(connection), reusableUntil});
    }
}

void ConnectionPool::drop(const Endpoint &endpoint)
{
    m_idle.erase(endpoint);
}

void ConnectionPool::markUnverified(const Endpoint &endpoint)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end()) {
        return;
    }
    for (auto &idle : found->second) {
        idle.connection->verifiedAt = TimePoint{};
    }
}

void ConnectionPool::prune(TimePoint now)
{
    for (auto &[endpoint, idle] : m_idle) {
        std::erase_if(idle, [now](const Idle &entry) { return expired(entry.reusableUntil, now); });
    }
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

std::size_t ConnectionPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[endpoint, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

asio::awaitable<std::unique_ptr<Connection>> openConnection(const Endpoint &endpoint, Deadline deadline)
{
    error_code error;
    auto connection = std::make_unique<Connection>(co_await asio::this_coro::executor);
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        co_return nullptr;
    }
    connection->stream.expires_at(deadline.at);
    const tcp::endpoint target(address, endpoint.port);
    co_await connection->stream.async_connect(target, into(error));
    if (error) {
        co_return nullptr;
    }
    connection->stream.socket().set_option(tcp::no_delay(true), error);
    co_return connection;
}

asio::awaitable<std::unique_ptr<Connection>> takeOrOpen(ConnectionPool &pool, const Endpoint &endpoint, Deadline deadline)
{
    auto connection = pool.take(endpoint, Clock::now());
    if (connection) {
        co_return connection;
    }
    co_return co_await openConnection(endpoint, deadline);
}

} // namespace agatedoor
