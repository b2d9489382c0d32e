#include "attempt.hpp"

namespace agatedoor {

AttemptResult notRun(Reason reason)
{
    AttemptResult result;
    result.outcome = RunOutcome::NotRun;
    result.reason = reason;
    return result;
}

AttemptResult unknownOutcome(Reason reason)
{
    AttemptResult result;
    result.outcome = RunOutcome::Unknown;
    result.reason = reason;
    return result;
}

} // namespace agatedoor
