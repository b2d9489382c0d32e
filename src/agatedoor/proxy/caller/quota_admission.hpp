#pragma once

#include "agatedoor/proxy/request_context.hpp"

/// @brief Keeps the requests of a customer within its quota over the whole fleet.
namespace agatedoor {

/// @brief Takes a token of the customer's quota, and waits a moment for one if the granter has to be asked.
/// @return Reason::None, or why the request is refused
asio::awaitable<Reason> takeFromQuota(RequestContext &context);

/// @brief Gives the token back when the request did not run.
void settleQuota(RequestContext &context);

} // namespace agatedoor
