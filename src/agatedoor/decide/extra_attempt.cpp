#include "agatedoor/decide/extra_attempt.hpp"

#include <algorithm>

namespace agatedoor {

namespace {

constexpr double oneToken = 1.0;
constexpr double roundingError = 1e-9; ///< Of a sum of shares.

bool roomIsScarce(const ExtraAttemptBudget &budget, const ExtraAttemptOptions &options, TimePoint now)
{
    return budget.refusedAt != TimePoint{} && now - budget.refusedAt < options.scarceTime;
}

} // namespace

void recordFirstAttempt(ExtraAttemptBudget &budget, const ExtraAttemptOptions &options)
{
    budget.tokens = std::min(options.burst, budget.tokens + options.share);
}

void recordRefusal(ExtraAttemptBudget &budget, TimePoint now)
{
    budget.refusedAt = now;
}

std::optional<Deadline> planExtraAttempt(const LateRequest &request, const ExtraAttemptOptions &options)
{
    const bool allowed = options.share > 0 && request.idempotent && !request.repeat && request.endsBeside == 0;
    const bool firstOfSeveral = request.attempts == 1 && request.maxAttempts > 1;
    if (!allowed || !firstOfSeveral || request.tail <= Duration::zero()) {
        return std::nullopt;
    }
    const Duration delay = std::max(request.tail, options.minDelay);
    if (remaining(request.deadline, request.startedAt + delay) < delay) {
        return std::nullopt;
    }
    return deadlineAfter(request.startedAt, delay);
}

ExtraAttemptVerdict decideExtraAttempt(const ExtraAttemptBudget &budget, const ExtraAttemptOptions &options, const RetryBudget &retries,
                                       const RetryBudgetOptions &retryOptions, TimePoint now)
{
    if (roomIsScarce(budget, options, now)) {
        return ExtraAttemptVerdict::RoomScarce;
    }
    if (options.share <= 0 || budget.tokens < oneToken - roundingError) {
        return ExtraAttemptVerdict::NoToken;
    }
    constexpr bool optional = true; // The attempt in progress will probably be answered.
    return mayHedge(retries, retryOptions, optional) ? ExtraAttemptVerdict::Make : ExtraAttemptVerdict::NoRetryToken;
}

void takeTokens(ExtraAttemptBudget &budget, RetryBudget &retries, const RetryBudgetOptions &retryOptions)
{
    budget.tokens -= oneToken;
    spendToken(retries, retryOptions);
}

void returnTokens(ExtraAttemptBudget &budget, const ExtraAttemptOptions &options, RetryBudget &retries, const RetryBudgetOptions &retryOptions)
{
    budget.tokens = std::min(options.burst, budget.tokens + oneToken);
    returnToken(retries, retryOptions);
}

} // namespace agatedoor
