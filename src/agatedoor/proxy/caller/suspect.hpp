#pragma once

#include "agatedoor/proxy/request_context.hpp"

/// @brief What is known of a request's part in unexpected ends of backend servers.
namespace agatedoor {

/// @brief Computes the content of a request, unless it is known, if some request beside an end may be the same one.
void recognizeContent(RequestContext &context);

/// @brief Number of ends that count for the request; 0 unless it was recognized.
int endsBeside(const RequestContext &context);

/// @brief Whether the answer shows that the request doesn't end the backend server that runs it. A server error doesn't: a backend server that
/// fails may not have begun to run it.
bool acquits(const AttemptResult &result);

/// @brief Learns from one attempt: that a backend server ended meanwhile, or answered.
void learnFromAttempt(RequestContext &context, const AttemptResult &result);

} // namespace agatedoor
