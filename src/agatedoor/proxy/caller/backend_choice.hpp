#pragma once

#include "agatedoor/proxy/request_context.hpp"

#include <vector>

/// @brief Chooses a backend server from the fleet view and records the attempts made on it.
namespace agatedoor {

/// @brief Backend server for the next attempt, or null when there is no eligible one.
/// @param tried backend servers of earlier attempts, which are excluded
const BackendEntry *chooseEntry(RequestContext &context, const FleetView &fleet, const std::vector<BackendId> &tried);

/// @brief Counts an attempt as in progress and returns its start time.
TimePoint beginAttempt(const BackendEntry &entry);

/// @brief Ends an attempt that beginAttempt() started at @p startedAt, and updates the backend server's statistics, the
/// link traffic and the path delay with its result.
void endAttempt(RequestContext &context, const BackendEntry &entry, TimePoint startedAt, const AttemptResult &result);

/// @brief Ends an attempt that was cancelled before its response arrived.
void abandonAttempt(const BackendEntry &entry, TimePoint startedAt);

} // namespace agatedoor
