#pragma once

#include "backend_admission.hpp"

/// @brief Builds the message that forwards a request to another node or to a backend server.
namespace agatedoor {

/// @brief Copy of the header of @p message without hop-by-hop and Agatedoor- fields, with the request's id, depth and time
/// left. The result refers to the body of @p message, which must outlive it. The sender sets the body's framing.
SpanRequest outgoingRequest(const BackendRequest &request, const StringRequest &message, TimePoint now);

} // namespace agatedoor
