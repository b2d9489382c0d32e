#include "agatedoor/decide/retry.hpp"

namespace agatedoor {

bool needsNoRetryToken(RunOutcome outcome, Reason reason)
{
    if (outcome != RunOutcome::NotRun) {
        return false;
    }
    switch (reason) {
    case Reason::Stopping:
    case Reason::BackendSlow:
    case Reason::RequestLimit:
    case Reason::ZoneEvacuated:
    case Reason::BackendCold:
    case Reason::BackendDraining:
    case Reason::WrongIncarnation:
    case Reason::WrongTarget:
    case Reason::ConnectFailed:
    case Reason::ConnectionLost:
        return true;
    default:
        return false;
    }
}

bool refusedByOwnerForLoad(RunOutcome outcome, Reason reason)
{
    return outcome == RunOutcome::NotRun && (reason == Reason::QueueFull || reason == Reason::DeadlineTooShort || reason == Reason::NoFreeSlot);
}

RunOutcome combinedOutcome(RunOutcome first, RunOutcome second)
{
    for (const auto outcome : {RunOutcome::Answered, RunOutcome::AnswerLost, RunOutcome::Unknown}) {
        if (first == outcome || second == outcome) {
            return outcome;
        }
    }
    return RunOutcome::NotRun;
}

RetryDecision decideRetry(const RetryContext &view, const RetryOptions &options, TimePoint now)
{
    if (view.lastOutcome == RunOutcome::Answered) {
        return RetryDecision::Stop;
    }
    const bool safe = view.idempotent || view.lastOutcome == RunOutcome::NotRun;
    const int possibleArrivals = view.attempts - view.freeRefusals - view.loadRefusals;
    const bool inBounds = possibleArrivals < options.maxAttempts && view.freeRefusals <= options.maxFreeRefusals && !expired(view.deadline, now);
    const bool suspect = view.endsBeside > options.maxEndsBeside;
    if (!safe || !inBounds || suspect) {
        return RetryDecision::Stop;
    }
    if (needsNoRetryToken(view.lastOutcome, view.lastReason)) {
        return RetryDecision::Retry;
    }
    const bool mayTryOthersForLoad = view.loadRefusals > 0 && view.loadRefusals <= options.roomSearches;
    if (mayTryOthersForLoad && refusedByOwnerForLoad(view.lastOutcome, view.lastReason)) {
        return RetryDecision::Retry;
    }
    return view.budgetAllows && !view.repeat ? RetryDecision::RetryFromBudget : RetryDecision::Stop;
}

} // namespace agatedoor
