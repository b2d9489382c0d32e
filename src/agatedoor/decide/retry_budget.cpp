#include "agatedoor/decide/retry_budget.hpp"

#include <algorithm>

namespace agatedoor {

void recordFirstAttempt(RetryBudget &budget, const RetryBudgetOptions &options)
{
    budget.tokens = std::min(options.burst, budget.tokens + options.share);
}

void recordRepeatedAttempt(RetryBudget &budget, const RetryBudgetOptions &options)
{
    budget.tokens = std::max(-options.burst, budget.tokens - 1.0);
}

bool hasToken(const RetryBudget &budget, const RetryBudgetOptions &options)
{
    return options.share > 0 && budget.tokens >= 1.0;
}

bool mayHedge(const RetryBudget &budget, const RetryBudgetOptions &options, bool optional)
{
    return hasToken(budget, options) && (!optional || budget.tokens > options.burst / 2);
}

bool spendToken(RetryBudget &budget, const RetryBudgetOptions &options)
{
    if (!hasToken(budget, options)) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

void returnToken(RetryBudget &budget, const RetryBudgetOptions &options)
{
    budget.tokens = std::min(options.burst, budget.tokens + 1.0);
}

} // namespace agatedoor
