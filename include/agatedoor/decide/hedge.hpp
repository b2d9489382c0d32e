#pragma once

#include "agatedoor/base/time.hpp"

#include <optional>

/// @brief Request hedging: when an idempotent request without an answer is also sent to a second backend server.
///
/// Answers the pattern of hedges that amplify an overload, or that use up the retry budget on requests that are merely a little late:
/// a hedge after the tail is optional, and takes only slots and tokens that nothing else needs.
namespace agatedoor {

/// @brief State of a request whose first attempt is in progress.
struct HedgeContext
{
    bool idempotent = false;
    bool repeat = false; ///< The request is itself a retry or hedge by the caller or a node before this one.
    int attempts = 0; ///< Attempts that may have reached a backend server, including those in progress.
    bool hedged = false; ///< A hedge was due already, whether it was started or found no token.
    TimePoint startedAt; ///< Start of the latest attempt in progress, or when a hedge was last due.
    Deadline deadline; ///< The caller's deadline.
    Duration tail{0}; ///< High quantile of the route's response time; 0 when unknown.
};

/// @brief Limits of hedging.
struct HedgeOptions
{
    int maxAttempts = 3;
    Duration minDelay = std::chrono::milliseconds(2);
    int deadlineDivisor = 4; ///< The delay is at most the time to the deadline divided by this.
};

/// @brief A hedge that is due later.
struct PlannedHedge
{
    Deadline startAt; ///< It starts if there is no answer by then.
    bool optional = false; ///< The attempts in progress will probably be answered, so it takes only a spare slot and a spare token.
};

/// @brief The next hedge; none when the request must not be hedged.
/// The delay is the tail, or the largest allowed delay while the tail is unknown. A further hedge always waits for that delay: two
/// late attempts are more likely slow than lost, and it is meant for connections that went silent under both. So does a hedge that
/// found no token: the budget may have one by then. There is none where less than the smallest delay is left to wait.
std::optional<PlannedHedge> planHedge(const HedgeContext &view, const HedgeOptions &options);

} // namespace agatedoor
