#pragma once

#include "agatedoor/decide/attempt_signal.hpp"
#include "agatedoor/state/backend_stats.hpp"

#include <optional>

/// @brief Updates the statistics of a backend server from the results of attempts.
namespace agatedoor {

/// @brief Result of one attempt.
struct EndedAttempt
{
    AttemptEnd end;
    std::optional<LoadReport> load; ///< Load report of the owning node, if one came.
    Incarnation incarnation; ///< Incarnation of the owning node that the attempt was sent to.
    Duration pathDelay{0}; ///< Expected round trip to the owning node.
};

/// @brief Removes an ended attempt from those in flight and updates the statistics.
/// The service time reported with a rejection is ignored, because rejections are faster than real answers.
void recordAttempt(BackendStats &stats, const EndedAttempt &attempt, const EjectionOptions &options, TimePoint now);

/// @brief Copies the statistics for a routing decision at @p now; members that come from the fleet view keep their defaults.
Candidate candidateOf(const BackendStats &stats, const EjectionOptions &options, TimePoint now);

} // namespace agatedoor
