#pragma once

#include "agatedoor/proxy/peer/peer_client.hpp"
#include "agatedoor/proxy/request_context.hpp"

/// @brief Runs one attempt of a request, on this node or through the node that owns the backend server.
namespace agatedoor {

/// @brief How an attempt is made.
struct AttemptOptions
{
    bool repeat = false; ///< The attempt is a retry or hedge, made by this node or by one earlier in the call chain.
    bool spareOnly = false; ///< It is refused unless a slot is free and the VM isn't slow.
    ConnectionChoice connection = ConnectionChoice::Any; ///< For a backend server of another node.
};

/// @brief Runs the request on @p entry and records the result in its statistics, unless the attempt was cancelled.
asio::awaitable<AttemptResult> runAttempt(RequestContext &context, const BackendEntry &entry, AttemptOptions options);

} // namespace agatedoor
