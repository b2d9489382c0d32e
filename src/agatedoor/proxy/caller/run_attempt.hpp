#pragma once

#include "agatedoor/proxy/peer/peer_client.hpp"
#include "agatedoor/proxy/request_context.hpp"

/// @brief Runs one attempt of a request, on this node or through the node that owns the backend server.
namespace agatedoor {

/// @brief Runs the request on @p entry and records the result in its statistics, unless the attempt was cancelled.
/// @param repeat the attempt is a retry or hedge, made by this node or by one earlier in the call chain
asio::awaitable<AttemptResult> runAttempt(RequestContext &context, const BackendEntry &entry, bool repeat, ConnectionChoice choice);

} // namespace agatedoor
