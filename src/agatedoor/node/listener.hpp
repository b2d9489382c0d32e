#pragma once

#include "agatedoor/base/endpoint.hpp"
#include "agatedoor/proxy/http_types.hpp"

#include <functional>
#include <optional>

/// @brief Listening sockets of a node.
namespace agatedoor {

/// @brief Event loop that a connection belongs to, and what serves it there.
struct ConnectionTarget
{
    asio::io_context *loop = nullptr;
    std::function<void(tcp::socket)> serve;
};

/// @brief Target that runs @p serve for each connection as a coroutine of @p loop. An error that leaves the coroutine is logged and ends that
/// connection only.
ConnectionTarget servedOn(asio::io_context &loop, std::function<asio::awaitable<void>(tcp::socket)> serve);

/// @brief A listening socket and what becomes of its connections. Used by one thread.
struct Listener
{
    tcp::acceptor acceptor;
    std::function<ConnectionTarget()> nextTarget; ///< Chooses for each connection before it is accepted.
};

/// @brief Opens a listening socket; none when the address can't be bound.
std::optional<tcp::acceptor> listen(asio::io_context &context, const Endpoint &endpoint);

/// @brief Accepts connections until the listener is closed. An accept that fails, as for lack of descriptors, is tried again after a pause.
asio::awaitable<void> acceptLoop(Listener &listener);

/// @brief Closes the listening socket, after accepting what its queue holds: a caller may have sent its request already, and
/// closing the queue would reset the connection without an answer.
void closeListener(Listener &listener);

} // namespace agatedoor
