#include "agatedoor/decide/attempt_signal.hpp"

namespace agatedoor {

namespace {

constexpr int tooManyRequests = 429; ///< HTTP status.
constexpr int firstServerError = 500; ///< HTTP status.
constexpr int timeoutFactor = 4; ///< Multiple of the expected time after which a timeout is a fault.

AttemptSignal classifyAnswer(int status)
{
    if (status == tooManyRequests) {
        return AttemptSignal::Overloaded;
    }
    return status >= firstServerError ? AttemptSignal::Fault : AttemptSignal::Success;
}

AttemptSignal classifyTimeout(const AttemptEnd &end)
{
    return end.elapsed >= end.expected * timeoutFactor ? AttemptSignal::Fault : AttemptSignal::Neutral;
}

} // namespace

AttemptSignal classifyAttempt(const AttemptEnd &end)
{
    if (end.outcome == RunOutcome::Answered) {
        return classifyAnswer(end.status);
    }
    switch (end.reason) {
    case Reason::QueueFull:
    case Reason::DeadlineTooShort:
    case Reason::ConnectionLimit:
    case Reason::BackendShed:
    case Reason::RequestLimit:
    case Reason::ZoneEvacuated:
    case Reason::BackendCold:
        return AttemptSignal::Overloaded;
    case Reason::BackendSlow:
        return AttemptSignal::Slow;
    case Reason::BackendDraining:
    case Reason::Stopping:
    case Reason::WrongIncarnation:
    case Reason::WrongTarget:
        return AttemptSignal::Unavailable;
    case Reason::ConnectFailed:
    case Reason::ConnectionLost:
    case Reason::MismatchedAnswer:
        return AttemptSignal::Fault;
    case Reason::OfferTimeout:
    case Reason::AnswerTimeout:
        return classifyTimeout(end);
    default:
        return end.outcome == RunOutcome::NotRun ? AttemptSignal::Neutral : AttemptSignal::Fault;
    }
}

bool countsAsServiceTime(int status)
{
    return classifyAnswer(status) == AttemptSignal::Success;
}

} // namespace agatedoor
