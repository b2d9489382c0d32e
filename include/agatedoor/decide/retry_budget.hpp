#pragma once

#include "agatedoor/base/units.hpp"

/// @brief Limits retries and hedges to a share of the first attempts, so that they don't amplify an overload.
///
/// First attempts add tokens, repeats (retries and hedges) take them. A request that arrives as a repeat takes a token too: in a
/// chain of calls, a level can only spend what the levels closer to the original caller have left, so the share holds for the
/// whole chain and not for each level separately.
namespace agatedoor {

/// @brief Parameters of the budget.
struct RetryBudgetOptions
{
    double share = 0.1; ///< Repeats allowed for each first attempt; 0 disables retries and hedges.
    double burst = 10; ///< Largest number of tokens held, and largest debt.
};

/// @brief State of the budget of one request thread.
struct RetryBudget
{
    double tokens = 3; ///< Negative when arriving repeats took more tokens than were available.
};

/// @brief Adds the share of a request that arrives as a first attempt.
void recordFirstAttempt(RetryBudget &budget, const RetryBudgetOptions &options);

/// @brief Takes a token for a request that arrives as a repeat, into debt if necessary.
void recordRepeatedAttempt(RetryBudget &budget, const RetryBudgetOptions &options);

/// @brief True when a retry or hedge is allowed.
bool hasToken(const RetryBudget &budget, const RetryBudgetOptions &options);

/// @brief True when a hedge is allowed. An @p optional one leaves half of the burst to retries and to hedges of requests that hang.
bool mayHedge(const RetryBudget &budget, const RetryBudgetOptions &options, bool optional);

/// @brief Takes one token; false when there is none.
bool spendToken(RetryBudget &budget, const RetryBudgetOptions &options);

/// @brief Gives back the token of a hedge that reached no backend server.
void returnToken(RetryBudget &budget, const RetryBudgetOptions &options);

} // namespace agatedoor
