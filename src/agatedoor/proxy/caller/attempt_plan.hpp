#pragma once

#include "agatedoor/decide/extra_attempt.hpp"
#include "agatedoor/decide/pace_search.hpp"
#include "agatedoor/decide/retry.hpp"
#include "agatedoor/proxy/request_context.hpp"

#include <vector>

/// @brief Decides which backend server gets the next attempt of a request, and whether there is a next attempt.
namespace agatedoor {

/// @brief State of the attempts of one request.
struct AttemptPlan
{
    RequestContext &context;
    std::shared_ptr<const FleetView> fleet;
    RetryBudgetOptions budget;
    RetryBudget &tokens; ///< Retry budget of the request's service.
    RetryOptions retries;
    bool arrivedAsRepeat = false; ///< The request was marked as a retry or hedge when it arrived.
    bool repeat = false; ///< The next attempt is a retry or hedge, made by this node or by one earlier in the call chain.
    int freeRefusals = 0; ///< Attempts that failed without running, because of outdated information; retrying them needs no retry budget.
    int loadRefusals = 0; ///< Attempts that an owning node refused because of load.
    bool needsToken = false; ///< The next attempt is a retry that takes a token when it starts.
    PaceSearch search;
    std::vector<BackendId> tried; ///< Backend servers tried in the current step of the search.
    ExtraAttemptOptions extraAttempts;
};

/// @brief Creates the plan of a new request and records the request in its service's retry budget.
AttemptPlan makeAttemptPlan(RequestContext &context);

/// @brief Backend server for the next attempt, or null when there is none.
const BackendEntry *nextBackend(AttemptPlan &plan);

/// @brief Number of attempts that may have reached a backend server, including those in progress.
int possibleArrivals(const AttemptPlan &plan);

/// @brief Counts a new attempt, and takes the token of a retry. A retry for which no backend server is left takes none.
void countAttempt(AttemptPlan &plan);

/// @brief Decides whether another attempt follows the one that ended, if there is a backend server for it.
bool decideNextAttempt(AttemptPlan &plan);

} // namespace agatedoor
