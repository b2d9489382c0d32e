#pragma once

#include "agatedoor/base/outcome.hpp"
#include "agatedoor/base/time.hpp"

/// @brief Decides whether a request is sent to another backend server after a failed attempt.
namespace agatedoor {

/// @brief State of a request after an attempt.
struct RetryContext
{
    bool idempotent = false;
    bool repeat = false; ///< The request arrived as a retry or hedge that was made earlier in the chain of calls.
    RunOutcome lastOutcome = RunOutcome::Unknown; ///< Outcome of the last attempt.
    Reason lastReason = Reason::None;
    int attempts = 0; ///< Attempts made so far.
    int freeRefusals = 0; ///< Attempts for which needsNoRetryToken was true.
    int loadRefusals = 0; ///< Attempts for which refusedByOwnerForLoad was true.
    int endsBeside = 0; ///< Unexpected ends of backend servers beside which the same request stood, without an answer since.
    Deadline deadline; ///< The caller's deadline.
    bool budgetAllows = false; ///< The retry budget has a token.
};

/// @brief Limits of retries.
struct RetryOptions
{
    int maxAttempts = 3; ///< Limit of the attempts that may have reached a backend server, the first one included.
    int roomSearches = 0; ///< Number of refusals for load by owning nodes after each of which another node is tried without a token.
    int maxEndsBeside = 1; ///< Limit of the ends beside a request that is sent again: with more, the next backend server may end too.
    int maxFreeRefusals = 8; ///< Limit of the retries without a token while the view of the fleet is out of date.
};

/// @brief What happens after an attempt.
enum class RetryDecision {
    Stop, ///< No further attempt; the outcome is returned to the caller.
    Retry, ///< Another attempt that costs no token.
    RetryFromBudget, ///< Another attempt that takes a token of the retry budget.
};

/// @brief True for refusals that are caused by an out-of-date view of the fleet or a slow VM, and not by load.
/// Nothing reached a backend server, so a retry adds no load and needs no token. Only the number of attempts limits such retries.
bool needsNoRetryToken(RunOutcome outcome, Reason reason);

/// @brief True when an owning node refused the request because of load, before anything reached its backend server.
bool refusedByOwnerForLoad(RunOutcome outcome, Reason reason);

/// @brief Outcome of a request after two attempts: NotRun only when neither attempt ran.
RunOutcome combinedOutcome(RunOutcome first, RunOutcome second);

/// @brief Decides what happens after an attempt.
/// A non-idempotent request is retried only when the last attempt certainly did not run. A request that arrived as a retry never
/// takes a token for another one, so that retries don't multiply across the levels of a chain of calls.
RetryDecision decideRetry(const RetryContext &view, const RetryOptions &options, TimePoint now);

} // namespace agatedoor
