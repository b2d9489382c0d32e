#pragma once

#include "agatedoor/proxy/request_context.hpp"

/// @brief Log line and metrics of a caller's request that has ended.
namespace agatedoor {

/// @brief Counts the request by its outcome and writes its log line.
void recordRequest(RequestContext &context);

} // namespace agatedoor
