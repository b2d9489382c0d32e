#pragma once

#include "agatedoor/proxy/request_context.hpp"

/// @brief Lets a refused request through as a trial, and learns from what becomes of it.
namespace agatedoor {

/// @brief Whether the request, which is to be refused, may be sent as a trial. Waits for the store if a trial is due.
asio::awaitable<bool> beginTrial(RequestContext &context);

/// @brief Settles the trial of the request, if it is one, once its result is known.
void endTrial(RequestContext &context);

} // namespace agatedoor
