#pragma once

#include "agatedoor/base/time.hpp"
#include "agatedoor/decide/retry_budget.hpp"

#include <optional>

/// @brief Extra attempts against slow answers: when an idempotent request whose answer is late is also sent to another backend server.
///
/// Answers the pattern of a few slow answers among many quick ones, on backend servers that are slow for a moment. First attempts earn the
/// tokens of extra attempts, in the share that the operator sets. An extra attempt also takes a token of the retry budget, so the bound on
/// repeats holds for both together, and none is made while room is scarce.
namespace agatedoor {

/// @brief State of a request whose first attempt is in progress.
struct LateRequest
{
    bool idempotent = false;
    bool repeat = false; ///< The request arrived as a retry, hedge or extra attempt.
    int attempts = 0; ///< Attempts that may have reached a backend server, including those in progress.
    int maxAttempts = 0; ///< Limit of the request's route.
    int endsBeside = 0; ///< Unexpected ends of backend servers beside which the request stood.
    TimePoint startedAt; ///< Start of the attempt in progress.
    Deadline deadline; ///< The caller's deadline.
    Duration tail{0}; ///< High quantile of the route's response time; 0 when unknown.
};

/// @brief Limits of extra attempts.
struct ExtraAttemptOptions
{
    double share = 0; ///< Extra attempts for each first attempt; 0 makes none.
    double burst = 4; ///< Largest number of tokens held.
    Duration minDelay = std::chrono::milliseconds(2);
    Duration scarceTime = std::chrono::seconds(1); ///< Time for which room counts as scarce after a refusal.
};

/// @brief Tokens for one service, and what is known of its room, on one request thread.
struct ExtraAttemptBudget
{
    double tokens = 0;
    TimePoint refusedAt; ///< Latest refusal for load or of an extra attempt; the epoch when there was none.
};

/// @brief Whether an extra attempt that is due is made.
enum class ExtraAttemptVerdict {
    Make,
    RoomScarce,
    NoToken, ///< First attempts haven't earned one yet.
    NoRetryToken, ///< The retry budget has none to spare.
};

/// @brief Adds the share of a request that arrives as a first attempt.
void recordFirstAttempt(ExtraAttemptBudget &budget, const ExtraAttemptOptions &options);

/// @brief Records that the service refused an attempt for want of room.
void recordRefusal(ExtraAttemptBudget &budget, TimePoint now);

/// @brief When the extra attempt of a request is due, unless there is an answer by then; none when it gets none.
/// There is only one for a request, and none when the usual time of an answer isn't left after it.
std::optional<Deadline> planExtraAttempt(const LateRequest &request, const ExtraAttemptOptions &options);

/// @brief Decides on an extra attempt that is due. Takes no token.
ExtraAttemptVerdict decideExtraAttempt(const ExtraAttemptBudget &budget, const ExtraAttemptOptions &options, const RetryBudget &retries,
                                       const RetryBudgetOptions &retryOptions, TimePoint now);

/// @brief Takes the tokens of an extra attempt for which @ref decideExtraAttempt returned Make.
void takeTokens(ExtraAttemptBudget &budget, RetryBudget &retries, const RetryBudgetOptions &retryOptions);

/// @brief Gives back the tokens of an extra attempt that reached no backend server.
void returnTokens(ExtraAttemptBudget &budget, const ExtraAttemptOptions &options, RetryBudget &retries, const RetryBudgetOptions &retryOptions);

} // namespace agatedoor
