#pragma once

#include "agatedoor/proxy/request_context.hpp"

/// @brief Last filter of the chain: chooses backend servers, sends the request, and retries or hedges it where allowed.
namespace agatedoor {

/// @brief Runs the attempts of a request and stores the outcome in the context's result.
asio::awaitable<void> forward(RequestContext &context);

} // namespace agatedoor
