#pragma once

#include "agatedoor/proxy/request_context.hpp"

/// @brief Builds the response that a caller receives.
namespace agatedoor {

/// @brief The backend server's response with agatedoor's header fields added; without one, an error response that states
/// outcome and reason. Moves the response out of @p context.
StringResponse callerAnswer(RequestContext &context);

/// @brief HTTP status of an error response.
http::status statusFor(RunOutcome outcome, Reason reason);

} // namespace agatedoor
