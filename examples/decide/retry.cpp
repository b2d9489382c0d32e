#include "agatedoor/decide/retry.hpp"

#include <iostream>

/// @brief A non-idempotent request goes elsewhere only after an attempt that certainly did not run.
int main()
{
    using namespace agatedoor;
    const TimePoint now = Clock::now();
    for (const auto outcome : {RunOutcome::NotRun, RunOutcome::Unknown}) {
        RetryContext view;
        view.idempotent = false;
        view.lastOutcome = outcome;
        view.attempts = 1;
        view.deadline = deadlineAfter(now, std::chrono::seconds(1));
        view.budgetAllows = true;
        const bool again = decideRetry(view, RetryOptions{}, now) != RetryDecision::Stop;
        std::cout << wireName(outcome) << ": " << (again ? "sent again" : "told to the caller") << "\n";
    }
    return 0;
}
